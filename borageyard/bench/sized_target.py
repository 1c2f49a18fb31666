"""Stand-in target whose time follows the sizes named in the request."""

import contextlib
import dataclasses
from collections.abc import AsyncGenerator, Mapping
from typing import Any

from ..clock import Clock
from ..standins.target import (
    BATCH_SLOWDOWN,
    KIND_ENGINE,
    StandinTarget,
    TargetProfile,
)
from ..target_client import TargetCall, TokenEvent

PREFILL_TOKEN_MS = 0.2
OUTPUT_TOKEN_MS = 10.0
# Pieces in which an engine's output is timed.
OUTPUT_PIECES = 4
CACHE_TOKENS = 16_000
PREFIX_TOKENS = 400


@dataclasses.dataclass(slots=True)
class Work:
    """A call that a target ran and what it took."""

    request_id: str
    stage: str
    key: str
    attempt_id: str
    started_ms: float
    spent_ms: float = 0
    complete: bool = False


class SizedTarget(StandinTarget):
    """Keeps the time of each call it ran."""

    def __init__(
        self,
        profile: TargetProfile,
        clock: Clock,
        seed: int = 0,
    ) -> None:
        """Starts idle.

        Args:
            profile: Identity; its speed is that of this class.
            clock: Source of time.
            seed: Seed of the jitter of service times.
        """
        sized = dataclasses.replace(profile, cache_tokens=CACHE_TOKENS)
        super().__init__(sized, clock, seed)
        self.work: list[Work] = []
        self._steady_clock = clock

    @property
    def calls(self) -> int:
        """Returns how many calls it truly has now."""
        return self._running + self._slots.queued

    async def _generate(
        self,
        call: TargetCall,
    ) -> AsyncGenerator[TokenEvent, None]:
        work = Work(
            request_id=call.request_id,
            stage=call.stage,
            key=call.idempotency_key,
            attempt_id=call.attempt_id,
            started_ms=self._steady_clock.steady_ms(),
        )
        self.work.append(work)
        with contextlib.ExitStack() as stack:
            stack.callback(self._time, work)
            event = await self._work_through(call)
        work.complete = True
        yield event

    def _time(self, work: Work) -> None:
        work.spent_ms = self._steady_clock.steady_ms() - work.started_ms

    async def _work_through(self, call: TargetCall) -> TokenEvent:
        sizes = _sizes_of(call)
        text = self.faults.crash_on_text
        if text and text == sizes.get('text'):
            self.crash()
        if self.profile.kind != KIND_ENGINE:
            await self._sleep(self._prefill_ms(0))
            return TokenEvent(offset=1, done=True, tokens=1)
        cached = self.cache.use(call.cache_prefix, PREFIX_TOKENS)
        uncached = sizes.get('input_tokens', PREFIX_TOKENS) - cached
        await self._sleep(uncached * PREFILL_TOKEN_MS)
        tokens = sizes.get('output_tokens', 1)
        for _ in range(OUTPUT_PIECES):
            full = self._running / self.profile.slots
            piece_ms = tokens / OUTPUT_PIECES * OUTPUT_TOKEN_MS
            await self._sleep(piece_ms * (1 + BATCH_SLOWDOWN * full))
        return TokenEvent(
            offset=tokens,
            done=True,
            tokens=tokens,
            cached_tokens=cached,
        )


def _sizes_of(call: TargetCall) -> Mapping[str, Any]:
    body = call.inputs.get('request')
    return body if isinstance(body, Mapping) else {}
