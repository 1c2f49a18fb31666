"""Dependencies of an entry that inject faults at named steps."""

import asyncio
import contextlib
import dataclasses
import types
from collections.abc import AsyncGenerator, Mapping, Sequence
from typing import Protocol

from ..backing_services import (
    AppendRefusedError,
    LogPage,
    LogService,
    Record,
)
from ..clock import MS_PER_S
from ..target_client import (
    CacheEvent,
    FailureKind,
    LoadReport,
    TargetAnswer,
    TargetCall,
    TargetClient,
    TargetError,
    TokenEvent,
)
from .entry_lifecycle import EntryLifecycle, PausableLog
from .table import Fault, Step

SLOW_DELAY_MS = 400
# Failure of an exchange with a target under a fault. Under the faults that
# are not listed the exchange continues.
FAILURE_KINDS: Mapping[Fault, FailureKind] = types.MappingProxyType(
    {
        Fault.HALF_OPEN: FailureKind.TIMEOUT,
        Fault.LATE: FailureKind.TIMEOUT,
        Fault.CROSSED: FailureKind.CROSSED,
        Fault.REFUSED: FailureKind.CRASH,
        Fault.RESET: FailureKind.CRASH,
        Fault.TRUNCATED: FailureKind.CRASH,
        Fault.TARGET_CRASH: FailureKind.CRASH,
    }
)
# Offset of the token that counts as the middle of a stream.
MIDDLE_TOKEN_OFFSET = 8


@dataclasses.dataclass(frozen=True, slots=True)
class StageSteps:
    """Steps of the matrix that one call to a target passes."""

    connect: Step
    send: Step
    wait: Step
    first: Step
    end: Step
    middle: Step | None = None


STEPS_BY_STAGE: Mapping[str, StageSteps] = types.MappingProxyType(
    {
        'generate': StageSteps(
            connect=Step.GENERATE_CONNECT,
            send=Step.GENERATE_SEND,
            wait=Step.GENERATE_WAIT,
            first=Step.GENERATE_FIRST,
            end=Step.GENERATE_END,
            middle=Step.GENERATE_MIDDLE,
        ),
        'book': StageSteps(
            connect=Step.BOOK_CONNECT,
            send=Step.BOOK_SEND,
            wait=Step.BOOK_WAIT,
            first=Step.BOOK_FIRST,
            end=Step.BOOK_END,
        ),
    }
)


class Injector(Protocol):
    """Injects the fault of a cell when its step is reached."""

    async def on_step(
        self,
        step: Step | None,
        entry: str,
        address: str = '',
    ) -> Fault | None:
        """Reports that a step is reached.

        Args:
            step: The step, or None if the matrix does not name it.
            entry: Instance id of the entry that reached it.
            address: Address of the target; empty if the step has none.

        Returns:
            The fault that the caller must simulate in its exchange, or
            None.
        """


class FaultyLog:
    """Log service of one entry that injects faults into appends and reads."""

    def __init__(
        self,
        inner: LogService,
        injector: Injector,
        lifecycle: EntryLifecycle,
        entry: str,
    ) -> None:
        """Wraps a log service.

        Args:
            inner: Log service to delegate to.
            injector: Decides which fault is injected.
            lifecycle: Lifecycle of the entry.
            entry: Instance id of the entry.
        """
        self._inner = PausableLog(inner, lifecycle)
        self._injector = injector
        self._lifecycle = lifecycle
        self._entry = entry
        self._claim_appended = False

    async def append(self, stream: str, body: Record) -> int:
        """Appends a record and returns its offset.

        Raises:
            AppendRefusedError: If the injected fault refuses the append.
        """
        await self._lifecycle.wait_until_running()
        step = _append_step(body)
        fault = await self._injector.on_step(step, self._entry)
        if fault is Fault.REFUSED:
            raise AppendRefusedError('refused')
        offset = await self._inner.append(stream, body)
        self._claim_appended |= step is Step.CLAIM_APPEND
        if step is Step.PROPOSE:
            await self._injector.on_step(Step.DECIDE, self._entry)
        return offset

    async def read(
        self,
        stream: str,
        offset: int,
        wait_ms: float = 0,
    ) -> LogPage:
        """Returns the records of a stream from an offset on, in order."""
        page = await self._inner.read(stream, offset, wait_ms)
        if self._claim_appended and _holds_claim(page):
            await self._injector.on_step(Step.CLAIM_READ, self._entry)
        await self._lifecycle.wait_until_running()
        return page


class FaultyTargets:
    """Target client of one entry that injects faults at each step of a call."""

    def __init__(
        self,
        inner: TargetClient,
        injector: Injector,
        lifecycle: EntryLifecycle,
        entry: str,
    ) -> None:
        """Wraps a target client.

        Args:
            inner: Client to delegate to.
            injector: Decides which fault is injected.
            lifecycle: Lifecycle of the entry.
            entry: Instance id of the entry.
        """
        self._inner = inner
        self._injector = injector
        self._lifecycle = lifecycle
        self._entry = entry
        # Calls that their targets still run. Holding them keeps a call
        # running after its entry lost it to a fault.
        self._pending_calls: set[asyncio.Future[TargetAnswer]] = set()

    async def call(self, address: str, call: TargetCall) -> TargetAnswer:
        """Runs a stage and returns its whole answer.

        Raises:
            TargetError: If the call or an injected fault fails it.
        """
        steps = STEPS_BY_STAGE.get(call.stage)
        if steps is None:
            await self._lifecycle.wait_until_running()
            return await self._inner.call(address, call)
        await self._open_call(steps, address, call)
        call_task = asyncio.ensure_future(self._inner.call(address, call))
        self._pending_calls.add(call_task)
        call_task.add_done_callback(self._on_call_done)
        await asyncio.sleep(1 / MS_PER_S)
        await self._apply_fault(steps.wait, address, call)
        answer = await asyncio.shield(call_task)
        await self._apply_fault(steps.first, address, call)
        await self._apply_fault(steps.end, address, call)
        return answer

    async def stream(
        self,
        address: str,
        call: TargetCall,
    ) -> AsyncGenerator[TokenEvent, None]:
        """Runs a stage and yields its tokens; the last event has ``done`` set.

        Raises:
            TargetError: If the call or an injected fault fails it.
        """
        await self._lifecycle.wait_until_running()
        steps = STEPS_BY_STAGE[call.stage]
        await self._open_call(steps, address, call)
        stream = self._inner.stream(address, call)
        async with contextlib.aclosing(stream) as events:
            await self._apply_fault(steps.wait, address, call)
            async for event in events:
                step = _stream_step(steps, event)
                await self._apply_fault(step, address, call)
                await self._lifecycle.wait_until_running()
                yield event

    async def load(self, address: str) -> LoadReport:
        """Returns the load report of a target."""
        await self._lifecycle.wait_until_running()
        return await self._inner.load(address)

    async def cache_events(
        self,
        address: str,
        after: int,
    ) -> Sequence[CacheEvent]:
        """Returns the changes of a target's prompt cache after a number."""
        await self._lifecycle.wait_until_running()
        return await self._inner.cache_events(address, after)

    def _on_call_done(self, call_task: asyncio.Future[TargetAnswer]) -> None:
        """Drops a finished call and retrieves its exception.

        The entry may have lost the call, in which case nobody else does.
        """
        self._pending_calls.discard(call_task)
        if not call_task.cancelled():
            call_task.exception()

    async def _open_call(
        self,
        steps: StageSteps,
        address: str,
        call: TargetCall,
    ) -> None:
        try:
            await self._apply_fault(steps.connect, address, call)
        except TargetError as error:
            raise TargetError(
                FailureKind.CONNECT,
                error.reason,
                not_run=True,
            ) from error
        await self._apply_fault(steps.send, address, call)

    async def _apply_fault(
        self,
        step: Step | None,
        address: str,
        call: TargetCall,
    ) -> None:
        fault = await self._injector.on_step(step, self._entry, address)
        await self._lifecycle.wait_until_running()
        delays_ms = {
            Fault.SLOW: SLOW_DELAY_MS,
            Fault.HALF_OPEN: call.deadline_ms,
            Fault.LATE: call.deadline_ms,
        }
        if fault is None or _has_answer_arrived(fault, step, call):
            return
        await asyncio.sleep(delays_ms.get(fault, 0) / MS_PER_S)
        kind = FAILURE_KINDS.get(fault)
        if kind is not None:
            raise TargetError(kind, fault.value)


def _has_answer_arrived(
    fault: Fault, step: Step | None, call: TargetCall
) -> bool:
    """Returns whether a target crashed after its whole answer arrived."""
    steps = STEPS_BY_STAGE[call.stage]
    return fault is Fault.TARGET_CRASH and step is steps.end


def _stream_step(steps: StageSteps, event: TokenEvent) -> Step | None:
    if event.done:
        return steps.end
    if event.offset == 0:
        return steps.first
    return steps.middle if event.offset == MIDDLE_TOKEN_OFFSET else None


def _append_step(body: Record) -> Step | None:
    if body.get('claims'):
        return Step.CLAIM_APPEND
    if body.get('type') == 'apply':
        return Step.PROPOSE
    return Step.OUTCOME_APPEND if body.get('outcomes') else None


def _holds_claim(page: LogPage) -> bool:
    return any(stored.body.get('claims') for stored in page.records)
