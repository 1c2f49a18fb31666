"""Relays prompts to model engines and streams their answers back."""

import asyncio
import contextlib
import dataclasses
import types
from collections.abc import AsyncGenerator, AsyncIterator, Mapping
from typing import Self

from .answer_body import AnswerReader
from .chains import ChainSpec, ChainStage
from .clock import MS_PER_S, Clock
from .engine_placer import Prompt
from .errors import ErrorKind, Refusal, RefusalError
from .event_framer import EventFramer, EventTooLargeError
from .events import Event, log_event
from .fleet_state import FleetState
from .http_messages import HttpResponse
from .http_server import ConnectionAbortError
from .inbound import (
    EngineSender,
    InboundRequest,
    SendError,
    SendFailure,
    TargetAnswer,
    TargetSend,
)
from .plans import ChainRefusal, Denial, Grant
from .request_context import RequestContext
from .retry_budget import RetryBudget
from .roster import RosterRow
from .scheduler_client import SchedulerClient
from .send_history import SendHistory
from .stream_origin_service import StreamOriginService
from .stream_origins import StreamOrigin

STATUS_OK = 200
EMPTY_PROMPT = Prompt('', (), 0, 0)
# Silence of an engine, in multiples of the longest gap between events, after
# which a resumable stream moves to another engine. Callers disconnect after
# eight gaps.
RESUME_AFTER_GAPS = 3
# Part of the longest time that callers wait for the first event, after which
# an engine that has sent nothing is abandoned.
FIRST_EVENT_TIMEOUT_SHARE = 0.75
# Callers disconnect from a stream after a silence of two seconds, four times
# its target latency or eight times its longest gap, whichever is longest.
MIN_CALLER_TIMEOUT_MS = 2000
CALLER_TIMEOUT_LATENCY_FACTOR = 4
CALLER_TIMEOUT_GAP_FACTOR = 8
# Soft deadline of a resumed stream, whose caller waits for the next event.
RESUME_SOFT_DEADLINE_MS = 600
# Margin for the time that a caller spends between two requests.
STREAM_AGE_MARGIN_MS = 5000
# Time after which an entry that knows the version of a stream may answer again.
UNKNOWN_VERSION_RETRY_AFTER_MS = 500
# Least urgent priority that engines accept; 0 is the most urgent.
MAX_ENGINE_PRIORITY = 9
ERROR_KINDS: Mapping[ChainRefusal, ErrorKind] = types.MappingProxyType(
    {
        ChainRefusal.NO_TIME: ErrorKind.DEADLINE_UNREACHABLE,
        ChainRefusal.NO_TARGET: ErrorKind.NO_TARGET,
        ChainRefusal.FAILING: ErrorKind.NO_TARGET,
    },
)


class StreamBrokenError(ConnectionAbortError):
    """A stream cannot be resumed; its connection must visibly abort."""


@dataclasses.dataclass(slots=True)
class StreamState:
    """State of one streaming request across engines.

    Attributes:
        request: The caller's request.
        context: Route and deadline of the request.
        history: Updated with each send.
        framer: Splits the answers at event boundaries.
        failed_engine_ids: Ids of the engines that failed the request.
        software_version: Version that began the stream; None before that. Only
            engines of this version may go on with it.
        engine_id: Id of the engine that was sent to last.
        broken_engine_ids: Ids of the engines that broke the stream off.
    """

    request: InboundRequest
    context: RequestContext
    history: SendHistory
    framer: EventFramer = dataclasses.field(default_factory=EventFramer)
    failed_engine_ids: set[str] = dataclasses.field(default_factory=set)
    software_version: str | None = None
    engine_id: str = ''
    broken_engine_ids: set[str] = dataclasses.field(default_factory=set)

    @property
    def origin_id(self) -> str:
        """Returns the id of the request that brought the first event."""
        return self.request.resumed_request_id or self.request.request_id

    @property
    def last_event_id(self) -> str:
        """Returns the id of the last event that the caller has received."""
        return self.framer.last_id or self.request.last_event_id


class RelayedStream:
    """Response body; closing it ends the exchange with the engine."""

    def __init__(
        self,
        events: AsyncGenerator[bytes],
        scope: contextlib.AsyncExitStack,
    ) -> None:
        """Takes ownership of the exchange.

        Args:
            events: Yields chunks of complete events.
            scope: Closes the exchange on exit.
        """
        self._events = events
        self._scope = scope

    def __aiter__(self) -> Self:
        """Returns itself."""
        return self

    async def __anext__(self) -> bytes:
        """Returns the next chunk of complete events."""
        return await anext(self._events)

    async def aclose(self) -> None:
        """Ends the exchange; also needed if the body was never read."""
        async with self._scope:
            await self._events.aclose()


class StreamingRelay:
    """Runs the stages of a request, then relays an engine's stream."""

    def __init__(
        self,
        state: FleetState,
        sender: EngineSender,
        scheduler: SchedulerClient,
        retries: RetryBudget,
        clock: Clock,
        origins: StreamOriginService,
        reader: AnswerReader,
    ) -> None:
        """Composes a relay.

        Args:
            state: Holds the target roster.
            sender: Sends requests to engines.
            scheduler: Runs stages and selects engines.
            retries: Retry budget.
            clock: Monotonic clock.
            origins: Knows which version began a stream.
            reader: Reads answers that are held whole.
        """
        self._reader = reader
        self._origins = origins
        self.entry_count = 1
        self._state = state
        self._sender = sender
        self._scheduler = scheduler
        self._retries = retries
        self._clock = clock

    async def answer(
        self,
        request: InboundRequest,
        context: RequestContext,
        history: SendHistory,
    ) -> HttpResponse:
        """Returns an engine's answer, whose body is streamed.

        Args:
            request: The caller's request.
            context: Route and deadline of the request.
            history: Updated with each send.

        Raises:
            RefusalError: If no engine answered.
        """
        stream = StreamState(request, context, history)
        if request.last_event_id and context.route.resumable:
            await self._find_version(stream)
        async with contextlib.AsyncExitStack() as stack:
            stack.callback(self._scheduler.note_ended, request.request_id)
            head, first = await self._open_first_answer(stream, stack)
            if head.status != STATUS_OK:
                body = await self._read_failure(stream, head, first)
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

    async def _read_failure(
        self, stream: StreamState, head: TargetAnswer, first: bytes
    ) -> bytes:
        """Returns the whole body of an answer that is no stream.

        Raises:
            RefusalError: If it has no end.
        """
        try:
            return await self._reader.read(head.chunks, first)
        except SendError as error:
            stream.history.note_failure(error.failure)
            raise RefusalError(
                stream.history.build_refusal(str(error))
            ) from error

    async def _find_version(self, stream: StreamState) -> None:
        """Finds the version that began a stream which the caller takes up.

        Raises:
            RefusalError: If it is unknown. Any engine might be the wrong one.
        """
        request = stream.request
        stream.software_version = await self._origins.resolve(
            stream.origin_id,
            stream.context.service,
            _longest_age_ms(stream) + STREAM_AGE_MARGIN_MS,
        )
        log_event(
            Event.STREAM_TAKEN_UP,
            request_id=request.request_id,
            resumed_id=request.resumed_request_id,
            last_event_id=request.last_event_id,
            software_version=stream.software_version,
        )
        if stream.software_version is None:
            raise RefusalError(
                Refusal(
                    ErrorKind.NO_TARGET,
                    detail='the software version of the stream is unknown',
                    retry_after_ms=UNKNOWN_VERSION_RETRY_AFTER_MS,
                ),
            )

    def _note_begun(self, stream: StreamState, engine: RosterRow) -> None:
        """Binds a stream to the version of the engine that began it."""
        stream.software_version = engine.software_version
        if not stream.context.route.resumable:
            return
        wait_ms = max(
            stream.request.wait_ms or 0, stream.context.route.timeout_ms
        )
        self._origins.note_begun(
            StreamOrigin(
                stream.origin_id,
                engine.service,
                engine.software_version,
                stream.request.received_at_ms + wait_ms + STREAM_AGE_MARGIN_MS,
            ),
        )

    async def _open_first_answer(
        self,
        stream: StreamState,
        stack: contextlib.AsyncExitStack,
    ) -> tuple[TargetAnswer, bytes]:
        """Sends to engines until one returns the start of an answer.

        Returns:
            Head of the answer, and the first bytes of its body.

        Raises:
            RefusalError: If no engine answered.
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
                self._record_failure(stream, error)
                if not self._may_send_again(stream):
                    refusal = stream.history.build_refusal(str(error))
                    raise RefusalError(refusal) from error

    async def _open(
        self,
        stream: StreamState,
        grant: Grant,
        scope: contextlib.AsyncExitStack,
    ) -> tuple[TargetAnswer, bytes]:
        """Sends to an engine and waits for the first bytes of its body."""
        context = stream.context
        now_ms = self._clock.steady_ms()
        send = TargetSend(
            request=stream.request,
            target=grant.placement.engine,
            left_ms=context.deadline_at_ms - now_ms,
            organisation=context.organisation,
            priority=min(context.priority, MAX_ENGINE_PRIORITY),
            input_handles=grant.handles if context.route.stages else None,
            last_event_id=stream.last_event_id,
            repeatable=context.route.repeatable,
        )
        stream.engine_id = grant.placement.engine.target_id
        stream.history.sent = True
        limit_ms = self._first_event_timeout_ms(stream)
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
        if answer.status == STATUS_OK:
            self._scheduler.note_started(stream.request.request_id)
            self._note_begun(stream, grant.placement.engine)
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
            stream.history.sent = bool(stream.history.possible_runs)
            raise SendError(SendFailure.NOT_SENT, f'status {answer.status}')

    async def _relay(
        self,
        stream: StreamState,
        head: TargetAnswer,
        first: bytes,
        stack: contextlib.AsyncExitStack,
    ) -> AsyncGenerator[bytes]:
        """Yields complete events; resumes at another engine on failure."""
        chunks = head.chunks
        pending = first
        while True:
            try:
                async for chunk in self._complete_events(
                    stream, pending, chunks
                ):
                    yield chunk
            except SendError as error:
                scope, answer, pending = await self._resume(stream, error)
                await stack.enter_async_context(scope)
                chunks = answer.chunks
            else:
                return

    async def _complete_events(
        self,
        stream: StreamState,
        first: bytes,
        chunks: AsyncIterator[bytes],
    ) -> AsyncIterator[bytes]:
        """Yields the complete events of one engine's answer."""
        chunk = first
        while chunk:
            try:
                complete = stream.framer.feed(chunk)
            except EventTooLargeError as error:
                raise SendError(SendFailure.UNKNOWN, str(error)) from error
            if complete:
                yield complete
            chunk = await self._next_chunk(stream, chunks)
        if stream.framer.has_partial:
            raise SendError(SendFailure.UNKNOWN, 'answer ended within an event')

    async def _next_chunk(
        self,
        stream: StreamState,
        chunks: AsyncIterator[bytes],
    ) -> bytes:
        route = stream.context.route
        left_ms = stream.context.deadline_at_ms - self._clock.steady_ms()
        limit_ms = left_ms
        if route.resumable and route.target_event_gap_ms:
            limit_ms = min(
                left_ms, RESUME_AFTER_GAPS * route.target_event_gap_ms
            )
        try:
            async with asyncio.timeout(max(limit_ms, 0) / MS_PER_S):
                return await anext(chunks, b'')
        except TimeoutError as error:
            reason = f'no bytes within {limit_ms} ms'
            raise SendError(SendFailure.UNKNOWN, reason) from error

    async def _resume(
        self,
        stream: StreamState,
        error: SendError,
    ) -> tuple[contextlib.AsyncExitStack, TargetAnswer, bytes]:
        """Resumes an interrupted stream at another engine.

        Raises:
            StreamBrokenError: If the stream cannot be resumed.
        """
        stream.framer.discard_partial()
        stream.history.possible_runs += 1
        stream.broken_engine_ids.add(stream.engine_id)
        if not self._may_send_again(stream):
            raise StreamBrokenError(str(error)) from error
        async with contextlib.AsyncExitStack() as scope:
            try:
                grant = await self._place(stream)
                answer, first = await self._open(stream, grant, scope)
            except (SendError, RefusalError) as resume_error:
                raise StreamBrokenError(str(resume_error)) from resume_error
            if answer.status != STATUS_OK:
                raise StreamBrokenError(f'status {answer.status}') from error
            log_event(
                Event.STREAM_RESUMED,
                request_id=stream.request.request_id,
                target_id=grant.placement.engine.target_id,
                software_version=grant.placement.engine.software_version,
                last_event_id=stream.last_event_id,
                reason=str(error),
            )
            return scope.pop_all(), answer, first
        raise StreamBrokenError(str(error))

    async def _place(self, stream: StreamState) -> Grant:
        """Runs the stages and returns the grant of an engine.

        Raises:
            RefusalError: If no engine is granted.
        """
        context = stream.context
        request = stream.request
        now_ms = self._clock.steady_ms()
        soft_deadline_at_ms = context.soft_deadline_at_ms
        if stream.framer.event_count:
            soft_deadline_at_ms = now_ms + RESUME_SOFT_DEADLINE_MS
        spec = ChainSpec(
            chain_id=request.request_id,
            piece_key=request.piece_key,
            stages=_chain_stages(context, request),
            engine_service=context.service,
            prompt=request.prompt or EMPTY_PROMPT,
            priority=context.priority,
            soft_deadline_at_ms=soft_deadline_at_ms,
            deadline_at_ms=context.deadline_at_ms,
            received_at_ms=request.received_at_ms,
            software_version=stream.software_version,
            avoided=frozenset(stream.broken_engine_ids),
        )
        excluded = frozenset(stream.failed_engine_ids)
        async with self._sender.placing(
            request, may_have_run=bool(stream.history.possible_runs)
        ):
            outcome = await self._scheduler.place(spec, excluded)
        if isinstance(outcome, Denial):
            log_event(
                Event.CHAIN_DENIED,
                request_id=request.request_id,
                reason=outcome.reason.value,
                retry_after_ms=round(outcome.retry_after_ms),
            )
            raise RefusalError(_denial_refusal(stream, outcome))
        if not spec.fits(outcome.placement.engine):
            # Schedulers of earlier builds do not know the version.
            raise RefusalError(stream.history.build_refusal('other version'))
        return outcome

    def _record_failure(
        self,
        stream: StreamState,
        error: SendError,
    ) -> None:
        engine_id = stream.engine_id
        stream.failed_engine_ids.add(engine_id)
        stream.history.note_failure(error.failure)
        self._scheduler.note_failed(stream.request.request_id, engine_id)
        log_event(
            Event.SEND_FAILED,
            request_id=stream.request.request_id,
            target_id=engine_id,
            failure=error.failure.value,
            reason=str(error),
        )

    def _may_send_again(self, stream: StreamState) -> bool:
        route = stream.context.route
        if not stream.history.allows_another_send(
            route.max_attempts,
            may_rerun=route.resumable,
        ):
            return False
        now_ms = self._clock.steady_ms()
        if now_ms >= stream.context.deadline_at_ms:
            return False
        return self._retries.try_spend(
            stream.context.service,
            now_ms,
            self.entry_count,
        )

    def _first_event_timeout_ms(self, stream: StreamState) -> float:
        """Returns the time limit for the first event of an engine."""
        route = stream.context.route
        now_ms = self._clock.steady_ms()
        left_ms = max(stream.context.deadline_at_ms - now_ms, 0)
        if not route.resumable:
            return left_ms
        caller_timeout_ms = max(
            MIN_CALLER_TIMEOUT_MS,
            CALLER_TIMEOUT_LATENCY_FACTOR * route.target_latency_ms,
            CALLER_TIMEOUT_GAP_FACTOR * route.target_event_gap_ms,
        )
        return min(left_ms, caller_timeout_ms * FIRST_EVENT_TIMEOUT_SHARE)


def _longest_age_ms(stream: StreamState) -> float:
    """Returns for how long a stream that is taken up may have been running."""
    timeout_ms = stream.context.route.timeout_ms
    wait_ms = stream.request.wait_ms
    if wait_ms is None or wait_ms > timeout_ms:
        return timeout_ms
    return timeout_ms - wait_ms


def _denial_refusal(stream: StreamState, denial: Denial) -> Refusal:
    """Returns the refusal of a request that is denied an engine."""
    if stream.history.possible_runs:
        return stream.history.build_refusal(denial.reason.value)
    return Refusal(
        ERROR_KINDS[denial.reason],
        detail=denial.reason.value,
        retry_after_ms=round(denial.retry_after_ms),
    )


def _chain_stages(
    context: RequestContext,
    request: InboundRequest,
) -> tuple[ChainStage, ...]:
    counts = request.piece_counts
    return tuple(
        ChainStage(
            service=stage.service,
            pieces=counts[number] if number < len(counts) else 0,
            after=stage.after,
            result_bytes=stage.result_bytes,
            work_kind='/'.join((context.route.name, str(number))),
        )
        for number, stage in enumerate(context.route.stages)
    )
