"""Admission by deadline."""

import collections
import dataclasses
from collections.abc import Sequence
from typing import NamedTuple

from .configuration import Configuration, Organisation, Stage
from .latency import ServiceTimes, TimeQuantiles

# A queue shrinks at a part of the rate at which it is served.
RETRY_AFTER_FACTOR = 2
MIN_RETRY_AFTER_MS = 250


class StageEstimate(NamedTuple):
    """What a stage takes at best, and its wait for a target."""

    best_ms: float
    wait_ms: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """Whether a request may start; if not, when to come back."""

    admitted: bool
    expected_ms: float
    retry_after_ms: float = 0


def decide_admission(
    slack_ms: float,
    needs: Sequence[StageEstimate],
) -> AdmissionDecision:
    """Admits a request unless it can hardly finish in time.

    Args:
        slack_ms: Time to its deadline.
        needs: Its stages.
    """
    expected_ms = sum(need.best_ms + need.wait_ms for need in needs)
    missing_ms = expected_ms - slack_ms
    if missing_ms <= 0:
        return AdmissionDecision(admitted=True, expected_ms=expected_ms)
    return AdmissionDecision(
        admitted=False,
        expected_ms=expected_ms,
        retry_after_ms=max(missing_ms * RETRY_AFTER_FACTOR, MIN_RETRY_AFTER_MS),
    )


@dataclasses.dataclass(slots=True)
class PendingStages:
    """Stages that wait for one service."""

    counts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter,
    )
    weights: dict[str, float] = dataclasses.field(default_factory=dict)
    total_stages: int = 0
    weight: float = 0

    def add(self, organisation: Organisation, count: int) -> None:
        """Changes the stages of an organisation."""
        name = organisation.name
        if name not in self.weights:
            self.weights[name] = organisation.weight
            self.weight += organisation.weight
        self.total_stages += count
        self.counts[name] += count
        if not self.counts[name]:
            self.counts.pop(name)
            self.weight -= self.weights.pop(name)

    def others_weight(self, name: str) -> float:
        """Returns the weight of all that wait but one organisation."""
        return self.weight - self.weights.get(name, 0)


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
        """Changes the number of stages that have yet to start.

        Args:
            service: Service that will run them.
            organisation: Whose they are.
            count: How many come or, if negative, go.
        """
        pending = self._pending.setdefault(service, PendingStages())
        pending.add(organisation, count)

    def is_empty(self, service: str) -> bool:
        """Tells whether no stage has yet to start on a service."""
        pending = self._pending.get(service)
        return pending is None or not pending.total_stages

    def count_ahead(self, service: str, organisation: Organisation) -> float:
        """Returns how many stages go before a new one in fair shares.

        Args:
            service: Service that will run it.
            organisation: Whose it is.
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
    """Splits what remains of a deadline over stages by learned times."""

    def __init__(self, times: ServiceTimes) -> None:
        """Wraps the learned times.

        Args:
            times: Quantiles by service.
        """
        self._times = times

    def time_quantiles(
        self,
        configuration: Configuration,
        service: str,
    ) -> TimeQuantiles:
        """Returns what a service takes.

        Args:
            configuration: Tells what is typical before any was measured.
            service: Name of the service.
        """
        typical_ms = configuration.services[service].typical_ms
        return self._times.time_quantiles(service, typical_ms)

    def best_ms(
        self,
        configuration: Configuration,
        stages: Sequence[Stage],
    ) -> float:
        """Returns the least time that stages take, without waits.

        Args:
            configuration: What the request is pinned to.
            stages: The stages that are left.
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
        """Returns the time to plan stages with under contention.

        Args:
            configuration: What the request is pinned to.
            stages: The stages that are left.
        """
        return sum(
            self.time_quantiles(configuration, stage.service).cautious_ms
            for stage in stages
        )


def estimate_wait_ms(waiting: float, slots: float, service_ms: float) -> float:
    """Returns the wait for a free slot.

    Args:
        waiting: Calls that run or go first.
        slots: Calls that run at once.
        service_ms: Time of one call.
    """
    if slots <= 0:
        return service_ms
    return max(waiting + 1 - slots, 0) / slots * service_ms
