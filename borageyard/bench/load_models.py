"""Models of batch targets and engines for load replays."""

import dataclasses
import random
from collections.abc import Callable, Sequence

from ..batch_targets import BatchCall
from ..chains import PieceId, PieceResult
from ..clock import MS_PER_S
from ..engine_placer import PREFILL_TOKENS_PER_MS, Prompt
from ..roster import RosterRow
from ..serving_configuration import BatchLimits

# Time of an engine from the end of the prefill to the first token.
FIRST_TOKEN_MS = 64
# The duration of a call varies at random by up to this share of the declared
# one.
JITTER = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class CallResult:
    """Results of a call and the virtual time at which it ends."""

    results: dict[PieceId, PieceResult]
    end_ms: float
    duration_ms: float
    no_room: int


class BatchTargetModel:
    """A target that runs one call at a time and stores results."""

    def __init__(self, row: RosterRow, limits: BatchLimits) -> None:
        """Creates an idle target without results.

        Args:
            row: Its row in the roster.
            limits: Declared batch limits and durations.
        """
        self.row = row
        self.limits = limits
        self.down_until_ms: float = 0
        # Compute time of each result that nobody has read, by handle.
        self.unread_ms: dict[str, float] = {}
        self._stored: dict[str, tuple[float, float]] = {}
        self._slow_until_ms: float = 0
        self._slowdown: float = 1
        self._busy_until_ms: float = 0
        self._result_count = 0

    def crash(self, until_ms: float) -> None:
        """Drops all results and fails calls until a virtual time."""
        self.down_until_ms = until_ms
        self._stored.clear()

    def slow_down(self, factor: float, until_ms: float) -> None:
        """Multiplies the duration of calls by a factor until a virtual time."""
        self._slowdown = factor
        self._slow_until_ms = until_ms

    def free(self, handle: str) -> None:
        """Frees a result."""
        self._stored.pop(handle, None)

    def holds(self, handle: str, now_ms: float) -> bool:
        """Returns whether a result is stored and has not expired."""
        stored = self._stored.get(handle)
        return stored is not None and stored[1] > now_ms

    def run(
        self,
        call: BatchCall,
        piece_ms: Callable[[PieceId], float],
        now_ms: float,
        rng: random.Random,
    ) -> CallResult:
        """Runs a call after the calls that were accepted before it.

        Pieces that can't be run and pieces whose results don't fit into the
        result memory are left out.

        Args:
            call: The call.
            piece_ms: Returns the duration of a piece; negative if it can't be
                run.
            now_ms: Virtual time.
            rng: Seeded random source.

        Returns:
            Results of the pieces that were run, the end and duration of the
            call, and the number of pieces without room.
        """
        free_bytes = self._free_bytes(now_ms)
        duration_ms = self.limits.call_ms
        fitting: list[int] = []
        no_room = 0
        for index, piece in enumerate(call.pieces):
            piece_duration_ms = piece_ms(piece)
            if piece_duration_ms < 0:
                continue
            if call.sizes_bytes[index] > free_bytes:
                no_room += 1
                continue
            free_bytes -= call.sizes_bytes[index]
            duration_ms += piece_duration_ms
            fitting.append(index)
        duration_ms *= rng.uniform(1 - JITTER, 1 + JITTER)
        if self._slow_until_ms > now_ms:
            duration_ms *= self._slowdown
        end_ms = max(now_ms, self._busy_until_ms) + duration_ms
        self._busy_until_ms = end_ms
        results = self._store_results(call, fitting, duration_ms, end_ms)
        return CallResult(results, end_ms, duration_ms, no_room)

    def _free_bytes(self, now_ms: float) -> float:
        self._stored = {
            handle: stored
            for handle, stored in self._stored.items()
            if stored[1] > now_ms
        }
        held_bytes = sum(size_bytes for size_bytes, _ in self._stored.values())
        return self.limits.result_memory_bytes - held_bytes

    def _store_results(
        self,
        call: BatchCall,
        fitting: Sequence[int],
        duration_ms: float,
        end_ms: float,
    ) -> dict[PieceId, PieceResult]:
        results: dict[PieceId, PieceResult] = {}
        for index in fitting:
            self._result_count += 1
            handle = '/'.join((self.row.address, str(self._result_count)))
            size_bytes = call.sizes_bytes[index]
            self._stored[handle] = (size_bytes, end_ms + self.limits.keep_ms)
            self.unread_ms[handle] = duration_ms / len(fitting)
            results[call.pieces[index]] = PieceResult(
                handle,
                self.row.target_id,
                self.row.address,
                self.row.failure_domain,
                size_bytes,
                end_ms + self.limits.keep_ms,
            )
        return results


class EngineModel:
    """An engine that prefills one prompt at a time and caches prompt parts."""

    def __init__(self, row: RosterRow) -> None:
        """Creates an idle engine with an empty cache.

        Args:
            row: Its row in the roster.
        """
        self.row = row
        self.read_again_tokens = 0
        self._busy_until_ms: float = 0
        self._cached: dict[str, float] = {}

    def first_token_ms(self, prompt: Prompt, now_ms: float) -> float:
        """Queues a prompt and returns the virtual time of its first token.

        Args:
            prompt: The prompt; its parts are cached from now on.
            now_ms: Virtual time.
        """
        uncached_tokens = 0
        cached = True
        for part in prompt.parts:
            cached = cached and part.part_id in self._cached
            if not cached:
                uncached_tokens += part.tokens
            self._cached[part.part_id] = now_ms
        start_ms = max(now_ms, self._busy_until_ms)
        self._busy_until_ms = start_ms + uncached_tokens / PREFILL_TOKENS_PER_MS
        return self._busy_until_ms + FIRST_TOKEN_MS


def gigabytes(size_bytes: float) -> float:
    """Converts bytes to gigabytes."""
    return size_bytes / MS_PER_S**3
