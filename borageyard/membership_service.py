"""Updates the membership of an entry and gossips it to peers."""

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
from .peers import GossipSection, PeerAddress, PeerError, PeerLink
from .targets import TargetDirectory

TICK_MS = 200
PROBE_TIMEOUT_MS = 800
MAX_MARKS_PER_GOSSIP = 8
# Without urgent changes, membership is part of one gossip round in this many.
QUIET_GOSSIP_ROUNDS = 4


@dataclasses.dataclass(slots=True)
class LocalEntryState:
    """State that an entry announces about itself."""

    incarnation: int
    failure_domain: str
    address: str = ''
    leaving: bool = False
    activity: Activity = dataclasses.field(default_factory=Activity)

    @property
    def running(self) -> int:
        """Returns the number of running requests."""
        return self.activity.count


class MembershipService:
    """Updates the membership from the instance list, gossip and probes."""

    def __init__(
        self,
        membership: Membership,
        own: LocalEntryState,
        directory: TargetDirectory,
        link: PeerLink,
        clock: Clock,
        list_instances: Callable[[], Sequence[Instance]],
    ) -> None:
        """Registers the gossip section and the probe handler on the link.

        Args:
            membership: Membership to update.
            own: State of this entry, announced to peers.
            directory: Targets, whose leaving marks are shared with peers.
            link: Link to the peers.
            clock: Source of time.
            list_instances: Returns the latest instance list.
        """
        self._membership = membership
        self._own = own
        self._directory = directory
        self._link = link
        self._clock = clock
        self._list_instances = list_instances
        self._target_marks = LeavingMarks()
        self._gossip_round = -1
        self._states: dict[str, MemberState] = {}
        link.register(PeerProbeBody, self._handle_probe)
        link.add_gossip_section(
            GossipSection(
                PeerMembershipBody,
                self._provide,
                self._consume,
                urgent=True,
            ),
        )

    async def run(self) -> None:
        """Ticks and probes silent peers until cancelled."""
        while True:
            await asyncio.gather(*map(self._probe, self.tick()))
            await asyncio.sleep(TICK_MS / MS_PER_S)

    def tick(self) -> Sequence[str]:
        """Merges the instance list and leaving marks into the membership.

        Returns:
            Instance ids of the peers to probe.
        """
        now_ms = self._clock.steady_ms()
        silent = self._membership.tick(now_ms)
        self._membership.note_list(self._list_instances(), now_ms)
        self._sync_target_marks(now_ms)
        self._link.update_peers(
            PeerAddress(
                instance_id=member.instance_id,
                address=member.peer_address,
                failure_domain=member.failure_domain,
            )
            for member in self._membership.members()
        )
        self._log_changes(now_ms)
        return silent

    def _sync_target_marks(self, now_ms: float) -> None:
        """Exchanges leaving marks between the directory and the gossip.

        Marks that peers reported are set in the directory; targets that are
        leaving there are added to the marks to gossip.
        """
        for state in self._directory.all_targets():
            mark = LeavingMark(state.target_id, state.instance.incarnation)
            if state.leaving:
                self._target_marks.add(mark, now_ms)
            elif mark in self._target_marks:
                self._directory.mark_leaving(state.target_id)

    def _can_defer_gossip(self, now_ms: float) -> bool:
        """Returns whether no change has to be gossiped immediately."""
        return not (
            self._own.leaving
            or self._membership.suspicions(now_ms)
            or self._membership.entry_marks.has_recent(now_ms)
            or self._target_marks.has_recent(now_ms)
        )

    def _provide(self) -> PeerMembershipBody | None:
        now_ms = self._clock.steady_ms()
        self._sync_target_marks(now_ms)
        self._gossip_round += 1
        if (
            self._can_defer_gossip(now_ms)
            and self._gossip_round % QUIET_GOSSIP_ROUNDS
        ):
            return None
        own = self._own
        marks = self._membership.entry_marks.next_batch(
            MAX_MARKS_PER_GOSSIP, now_ms
        )
        suspicions = self._membership.suspicions(now_ms)[:MAX_MARKS_PER_GOSSIP]
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
                self._target_marks.next_batch(MAX_MARKS_PER_GOSSIP, now_ms),
            ),
        )

    def _consume(self, peer_id: str, gossip: PeerMembershipBody) -> None:
        now_ms = self._clock.steady_ms()
        self._membership.note_gossip(peer_id, gossip, now_ms)
        self._target_marks.add_all(
            (
                LeavingMark(marked.id, marked.incarnation)
                for marked in gossip.leaving_targets
            ),
            now_ms,
        )
        self._sync_target_marks(now_ms)

    async def _handle_probe(
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
