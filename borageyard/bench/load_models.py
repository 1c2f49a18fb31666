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
class MadeCall:
    """What a call makes, and when it ends."""

    results: dict[PieceId, PieceResult]
    end_ms: float
    took_ms: float
    no_room: int


class MakerModel:
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
        self._held: dict[str, tuple[float, float]] = {}
        self._slow_until_ms: float = 0
        self._slowness: float = 1
        self._busy_until_ms: float = 0
        self._made = 0

    def crash(self, until_ms: float) -> None:
        """Loses all results and answers nothing for a time."""
        self.down_until_ms = until_ms
        self._held.clear()

    def slow_down(self, factor: float, until_ms: float) -> None:
        """Takes longer for each call for a time."""
        self._slowness = factor
        self._slow_until_ms = until_ms

    def free(self, handle: str) -> None:
        """Frees a result."""
        self._held.pop(handle, None)

    def holds(self, handle: str, now_ms: float) -> bool:
        """Tells whether a result is still there."""
        held = self._held.get(handle)
        return held is not None and held[1] > now_ms

    def run(
        self,
        call: BatchCall,
        piece_ms: Callable[[PieceId], float],
        now_ms: float,
        source: random.Random,
    ) -> MadeCall:
        """Runs a call.

        Args:
            call: The call.
            piece_ms: Returns the time of a piece; negative if it can't be run.
            now_ms: Virtual time.
            source: Seeded random source.
        """
        room_bytes = self._room_bytes(now_ms)
        took_ms = self.limits.call_ms
        fitting: list[int] = []
        no_room = 0
        for index, piece in enumerate(call.pieces):
            work_ms = piece_ms(piece)
            if work_ms < 0:
                continue
            if call.sizes_bytes[index] > room_bytes:
                no_room += 1
                continue
            room_bytes -= call.sizes_bytes[index]
            took_ms += work_ms
            fitting.append(index)
        took_ms *= source.uniform(1 - JITTER, 1 + JITTER)
        if self._slow_until_ms > now_ms:
            took_ms *= self._slowness
        end_ms = max(now_ms, self._busy_until_ms) + took_ms
        self._busy_until_ms = end_ms
        results = self._hold(call, fitting, took_ms, end_ms)
        return MadeCall(results, end_ms, took_ms, no_room)

    def _room_bytes(self, now_ms: float) -> float:
        self._held = {
            handle: held
            for handle, held in self._held.items()
            if held[1] > now_ms
        }
        held_bytes = sum(size_bytes for size_bytes, _ in self._held.values())
        return self.limits.result_memory_bytes - held_bytes

    def _hold(
        self,
        call: BatchCall,
        fitting: Sequence[int],
        took_ms: float,
        end_ms: float,
    ) -> dict[PieceId, PieceResult]:
        results: dict[PieceId, PieceResult] = {}
        for index in fitting:
            self._made += 1
            handle = '/'.join((self.row.address, str(self._made)))
            size_bytes = call.sizes_bytes[index]
            self._held[handle] = (size_bytes, end_ms + self.limits.keep_ms)
            self.unread_ms[handle] = took_ms / len(fitting)
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
