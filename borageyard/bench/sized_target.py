"""Stand-in target whose service time follows the sizes in the request."""

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
# An engine's output is timed in this many steps, each slowed down by the load
# of its batch at that time.
OUTPUT_STEPS = 4
CACHE_TOKENS = 16_000
PREFIX_TOKENS = 400


@dataclasses.dataclass(slots=True)
class ExecutedCall:
    """A call that a target ran and its duration."""

    request_id: str
    stage: str
    key: str
    attempt_id: str
    started_ms: float
    duration_ms: float = 0
    complete: bool = False


class SizedTarget(StandinTarget):
    """Stand-in target that records the duration of each call it runs."""

    def __init__(
        self,
        profile: TargetProfile,
        clock: Clock,
        seed: int = 0,
    ) -> None:
        """Creates an idle target.

        Args:
            profile: Identity of the target; this class replaces its cache size
                and determines its speed.
            clock: Source of time.
            seed: Seed of the jitter of service times.
        """
        sized = dataclasses.replace(profile, cache_tokens=CACHE_TOKENS)
        super().__init__(sized, clock, seed)
        self.executed_calls: list[ExecutedCall] = []
        self._steady_clock = clock

    @property
    def call_count(self) -> int:
        """Returns the actual number of running and queued calls."""
        return self._running + self._slots.queued

    async def _generate(
        self,
        call: TargetCall,
    ) -> AsyncGenerator[TokenEvent, None]:
        executed_call = ExecutedCall(
            request_id=call.request_id,
            stage=call.stage,
            key=call.idempotency_key,
            attempt_id=call.attempt_id,
            started_ms=self._steady_clock.steady_ms(),
        )
        self.executed_calls.append(executed_call)
        with contextlib.ExitStack() as stack:
            stack.callback(self._record_duration, executed_call)
            event = await self._execute(call)
        executed_call.complete = True
        yield event

    def _record_duration(self, executed_call: ExecutedCall) -> None:
        executed_call.duration_ms = (
            self._steady_clock.steady_ms() - executed_call.started_ms
        )

    async def _execute(self, call: TargetCall) -> TokenEvent:
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
        for _ in range(OUTPUT_STEPS):
            batch_load = self._running / self.profile.slots
            step_ms = tokens / OUTPUT_STEPS * OUTPUT_TOKEN_MS
            await self._sleep(step_ms * (1 + BATCH_SLOWDOWN * batch_load))
        return TokenEvent(
            offset=tokens,
            done=True,
            tokens=tokens,
            cached_tokens=cached,
        )


def _sizes_of(call: TargetCall) -> Mapping[str, Any]:
    body = call.inputs.get('request')
    return body if isinstance(body, Mapping) else {}
