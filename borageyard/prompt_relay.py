"""Relays prompts to model engines and their streams back."""

import asyncio
import contextlib
import dataclasses
import types
from collections.abc import AsyncGenerator, AsyncIterator, Mapping
from typing import Self

from .chains import ChainOrder, ChainStage
from .clock import MS_PER_S, Clock
from .engine_placer import Prompt
from .errors import ErrorKind, Refusal, RefusalError
from .event_relay import EventRelay
from .events import Event, log_event
from .fleet_state import FleetState
from .http_messages import HttpResponse
from .http_server import ConnectionAbortError
from .inbound import (
    InboundRequest,
    SendError,
    SendFailure,
    TargetAnswer,
    TargetSend,
    TargetSender,
)
from .plans import ChainRefusal, Denial, Grant
from .relay_terms import RelayTerms
from .retry_window import RetryWindow
from .scheduler_client import SchedulerClient
from .send_tally import SendTally

STATUS_GOOD = 200
EMPTY_PROMPT = Prompt('', (), 0, 0)
# Silence of an engine, in longest pauses, after which a stream that may be
# resumed goes on at another one: callers leave after eight.
SILENT_PAUSES = 3
# An engine that has not begun is given up after this part of the longest
# time that callers wait for the first event.
FIRST_EVENT_SHARE = 0.75
# Callers leave a stream after a silence of two seconds, four times its aim or
# eight times its longest pause, whichever is longest.
LEAST_PATIENCE_MS = 2000
AIM_PATIENCE = 4
PAUSE_PATIENCE = 8
# Aim of a stream that goes on: its caller waits for the next event.
RESUME_AIM_MS = 600
# Most urgent and least urgent rank that engines know.
MAX_RANK = 9
REFUSALS: Mapping[ChainRefusal, ErrorKind] = types.MappingProxyType(
    {
        ChainRefusal.NO_TIME: ErrorKind.DEADLINE_UNREACHABLE,
        ChainRefusal.NO_TARGET: ErrorKind.NO_TARGET,
        ChainRefusal.FAILING: ErrorKind.NO_TARGET,
    },
)


class StreamBrokenError(ConnectionAbortError):
    """A stream that can't be gone on with; its caller must see it break."""


@dataclasses.dataclass(slots=True)
class StreamState:
    """One request on its way through engines."""

    request: InboundRequest
    terms: RelayTerms
    tally: SendTally
    relay: EventRelay = dataclasses.field(default_factory=EventRelay)
    excluded: set[str] = dataclasses.field(default_factory=set)

    @property
    def last_event_id(self) -> str:
        """Returns the last event that the caller has."""
        return self.relay.last_id or self.request.last_event_id


class RelayedStream:
    """Body of an answer; closing it ends the exchange with the engine."""

    def __init__(
        self,
        events: AsyncGenerator[bytes],
        scope: contextlib.AsyncExitStack,
    ) -> None:
        """Takes over the exchange.

        Args:
            events: Yields the events.
            scope: Owns the exchange.
        """
        self._events = events
        self._scope = scope

    def __aiter__(self) -> Self:
        """Returns itself."""
        return self

    async def __anext__(self) -> bytes:
        """Returns the next whole events."""
        return await anext(self._events)

    async def aclose(self) -> None:
        """Ends the exchange, also if it was never read."""
        async with self._scope:
            await self._events.aclose()


class PromptRelay:
    """Has the stages of a request run, then relays an engine's stream."""

    def __init__(
        self,
        state: FleetState,
        sender: TargetSender,
        scheduler: SchedulerClient,
        retries: RetryWindow,
        clock: Clock,
    ) -> None:
        """Composes a relay.

        Args:
            state: Targets.
            sender: The way to them.
            scheduler: Runs stages and chooses engines.
            retries: Budget of repeated sends.
            clock: Source of steady time.
        """
        self.entries_known = 1
        self._state = state
        self._sender = sender
        self._scheduler = scheduler
        self._retries = retries
        self._clock = clock

    async def answer(
        self,
        request: InboundRequest,
        terms: RelayTerms,
        tally: SendTally,
    ) -> HttpResponse:
        """Returns an engine's answer; its body comes as it is made.

        Args:
            request: The caller's request.
            terms: Its route and how long it may take.
            tally: Takes in what was sent.

        Raises:
            RefusalError: If there is none.
        """
        stream = StreamState(request, terms, tally)
        async with contextlib.AsyncExitStack() as stack:
            stack.callback(self._scheduler.note_ended, request.request_id)
            head, first = await self._first_answer(stream, stack)
            if head.status != STATUS_GOOD:
                body = first + b''.join([chunk async for chunk in head.chunks])
                return HttpResponse(
                    head.status,
                    body,
                    content_type='',
                    headers=head.headers,
                )
            scope = stack.pop_all()
            return HttpResponse(
                head.status,
                content_type='',
                headers=head.headers,
                chunks=RelayedStream(
                    self._relay(stream, head, first, scope),
                    scope,
                ),
            )

    async def _first_answer(
        self,
        stream: StreamState,
        stack: contextlib.AsyncExitStack,
    ) -> tuple[TargetAnswer, bytes]:
        """Returns the first answer that can be handed out.

        Returns:
            Its head, and the first bytes of its body.

        Raises:
            RefusalError: If there is none.
        """
        while True:
            grant = await self._place(stream)
            scope = await stack.enter_async_context(
                contextlib.AsyncExitStack(),
            )
            try:
                return await self._open(stream, grant, scope)
            except SendError as error:
                await scope.aclose()
                self._note_failure(stream, grant, error)
                if not self._may_go_on(stream):
                    refusal = stream.tally.refuse(str(error))
                    raise RefusalError(refusal) from error

    async def _open(
        self,
        stream: StreamState,
        grant: Grant,
        scope: contextlib.AsyncExitStack,
    ) -> tuple[TargetAnswer, bytes]:
        """Sends to an engine and waits for the first bytes of its body."""
        terms = stream.terms
        now_ms = self._clock.steady_ms()
        send = TargetSend(
            request=stream.request,
            target=grant.placement.engine,
            left_ms=terms.deadline_at_ms - now_ms,
            organisation=terms.organisation,
            priority=min(terms.priority, MAX_RANK),
            input_handles=grant.handles if terms.route.stages else None,
            last_event_id=stream.last_event_id,
            repeatable=terms.route.repeatable,
        )
        stream.tally.sent = True
        limit_ms = self._first_event_ms(stream)
        try:
            async with asyncio.timeout(limit_ms / MS_PER_S):
                answer = await scope.enter_async_context(
                    self._sender.send(send),
                )
                self._check_head(stream, grant, answer)
                first = await anext(answer.chunks, b'')
        except TimeoutError as error:
            reason = f'no event within {limit_ms} ms'
            raise SendError(SendFailure.UNKNOWN, reason) from error
        if answer.status == STATUS_GOOD:
            self._scheduler.note_started(stream.request.request_id)
        return answer, first

    def _check_head(
        self,
        stream: StreamState,
        grant: Grant,
        answer: TargetAnswer,
    ) -> None:
        if answer.wrong_target:
            self._state.roster.avoid(grant.placement.engine)
        if answer.not_run:
            stream.tally.sent = bool(stream.tally.ran)
            raise SendError(SendFailure.NOT_SENT, f'status {answer.status}')

    async def _relay(
        self,
        stream: StreamState,
        head: TargetAnswer,
        first: bytes,
        stack: contextlib.AsyncExitStack,
    ) -> AsyncGenerator[bytes]:
        """Yields whole events, from another engine where one breaks off."""
        chunks = head.chunks
        pending = first
        while True:
            try:
                async for chunk in self._whole_events(stream, pending, chunks):
                    yield chunk
            except SendError as error:
                scope, answer, pending = await self._resume(stream, error)
                await stack.enter_async_context(scope)
                chunks = answer.chunks
            else:
                return

    async def _whole_events(
        self,
        stream: StreamState,
        first: bytes,
        chunks: AsyncIterator[bytes],
    ) -> AsyncIterator[bytes]:
        """Yields the whole events of one engine's answer."""
        chunk = first
        while chunk:
            whole = stream.relay.feed(chunk)
            if whole:
                yield whole
            chunk = await self._next_chunk(stream, chunks)
        if stream.relay.has_partial:
            raise SendError(SendFailure.UNKNOWN, 'answer ends in an event')

    async def _next_chunk(
        self,
        stream: StreamState,
        chunks: AsyncIterator[bytes],
    ) -> bytes:
        route = stream.terms.route
        left_ms = stream.terms.deadline_at_ms - self._clock.steady_ms()
        limit_ms = left_ms
        if route.resumable and route.target_event_gap_ms:
            limit_ms = min(left_ms, SILENT_PAUSES * route.target_event_gap_ms)
        try:
            async with asyncio.timeout(max(limit_ms, 0) / MS_PER_S):
                return await anext(chunks, b'')
        except TimeoutError as error:
            reason = f'silent for {limit_ms} ms'
            raise SendError(SendFailure.UNKNOWN, reason) from error

    async def _resume(
        self,
        stream: StreamState,
        error: SendError,
    ) -> tuple[contextlib.AsyncExitStack, TargetAnswer, bytes]:
        """Goes on with a stream that broke off at another engine.

        Raises:
            StreamBrokenError: If that is not possible.
        """
        stream.relay.forget_partial()
        request_id = stream.request.request_id
        stream.tally.ran += 1
        if not self._may_go_on(stream):
            raise StreamBrokenError(str(error)) from error
        async with contextlib.AsyncExitStack() as scope:
            try:
                grant = await self._place(stream)
                answer, first = await self._open(stream, grant, scope)
            except (SendError, RefusalError) as second:
                raise StreamBrokenError(str(second)) from second
            if answer.status != STATUS_GOOD:
                raise StreamBrokenError(f'status {answer.status}') from error
            log_event(
                Event.STREAM_RESUMED,
                request_id=request_id,
                target_id=grant.placement.engine.target_id,
                last_event_id=stream.last_event_id,
                reason=str(error),
            )
            return scope.pop_all(), answer, first
        raise StreamBrokenError(str(error))

    async def _place(self, stream: StreamState) -> Grant:
        """Has the stages run and returns the engine.

        Raises:
            RefusalError: If there is none.
        """
        terms = stream.terms
        request = stream.request
        now_ms = self._clock.steady_ms()
        aim_at_ms = terms.aim_at_ms
        if stream.relay.events:
            aim_at_ms = now_ms + RESUME_AIM_MS
        order = ChainOrder(
            chain_id=request.request_id,
            piece_key=request.piece_key,
            stages=_chain_stages(terms, request),
            engine_service=terms.service,
            prompt=request.prompt or EMPTY_PROMPT,
            priority=terms.priority,
            soft_deadline_at_ms=aim_at_ms,
            deadline_at_ms=terms.deadline_at_ms,
            received_at_ms=request.received_at_ms,
        )
        excluded = frozenset(stream.excluded)
        settled = await self._scheduler.place(order, excluded)
        if isinstance(settled, Denial):
            log_event(
                Event.CHAIN_DENIED,
                request_id=request.request_id,
                reason=settled.reason.value,
                retry_after_ms=round(settled.retry_after_ms),
            )
            raise RefusalError(_denied(stream, settled))
        return settled

    def _note_failure(
        self,
        stream: StreamState,
        grant: Grant,
        error: SendError,
    ) -> None:
        engine_id = grant.placement.engine.target_id
        stream.excluded.add(engine_id)
        stream.tally.note_failure(error.failure)
        self._scheduler.note_failed(stream.request.request_id, engine_id)
        log_event(
            Event.SEND_FAILED,
            request_id=stream.request.request_id,
            target_id=engine_id,
            failure=error.failure.value,
            reason=str(error),
        )

    def _may_go_on(self, stream: StreamState) -> bool:
        route = stream.terms.route
        if not stream.tally.allows_another(
            route.max_attempts,
            may_rerun=route.resumable,
        ):
            return False
        now_ms = self._clock.steady_ms()
        if now_ms >= stream.terms.deadline_at_ms:
            return False
        return self._retries.take(
            stream.terms.service,
            now_ms,
            self.entries_known,
        )

    def _first_event_ms(self, stream: StreamState) -> float:
        """Returns how long an engine may take to begin."""
        route = stream.terms.route
        now_ms = self._clock.steady_ms()
        left_ms = max(stream.terms.deadline_at_ms - now_ms, 0)
        if not route.resumable:
            return left_ms
        patience_ms = max(
            LEAST_PATIENCE_MS,
            AIM_PATIENCE * route.target_latency_ms,
            PAUSE_PATIENCE * route.target_event_gap_ms,
        )
        return min(left_ms, patience_ms * FIRST_EVENT_SHARE)


def _denied(stream: StreamState, denial: Denial) -> Refusal:
    """Returns the refusal of a request that gets no engine."""
    if stream.tally.ran:
        return stream.tally.refuse(denial.reason.value)
    return Refusal(
        REFUSALS[denial.reason],
        detail=denial.reason.value,
        retry_after_ms=round(denial.retry_after_ms),
    )


def _chain_stages(
    terms: RelayTerms,
    request: InboundRequest,
) -> tuple[ChainStage, ...]:
    counts = request.piece_counts
    return tuple(
        ChainStage(
            service=stage.service,
            pieces=counts[number] if number < len(counts) else 0,
            after=stage.after,
            result_bytes=stage.result_bytes,
            work='/'.join((terms.route.name, str(number))),
        )
        for number, stage in enumerate(terms.route.stages)
    )
