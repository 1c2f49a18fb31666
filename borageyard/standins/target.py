"""Stand-in target with batching, prefix cache, load reports and faults."""

import asyncio
import collections
import contextlib
import dataclasses
import hashlib
import heapq
import itertools
import json
import random
from collections.abc import AsyncGenerator, AsyncIterator, Iterator
from typing import Any

from ..clock import MS_PER_S, Clock
from ..target_client import LoadReport, TargetAnswer, TargetCall, TokenEvent

KIND_ENGINE = 'engine'
KIND_PLAIN = 'plain'
CHARS_PER_TOKEN = 4
DIGEST_CHARS = 12
# Fraction by which a full batch lengthens the time of each token.
BATCH_SLOWDOWN = 0.5
JITTER_SHARE = 0.2


class TargetCrashError(Exception):
    """The target crashed while it ran a call, or its answer was lost."""


class TargetRefusedError(Exception):
    """The target refused a call before running it."""


@dataclasses.dataclass(slots=True)
class TargetProfile:
    """Identity and speed of a stand-in target."""

    target_id: str
    service: str
    kind: str
    slots: int = 8
    base_ms: float = 10
    per_input_token_ms: float = 0.01
    per_output_token_ms: float = 5
    output_tokens: int = 16
    cache_tokens: int = 4096


@dataclasses.dataclass(slots=True)
class TargetFaults:
    """Injected faults; a count drops by one each time its fault occurs."""

    slow_factor: float = 1
    refuse_next: int = 0
    cross_next: int = 0
    lose_answer_next: int = 0
    truncate_next: int = 0
    hang_next: int = 0
    cross_event_next: int = 0
    double_event_next: int = 0
    skip_event_next: int = 0
    reset_next: int = 0
    trickle_next: int = 0
    pad_next: int = 0
    crash_on_text: str = ''
    report_lag_ms: float = 0
    leaving: bool = False
    lose_cache_events: bool = False
    cache_event_lag_ms: float = 0
    # One in this many cache events is never reported; 0 for no gaps.
    cache_event_gap: int = 0

    def consume(self, name: str) -> bool:
        """Decrements the count of a fault if it is positive.

        Args:
            name: Field that counts the fault.

        Returns:
            Whether the count was positive, so that the fault occurs.
        """
        remaining: int = getattr(self, name)
        if remaining:
            setattr(self, name, remaining - 1)
        return remaining > 0


@dataclasses.dataclass(frozen=True, slots=True)
class Execution:
    """Record that a target keeps of a call it ran."""

    idempotency_key: str
    request_id: str
    attempt_id: str
    stage: str
    started_at_ms: float
    trace_parent: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class StandinAnswer:
    """Answer with the id of the attempt that it claims to belong to."""

    attempt_id: str
    answer: TargetAnswer


class PrioritySlots:
    """Semaphore that serves waiters by priority, then in arrival order."""

    def __init__(self, slots: int) -> None:
        """Initializes with all slots free.

        Args:
            slots: Maximum number of concurrent calls.
        """
        self._free = slots
        self._arrivals = itertools.count()
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []

    @property
    def queued(self) -> int:
        """Number of waiting calls."""
        return sum(not future.done() for _, _, future in self._waiting)

    async def acquire(self, priority: int) -> None:
        """Waits for a slot.

        Args:
            priority: Priority of the call; higher is served first.
        """
        if self._free:
            self._free -= 1
            return
        future = asyncio.get_running_loop().create_future()
        entry = (-priority, next(self._arrivals), future)
        heapq.heappush(self._waiting, entry)
        try:
            await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self.release()
            raise

    def release(self) -> None:
        """Hands a slot to the first waiter, or marks it free if none waits."""
        while self._waiting:
            _, _, future = heapq.heappop(self._waiting)
            if not future.done():
                future.set_result(None)
                return
        self._free += 1


class PrefixCache:
    """LRU cache of prompt prefixes, bounded by their total tokens."""

    def __init__(self, capacity_tokens: int, clock: Clock) -> None:
        """Initializes an empty cache.

        Args:
            capacity_tokens: Maximum total tokens of all prefixes.
            clock: Source of time for events.
        """
        self._clock = clock
        self._capacity_tokens = capacity_tokens
        self._prefixes: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self.events: list[dict[str, Any]] = []
        self._event_times_ms: list[float] = []

    def use(self, prefix: str, tokens: int) -> int:
        """Looks up a prefix and stores it as the most recently used.

        Args:
            prefix: Name of the prefix; empty for none.
            tokens: Length of the prefix in tokens.

        Returns:
            The number of its tokens that were cached.
        """
        if not prefix:
            return 0
        cached = self._prefixes.pop(prefix, 0)
        self._prefixes[prefix] = tokens
        if not cached:
            self._record_event('stored', prefix)
        while sum(self._prefixes.values()) > self._capacity_tokens:
            evicted, _ = self._prefixes.popitem(last=False)
            self._record_event('evicted', evicted)
        return min(cached, tokens)

    def visible_events(
        self, after: int, faults: TargetFaults
    ) -> list[dict[str, Any]]:
        """Returns the events that are visible under the given faults.

        The faults may delay events, leave gaps or hide all events.

        Args:
            after: First sequence number to return.
            faults: Faults of the target.
        """
        if faults.lose_cache_events:
            return []
        newest_ms = self._clock.wall_ms() - faults.cache_event_lag_ms
        gap = faults.cache_event_gap
        return [
            event
            for event, recorded_at_ms in zip(
                self.events, self._event_times_ms, strict=True
            )
            if event['sequence'] >= after
            and recorded_at_ms <= newest_ms
            and not (gap and event['sequence'] % gap == gap - 1)
        ]

    def _record_event(self, action: str, prefix: str) -> None:
        event = {
            'sequence': len(self.events),
            'action': action,
            'prefix': prefix,
        }
        self.events.append(event)
        self._event_times_ms.append(self._clock.wall_ms())


class StandinTarget:
    """Simulates the time that calls take and records the calls it ran."""

    def __init__(
        self,
        profile: TargetProfile,
        clock: Clock,
        seed: int = 0,
    ) -> None:
        """Initializes an idle target.

        Args:
            profile: Identity and speed of the target.
            clock: Source of time.
            seed: Seed of the service time jitter.
        """
        self.profile = profile
        self.faults = TargetFaults()
        self.executions: list[Execution] = []
        self.alive = True
        self.models: dict[str, tuple[str, ...]] = {}
        self.loading = 0
        self.cache = PrefixCache(profile.cache_tokens, clock)
        self._clock = clock
        self._random = random.Random(seed)
        self._slots = PrioritySlots(profile.slots)
        self._running = 0
        self._crashed: asyncio.Event = asyncio.Event()
        self._reports: collections.deque[LoadReport] = collections.deque()

    async def run(self, call: TargetCall) -> StandinAnswer:
        """Runs a call to completion and returns its answer.

        Args:
            call: Attempt to run.

        Raises:
            TargetRefusedError: If the call was refused before it ran.
            TargetCrashError: If the target crashed or the answer was lost.
        """
        last = None
        async with contextlib.aclosing(self.run_stream(call)) as events:
            async for event in events:
                last = event
        if last is None:
            raise TargetCrashError('no event')
        attempt_id = call.attempt_id
        if self.faults.consume('cross_next'):
            attempt_id = f'crossed-{attempt_id}'
        answer = TargetAnswer(
            output=self.expected_output(call),
            tokens=last.tokens,
            cached_tokens=last.cached_tokens,
        )
        return StandinAnswer(attempt_id, answer)

    async def run_stream(
        self,
        call: TargetCall,
    ) -> AsyncGenerator[TokenEvent, None]:
        """Runs a call and yields its tokens; the last event is marked done.

        Args:
            call: Attempt to run.

        Raises:
            TargetCrashError: If the target is dead, crashes or loses the
                answer.
            TargetRefusedError: If it refuses the call before running it.
        """
        if not self.alive:
            raise TargetCrashError('dead')
        if self.faults.consume('refuse_next'):
            raise TargetRefusedError('told to refuse')
        if self.loading:
            raise TargetRefusedError('loading')
        versions = self.models.get(call.model)
        if versions and call.model_version not in versions:
            raise TargetRefusedError('version is not loaded')
        async with (
            self._slot(call.priority),
            contextlib.aclosing(self._generate(call)) as events,
        ):
            async for event in events:
                yield event

    def expected_output(self, call: TargetCall) -> dict[str, Any]:
        """Returns the output that the inputs of a call determine."""
        digest = _digest(call)
        return {'stage': call.stage, 'of': digest, 'text': self._text(digest)}

    def crash(self) -> None:
        """Crashes the target; all its running calls fail."""
        self.alive = False
        self._crashed.set()

    def restart(self) -> None:
        """Restarts the target with an empty cache."""
        self.alive = True
        self._crashed = asyncio.Event()
        self.cache = PrefixCache(
            self.profile.cache_tokens,
            self._clock,
        )

    def load(self) -> LoadReport:
        """Returns the newest report that is at least ``report_lag_ms`` old.

        If there is none, returns the oldest report.
        """
        now_ms = self._clock.wall_ms()
        report = LoadReport(
            target_id=self.profile.target_id,
            reported_at_ms=now_ms,
            running=self._running,
            queued=self._slots.queued,
            slots=0 if self.loading else self.profile.slots,
            leaving=self.faults.leaving,
            models=dict(self.models),
        )
        self._reports.append(report)
        oldest_ms = now_ms - self.faults.report_lag_ms
        while (
            len(self._reports) > 1
            and self._reports[1].reported_at_ms <= oldest_ms
        ):
            self._reports.popleft()
        return self._reports[0]

    @contextlib.asynccontextmanager
    async def _slot(self, priority: int) -> AsyncIterator[None]:
        await self._slots.acquire(priority)
        self._running += 1
        try:
            yield
        finally:
            self._running -= 1
            self._slots.release()

    async def _generate(
        self,
        call: TargetCall,
    ) -> AsyncGenerator[TokenEvent, None]:
        if self.faults.consume('hang_next'):
            await self._sleep(float('inf'))
        self.executions.append(
            Execution(
                idempotency_key=call.idempotency_key,
                request_id=call.request_id,
                attempt_id=call.attempt_id,
                stage=call.stage,
                started_at_ms=self._clock.wall_ms(),
                trace_parent=call.trace_parent,
            ),
        )
        inputs = json.dumps(dict(call.inputs))
        text = self.faults.crash_on_text
        if text and text in inputs:
            self.crash()
        input_tokens = len(inputs) // CHARS_PER_TOKEN
        cached = self.cache.use(call.cache_prefix, input_tokens)
        await self._sleep(self._prefill_ms(input_tokens - cached))
        total = 1
        if self.profile.kind == KIND_ENGINE:
            total = self.profile.output_tokens
            async for event in self._timed_events(call, total):
                yield event
        if self.faults.consume('lose_answer_next'):
            raise TargetCrashError('answer lost')
        yield TokenEvent(
            offset=max(total, call.resume_from),
            done=True,
            tokens=total,
            cached_tokens=cached,
        )

    async def _timed_events(
        self,
        call: TargetCall,
        total: int,
    ) -> AsyncIterator[TokenEvent]:
        """Yields tokens at the pace of the target, with stream faults."""
        for event in self._tokens(call, total):
            await self._sleep(self._token_ms())
            if self.faults.consume('truncate_next'):
                raise TargetCrashError('truncated')
            for sent in self._with_faults(event):
                yield sent

    def _tokens(self, call: TargetCall, total: int) -> Iterator[TokenEvent]:
        digest = _digest(call)
        for offset in range(call.resume_from, total):
            yield TokenEvent(offset=offset, token=f'{digest}.{offset} ')

    def _with_faults(self, event: TokenEvent) -> Iterator[TokenEvent]:
        """Yields an event zero, one or two times, as the faults require."""
        if self.faults.consume('skip_event_next'):
            return
        yield event
        if self.faults.consume('double_event_next'):
            yield event

    def _text(self, digest: str) -> str:
        if self.profile.kind != KIND_ENGINE:
            return digest
        count = self.profile.output_tokens
        return ''.join(f'{digest}.{offset} ' for offset in range(count))

    def _prefill_ms(self, tokens: int) -> float:
        spread = self._random.uniform(-JITTER_SHARE, JITTER_SHARE)
        base_ms = self.profile.base_ms * (1 + spread)
        return base_ms + tokens * self.profile.per_input_token_ms

    def _token_ms(self) -> float:
        load_ratio = self._running / self.profile.slots
        slowdown = 1 + BATCH_SLOWDOWN * load_ratio
        return self.profile.per_output_token_ms * slowdown

    async def _sleep(self, duration_ms: float) -> None:
        """Sleeps for the duration times the injected slowdown.

        Raises:
            TargetCrashError: As soon as the target crashes.
        """
        duration_s = duration_ms * self.faults.slow_factor / MS_PER_S
        timeout_s = None if duration_s == float('inf') else duration_s
        crashed = self._crashed
        try:
            async with asyncio.timeout(timeout_s):
                await crashed.wait()
        except TimeoutError:
            return
        raise TargetCrashError('dead')


def _digest(call: TargetCall) -> str:
    inputs = json.dumps(dict(call.inputs), sort_keys=True)
    digest = hashlib.sha256(inputs.encode()).hexdigest()
    return digest[:DIGEST_CHARS]
