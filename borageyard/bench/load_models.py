"""Small models of the targets, for replays of load."""

import dataclasses
import random
from collections.abc import Callable, Sequence

from ..batch_targets import BatchCall
from ..chains import PieceId, PieceResult
from ..clock import MS_PER_S
from ..engine_placer import PREFILL_TOKENS_PER_MS, Prompt
from ..roster import RosterRow
from ..serving_configuration import BatchLimits

# Time of an engine from the end of reading a prompt to the first token.
FIRST_TOKEN_MS = 64
# Calls take this much more or less than declared, at random.
JITTER = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class CallResult:
    """What a call makes, and when it ends."""

    results: dict[PieceId, PieceResult]
    end_ms: float
    duration_ms: float
    no_room: int


class BatchTargetModel:
    """A target that runs one call at a time and holds results."""

    def __init__(self, row: RosterRow, limits: BatchLimits) -> None:
        """Starts idle and empty.

        Args:
            row: How it is announced.
            limits: What is declared of it.
        """
        self.row = row
        self.limits = limits
        self.down_until_ms: float = 0
        # Time of its targets that results took which nobody has read.
        self.unread_ms: dict[str, float] = {}
        self._stored: dict[str, tuple[float, float]] = {}
        self._slow_until_ms: float = 0
        self._slowdown: float = 1
        self._busy_until_ms: float = 0
        self._result_count = 0

    def crash(self, until_ms: float) -> None:
        """Loses all results and answers nothing for a time."""
        self.down_until_ms = until_ms
        self._stored.clear()

    def slow_down(self, factor: float, until_ms: float) -> None:
        """Takes longer for each call for a time."""
        self._slowdown = factor
        self._slow_until_ms = until_ms

    def free(self, handle: str) -> None:
        """Frees a result."""
        self._stored.pop(handle, None)

    def holds(self, handle: str, now_ms: float) -> bool:
        """Tells whether a result is still there."""
        stored = self._stored.get(handle)
        return stored is not None and stored[1] > now_ms

    def run(
        self,
        call: BatchCall,
        piece_ms: Callable[[PieceId], float],
        now_ms: float,
        rng: random.Random,
    ) -> CallResult:
        """Runs a call.

        Args:
            call: The call.
            piece_ms: Returns the time of a piece; negative if it can't be run.
            now_ms: Virtual time.
            source: Seeded random source.
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
    """An engine that reads one prompt after the other."""

    def __init__(self, row: RosterRow) -> None:
        """Starts idle, with nothing cached.

        Args:
            row: How it is announced.
        """
        self.row = row
        self.read_again_tokens = 0
        self._busy_until_ms: float = 0
        self._cached: dict[str, float] = {}

    def first_token_ms(self, prompt: Prompt, now_ms: float) -> float:
        """Returns when the first token of a prompt is there.

        Args:
            prompt: The prompt.
            now_ms: Virtual time.
        """
        unread = 0
        cached = True
        for part in prompt.parts:
            cached = cached and part.part_id in self._cached
            if not cached:
                unread += part.tokens
            self._cached[part.part_id] = now_ms
        start_ms = max(now_ms, self._busy_until_ms)
        self._busy_until_ms = start_ms + unread / PREFILL_TOKENS_PER_MS
        return self._busy_until_ms + FIRST_TOKEN_MS


def gigabytes(size_bytes: float) -> float:
    """Returns bytes as gigabytes."""
    return size_bytes / MS_PER_S**3
