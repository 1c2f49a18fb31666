"""Policy of an entry: routing, admission, hedging and quarantine.

The policy combines the decision modules that a request depends on and feeds
them with the results of its attempts.
"""

import dataclasses
import hashlib
import json
import math
from collections.abc import Iterable, Sequence

from .admission import Backlog, StageEstimate, StagePlanner, estimate_wait_ms
from .affinity import PrefixAffinity
from .backing_services import ROLE_ENTRY, STATE_LIVE, Instance
from .capacity import ServiceCapacity
from .clock import Clock
from .configuration import Stage
from .costs import CostAccounts, CostKey, StageCost, WasteReason
from .ejection import OutlierDetector
from .errors import ErrorKind, Refusal, RefusalError
from .events import Event, log_event
from .latency import ServiceTimes
from .limits import OrganisationLimits
from .quarantine import CrashQuarantine, QuarantineStatus
from .requests import AdmittedRequest, StageRequest
from .retries import RetryBudgets
from .routing import PredictedFinishRouter, Route, RouteQuery, Router
from .service_queue import PlacementRequest, ServiceQueues
from .target_client import FailureKind, TargetAnswer, TargetError
from .targets import TargetDirectory, TargetState

# A hedge is sent after this quantile of the service time, times the factor.
HEDGE_QUANTILE = 0.95
HEDGE_DELAY_FACTOR = 1.5
# No hedge is sent to a target whose load is above this share of its slots.
MAX_HEDGE_LOAD_SHARE = 0.75


@dataclasses.dataclass(frozen=True, slots=True)
class PolicyOptions:
    """Parts of the policy that experiments replace or turn off."""

    router: Router | None = None
    admission: bool = True
    hedging: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class PolicyEnvironment:
    """Location, clock and random seed of the entry."""

    failure_domain: str
    clock: Clock
    seed: int = 0


class EntryPolicy:
    """Learned state of an entry and the decisions that are based on it."""

    def __init__(
        self,
        directory: TargetDirectory,
        environment: PolicyEnvironment,
        options: PolicyOptions,
    ) -> None:
        """Creates the policy without any learned state.

        Args:
            directory: Known targets.
            environment: Location, clock and random seed of the entry.
            options: Overrides for experiments.
        """
        self.directory = directory
        self.options = options
        self.clock = environment.clock
        self.times = ServiceTimes()
        self.planner = StagePlanner(self.times)
        self.backlog = Backlog()
        self.capacity = ServiceCapacity(directory)
        self.affinity = PrefixAffinity()
        self.limits = OrganisationLimits()
        self.retries = RetryBudgets()
        self.outliers = OutlierDetector()
        self.quarantine = CrashQuarantine()
        self.costs = CostAccounts()
        router = options.router or PredictedFinishRouter(
            environment.failure_domain,
            self.affinity,
            environment.seed,
        )
        self.queues = ServiceQueues(
            directory,
            router,
            self.outliers,
            environment.clock,
        )

    def note_instances(self, rows: Sequence[Instance]) -> None:
        """Updates the number of live entries from the instance list.

        Args:
            rows: Rows of the list. Without a live entry among them nothing
                changes.
        """
        live = [
            row
            for row in rows
            if row.role == ROLE_ENTRY and row.state == STATE_LIVE
        ]
        if live:
            self.limits.note_entries(len(live))

    def placement_request(
        self,
        stage_request: StageRequest,
        excluded: Sequence[str] = (),
    ) -> PlacementRequest:
        """Returns the request by which a stage queues for a slot on a target.

        Args:
            stage_request: The stage.
            excluded: Ids of targets on which the stage has failed.
        """
        admitted = stage_request.admitted
        stage = stage_request.stage
        configuration = admitted.configuration
        service = configuration.services[stage.service]
        remaining_work_ms = self.planner.cautious_ms(
            configuration,
            _stages_from(stage_request),
        )
        quantiles = self.planner.time_quantiles(configuration, stage.service)
        return PlacementRequest(
            service=stage.service,
            organisation=admitted.request.organisation,
            weight=admitted.organisation.weight,
            latest_start_ms=admitted.request.expires_at_ms - remaining_work_ms,
            query=RouteQuery(
                now_ms=self.clock.steady_ms(),
                typical_ms=quantiles.planned_ms,
                excluded=excluded,
                cache_prefix=admitted.request.cache_prefix,
                model=service.model,
                model_version=configuration.model_version(service),
                entries=self.limits.entries,
            ),
        )

    def latest_start_ms(self, stage_request: StageRequest) -> float:
        """Returns the time after which the deadline is expected to be missed.

        The time is in milliseconds of the monotonic clock. It leaves room for
        this stage and those after it to run in their best times.
        """
        admitted = stage_request.admitted
        remaining_work_ms = self.planner.best_ms(
            admitted.configuration,
            _stages_from(stage_request),
        )
        return admitted.request.expires_at_ms - remaining_work_ms

    def stage_deadline_ms(self, stage_request: StageRequest) -> float:
        """Returns the time by which a stage must end for a useful answer.

        The time is in milliseconds of the monotonic clock. It leaves room for
        the later stages to run in their best times. A non-idempotent stage
        has until the deadline of the request.
        """
        admitted = stage_request.admitted
        expires_at_ms = admitted.request.expires_at_ms
        if not stage_request.idempotent:
            return expires_at_ms
        later = _stages_from(stage_request)[1:]
        return expires_at_ms - self.planner.best_ms(
            admitted.configuration,
            later,
        )

    def stage_estimates(self, admitted: AdmittedRequest) -> list[StageEstimate]:
        """Returns the estimated run and wait time of each stage of a request.

        Args:
            admitted: The request.
        """
        now_ms = self.clock.steady_ms()
        return [
            self._stage_estimate(admitted, stage.service, now_ms)
            for stage in admitted.pipeline.stages
        ]

    def note_answer(
        self,
        stage_request: StageRequest,
        target: TargetState,
        answer: TargetAnswer,
        duration_ms: float,
    ) -> None:
        """Updates the learned state from a complete answer.

        Args:
            stage_request: The stage that was run.
            target: Target that ran it.
            answer: The answer of the target.
            duration_ms: Time from sending the call to the complete answer.
        """
        now_ms = self.clock.steady_ms()
        service = stage_request.stage.service
        self.times.note(service, duration_ms)
        target.note_duration(duration_ms)
        peers = self.directory.candidates(service)
        if self.outliers.note_success(target, peers, now_ms):
            _log_ejection(target, 'slow')
        prefix = stage_request.admitted.request.cache_prefix
        if prefix and (answer.cached_tokens or answer.tokens):
            self.affinity.note_answer(
                target.target_id,
                prefix,
                answer.cached_tokens,
                now_ms,
            )
        cost = StageCost(duration_ms, answer.tokens, answer.cached_tokens)
        keyed_cost = (cost_key(stage_request), cost)
        stage_request.admitted.progress.stage_costs.append(keyed_cost)

    def note_failure(
        self,
        admitted: AdmittedRequest,
        route: Route,
        error: TargetError,
    ) -> None:
        """Updates the learned state from a failed attempt.

        Args:
            admitted: The request of the attempt.
            route: Route on which it failed.
            error: Kind and reason of the failure.
        """
        now_ms = self.clock.steady_ms()
        target = route.target
        if error.kind is FailureKind.CRASH:
            digest = request_digest(admitted, target.instance.service)
            self.quarantine.note_crash(digest, now_ms, isolated=route.isolated)
        if self.outliers.note_failure(target, error.kind, now_ms):
            _log_ejection(target, error.kind.value)
        if error.kind is FailureKind.CONNECT:
            self.affinity.forget_target(target.target_id)

    def note_wasted(
        self,
        stage_request: StageRequest,
        duration_ms: float,
        waste_reason: WasteReason,
    ) -> None:
        """Accounts for an attempt that did not produce the stage's result.

        Args:
            stage_request: The stage.
            duration_ms: Time that the attempt took.
            waste_reason: Why it was wasted.
        """
        cost = StageCost(duration_ms)
        self.costs.note_wasted(cost_key(stage_request), cost, waste_reason)

    def hedge_delay_ms(self, stage_request: StageRequest) -> float:
        """Returns how long to wait for an answer before sending a hedge."""
        stage = stage_request.stage
        late_ms = self.times.quantile_ms(
            stage.service,
            HEDGE_QUANTILE,
            stage.timeout_ms,
        )
        return HEDGE_DELAY_FACTOR * late_ms

    def acquire_hedge_route(
        self,
        stage_request: StageRequest,
        route: Route,
    ) -> Route | None:
        """Acquires a route for a hedge, if budget, time and load allow it.

        Args:
            stage_request: The stage that is late.
            route: Route of its first attempt, whose target is excluded.

        Returns:
            The route, which the caller must release, or ``None``.
        """
        service = stage_request.stage.service
        if self.queues.waiting(service):
            return None
        remaining_ms = self.stage_deadline_ms(stage_request)
        remaining_ms -= self.clock.steady_ms()
        quantiles = self.planner.time_quantiles(
            stage_request.admitted.configuration,
            service,
        )
        if remaining_ms < quantiles.planned_ms:
            return None
        placement_request = self.placement_request(
            stage_request, (route.target.target_id,)
        )
        hedge_route = self.queues.try_acquire(placement_request)
        if hedge_route is None:
            return None
        if not self._may_hedge_on(hedge_route.target):
            self.queues.release(hedge_route)
            return None
        log_event(
            Event.HEDGE_SENT,
            request_id=stage_request.admitted.request.request_id,
            stage=stage_request.stage.name,
            target_id=hedge_route.target.target_id,
        )
        return hedge_route

    def quarantine_status(
        self,
        admitted: AdmittedRequest,
        service: str,
    ) -> QuarantineStatus:
        """Returns whether a request is suspected of crashing targets.

        Args:
            admitted: The request.
            service: Name of the service of the targets.
        """
        if self.quarantine.is_empty:
            return QuarantineStatus.CLEAR
        digest = request_digest(admitted, service)
        return self.quarantine.status(digest, self.clock.steady_ms())

    def refuse_quarantined(
        self,
        admitted: AdmittedRequest,
        services: Iterable[str],
    ) -> None:
        """Refuses a request that is quarantined for crashing targets.

        Args:
            admitted: The request.
            services: Names of the services that it still needs.

        Raises:
            RefusalError: If it is quarantined for one of them.
        """
        for service in services:
            if (
                self.quarantine_status(admitted, service)
                is QuarantineStatus.QUARANTINED
            ):
                raise RefusalError(self._quarantine_refusal(admitted, service))

    def _may_hedge_on(self, target: TargetState) -> bool:
        load = target.load(self.clock.steady_ms())
        if load > target.slots * MAX_HEDGE_LOAD_SHARE:
            return False
        return self.retries.take_hedge(target.instance.service)

    def _quarantine_refusal(
        self, admitted: AdmittedRequest, service: str
    ) -> Refusal:
        digest = request_digest(admitted, service)
        now_ms = self.clock.steady_ms()
        left_ms = self.quarantine.remaining_ms(digest, now_ms)
        log_event(
            Event.REQUEST_QUARANTINED,
            request_id=admitted.request.request_id,
            service=service,
            digest=digest,
            left_ms=left_ms,
        )
        return Refusal(
            ErrorKind.QUARANTINED,
            detail=service,
            retry_after_ms=math.ceil(left_ms),
        )

    def _stage_estimate(
        self,
        admitted: AdmittedRequest,
        service: str,
        now_ms: float,
    ) -> StageEstimate:
        quantiles = self.planner.time_quantiles(admitted.configuration, service)
        usage = self.capacity.usage(service, self.limits.entries, now_ms)
        ahead = usage.running
        if not self.backlog.is_empty(service):
            ahead += self.backlog.count_ahead(service, admitted.organisation)
        if ahead < usage.slots:
            return StageEstimate(quantiles.best_ms)
        return StageEstimate(
            quantiles.best_ms,
            estimate_wait_ms(ahead, usage.slots, quantiles.planned_ms),
        )


def _stages_from(stage_request: StageRequest) -> Sequence[Stage]:
    """Returns a stage and the stages after it."""
    stages = stage_request.admitted.pipeline.stages
    return stages[stages.index(stage_request.stage) :]


def cost_key(stage_request: StageRequest) -> CostKey:
    """Returns the key of the account to which a stage is charged."""
    request = stage_request.admitted.request
    return CostKey(
        organisation=request.organisation,
        pipeline=request.pipeline,
        stage=stage_request.stage.name,
    )


def request_digest(admitted: AdmittedRequest, service: str) -> str:
    """Returns the digest under which crashes by a request are counted.

    Args:
        admitted: The request.
        service: Name of the service whose targets may crash.

    Returns:
        SHA-256 in hexadecimal; equal bodies for the same pipeline and service
        have the same digest.
    """
    request = admitted.request
    parts = (service, request.pipeline, request.body)
    canonical = json.dumps(parts, sort_keys=True)
    return hashlib.sha256(canonical.encode()).hexdigest()


def _log_ejection(target: TargetState, reason: str) -> None:
    log_event(
        Event.TARGET_EJECTED,
        target_id=target.target_id,
        reason=reason,
    )
