"""Admission by deadline."""

import collections
import dataclasses
from collections.abc import Mapping, Sequence

from .configuration import Configuration, Organisation, Stage
from .latency import ServiceTimes

# Quantiles of a stage's time: that of a usual call, one to plan with while
# others wait for the same targets, and one to hope for while none does.
PLANNED_SHARE = 0.5
CAUTIOUS_SHARE = 0.75
BEST_SHARE = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class StageNeed:
    """What a stage is expected to take."""

    best_ms: float
    cautious_ms: float
    wait_ms: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """Whether a request may start; if not, when to come back."""

    admitted: bool
    expected_ms: float
    retry_after_ms: float = 0


def decide_admission(
    slack_ms: float,
    needs: Sequence[StageNeed],
) -> AdmissionDecision:
    """Admits a request if it is expected to finish in time.

    While nobody waits a request may try its luck; under contention it would
    take the place of one that is surer to finish.

    Args:
        slack_ms: Time to its deadline.
        needs: Its stages.
    """
    expected_ms = sum(need.best_ms for need in needs)
    waiting_ms = sum(need.wait_ms for need in needs)
    if waiting_ms:
        expected_ms = waiting_ms + sum(need.cautious_ms for need in needs)
    missing_ms = expected_ms - slack_ms
    if missing_ms <= 0:
        return AdmissionDecision(admitted=True, expected_ms=expected_ms)
    return AdmissionDecision(
        admitted=False,
        expected_ms=expected_ms,
        retry_after_ms=missing_ms,
    )


class Backlog:
    """Admitted stages that have not started, by service and organisation."""

    def __init__(self) -> None:
        """Starts empty."""
        self._pending: dict[str, collections.Counter[str]] = {}

    def add(self, service: str, organisation: str, count: int) -> None:
        """Changes the number of stages that have yet to start.

        Args:
            service: Service that will run them.
            organisation: Whose they are.
            count: How many come or, if negative, go.
        """
        pending = self._pending.setdefault(service, collections.Counter())
        pending[organisation] += count
        if pending[organisation] <= 0:
            pending.pop(organisation)

    def ahead(
        self,
        service: str,
        organisation: str,
        organisations: Mapping[str, Organisation],
    ) -> float:
        """Returns how many stages go before a new one in fair shares.

        Args:
            service: Service that will run it.
            organisation: Whose it is.
            organisations: All organisations with their weights.
        """
        pending = self._pending.get(service)
        if not pending:
            return 0
        own = pending[organisation]
        scale = (own + 1) / organisations[organisation].weight
        return own + sum(
            min(count, scale * organisations[name].weight)
            for name, count in pending.items()
            if name != organisation and name in organisations
        )


class StagePlanner:
    """Splits what remains of a deadline over stages by learned times."""

    def __init__(self, times: ServiceTimes) -> None:
        """Wraps the learned times.

        Args:
            times: Quantiles by service.
        """
        self._times = times

    def service_ms(
        self,
        configuration: Configuration,
        service: str,
        share: float = PLANNED_SHARE,
    ) -> float:
        """Returns a quantile of a service's time.

        Args:
            configuration: Tells what is typical before any was measured.
            service: Name of the service.
            share: Which quantile.
        """
        typical_ms = configuration.services[service].typical_ms
        return self._times.quantile_ms(service, share, typical_ms)

    def stages_ms(
        self,
        configuration: Configuration,
        stages: Sequence[Stage],
        share: float = BEST_SHARE,
    ) -> float:
        """Returns the time that stages take, without waits.

        Args:
            configuration: What the request is pinned to.
            stages: The stages that are left.
            share: Which quantile of each stage's time.
        """
        return sum(
            self.service_ms(configuration, stage.service, share)
            for stage in stages
        )


def wait_ms(waiting: float, slots: float, service_ms: float) -> float:
    """Returns the wait for a free slot.

    Args:
        waiting: Calls that run or go first.
        slots: Calls that run at once.
        service_ms: Time of one call.
    """
    if slots <= 0:
        return service_ms
    return max(waiting + 1 - slots, 0) / slots * service_ms
