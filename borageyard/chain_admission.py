"""Admits requests that need pieces and an engine, and places them."""

from collections.abc import Collection, Mapping, Sequence

from .batch_targets import BatchTargets
from .call_planner import LARGE_RESULT_BYTES
from .chain_time_estimator import ChainTimeEstimator
from .chains import Chain, ChainSpec, PieceResult
from .engine_placer import EnginePlacer, Placement, PlacementQuery
from .fair_shares.fair_admission import FairAdmission
from .fair_shares.return_times import usable_wait_ms
from .plans import ChainRefusal, Denial, Plan
from .roster import RosterRow
from .waiting_work import WaitingWork

# Share of the time left that the predicted time of a request may take.
MAX_PREDICTED_TIME_SHARE = 0.85
# A request is refused once more of its calls than this have failed.
MAX_FAILED_CALLS = 6
MIN_RETRY_AFTER_MS = 200
# Time in which a crashed target is usually back.
NO_TARGET_RETRY_AFTER_MS = 1000


class ChainAdmission:
    """Refuses at once requests that can't be served by their deadline.

    Designed for bursts beyond the capacity of the targets: a request that
    waits and is refused later costs its caller the time for a retry, and the
    pieces that are run for it are wasted. Less urgent work that is queued
    does not cause a refusal, because it is the work that waits longer.
    """

    def __init__(
        self,
        targets: BatchTargets,
        placer: EnginePlacer,
        times: ChainTimeEstimator,
        work: WaitingWork,
    ) -> None:
        """Creates the admission.

        Args:
            targets: State of the batching targets.
            placer: Places requests on engines.
            times: Predicts the time of requests.
            work: Sums of the work of the requests that were admitted.
        """
        # Set where callers compete.
        self.fair: FairAdmission | None = None
        self._work = work
        self._targets = targets
        self._placer = placer
        self._times = times

    def admit(
        self,
        chain: Chain,
        now_ms: float,
    ) -> Denial | None:
        """Predicts the times of a request; refuses it if they are too long.

        Args:
            chain: The request.
            now_ms: Monotonic time.

        Returns:
            Why it is refused, or None if it is admitted.
        """
        spec = chain.spec
        services = {state.stage.service for state in chain.stages.values()}
        if not self._has_targets(spec, services):
            return Denial(
                spec.chain_id,
                ChainRefusal.NO_TARGET,
                self.retry_after_ms(spec, NO_TARGET_RETRY_AFTER_MS, now_ms),
            )
        self._predict(chain, now_ms)
        permit_wait_ms = self.permit_wait_ms(
            spec,
            now_ms,
            self._work.requests_ahead(spec.engine_service, spec.priority),
        )
        if self.fair is not None:
            return self.fair.admit(chain, permit_wait_ms, now_ms)
        left_ms = spec.deadline_at_ms - now_ms
        wait_ms = max(
            (
                self._times.backlog_ms(
                    service,
                    self._work.pieces_ahead(service, spec.priority),
                    now_ms,
                )
                for service in services
            ),
            default=0,
        )
        needed_ms = max(
            wait_ms + self._times.unloaded_time_ms(chain), permit_wait_ms
        )
        if needed_ms <= left_ms * MAX_PREDICTED_TIME_SHARE:
            return None
        retry_after_ms = max(needed_ms - left_ms / 2, MIN_RETRY_AFTER_MS)
        return Denial(spec.chain_id, ChainRefusal.NO_TIME, retry_after_ms)

    @property
    def share_refusals(self) -> Mapping[str, int]:
        """Returns the refusals for a used share, by the scarce service."""
        return self.fair.share_refusals if self.fair else {}

    def find_unservable_reason(
        self,
        chain: Chain,
        now_ms: float,
    ) -> ChainRefusal | None:
        """Returns why a request can't be served any more, or None if it can.

        Args:
            chain: A request without an engine.
            now_ms: Monotonic time.
        """
        left_ms = chain.spec.deadline_at_ms - now_ms
        if left_ms < self._times.min_remaining_ms(chain):
            return ChainRefusal.NO_TIME
        if chain.failures > MAX_FAILED_CALLS:
            return ChainRefusal.FAILING
        return None

    def place(
        self,
        spec: ChainSpec,
        inputs: Sequence[PieceResult],
        now_ms: float,
    ) -> Placement | None:
        """Returns the best engine for a request, or None if there is none.

        Args:
            spec: What the request needs.
            inputs: Results that the engine will fetch.
            now_ms: Monotonic time.
        """
        inputs_bytes: dict[str, float] = {}
        for result in inputs:
            domain = result.failure_domain
            previous_bytes = inputs_bytes.get(domain, 0)
            inputs_bytes[domain] = previous_bytes + result.size_bytes
        engines = [
            engine
            for engine in self._engines(spec)
            if not self._times.permits.wait_ms(engine, now_ms)
        ]
        preferred = [
            engine for engine in engines if engine.target_id not in spec.avoided
        ]
        query = PlacementQuery(spec.prompt, preferred or engines, inputs_bytes)
        return self._placer.place(query, now_ms)

    def deny_unplaced(
        self, spec: ChainSpec, ahead: int, plan: Plan, now_ms: float
    ) -> Denial | None:
        """Returns the denial of a request for which there is no engine now.

        It is None if the limits of the engines permit the request in time;
        the plan wakes the scheduler then.

        Args:
            spec: What the request needs.
            ahead: Requests that wait for the same engines and come first.
            plan: Plan of the scheduler.
            now_ms: Monotonic time.
        """
        wait_ms = self.permit_wait_ms(spec, now_ms, ahead)
        left_ms = spec.deadline_at_ms - now_ms
        if 0 < wait_ms <= left_ms * MAX_PREDICTED_TIME_SHARE:
            plan.wake_by(now_ms + wait_ms)
            return None
        return Denial(
            spec.chain_id,
            ChainRefusal.NO_TARGET,
            self.retry_after_ms(
                spec, max(wait_ms, NO_TARGET_RETRY_AFTER_MS), now_ms
            ),
        )

    def retry_after_ms(
        self, spec: ChainSpec, wait_ms: float, now_ms: float
    ) -> float:
        """Returns the time that a refused caller is told, in ms.

        Where callers compete, it is never later than callers come back.

        Args:
            spec: What the request needs.
            wait_ms: Time after which it may be served.
            now_ms: Monotonic time.
        """
        if self.fair is None:
            return wait_ms
        return usable_wait_ms(wait_ms, spec.deadline_at_ms - now_ms)

    def permit_wait_ms(
        self, spec: ChainSpec, now_ms: float, ahead: int = 0
    ) -> float:
        """Returns the time until an engine permits a request, in ms.

        Args:
            spec: What the request needs.
            now_ms: Monotonic time.
            ahead: Requests that wait for the same engines and come first.
        """
        engines = self._engines(spec)
        return self._times.permits.queue_wait_ms(engines, ahead, now_ms)

    def _engines(self, spec: ChainSpec) -> Sequence[RosterRow]:
        """Returns the engines that may take a request."""
        engines = self._times.view.engines.get(spec.engine_service, ())
        return [engine for engine in engines if spec.fits(engine)]

    def _has_targets(
        self,
        spec: ChainSpec,
        services: Collection[str],
    ) -> bool:
        return bool(self._engines(spec)) and all(
            self._targets.of_service(service) for service in services
        )

    def _predict(self, chain: Chain, now_ms: float) -> None:
        """Sets expected times, and the domain that will read large results."""
        self._times.predict(chain)
        largest = max(
            (state.stage.result_bytes for state in chain.stages.values()),
            default=0,
        )
        if largest < LARGE_RESULT_BYTES:
            return
        placement = self.place(chain.spec, (), now_ms)
        if placement is not None:
            chain.expected_engine_domain = placement.engine.failure_domain
