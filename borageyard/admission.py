"""Admission control: refuses requests expected to miss their deadline."""

import collections
import dataclasses
from collections.abc import Sequence
from typing import NamedTuple

from .configuration import Configuration, Organisation, Stage
from .latency import ServiceTimes, TimeQuantiles

# A queue shrinks at only a fraction of the rate at which it is served, so the
# delay before a retry is this multiple of the missing time.
RETRY_AFTER_FACTOR = 2
MIN_RETRY_AFTER_MS = 250


class StageEstimate(NamedTuple):
    """Best-case time of a stage and its expected wait for a target."""

    best_ms: float
    wait_ms: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """Whether a request is admitted and, if not, when to retry it."""

    admitted: bool
    expected_ms: float
    retry_after_ms: float = 0


def decide_admission(
    remaining_ms: float,
    estimates: Sequence[StageEstimate],
) -> AdmissionDecision:
    """Admits a request if its expected time fits before its deadline.

    Args:
        remaining_ms: Time until the deadline.
        estimates: Expected times of its stages.

    Returns:
        The decision, with the delay before a retry if it is refused.
    """
    expected_ms = sum(
        estimate.best_ms + estimate.wait_ms for estimate in estimates
    )
    missing_ms = expected_ms - remaining_ms
    if missing_ms <= 0:
        return AdmissionDecision(admitted=True, expected_ms=expected_ms)
    return AdmissionDecision(
        admitted=False,
        expected_ms=expected_ms,
        retry_after_ms=max(missing_ms * RETRY_AFTER_FACTOR, MIN_RETRY_AFTER_MS),
    )


@dataclasses.dataclass(slots=True)
class PendingStages:
    """Stages of one service that have not started, by organisation."""

    counts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter,
    )
    weights: dict[str, float] = dataclasses.field(default_factory=dict)
    total_stages: int = 0
    total_weight: float = 0

    def add(self, organisation: Organisation, count: int) -> None:
        """Adds stages of an organisation; a negative count removes them."""
        name = organisation.name
        if name not in self.weights:
            self.weights[name] = organisation.weight
            self.total_weight += organisation.weight
        self.total_stages += count
        self.counts[name] += count
        if not self.counts[name]:
            self.counts.pop(name)
            self.total_weight -= self.weights.pop(name)

    def others_weight(self, name: str) -> float:
        """Returns the total weight of the other organisations with stages."""
        return self.total_weight - self.weights.get(name, 0)


class Backlog:
    """Admitted stages that have not started, by service and organisation."""

    def __init__(self) -> None:
        """Starts empty."""
        self._pending: dict[str, PendingStages] = {}

    def add(
        self,
        service: str,
        organisation: Organisation,
        count: int,
    ) -> None:
        """Adds stages that have yet to start, or removes them.

        Args:
            service: Service that will run them.
            organisation: Organisation that they belong to.
            count: Number of stages to add; negative to remove them.
        """
        pending = self._pending.setdefault(service, PendingStages())
        pending.add(organisation, count)

    def is_empty(self, service: str) -> bool:
        """Returns whether a service has no stage that has yet to start."""
        pending = self._pending.get(service)
        return pending is None or not pending.total_stages

    def count_ahead(self, service: str, organisation: Organisation) -> float:
        """Estimates how many stages start before a new one in a fair queue.

        Args:
            service: Service that will run it.
            organisation: Organisation that it belongs to.
        """
        pending = self._pending.get(service)
        if pending is None:
            return 0
        name = organisation.name
        own = pending.counts[name]
        others = pending.total_stages - own
        fair = (own + 1) * pending.others_weight(name) / organisation.weight
        return own + min(others, fair)


class StagePlanner:
    """Estimates how much time stages need before the deadline."""

    def __init__(self, times: ServiceTimes) -> None:
        """Initializes the planner.

        Args:
            times: Learned time quantiles by service.
        """
        self._times = times

    def time_quantiles(
        self,
        configuration: Configuration,
        service: str,
    ) -> TimeQuantiles:
        """Returns the time quantiles of a service.

        Args:
            configuration: Supplies the typical time to use while the
                service has too few samples.
            service: Name of the service.
        """
        typical_ms = configuration.services[service].typical_ms
        return self._times.time_quantiles(service, typical_ms)

    def best_ms(
        self,
        configuration: Configuration,
        stages: Sequence[Stage],
    ) -> float:
        """Returns the summed best-case time of stages, without waits.

        Args:
            configuration: Configuration that the request is pinned to.
            stages: Stages that have yet to run.
        """
        return sum(
            self.time_quantiles(configuration, stage.service).best_ms
            for stage in stages
        )

    def cautious_ms(
        self,
        configuration: Configuration,
        stages: Sequence[Stage],
    ) -> float:
        """Returns the summed time to plan for stages under contention.

        Args:
            configuration: Configuration that the request is pinned to.
            stages: Stages that have yet to run.
        """
        return sum(
            self.time_quantiles(configuration, stage.service).cautious_ms
            for stage in stages
        )


def estimate_wait_ms(waiting: float, slots: float, service_ms: float) -> float:
    """Returns the expected wait for a free slot in milliseconds.

    Args:
        waiting: Calls that are running or start earlier.
        slots: Number of calls that run concurrently.
        service_ms: Duration of one call; also returned if there are no slots.
    """
    if slots <= 0:
        return service_ms
    return max(waiting + 1 - slots, 0) / slots * service_ms
