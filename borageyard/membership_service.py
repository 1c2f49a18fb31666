"""Keeps an entry's view of the fleet current and tells it to peers."""

import asyncio
import dataclasses
from collections.abc import Callable, Sequence

from .activity import Activity
from .backing_services import Instance
from .clock import MS_PER_S, Clock
from .events import Event, log_event
from .generated.peer_membership import (
    LeavingMarkBody,
    PeerMembershipBody,
    PeerProbeBody,
    PeerProbeReplyBody,
    SuspicionBody,
)
from .leaving_marks import LeavingMark, LeavingMarks
from .membership import Membership, MemberState
from .peers import NewsSection, PeerAddress, PeerError, PeerLink
from .targets import TargetDirectory

TICK_MS = 200
PROBE_TIMEOUT_MS = 800
MARKS_PER_NEWS = 8
# Turns of the news of which one is used when nothing is urgent.
QUIET_TURNS = 4


@dataclasses.dataclass(slots=True)
class OwnState:
    """What an entry tells of itself."""

    incarnation: int
    failure_domain: str
    address: str = ''
    leaving: bool = False
    activity: Activity = dataclasses.field(default_factory=Activity)

    @property
    def running(self) -> int:
        """Returns how many requests run."""
        return self.activity.count


class MembershipService:
    """Feeds the membership and tells it on."""

    def __init__(
        self,
        membership: Membership,
        own: OwnState,
        directory: TargetDirectory,
        link: PeerLink,
        clock: Clock,
        listed: Callable[[], Sequence[Instance]],
    ) -> None:
        """Registers the section of the news and the probe.

        Args:
            membership: What is kept current.
            own: What is told of this entry.
            directory: Targets, for their leaving marks.
            link: The way to the peers.
            clock: Source of time.
            listed: Returns the last rows of the instance list.
        """
        self._membership = membership
        self._own = own
        self._directory = directory
        self._link = link
        self._clock = clock
        self._listed = listed
        self._target_marks = LeavingMarks()
        self._turn = -1
        self._states: dict[str, MemberState] = {}
        link.register(PeerProbeBody, self._answer_probe)
        link.add_news(
            NewsSection(
                PeerMembershipBody,
                self._provide,
                self._consume,
                urgent=True,
            ),
        )

    async def run(self) -> None:
        """Lets time pass for the membership until cancelled."""
        while True:
            await asyncio.gather(*map(self._probe, self.tick()))
            await asyncio.sleep(TICK_MS / MS_PER_S)

    def tick(self) -> Sequence[str]:
        """Takes in the list and the marks once; returns whom to probe."""
        now_ms = self._clock.steady_ms()
        doubtful = self._membership.tick(now_ms)
        self._membership.note_list(self._listed(), now_ms)
        self._share_target_marks(now_ms)
        self._link.update_peers(
            PeerAddress(
                instance_id=member.instance_id,
                address=member.peer_address,
                failure_domain=member.failure_domain,
            )
            for member in self._membership.members()
        )
        self._log_changes(now_ms)
        return doubtful

    def _share_target_marks(self, now_ms: float) -> None:
        """Marks the targets that peers told of, and keeps those seen here."""
        for state in self._directory.all_targets():
            mark = LeavingMark(state.target_id, state.instance.incarnation)
            if state.leaving:
                self._target_marks.add(mark, now_ms)
            elif mark in self._target_marks:
                self._directory.mark_leaving(state.target_id)

    def _is_quiet(self, now_ms: float) -> bool:
        """Tells whether peers lose nothing if they are told later."""
        return not (
            self._own.leaving
            or self._membership.suspicions(now_ms)
            or self._membership.entry_marks.has_recent(now_ms)
            or self._target_marks.has_recent(now_ms)
        )

    def _provide(self) -> PeerMembershipBody | None:
        now_ms = self._clock.steady_ms()
        self._share_target_marks(now_ms)
        self._turn += 1
        if self._is_quiet(now_ms) and self._turn % QUIET_TURNS:
            return None
        own = self._own
        marks = self._membership.entry_marks.next_batch(MARKS_PER_NEWS, now_ms)
        suspicions = self._membership.suspicions(now_ms)[:MARKS_PER_NEWS]
        return PeerMembershipBody(
            incarnation=own.incarnation,
            address=own.address,
            failure_domain=own.failure_domain,
            leaving=own.leaving,
            running=own.running,
            suspicions=[
                SuspicionBody(
                    id=mark.instance_id,
                    incarnation=mark.incarnation,
                    age_ms=age_ms,
                )
                for mark, age_ms in suspicions
            ],
            leaving_entries=_mark_bodies(marks),
            leaving_targets=_mark_bodies(
                self._target_marks.next_batch(MARKS_PER_NEWS, now_ms),
            ),
        )

    def _consume(self, peer_id: str, news: PeerMembershipBody) -> None:
        now_ms = self._clock.steady_ms()
        self._membership.note_news(peer_id, news, now_ms)
        self._target_marks.add_all(
            (
                LeavingMark(told.id, told.incarnation)
                for told in news.leaving_targets
            ),
            now_ms,
        )
        self._share_target_marks(now_ms)

    async def _answer_probe(
        self,
        peer_id: str,
        message: PeerProbeBody,
    ) -> PeerProbeReplyBody:
        return PeerProbeReplyBody(
            incarnation=self._own.incarnation,
            leaving=self._own.leaving,
        )

    async def _probe(self, peer_id: str) -> None:
        try:
            reply = await self._link.request(
                peer_id,
                PeerProbeBody(),
                PeerProbeReplyBody,
                PROBE_TIMEOUT_MS,
            )
        except PeerError:
            now_ms = self._clock.steady_ms()
            self._membership.note_unreachable(peer_id, now_ms)
            return
        now_ms = self._clock.steady_ms()
        self._membership.note_contact(peer_id, reply.incarnation, now_ms)
        if reply.leaving:
            mark = LeavingMark(peer_id, reply.incarnation)
            self._membership.entry_marks.add(mark, now_ms)

    def _log_changes(self, now_ms: float) -> None:
        for member in self._membership.members():
            name = member.instance_id
            state = self._membership.state(name, now_ms)
            if self._states.get(name) is state:
                continue
            self._states[name] = state
            log_event(
                Event.MEMBER_CHANGED,
                instance_id=self._membership.instance_id,
                peer_id=name,
                state=state.value,
            )


def _mark_bodies(marks: Sequence[LeavingMark]) -> list[LeavingMarkBody]:
    return [
        LeavingMarkBody(id=mark.instance_id, incarnation=mark.incarnation)
        for mark in marks
    ]
