"""Predicted times of the stages of requests."""

from collections.abc import Iterable

from .batch_targets import BatchTargets
from .chains import ENGINE_START_MS, Chain, StageState
from .engine_board import PREFILL_TOKENS_PER_MS
from .plans import FleetView
from .work_times import WorkTimes

# Fill of a call that is assumed when time is predicted.
TYPICAL_FILL = 0.6


class ChainTimes:
    """Predicts from declared and learned times, and from what waits."""

    def __init__(self, targets: BatchTargets) -> None:
        """Starts with the declared times.

        Args:
            targets: Accounts of the batching targets.
        """
        self.work = WorkTimes()
        self.view = FleetView({}, {})
        self._targets = targets

    def predict(self, chain: Chain) -> None:
        """Sets how long each stage will take to the first token.

        Args:
            chain: A request.
        """
        for state in chain.stages.values():
            state.path_ms = self._path_ms(chain, state)

    def chain_ms(self, chain: Chain) -> float:
        """Returns the time that a request needs if nothing else waits."""
        return max(
            (state.path_ms for state in chain.unfinished()),
            default=_engine_ms(chain),
        )

    def least_ms(self, chain: Chain) -> float:
        """Returns a lower bound of the time that a request still needs."""
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

    def backlog_ms(
        self,
        service: str,
        chains: Iterable[Chain],
        now_ms: float,
    ) -> float:
        """Returns how long the work that waits keeps a service busy.

        Args:
            service: A service with targets.
            chains: The requests that were taken in.
            now_ms: Steady time.
        """
        targets = self._targets.of_service(service)
        limits = self.view.batching[service][0]
        call_ms = limits.call_ms / (limits.size * TYPICAL_FILL)
        pieces_ms = sum(
            len(state.missing)
            * (self.work.piece_ms(state.stage.work, limits) + call_ms)
            for chain in chains
            if not chain.granted
            for state in chain.stages.values()
            if state.stage.service == service and not state.done
        )
        quick = [target for target in targets if not target.is_slow(now_ms)]
        used = quick or targets
        busy_ms = sum(target.busy_ms(now_ms) for target in used)
        return (pieces_ms + busy_ms) / len(used)

    def _path_ms(self, chain: Chain, state: StageState) -> float:
        after_ms = max(
            (self._path_ms(chain, other) for other in state.followers),
            default=_engine_ms(chain),
        )
        return self._stage_ms(state) + after_ms

    def _stage_ms(self, state: StageState) -> float:
        known = self.view.batching.get(state.stage.service)
        if known is None:
            return 0
        limits = known[0]
        pieces_ms = self.work.piece_ms(state.stage.work, limits) * limits.size
        return limits.call_ms + pieces_ms * TYPICAL_FILL


def _engine_ms(chain: Chain) -> float:
    tokens = chain.order.prompt.prompt_tokens
    return ENGINE_START_MS + tokens / PREFILL_TOKENS_PER_MS
