"""Predicts the time that requests and their stages take."""

from collections.abc import Mapping, Sequence

from .batch_targets import BatchTarget, BatchTargets
from .call_time_estimator import CallTimeEstimator
from .chains import ENGINE_START_MS, Chain, StageState
from .engine_placer import PREFILL_TOKENS_PER_MS
from .plans import FleetView
from .send_permits import SendPermits
from .serving_configuration import BatchLimits
from .target_speed.target_speeds import FleetSpeeds

# Fill ratio of calls that predictions assume.
ASSUMED_FILL_RATIO = 0.6


class ChainTimeEstimator:
    """Predicts times from declared and learned times and queued work."""

    def __init__(
        self,
        targets: BatchTargets,
        permits: SendPermits,
        speeds: FleetSpeeds | None = None,
    ) -> None:
        """Creates an estimator that has only declared times.

        Args:
            targets: State of the batching targets.
            permits: Permits to send to targets with limits.
            speeds: Speeds of the targets.
        """
        self.permits = permits
        self.call_times = CallTimeEstimator(speeds)
        self.view = FleetView({}, {})
        self._targets = targets

    def predict(self, chain: Chain) -> None:
        """Sets the time from each stage's start to the first token.

        Args:
            chain: A request.
        """
        for state in chain.stages.values():
            state.critical_path_ms = self._critical_path_ms(chain, state)

    def unloaded_time_ms(self, chain: Chain) -> float:
        """Returns the time in ms that a request needs without other load."""
        return max(
            (state.critical_path_ms for state in chain.unfinished()),
            default=_engine_ms(chain),
        )

    def min_remaining_ms(self, chain: Chain) -> float:
        """Returns a lower bound of the time that a request needs, in ms."""
        if chain.running or chain.complete:
            return ENGINE_START_MS
        return ENGINE_START_MS + max(
            (
                self.view.batching[state.stage.service][0].call_ms
                for state in chain.unfinished()
                if state.stage.service in self.view.batching
            ),
            default=0,
        )

    def longest_min_remaining_ms(self) -> float:
        """Returns the longest of all lower bounds for a request, in ms."""
        calls_ms = (limits.call_ms for limits, _ in self.view.batching.values())
        return ENGINE_START_MS + max(calls_ms, default=0)

    def piece_cost_ms(
        self, state: StageState, fill_ratio: float = ASSUMED_FILL_RATIO
    ) -> float:
        """Returns the time that a piece takes from its service, in ms.

        It includes its share of the fixed time of its call.

        Args:
            state: Stage of the piece.
            fill_ratio: Assumed fill ratio of calls.
        """
        batching = self.view.batching.get(state.stage.service)
        if batching is None:
            return 0
        return self._kind_cost_ms(
            state.stage.work_kind, batching[0], fill_ratio
        )

    def backlog_ms(
        self,
        service: str,
        pieces: Mapping[str, int],
        now_ms: float,
    ) -> float:
        """Returns how long queued work keeps a service busy, in ms.

        Args:
            service: A service with targets.
            pieces: Number of pieces that count as queued, by kind of work.
            now_ms: Monotonic time.
        """
        limits = self.view.batching[service][0]
        pieces_ms = sum(
            count * self._kind_cost_ms(work_kind, limits)
            for work_kind, count in pieces.items()
        )
        used = _working_targets(self._targets.of_service(service), now_ms)
        working = self._working_count(used, limits)
        return (pieces_ms + _busy_ms(used, now_ms)) / working

    def capacity(self, service: str, now_ms: float) -> tuple[float, float]:
        """Returns the targets that work, and the time of their calls in ms.

        Targets that failed a call count only if all have.

        Args:
            service: A service with targets.
            now_ms: Monotonic time.
        """
        targets = self._targets.of_service(service)
        sound = [one for one in targets if not one.has_failed(now_ms)]
        used = _working_targets(sound or targets, now_ms)
        limits = self.view.batching[service][0]
        return self._working_count(used, limits), _busy_ms(used, now_ms)

    def _kind_cost_ms(
        self,
        work_kind: str,
        limits: BatchLimits,
        fill_ratio: float = ASSUMED_FILL_RATIO,
    ) -> float:
        call_ms = limits.call_ms / (limits.size * fill_ratio)
        return self.call_times.piece_ms(work_kind, limits) + call_ms

    def _working_count(
        self, used: Sequence[BatchTarget], limits: BatchLimits
    ) -> float:
        """Returns how many targets work that their limits allow to work."""
        full_call_ms = limits.call_ms + limits.piece_ms * limits.size
        return sum(
            self.permits.busy_ratio(target.row, full_call_ms) for target in used
        )

    def _critical_path_ms(self, chain: Chain, state: StageState) -> float:
        after_ms = max(
            (self._critical_path_ms(chain, other) for other in state.followers),
            default=_engine_ms(chain),
        )
        return self._stage_ms(state) + after_ms

    def _stage_ms(self, state: StageState) -> float:
        batching = self.view.batching.get(state.stage.service)
        if batching is None:
            return 0
        limits = batching[0]
        pieces_ms = (
            self.call_times.piece_ms(state.stage.work_kind, limits)
            * limits.size
        )
        return limits.call_ms + pieces_ms * ASSUMED_FILL_RATIO


def _working_targets(
    targets: Sequence[BatchTarget], now_ms: float
) -> Sequence[BatchTarget]:
    """Returns the targets that do the work of those that pause or are slow."""
    awake = [one for one in targets if not one.asked_for_pause(now_ms)]
    quick = [one for one in awake if not one.is_slow(now_ms)]
    return quick or awake or targets


def _busy_ms(targets: Sequence[BatchTarget], now_ms: float) -> float:
    return sum(target.expected_wait_ms(now_ms) for target in targets)


def _engine_ms(chain: Chain) -> float:
    tokens = chain.spec.prompt.prompt_tokens
    return ENGINE_START_MS + tokens / PREFILL_TOKENS_PER_MS
