"""Fleet membership from the instance list, direct contact and gossip."""

import dataclasses
import enum
from collections.abc import Iterable, Mapping, Sequence

from .backing_services import ROLE_ENTRY, STATE_LEAVING, Instance
from .generated.peer_membership import PeerMembershipBody
from .leaving_marks import LeavingMark, LeavingMarks
from .machine_capacity.entry_capacity import stated_cores

# Peers gossip every 0.5 s by default.
SUSPECT_AFTER_MS = 1500
LOST_AFTER_MS = 5000
SUSPICION_TTL_MS = 4000
# The instance list lags behind; a row that vanished may reappear.
REMOVE_AFTER_MS = 15_000
# A longer gap between two ticks means that this process was suspended.
PAUSE_THRESHOLD_MS = 1500
MAX_PROBES = 4


class MemberState(enum.Enum):
    """Liveness of an entry as judged by this entry."""

    ALIVE = 'alive'
    SUSPECTED = 'suspected'
    LOST = 'lost'


@dataclasses.dataclass(slots=True)
class Member:
    """State of another entry, as seen by this entry."""

    instance_id: str
    address: str = ''
    peer_address: str = ''
    failure_domain: str = ''
    listed_incarnation: int = -1
    listed_leaving: bool = False
    incarnation: int = 0
    running: int = 0
    listed_at_ms: float | None = None
    contact_at_ms: float | None = None
    # Whether the entry gossips to this one, so that silence is a sign of
    # failure.
    gossips: bool = False
    replaced: bool = False
    # Computing power of its machine; None if it has not stated any.
    processor_cores: float | None = None
    # Whether it is overloaded, by its own measure.
    overloaded: bool = False

    def contacted_within(self, span_ms: float, now_ms: float) -> bool:
        """Returns whether the entry was in contact recently.

        Args:
            span_ms: Maximum age of the last contact in milliseconds.
            now_ms: Monotonic time in milliseconds.
        """
        heard_at_ms = self.contact_at_ms
        return heard_at_ms is not None and now_ms - heard_at_ms <= span_ms

    def listed_within(self, span_ms: float, now_ms: float) -> bool:
        """Returns whether the instance list held the entry recently.

        Args:
            span_ms: Maximum age of the last listing in milliseconds.
            now_ms: Monotonic time in milliseconds.
        """
        listed_at_ms = self.listed_at_ms
        return listed_at_ms is not None and now_ms - listed_at_ms <= span_ms

    def discount_pause(self, paused_ms: float) -> None:
        """Excludes time in which this process was suspended from timeouts.

        Args:
            paused_ms: Length of the suspension in milliseconds.
        """
        if self.contact_at_ms is not None:
            self.contact_at_ms += paused_ms
        if self.listed_at_ms is not None:
            self.listed_at_ms += paused_ms


class Membership:
    """Membership view of one entry: the other entries and their liveness."""

    def __init__(self, instance_id: str, incarnation: int) -> None:
        """Starts without other entries.

        Args:
            instance_id: Id of this entry.
            incarnation: Its incarnation.
        """
        self.instance_id = instance_id
        self.incarnation = incarnation
        self.entry_marks = LeavingMarks()
        self._members: dict[str, Member] = {}
        # Time of the newest suspicion of each incarnation. LeavingMark serves
        # only as the key; a suspected incarnation need not be leaving.
        self._suspicions: dict[LeavingMark, float] = {}
        self._ticked_at_ms: float | None = None
        self._probe_round = 0

    def note_list(self, rows: Iterable[Instance], now_ms: float) -> None:
        """Merges the instance list; a list without entries is ignored.

        Args:
            rows: Instances of all roles.
            now_ms: Monotonic time in milliseconds.
        """
        listed = [row for row in rows if row.role == ROLE_ENTRY]
        for row in listed:
            if row.instance_id != self.instance_id:
                self._merge_row(row, now_ms)
        if listed:
            self._remove_vanished(now_ms)

    def note_contact(
        self,
        peer_id: str,
        incarnation: int,
        now_ms: float,
    ) -> bool:
        """Records direct contact with a peer.

        Args:
            peer_id: Instance id of the peer.
            incarnation: Its incarnation.
            now_ms: Monotonic time in milliseconds.

        Returns:
            False if a newer incarnation of the peer is known, else True.
        """
        member = self._member(peer_id)
        if incarnation < member.incarnation:
            return False
        if incarnation > member.incarnation:
            member.incarnation = incarnation
            member.gossips = False
            member.address = ''
        member.contact_at_ms = now_ms
        member.replaced = False
        return True

    def note_gossip(
        self,
        peer_id: str,
        gossip: PeerMembershipBody,
        now_ms: float,
    ) -> None:
        """Merges a gossip message of a peer.

        A message of an older incarnation is ignored.

        Args:
            peer_id: Instance id of the sender.
            gossip: The gossip message.
            now_ms: Monotonic time in milliseconds.
        """
        if not self.note_contact(peer_id, gossip.incarnation, now_ms):
            return
        member = self._member(peer_id)
        member.gossips = True
        member.running = gossip.running
        member.overloaded = gossip.overloaded
        member.address = gossip.address or member.address
        member.failure_domain = gossip.failure_domain or member.failure_domain
        self.note_capacity(peer_id, gossip.processor_cores)
        if gossip.leaving:
            mark = LeavingMark(peer_id, gossip.incarnation)
            self.entry_marks.add(mark, now_ms)
        self.entry_marks.add_all(
            (
                LeavingMark(marked.id, marked.incarnation)
                for marked in gossip.leaving_entries
            ),
            now_ms,
        )
        for suspicion in gossip.suspicions:
            key = LeavingMark(suspicion.id, suspicion.incarnation)
            suspected_at_ms = now_ms - suspicion.age_ms
            known_at_ms = self._suspicions.get(key, suspected_at_ms)
            self._suspicions[key] = max(known_at_ms, suspected_at_ms)

    def note_capacity(self, peer_id: str, processor_cores: float) -> None:
        """Records the computing power that a peer states.

        Args:
            peer_id: Instance id of the peer.
            processor_cores: Cores of the reference machine; anything but a
                positive finite number counts as not stated.
        """
        stated = stated_cores(processor_cores)
        if stated is not None:
            self._member(peer_id).processor_cores = stated

    def capacities(self) -> Mapping[str, float]:
        """Returns the computing power of the entries that stated it."""
        return {
            member.instance_id: member.processor_cores
            for member in self._members.values()
            if member.processor_cores is not None
        }

    def note_unreachable(self, peer_id: str, now_ms: float) -> None:
        """Records a suspicion of a peer that did not answer a probe.

        Args:
            peer_id: Instance id of the peer.
            now_ms: Monotonic time in milliseconds.
        """
        member = self._member(peer_id)
        key = LeavingMark(peer_id, member.incarnation)
        self._suspicions[key] = now_ms

    def note_replaced(self, peer_id: str) -> None:
        """Marks a peer as lost: another instance answers at its address.

        Args:
            peer_id: Instance id of the lost peer.
        """
        self._member(peer_id).replaced = True

    def tick(self, now_ms: float) -> Sequence[str]:
        """Expires old suspicions and selects peers to probe.

        After a suspension of this process all timeouts are extended by its
        length.

        Args:
            now_ms: Monotonic time in milliseconds.

        Returns:
            Instance ids of at most MAX_PROBES silent peers, in rotation.
        """
        before_ms = self._ticked_at_ms
        self._ticked_at_ms = now_ms
        if before_ms is not None and now_ms - before_ms > PAUSE_THRESHOLD_MS:
            for member in self._members.values():
                member.discount_pause(now_ms - before_ms)
        self._suspicions = {
            key: suspected_at_ms
            for key, suspected_at_ms in self._suspicions.items()
            if now_ms - suspected_at_ms < SUSPICION_TTL_MS
        }
        silent = [
            other.instance_id
            for other in self._members.values()
            if self._needs_probe(other, now_ms)
        ]
        self._probe_round += 1
        start = self._probe_round * MAX_PROBES % max(len(silent), 1)
        return (*silent[start:], *silent[:start])[:MAX_PROBES]

    def state(self, peer_id: str, now_ms: float) -> MemberState:
        """Returns the liveness of an entry; an unknown one counts as lost.

        Args:
            peer_id: Instance id of the entry.
            now_ms: Monotonic time in milliseconds.
        """
        member = self._members.get(peer_id)
        if member is None or member.replaced:
            return MemberState.LOST
        if member.contacted_within(SUSPECT_AFTER_MS, now_ms):
            return MemberState.ALIVE
        if member.contact_at_ms is None:
            return MemberState.SUSPECTED
        key = LeavingMark(peer_id, member.incarnation)
        if key not in self._suspicions and not member.gossips:
            return MemberState.ALIVE
        if member.contacted_within(LOST_AFTER_MS, now_ms):
            return MemberState.SUSPECTED
        return MemberState.LOST

    def is_leaving(self, peer_id: str) -> bool:
        """Returns whether the current incarnation of an entry is leaving."""
        member = self._members.get(peer_id)
        if member is None:
            return False
        mark = LeavingMark(peer_id, member.incarnation)
        return member.listed_leaving or mark in self.entry_marks

    def members(self) -> Sequence[Member]:
        """Returns all known other entries."""
        return tuple(self._members.values())

    def alive(self, now_ms: float) -> Sequence[Member]:
        """Returns the other entries that are alive and not leaving."""
        return tuple(
            member
            for member in self._members.values()
            if self.state(member.instance_id, now_ms) is MemberState.ALIVE
            and not self.is_leaving(member.instance_id)
        )

    def suspicions(self, now_ms: float) -> Sequence[tuple[LeavingMark, int]]:
        """Returns the current suspicions, each with its age in ms."""
        return tuple(
            (key, round(now_ms - suspected_at_ms))
            for key, suspected_at_ms in self._suspicions.items()
        )

    def _member(self, peer_id: str) -> Member:
        return self._members.setdefault(peer_id, Member(peer_id))

    def _merge_row(self, row: Instance, now_ms: float) -> None:
        member = self._member(row.instance_id)
        if row.incarnation < member.listed_incarnation:
            return
        if row.incarnation > member.listed_incarnation:
            member.listed_incarnation = row.incarnation
            member.listed_leaving = False
            member.replaced = False
        member.listed_at_ms = now_ms
        # The list may omit addresses for callers; gossip carries them then.
        member.address = row.address or member.address
        member.peer_address = row.peer_address
        member.failure_domain = row.failure_domain
        member.listed_leaving |= row.state == STATE_LEAVING
        self.note_capacity(row.instance_id, row.processor_cores)

    def _remove_vanished(self, now_ms: float) -> None:
        vanished = [
            member.instance_id
            for member in self._members.values()
            if not member.listed_within(REMOVE_AFTER_MS, now_ms)
            and not member.contacted_within(REMOVE_AFTER_MS, now_ms)
        ]
        for instance_id in vanished:
            self._members.pop(instance_id)

    def _needs_probe(self, member: Member, now_ms: float) -> bool:
        if member.contact_at_ms is None:
            return True
        key = LeavingMark(member.instance_id, member.incarnation)
        expected = member.gossips or key in self._suspicions
        return expected and not member.contacted_within(
            SUSPECT_AFTER_MS, now_ms
        )
