"""Tracks the calls in flight and the result memory of batching targets."""

import dataclasses
from collections.abc import Mapping, Sequence

from .chains import PieceId, PieceResult
from .roster import RosterRow
from .serving_configuration import BatchLimits

# Time for which a target gets no calls after it failed one.
FAILURE_PAUSE_MS = 1000
# First and longest time for which a target is avoided after a call that took
# much longer than expected.
SLOW_PAUSE_MS = 800
MAX_SLOW_PAUSE_MS = 4000
# Pause after a target had no slot, or no memory for any result of a call. It
# refuses at once, so without a pause it would be called again and again.
FULL_PAUSE_MS = 60
# Time within which a target that ran out of memory is assumed to have freed
# it again. A longer time hides memory that is free; with a shorter one calls
# fail under load patterns that lose a scheduler.
NO_ROOM_DECAY_MS = 1000
# Share of the declared memory that is used: declared result sizes are
# approximate, and six results of 1.5 MB do not fit into 9 MB.
USABLE_MEMORY_SHARE = 0.95
# Granularity with which targets report their free memory.
REPORT_GRANULARITY_BYTES = 1_000_000


@dataclasses.dataclass(slots=True)
class BatchCall:
    """A batch of pieces, of one or more requests, for one target."""

    target: RosterRow
    limits: BatchLimits
    pieces: tuple[PieceId, ...]
    work_kinds: tuple[str, ...]
    sizes_bytes: tuple[float, ...]
    sent_at_ms: float
    expected_ms: float
    # Time relative to that on a typical target, which is expected.
    slowdown: float = 1

    @property
    def needed_bytes(self) -> float:
        """Returns the memory that the results of the call take."""
        return sum(self.sizes_bytes)


@dataclasses.dataclass(slots=True)
class _HeldResult:
    size_bytes: float
    expires_at_ms: float


@dataclasses.dataclass(slots=True)
class _UntrackedResults:
    """Memory taken by results that this scheduler does not track.

    These results expire one after another, so their memory is assumed to
    shrink linearly.
    """

    initial_bytes: float = 0
    since_ms: float = 0
    span_ms: float = 1

    def remaining_bytes(self, now_ms: float) -> float:
        """Returns the memory that is still taken."""
        passed = (now_ms - self.since_ms) / self.span_ms
        return self.initial_bytes * max(1 - passed, 0)


class BatchTarget:
    """State of one batching target."""

    def __init__(self, row: RosterRow, limits: BatchLimits) -> None:
        """Creates the state of a target without calls or results.

        Args:
            row: The target as it announced itself.
            limits: Declared limits of its service.
        """
        self.row = row
        self.limits = limits
        self.paused_until_ms: float = 0
        # End of the pause that it asked for.
        self.requested_until_ms: float = 0
        self._failed_until_ms: float = 0
        self._untracked = _UntrackedResults()
        self._slow_calls = 0
        self._slow_until_ms: float = 0
        self._calls: list[BatchCall] = []
        self._held: dict[str, _HeldResult] = {}

    @property
    def call_count(self) -> int:
        """Returns the number of calls of this scheduler in flight."""
        return len(self._calls)

    def is_idle(self, now_ms: float) -> bool:
        """Returns whether the target would run a call at once.

        Args:
            now_ms: Monotonic time.
        """
        return (
            len(self._calls) < self.limits.slots
            and self.paused_until_ms <= now_ms
        )

    def has_failed(self, now_ms: float) -> bool:
        """Returns whether the target gets no calls after a recent failure.

        Args:
            now_ms: Monotonic time.
        """
        return self._failed_until_ms > now_ms

    def is_slow(self, now_ms: float) -> bool:
        """Returns whether others are preferred because calls took too long.

        Args:
            now_ms: Monotonic time.
        """
        return self._slow_until_ms > now_ms

    def asked_for_pause(self, now_ms: float) -> bool:
        """Returns whether the target wants no calls for a while.

        Args:
            now_ms: Monotonic time.
        """
        return self.requested_until_ms > now_ms

    def expected_wait_ms(self, now_ms: float) -> float:
        """Returns the expected time until the target could start a call, in ms.

        Args:
            now_ms: Monotonic time.
        """
        pause_ms = max(self.paused_until_ms - now_ms, 0)
        if len(self._calls) < self.limits.slots:
            return pause_ms
        ends = [call.sent_at_ms + call.expected_ms for call in self._calls]
        return max(min(ends) - now_ms, pause_ms)

    def free_bytes(self, now_ms: float) -> float:
        """Returns the memory left for results; drops expired results.

        Args:
            now_ms: Monotonic time.
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
        result_memory_bytes = (
            self.limits.result_memory_bytes * USABLE_MEMORY_SHARE
        )
        untracked_bytes = self._untracked.remaining_bytes(now_ms)
        return (
            result_memory_bytes - untracked_bytes - held_bytes - running_bytes
        )

    def note_report(self, free_bytes: float, now_ms: float) -> None:
        """Records the free memory that the target reports.

        Memory that is taken beyond the tracked results belongs to calls of
        other schedulers and expires as all results do. Targets report whole
        megabytes, rounded down.

        Args:
            free_bytes: Free memory that the target reported.
            now_ms: Monotonic time.
        """
        most_free_bytes = free_bytes + REPORT_GRANULARITY_BYTES
        untracked_bytes = self._untracked.remaining_bytes(now_ms)
        own_free_bytes = self.free_bytes(now_ms) + untracked_bytes
        self._untracked = _UntrackedResults(
            max(own_free_bytes - most_free_bytes, 0),
            now_ms,
            self.limits.keep_ms,
        )

    def note_no_room(self, size_bytes: float, now_ms: float) -> None:
        """Records that a result did not fit although memory seemed free.

        Less memory than its size was free then. The rest is held by results
        that are larger than declared or that another scheduler left behind.

        Args:
            size_bytes: Size of the smallest result that did not fit.
            now_ms: Monotonic time.
        """
        untracked_bytes = self._untracked.remaining_bytes(now_ms)
        more_bytes = max(self.free_bytes(now_ms) - size_bytes + 1, 0)
        self._untracked = _UntrackedResults(
            untracked_bytes + more_bytes,
            now_ms,
            NO_ROOM_DECAY_MS,
        )

    def note_sent(self, call: BatchCall) -> None:
        """Records that a call was sent."""
        self._calls.append(call)

    def note_ended(
        self,
        call: BatchCall,
        results: Sequence[PieceResult],
        now_ms: float,
    ) -> None:
        """Records the end of a call, and the results that it produced.

        Args:
            call: The call.
            results: Results that the target now holds.
            now_ms: Monotonic time.
        """
        if call in self._calls:
            self._calls.remove(call)
        expires_at_ms = now_ms + self.limits.keep_ms
        for result in results:
            held = _HeldResult(result.size_bytes, expires_at_ms)
            self._held[result.handle] = held

    def note_adopted(self, result: PieceResult) -> None:
        """Records a result that another scheduler had produced.

        Its memory may already be counted as that of untracked results.

        Args:
            result: The result.
        """
        self._held[result.handle] = _HeldResult(
            result.size_bytes,
            result.expires_at_ms,
        )
        self._untracked.initial_bytes = max(
            self._untracked.initial_bytes - result.size_bytes,
            0,
        )

    def note_failed(self, now_ms: float) -> None:
        """Pauses the target after a failure; its results may be lost."""
        self.paused_until_ms = now_ms + FAILURE_PAUSE_MS
        self._failed_until_ms = self.paused_until_ms

    def note_slow(self, now_ms: float) -> None:
        """Avoids the target, for longer after each further slow call."""
        pause_ms = SLOW_PAUSE_MS * 2**self._slow_calls
        self._slow_calls += 1
        self._slow_until_ms = now_ms + min(pause_ms, MAX_SLOW_PAUSE_MS)

    def note_quick(self, *, is_stated: bool = False) -> None:
        """Records a call that was not slow; resets the slow pause.

        Args:
            is_stated: Whether the target stated how quick its machine is now.
                Earlier slow calls say nothing more about it then.
        """
        self._slow_calls = 0
        if is_stated:
            self._slow_until_ms = 0

    def note_full(self, now_ms: float) -> None:
        """Pauses the target because others hold its slots or memory."""
        self.paused_until_ms = now_ms + FULL_PAUSE_MS

    def note_freed(self, handle: str) -> None:
        """Records that a result was freed."""
        self._held.pop(handle, None)


class BatchTargets:
    """State of all batching targets."""

    def __init__(self) -> None:
        """Creates an empty set of targets."""
        self._targets: dict[str, BatchTarget] = {}
        self._by_service: Mapping[str, Sequence[BatchTarget]] = {}

    def update(
        self,
        services: Mapping[str, tuple[BatchLimits, Sequence[RosterRow]]],
    ) -> None:
        """Replaces the set of targets.

        The state of existing targets is kept, unless they were restarted.

        Args:
            services: Limits and targets of each batching service.
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
        by_service: dict[str, list[BatchTarget]] = {}
        for target in kept.values():
            by_service.setdefault(target.row.service, []).append(target)
        self._by_service = by_service

    def rows(self) -> Sequence[RosterRow]:
        """Returns the roster rows of all targets."""
        return [target.row for target in self._targets.values()]

    def find(self, target_id: str) -> BatchTarget | None:
        """Returns the state of a target, or None if it is unknown."""
        return self._targets.get(target_id)

    def pause(self, target_id: str, until_ms: float) -> None:
        """Avoids a target for a time that it asked for.

        Args:
            target_id: Id of the target.
            until_ms: Monotonic time of the end of the pause.
        """
        target = self._targets.get(target_id)
        if target is not None:
            target.paused_until_ms = max(target.paused_until_ms, until_ms)
            target.requested_until_ms = max(target.requested_until_ms, until_ms)

    def of_service(self, service: str) -> Sequence[BatchTarget]:
        """Returns the targets of a service."""
        return self._by_service.get(service, ())


def _is_restart(previous: RosterRow, row: RosterRow) -> bool:
    return (previous.incarnation, previous.address) != (
        row.incarnation,
        row.address,
    )
