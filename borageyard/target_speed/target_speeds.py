"""Steady speeds and present slowdowns of targets."""

import collections
import dataclasses
import math
import statistics
from collections.abc import Iterable, Mapping, Sequence

from ..roster import RosterRow

# A learned speed stays within this factor of the declared one.
MAX_SPEED_FACTOR = 8
# Runs that a speed is learned from, and the least number of them.
MAX_SAMPLES = 32
MIN_SAMPLES = 12
# Least standard deviation of a run that is assumed. A few runs may agree by
# chance.
MIN_DEVIATION = 0.2
# Learned speeds are used from the larger of these ratios between two targets
# on, until it falls below the smaller one.
ACTIVATION_RATIO = 1.5
DEACTIVATION_RATIO = 1.25
# Targets that are gone whose speeds are remembered.
MAX_GONE = 256
# Standard errors by which a learned speed may be off in that comparison. With
# 70 targets of the same speed, the extremes are 2.4 of them away from it.
COMPARED_ERRORS = 2
# Standard error of a median relative to that of a mean, and the interquartile
# range in standard deviations, both for a normal distribution.
MEDIAN_ERROR_FACTOR = 1.25
QUARTILE_RANGE = 1.35
# A run says nothing about the steady speed if its target states that work
# takes longer or shorter than usual by more than this share.
USUAL_TOLERANCE = 0.1
# Time over which a stated slowdown falls linearly to none. Slowdowns by other
# tenants of a machine last about 600 ms, and the figure changes many times a
# second.
STATED_TTL_MS = 600
# Largest slowdown that counts. A figure below 1 counts as 1, so that one good
# report does not attract everything.
MAX_STATED_RATIO = 10


@dataclasses.dataclass(frozen=True, slots=True)
class EngineStart:
    """The first event of an answer, as the entry that relays it saw it."""

    engine_id: str
    # Time from the send to the first event; None if it says nothing about the
    # engine, as in a stream that is resumed.
    after_ms: float | None = None
    # Slowdown that the engine stated.
    slowdown_ratio: float | None = None


@dataclasses.dataclass(slots=True)
class _TargetSpeed:
    incarnation: int
    # Logarithms of the observed time relative to the expected one.
    samples: collections.deque[float] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_SAMPLES)
    )
    # Median of the samples, its standard error and the slowdown that it means;
    # None before it is learned.
    median: float | None = None
    error: float = 0
    slowdown: float | None = None
    stated_ratio: float = 1
    stated_at_ms: float = -math.inf

    def note_sample(self, sample: float) -> None:
        """Adds a sample and learns from all of them."""
        self.samples.append(sample)
        if len(self.samples) < MIN_SAMPLES:
            return
        lower, median, upper = statistics.quantiles(self.samples, n=4)
        deviation = max((upper - lower) / QUARTILE_RANGE, MIN_DEVIATION)
        self.median = median
        self.slowdown = math.exp(median)
        self.error = (
            MEDIAN_ERROR_FACTOR * deviation / math.sqrt(len(self.samples))
        )

    def present_ratio(self, now_ms: float) -> float:
        """Returns the stated slowdown, which fades with its age."""
        age_ms = max(now_ms - self.stated_at_ms, 0)
        weight = max(1 - age_ms / STATED_TTL_MS, 0)
        return 1 + (self.stated_ratio - 1) * weight


class TargetSpeeds:
    """How long work takes on each target of a service.

    Designed for targets of different hardware on shared machines. The steady
    speed comes from completed runs and lasts as long as the process; the
    slowdown that a target states now fades within a second and is never mixed
    into the steady speed. As long as no target states a slowdown and the
    speeds are alike, all factors are exactly 1.
    """

    def __init__(self) -> None:
        """Creates speeds that are all as declared."""
        self._targets: dict[str, _TargetSpeed] = {}
        self._gone: dict[str, _TargetSpeed] = {}
        self._stated = False
        self._differ = False
        # Factor of targets whose speed is not learned yet.
        self._typical: float = 1

    @property
    def active(self) -> bool:
        """Returns whether speeds are used at all."""
        return self._stated or self._differ

    @property
    def stated(self) -> bool:
        """Returns whether targets state the slowdowns of their machines."""
        return self._stated

    def note_run(
        self, target_id: str, incarnation: int, work: float, took_ms: float
    ) -> None:
        """Learns from a run that did not wait for others.

        Args:
            target_id: The target.
            incarnation: Its start; an earlier one is forgotten.
            work: Time that the run takes at the declared speed, in ms.
            took_ms: Time that it took.
        """
        if not (work > 0 and 0 < took_ms < math.inf):
            return
        target = self._target(target_id, incarnation)
        if target is None:
            return
        bound = math.log(MAX_SPEED_FACTOR)
        sample = math.log(took_ms / work)
        target.note_sample(min(max(sample, -bound), bound))
        self._compare()

    def note_stated(
        self, target_id: str, slowdown_ratio: float | None, now_ms: float
    ) -> None:
        """Records how long work takes at present, by what a target states.

        Args:
            target_id: The target.
            slowdown_ratio: Multiple of the usual time; None if it was not
                stated.
            now_ms: Monotonic time.
        """
        if slowdown_ratio is None or not math.isfinite(slowdown_ratio):
            return
        self._stated = True
        target = self._targets.setdefault(target_id, _TargetSpeed(0))
        target.stated_ratio = min(max(slowdown_ratio, 1), MAX_STATED_RATIO)
        target.stated_at_ms = now_ms

    def slowdown(self, target_id: str, now_ms: float) -> float:
        """Returns the time that work takes, relative to the declared one.

        Args:
            target_id: The target.
            now_ms: Monotonic time.
        """
        if not self.active:
            return 1
        target = self._targets.get(target_id)
        if target is None:
            return self._typical
        steady = target.slowdown
        if steady is None:
            steady = self._typical
        return steady * target.present_ratio(now_ms)

    def relative_slowdown(self, target_id: str, now_ms: float) -> float:
        """Returns the time that work takes, relative to a typical target.

        Args:
            target_id: The target.
            now_ms: Monotonic time.
        """
        if not self.active:
            return 1
        return self.slowdown(target_id, now_ms) / self._typical

    def present_ratio(self, target_id: str, now_ms: float) -> float:
        """Returns only the slowdown that a target states at present.

        Args:
            target_id: The target.
            now_ms: Monotonic time.
        """
        target = self._targets.get(target_id)
        return 1 if target is None else target.present_ratio(now_ms)

    def highest_present(self, now_ms: float) -> float:
        """Returns the highest slowdown that a target states at present.

        Args:
            now_ms: Monotonic time.
        """
        return max(
            (one.present_ratio(now_ms) for one in self._targets.values()),
            default=1,
        )

    def keep(self, rows: Iterable[RosterRow]) -> None:
        """Leaves out targets that are gone, and forgets earlier incarnations.

        Targets of an evacuated failure domain come back as they were, so the
        speeds of some that are gone are remembered.

        Args:
            rows: The targets of the service.
        """
        listed = {row.target_id: row.incarnation for row in rows}
        for target_id in self._targets.keys() - listed.keys():
            self._gone[target_id] = self._targets.pop(target_id)
            if len(self._gone) > MAX_GONE:
                self._gone.pop(next(iter(self._gone)))
        for back_id in self._gone.keys() & listed.keys():
            self._targets.setdefault(back_id, self._gone.pop(back_id))
        for known_id in tuple(self._targets):
            self._target(known_id, listed[known_id])
        self._compare()

    def _target(self, target_id: str, incarnation: int) -> _TargetSpeed | None:
        """Returns the state of an incarnation; None if a later one is known."""
        target = self._targets.get(target_id)
        if target is None or target.incarnation < incarnation:
            target = _TargetSpeed(incarnation)
            self._targets[target_id] = target
        return target if target.incarnation == incarnation else None

    def _compare(self) -> None:
        """Decides whether the learned speeds differ, and which is typical."""
        slowest = -math.inf
        quickest = math.inf
        medians: list[float] = []
        for target in self._targets.values():
            if target.median is not None:
                margin = COMPARED_ERRORS * target.error
                slowest = max(slowest, target.median - margin)
                quickest = min(quickest, target.median + margin)
                medians.append(target.median)
        ratio = DEACTIVATION_RATIO if self._differ else ACTIVATION_RATIO
        self._differ = slowest - quickest > math.log(ratio)
        self._typical = math.exp(statistics.median(medians)) if medians else 1


class FleetSpeeds:
    """The speeds of the targets of all services."""

    def __init__(self) -> None:
        """Creates speeds that are all as declared."""
        self._services: dict[str, TargetSpeeds] = {}
        self._reported: frozenset[str] = frozenset()

    def of_service(self, service: str) -> TargetSpeeds:
        """Returns the speeds of the targets of a service."""
        speeds = self._services.get(service)
        if speeds is None:
            speeds = TargetSpeeds()
            self._services[service] = speeds
        return speeds

    def slowdown(self, row: RosterRow, now_ms: float) -> float:
        """Returns the time that work takes on a target, relative to declared.

        Args:
            row: The target.
            now_ms: Monotonic time.
        """
        return self.of_service(row.service).slowdown(row.target_id, now_ms)

    def note_stated(
        self, row: RosterRow, slowdown_ratio: float | None, now_ms: float
    ) -> None:
        """Records what a target states of its machine.

        Args:
            row: The target.
            slowdown_ratio: Multiple of the usual time; None if not stated.
            now_ms: Monotonic time.
        """
        self.of_service(row.service).note_stated(
            row.target_id, slowdown_ratio, now_ms
        )

    def keep(self, rows: Mapping[str, Sequence[RosterRow]]) -> None:
        """Forgets targets that are gone, and speeds of earlier incarnations.

        Args:
            rows: Targets by service.
        """
        for service, speeds in self._services.items():
            speeds.keep(rows.get(service, ()))

    def highest_present(self, now_ms: float) -> Mapping[str, float]:
        """Returns the highest stated slowdown of each service.

        Args:
            now_ms: Monotonic time.
        """
        return {
            service: speeds.highest_present(now_ms)
            for service, speeds in self._services.items()
            if speeds.active
        }

    def take_changes(self) -> Mapping[str, bool]:
        """Returns the services for which speeds began or ceased to be used.

        Each change is returned once.
        """
        active = frozenset(
            service
            for service, speeds in self._services.items()
            if speeds.active
        )
        changed = {
            service: service in active for service in active ^ self._reported
        }
        self._reported = active
        return changed


def is_usual(slowdown_ratio: float | None) -> bool:
    """Returns whether a target states that work takes about its usual time.

    Args:
        slowdown_ratio: Multiple of the usual time; None if not stated.
    """
    return slowdown_ratio is None or abs(slowdown_ratio - 1) <= USUAL_TOLERANCE
