"""Serving permission and acceptance of configurations, without I/O."""

import dataclasses
from collections.abc import Mapping

from .clock import Clock
from .configuration_log import ConfigurationFold
from .errors import ErrorKind, Refusal

# Upper bound on the relative rate difference of two machines' clocks.
CLOCK_DRIFT_SHARE = 0.01
CLOCK_GRANULARITY_MS = 2.0
NEVER_MS = float('-inf')


@dataclasses.dataclass(frozen=True, slots=True)
class HeadRead:
    """A read of the log that reached the head of the stream."""

    sent_at_ms: float
    position: int


@dataclasses.dataclass(frozen=True, slots=True)
class PeerPosition:
    """The last reported position of another entry.

    ``sent_at_ms`` is when the request was sent, not when the reply came.
    """

    sent_at_ms: float
    position: int


@dataclasses.dataclass(frozen=True, slots=True)
class PositionReply:
    """An entry's reply to a peer that requests its position.

    ``guest_ms`` is how long entries outside the membership may still rely on
    earlier replies of this entry.
    """

    position: int
    guest_ms: float


def drift_safe_wait_ms(permission_ms: float) -> float:
    """Returns how long to wait until a duration has passed on any clock.

    Args:
        permission_ms: Duration on its holder's clock, such as the term of a
            permission.

    Returns:
        The wait on this machine's clock, with allowance for clock drift and
        granularity.
    """
    return permission_ms * (1 + CLOCK_DRIFT_SHARE) + CLOCK_GRANULARITY_MS


class PermissionHolder:
    """Decides whether an entry may admit work under its folded state.

    Permission is based on a read that reached the head of the log, or on
    replies of a majority of the members, none of them ahead. It runs from
    when the request was sent and ends when the folded position changes.
    """

    def __init__(
        self,
        fold: ConfigurationFold,
        member: str,
        clock: Clock,
    ) -> None:
        """Creates the holder without permission.

        Args:
            fold: Folded configuration stream of this entry.
            member: Member name of this entry.
            clock: Source of monotonic time.
        """
        self.closed = False
        self.member = member
        self._fold = fold
        self._clock = clock
        self._head: HeadRead | None = None
        self._peer_positions: dict[str, PeerPosition] = {}
        self._guest_until_ms = NEVER_MS

    @property
    def is_member(self) -> bool:
        """Returns whether this entry is a member as far as it has folded."""
        return self.member in self._fold.state.members

    def check(self) -> Refusal | None:
        """Returns the refusal for new work, or None if it may be admitted."""
        if self.closed:
            return Refusal(ErrorKind.DRAINING)
        if self.remaining_ms() > 0:
            return None
        return Refusal(ErrorKind.NO_PERMISSION)

    def remaining_ms(self) -> float:
        """Returns the remaining permission time; negative if it has expired."""
        configuration = self._fold.current()
        if configuration is None:
            return NEVER_MS
        sent_at_ms = max(self._head_sent_at_ms(), self._majority_sent_at_ms())
        expires_at_ms = sent_at_ms + configuration.permission_ms
        return expires_at_ms - self._clock.steady_ms()

    def note_head(self, sent_at_ms: float, head: int) -> None:
        """Records a read of the log whose records have been folded.

        Args:
            sent_at_ms: Monotonic time at which the read was sent.
            head: Head of the stream at the time of the read.
        """
        state = self._fold.state
        if state.next_offset >= head:
            self._head = HeadRead(sent_at_ms, state.changed_at)

    def note_peer_position(
        self, member: str, peer_position: PeerPosition
    ) -> None:
        """Records the reply of another entry.

        A reply to an earlier request than the recorded one is ignored.

        Args:
            member: Member name of the entry that replied.
            peer_position: Its position and when the request was sent.
        """
        earlier = self._peer_positions.get(member)
        if earlier is None or earlier.sent_at_ms <= peer_position.sent_at_ms:
            self._peer_positions[member] = peer_position
        for name in (
            self._peer_positions.keys() - self._fold.state.members - {member}
        ):
            self._peer_positions.pop(name)

    def reached_by_member(self, position: int) -> Mapping[str, bool]:
        """Returns which members are known to have reached a position."""
        positions = {
            member: peer_position.position
            for member, peer_position in self._peer_positions.items()
        }
        positions[self.member] = self._fold.state.changed_at
        return {
            member: positions.get(member, 0) >= position
            for member in sorted(self._fold.state.members)
        }

    def reply_to_peer(self, *, requester_is_member: bool) -> PositionReply:
        """Returns the reply to another entry, which may rely on it.

        Args:
            requester_is_member: Whether the other entry is in the membership
                that it has folded itself.
        """
        now_ms = self._clock.steady_ms()
        guest_ms = max(self._guest_until_ms - now_ms, 0)
        if not requester_is_member:
            bound_ms = drift_safe_wait_ms(self._fold.permission_bound_ms)
            expires_at_ms = now_ms + bound_ms
            self._guest_until_ms = max(self._guest_until_ms, expires_at_ms)
        return PositionReply(self._fold.state.changed_at, guest_ms)

    def _head_sent_at_ms(self) -> float:
        head = self._head
        if head is None or not self.is_member:
            return NEVER_MS
        if head.position != self._fold.state.changed_at:
            return NEVER_MS
        return head.sent_at_ms

    def _majority_sent_at_ms(self) -> float:
        position = self._fold.state.changed_at
        membership = self._fold.state.memberships[-1]
        sent_times_ms = sorted(
            (
                peer_position.sent_at_ms
                for member, peer_position in self._peer_positions.items()
                if member in membership.members
                and peer_position.position <= position
            ),
            reverse=True,
        )
        needed_replies = membership.majority_size - int(self.is_member)
        if not membership.members or needed_replies > len(sent_times_ms):
            return NEVER_MS
        if needed_replies == 0:
            return self._clock.steady_ms()
        return sent_times_ms[needed_replies - 1]


@dataclasses.dataclass(slots=True)
class PendingPosition:
    """A position that some entries may not have reached yet.

    ``acks`` has the time at which each member was known to have reached it,
    ``guest_until_ms`` the time until which entries outside the membership may
    rely on earlier replies of that member.
    """

    position: int
    seen_at_ms: float
    acks: dict[str, float] = dataclasses.field(default_factory=dict)
    guest_until_ms: dict[str, float] = dataclasses.field(default_factory=dict)


class AcceptanceTracker:
    """Determines when no entry admits work at an earlier position."""

    def __init__(
        self,
        fold: ConfigurationFold,
        member: str,
        clock: Clock,
    ) -> None:
        """Creates the tracker with nothing accepted.

        Args:
            fold: Folded configuration stream of this entry.
            member: Member name of this entry.
            clock: Source of monotonic time.
        """
        self._fold = fold
        self._member = member
        self._clock = clock
        self._accepted = 0
        self.pending: dict[int, PendingPosition] = {}

    @property
    def accepted(self) -> int:
        """Returns the highest position known to be accepted."""
        return max(self._accepted, self._fold.state.floor)

    def note_fold(self) -> None:
        """Tracks the positions that this entry has folded as pending."""
        now_ms = self._clock.steady_ms()
        state = self._fold.state
        positions = {row.position for row in state.history}
        positions.add(state.changed_at)
        for position in positions:
            if position > self.accepted and position not in self.pending:
                pending = PendingPosition(position, now_ms)
                pending.acks[self._member] = now_ms
                self.pending[position] = pending
        self._drop_accepted()

    def note_ack(self, member: str, position: int, guest_ms: float) -> None:
        """Records the position of another entry.

        Args:
            member: Member name of that entry.
            position: Position that it has folded.
            guest_ms: How long entries outside the membership may still rely
                on its earlier replies.
        """
        now_ms = self._clock.steady_ms()
        wait_ms = drift_safe_wait_ms(guest_ms) if guest_ms else 0
        guest_until_ms = now_ms + wait_ms
        for pending in self.pending.values():
            if pending.position <= position:
                pending.acks.setdefault(member, now_ms)
                pending.guest_until_ms.setdefault(member, guest_until_ms)

    def evaluate(self) -> int:
        """Updates and returns the highest accepted position."""
        for position in sorted(self.pending, reverse=True):
            if self._is_accepted(self.pending[position]):
                self._accepted = max(self._accepted, position)
                break
        self._drop_accepted()
        return self.accepted

    def _required_members(self, position: int) -> frozenset[str]:
        memberships = self._fold.state.memberships_until(position)
        return frozenset().union(
            *(membership.members for membership in memberships)
        )

    def _is_accepted(self, pending: PendingPosition) -> bool:
        now_ms = self._clock.steady_ms()
        if self._required_members(pending.position) <= pending.acks.keys():
            return now_ms >= max(pending.guest_until_ms.values(), default=0)
        quorum_at_ms = self._quorum_at_ms(pending)
        wait_ms = drift_safe_wait_ms(self._fold.permission_bound_ms)
        return now_ms >= max(quorum_at_ms, pending.seen_at_ms) + wait_ms

    def _quorum_at_ms(self, pending: PendingPosition) -> float:
        """Returns since when no majority could lack the position.

        That holds for every membership in use; the result is infinite if one
        of them still has a majority without the position.
        """
        latest_ms = NEVER_MS
        for membership in self._fold.state.memberships_until(pending.position):
            acked = sorted(
                at_ms
                for member, at_ms in pending.acks.items()
                if member in membership.members
            )
            if not membership.members:
                continue
            if len(acked) < membership.blocking_size:
                return float('inf')
            latest_ms = max(latest_ms, acked[membership.blocking_size - 1])
        return latest_ms

    def _drop_accepted(self) -> None:
        for position in tuple(self.pending):
            if position <= self.accepted:
                self.pending.pop(position)
