"""Accounts of batching targets: calls under way and memory for results."""

import dataclasses
from collections.abc import Mapping, Sequence

from .chains import PieceId, PieceResult
from .roster import RosterRow
from .serving import BatchLimits

# Time for which a target that failed a call gets none.
FAILURE_PAUSE_MS = 1000
# First and longest pause of a target whose calls take much too long.
SLOW_PAUSE_MS = 800
MAX_SLOW_PAUSE_MS = 4000
# Pause after a target had no slot or no room for a whole call: it says so at
# once, and would be asked again and again.
FULL_PAUSE_MS = 60
# Time in which what had no room is taken to find some again: longer hides
# memory that is free, shorter has calls fail (days with a lost scheduler).
NO_ROOM_DECAY_MS = 1000
# Part of the declared memory that is used: stated sizes are approximate, and
# six results of 1.5 MB do not fit into 9 MB.
USABLE_MEMORY_SHARE = 0.95
# Step in which targets state their free memory.
REPORT_GRANULARITY_BYTES = 1_000_000


@dataclasses.dataclass(slots=True)
class BatchCall:
    """A call with pieces of any requests."""

    target: RosterRow
    limits: BatchLimits
    pieces: tuple[PieceId, ...]
    work_kinds: tuple[str, ...]
    sizes_bytes: tuple[float, ...]
    sent_at_ms: float
    expected_ms: float

    @property
    def needed_bytes(self) -> float:
        """Returns the memory that its results take."""
        return sum(self.sizes_bytes)


@dataclasses.dataclass(slots=True)
class _HeldResult:
    size_bytes: float
    expires_at_ms: float


@dataclasses.dataclass(slots=True)
class _UntrackedResults:
    """Memory that is taken by what the own accounts don't hold.

    Its results expire one after the other, so that it shrinks evenly.
    """

    initial_bytes: float = 0
    since_ms: float = 0
    span_ms: float = 1

    def remaining_bytes(self, now_ms: float) -> float:
        """Returns how much is still taken."""
        passed = (now_ms - self.since_ms) / self.span_ms
        return self.initial_bytes * max(1 - passed, 0)


class BatchTarget:
    """What is known of one target that runs pieces."""

    def __init__(self, row: RosterRow, limits: BatchLimits) -> None:
        """Starts idle and empty.

        Args:
            row: The target as it announced itself.
            limits: What is declared of its service.
        """
        self.row = row
        self.limits = limits
        self.paused_until_ms: float = 0
        self._failed_until_ms: float = 0
        self._untracked = _UntrackedResults()
        self._slow_calls = 0
        self._slow_until_ms: float = 0
        self._calls: list[BatchCall] = []
        self._held: dict[str, _HeldResult] = {}

    def is_idle(self, now_ms: float) -> bool:
        """Tells whether a call would be run at once.

        Args:
            now_ms: Steady time.
        """
        return (
            len(self._calls) < self.limits.slots
            and self.paused_until_ms <= now_ms
        )

    def has_failed(self, now_ms: float) -> bool:
        """Tells whether it gets no calls because it failed one lately.

        Args:
            now_ms: Steady time.
        """
        return self._failed_until_ms > now_ms

    def is_slow(self, now_ms: float) -> bool:
        """Tells whether others go first because its calls took too long.

        Args:
            now_ms: Steady time.
        """
        return self._slow_until_ms > now_ms

    def expected_wait_ms(self, now_ms: float) -> float:
        """Returns the expected time until a call would be run.

        Args:
            now_ms: Steady time.
        """
        pause_ms = max(self.paused_until_ms - now_ms, 0)
        if len(self._calls) < self.limits.slots:
            return pause_ms
        ends = [call.sent_at_ms + call.expected_ms for call in self._calls]
        return max(min(ends) - now_ms, pause_ms)

    def free_bytes(self, now_ms: float) -> float:
        """Returns the memory that is left for results.

        Args:
            now_ms: Steady time.
        """
        expired = [
            handle
            for handle, held in self._held.items()
            if held.expires_at_ms <= now_ms
        ]
        for handle in expired:
            self._held.pop(handle)
        held_bytes = sum(held.size_bytes for held in self._held.values())
        running_bytes = sum(call.needed_bytes for call in self._calls)
        room_bytes = self.limits.room_bytes * USABLE_MEMORY_SHARE
        untracked_bytes = self._untracked.remaining_bytes(now_ms)
        return room_bytes - untracked_bytes - held_bytes - running_bytes

    def note_report(self, free_bytes: float, now_ms: float) -> None:
        """Takes in the memory that the target itself states as free.

        What is taken beyond the own accounts belongs to calls of others and
        expires like all results. Targets state whole megabytes, rounded down.

        Args:
            free_bytes: Free memory at the target.
            now_ms: Steady time.
        """
        most_free_bytes = free_bytes + REPORT_GRANULARITY_BYTES
        known_bytes = self._untracked.remaining_bytes(now_ms)
        own_free_bytes = self.free_bytes(now_ms) + known_bytes
        self._untracked = _UntrackedResults(
            max(own_free_bytes - most_free_bytes, 0),
            now_ms,
            self.limits.keep_ms,
        )

    def note_no_room(self, size_bytes: float, now_ms: float) -> None:
        """Takes in that a result found no room that the accounts showed.

        Less than its size was free, then: the rest is held by results that
        are larger than stated, or that another scheduler has left behind.

        Args:
            size_bytes: Size of the smallest such result.
            now_ms: Steady time.
        """
        known_bytes = self._untracked.remaining_bytes(now_ms)
        more_bytes = max(self.free_bytes(now_ms) - size_bytes + 1, 0)
        self._untracked = _UntrackedResults(
            known_bytes + more_bytes,
            now_ms,
            NO_ROOM_DECAY_MS,
        )

    def note_sent(self, call: BatchCall) -> None:
        """Takes in that a call was sent."""
        self._calls.append(call)

    def note_ended(
        self,
        call: BatchCall,
        results: Sequence[PieceResult],
        now_ms: float,
    ) -> None:
        """Takes in the end of a call.

        Args:
            call: The call.
            results: What it made.
            now_ms: Steady time.
        """
        if call in self._calls:
            self._calls.remove(call)
        expires_at_ms = now_ms + self.limits.keep_ms
        for made in results:
            held = _HeldResult(made.size_bytes, expires_at_ms)
            self._held[made.handle] = held

    def note_adopted(self, made: PieceResult) -> None:
        """Takes in a result that another scheduler had made.

        Its memory may have been counted among that of others already.

        Args:
            made: The result.
        """
        self._held[made.handle] = _HeldResult(
            made.size_bytes,
            made.expires_at_ms,
        )
        self._untracked.initial_bytes = max(
            self._untracked.initial_bytes - made.size_bytes,
            0,
        )

    def note_failed(self, now_ms: float) -> None:
        """Pauses a target that failed; its results may be lost."""
        self.paused_until_ms = now_ms + FAILURE_PAUSE_MS
        self._failed_until_ms = self.paused_until_ms

    def note_slow(self, now_ms: float) -> None:
        """Lets others go first, for longer each time."""
        pause_ms = SLOW_PAUSE_MS * 2**self._slow_calls
        self._slow_calls += 1
        self._slow_until_ms = now_ms + min(pause_ms, MAX_SLOW_PAUSE_MS)

    def note_quick(self) -> None:
        """Takes in a call that took no longer than expected."""
        self._slow_calls = 0

    def note_full(self, now_ms: float) -> None:
        """Pauses a target whose slots or memory others hold."""
        self.paused_until_ms = now_ms + FULL_PAUSE_MS

    def release(self, handle: str) -> None:
        """Takes in that a result was freed."""
        self._held.pop(handle, None)


class BatchTargets:
    """Accounts of all targets that run pieces."""

    def __init__(self) -> None:
        """Starts without targets."""
        self._targets: dict[str, BatchTarget] = {}

    def update(
        self,
        services: Mapping[str, tuple[BatchLimits, Sequence[RosterRow]]],
    ) -> None:
        """Takes in which targets there are.

        Args:
            services: Limits and targets of each service with pieces.
        """
        kept: dict[str, BatchTarget] = {}
        for limits, rows in services.values():
            for row in rows:
                target = self._targets.get(row.target_id)
                if target is None or _is_restart(target.row, row):
                    target = BatchTarget(row, limits)
                target.row = row
                target.limits = limits
                kept[row.target_id] = target
        self._targets = kept

    def rows(self) -> Sequence[RosterRow]:
        """Returns all targets."""
        return [target.row for target in self._targets.values()]

    def find(self, target_id: str) -> BatchTarget | None:
        """Returns the account of a target."""
        return self._targets.get(target_id)

    def of_service(self, service: str) -> Sequence[BatchTarget]:
        """Returns the targets of a service."""
        return tuple(
            target
            for target in self._targets.values()
            if target.row.service == service
        )


def _is_restart(known: RosterRow, row: RosterRow) -> bool:
    return (known.incarnation, known.address) != (row.incarnation, row.address)
