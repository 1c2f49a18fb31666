"""Permits to send to targets that limit their requests."""

import dataclasses
import enum
from collections.abc import Iterable, Mapping, Sequence
from typing import Protocol

from .clock import MS_PER_S
from .roster import RosterRow

# Permits that accumulate at most: for this many seconds at the stated rate, and
# at least two, so that one stays for a first send when another one is taken.
BURST_S = 0.5
MIN_BURST = 2
# Rate at which a target with a limit of zero is tried, so that the end of its
# limit is noticed.
MIN_RATE_PER_S = 0.1
# Rounding error of a bucket that has just been refilled.
ROUNDING_PERMITS = 1e-6


def usual_burst(rate_per_s: float) -> float:
    """Returns how many permits accumulate for a stated limit.

    Args:
        rate_per_s: Permits a second.
    """
    return max(rate_per_s * BURST_S, MIN_BURST)


class LimitSource(Protocol):
    """Knows the limits of targets."""

    def rate_of(self, target: RosterRow) -> float | None:
        """Returns the limit of a target in requests a second, or None.

        Args:
            target: The target.
        """

    def burst_of(self, target: RosterRow, rate_per_s: float) -> float:
        """Returns how many permits of a target may accumulate, at least one.

        Args:
            target: The target.
            rate_per_s: Rate at which this entry issues them.
        """


class FixedLimits:
    """Limits that never change."""

    def __init__(self, rates_per_s: Mapping[str, float]) -> None:
        """Stores the limits.

        Args:
            rates_per_s: Requests a second by target id; others have no limit.
        """
        self._rates_per_s = rates_per_s

    def rate_of(self, target: RosterRow) -> float | None:
        """Returns the limit of a target in requests a second, or None."""
        return self._rates_per_s.get(target.target_id)

    def burst_of(self, target: RosterRow, rate_per_s: float) -> float:
        """Returns how many permits of a target may accumulate."""
        return usual_burst(rate_per_s)


class SendClass(enum.Enum):
    """Kind of a send; its value is the number of permits that it requires.

    Each send takes one permit. The others stay for more important sends.
    """

    # Sends of work that no target has, and of prompts and pieces in any case.
    FIRST = 1
    # Repeated plain requests, and calls that run nothing.
    SECONDARY = 2


@dataclasses.dataclass(slots=True)
class _Bucket:
    incarnation: int
    updated_at_ms: float
    permits: float = 0
    # Permits that accumulate at most.
    capacity: float = MIN_BURST


class SendPermits:
    """Token buckets of the targets that stated a limit.

    One entry issues the permits for a target at a time. A bucket starts empty,
    when the limit is stated and when this entry begins to issue permits: others
    may just have sent what the target allows. So a change of the issuer adds
    nothing to what the target gets.

    Load pattern: prompts that share a long part, cached at one engine, which
    states a limit far below the rate at which they come, while the entry that
    schedules changes.
    """

    def __init__(self, limits: LimitSource) -> None:
        """Creates empty buckets.

        Args:
            limits: The limits in force.
        """
        # Share of each limit that this entry may use: less than one if it can't
        # tell what others use.
        self.share: float = 1
        self._limits = limits
        self._buckets: dict[str, _Bucket] = {}

    def is_limited(self, target: RosterRow) -> bool:
        """Returns whether sends to a target require permits."""
        return self._limits.rate_of(target) is not None

    def wait_ms(
        self,
        target: RosterRow,
        now_ms: float,
        send_class: SendClass = SendClass.FIRST,
    ) -> float:
        """Returns the time until a send is permitted; 0 if it is now.

        Args:
            target: The target.
            now_ms: Monotonic time.
            send_class: Kind of the send.
        """
        rate_per_s = self._rate_per_s(target)
        if rate_per_s is None:
            return 0
        bucket = self._refill(target, rate_per_s, now_ms)
        # A bucket of one permit can't keep one for more important sends.
        required = min(send_class.value, bucket.capacity)
        missing = required - bucket.permits
        if missing < ROUNDING_PERMITS:
            return 0
        return missing / rate_per_s * MS_PER_S

    def take(
        self,
        target: RosterRow,
        now_ms: float,
        send_class: SendClass = SendClass.FIRST,
    ) -> float:
        """Takes a permit if there is one.

        Args:
            target: The target.
            now_ms: Monotonic time.
            send_class: Kind of the send.

        Returns:
            The time in ms until there is one; 0 if it was taken.
        """
        wait_ms = self.wait_ms(target, now_ms, send_class)
        bucket = self._buckets.get(target.target_id)
        if not wait_ms and bucket is not None and self.is_limited(target):
            bucket.permits -= 1
        return wait_ms

    def queue_wait_ms(
        self, targets: Sequence[RosterRow], ahead: int, now_ms: float
    ) -> float:
        """Returns the time until one of some targets permits a further send.

        Args:
            targets: Targets that may stand in for each other.
            ahead: Sends that wait for the same targets and come first.
            now_ms: Monotonic time.
        """
        waits_ms: list[float] = []
        for target in targets:
            rate_per_s = self._rate_per_s(target)
            if rate_per_s is None:
                return 0
            permits = self._refill(target, rate_per_s, now_ms).permits
            waits_ms.extend(
                max(number - permits, 0) / rate_per_s * MS_PER_S
                for number in range(1, ahead + 2)
            )
        return sorted(waits_ms)[ahead] if waits_ms else 0

    def busy_ratio(self, target: RosterRow, call_ms: float) -> float:
        """Returns the part of the time that permits let a target work.

        Args:
            target: The target.
            call_ms: Time that a call keeps it busy.
        """
        rate_per_s = self._rate_per_s(target)
        if rate_per_s is None:
            return 1
        return min(rate_per_s * call_ms / MS_PER_S, 1)

    def restart(self, targets: Iterable[RosterRow], now_ms: float) -> None:
        """Empties the buckets of targets for which this entry issues now.

        Args:
            targets: The targets.
            now_ms: Monotonic time.
        """
        for target in targets:
            self._buckets.pop(target.target_id, None)
            rate_per_s = self._rate_per_s(target)
            if rate_per_s is not None:
                self._refill(target, rate_per_s, now_ms)

    def _rate_per_s(self, target: RosterRow) -> float | None:
        stated_per_s = self._limits.rate_of(target)
        if stated_per_s is None:
            self._buckets.pop(target.target_id, None)
            return None
        return max(stated_per_s, MIN_RATE_PER_S) * self.share

    def _refill(
        self, target: RosterRow, rate_per_s: float, now_ms: float
    ) -> _Bucket:
        bucket = self._buckets.get(target.target_id)
        if bucket is None or bucket.incarnation != target.incarnation:
            bucket = _Bucket(target.incarnation, now_ms)
            self._buckets[target.target_id] = bucket
        passed_s = max(now_ms - bucket.updated_at_ms, 0) / MS_PER_S
        bucket.updated_at_ms = now_ms
        bucket.capacity = self._limits.burst_of(target, rate_per_s)
        bucket.permits = min(
            bucket.permits + passed_s * rate_per_s, bucket.capacity
        )
        return bucket
