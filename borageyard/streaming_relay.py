"""Relays prompts to model engines and streams their answers back."""

import contextlib
from collections.abc import AsyncGenerator
from typing import Self

from .answer_body import AnswerReader
from .clock import Clock
from .engine_exchange import EngineExchange
from .engine_sends import STATUS_OK, STREAM_AGE_MARGIN_MS, EngineSends
from .errors import ErrorKind, Refusal, RefusalError
from .event_framer import EventError
from .events import Event, log_event
from .fleet_state import FleetState
from .http_connection import ConnectionAbortError
from .http_messages import HttpResponse, media_type
from .inbound import (
    EngineSender,
    InboundRequest,
    SendError,
    SendFailure,
    TargetAnswer,
)
from .latency import ServiceTimes
from .request_context import RequestContext
from .retry_budget import RetryBudget
from .scheduler_client import SchedulerClient
from .send_history import SendHistory
from .standby import StandbyEngines
from .stream_origin_service import StreamOriginService
from .stream_state import StreamState

# Time after which an entry that knows the version of a stream may answer again.
UNKNOWN_VERSION_RETRY_AFTER_MS = 500


class StreamBrokenError(ConnectionAbortError):
    """A stream cannot be resumed; its connection must visibly abort."""


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
        self.sends = EngineSends(
            state, sender, scheduler, retries, clock, origins
        )
        # Times from the first send to the end of an answer, by route.
        self.run_times = ServiceTimes()
        self._standbys = StandbyEngines(self.sends)
        self._reader = reader
        self._origins = origins
        self._scheduler = scheduler
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
            stream.framer.start_after(request.last_event_id)
            await self._find_version(stream)
        async with contextlib.AsyncExitStack() as stack:
            stack.callback(self._scheduler.note_ended, request.request_id)
            stack.push_async_callback(stream.close)
            head, first = await self._open_first_answer(stream)
            if head.status != STATUS_OK:
                body = await self._read_failure(stream, first)
                return HttpResponse(
                    head.status,
                    body,
                    content_type='',
                    headers=head.headers,
                )
            stream.relaying = True
            stream.content_type = media_type(head.headers)
            scope = stack.pop_all()
            return HttpResponse(
                head.status,
                content_type='',
                headers=head.headers,
                chunks=RelayedStream(self._relay(stream, first, scope), scope),
            )

    async def _read_failure(self, stream: StreamState, first: bytes) -> bytes:
        """Returns the whole body of an answer that is no stream.

        Raises:
            RefusalError: If it has no end.
        """
        await self._standbys.release(stream)
        try:
            return await self._reader.read(stream.read_rest(), first)
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

    async def _open_first_answer(
        self, stream: StreamState
    ) -> tuple[TargetAnswer, bytes]:
        """Sends to engines until one returns the start of an answer.

        Returns:
            Head of the answer, and the first bytes of its body.

        Raises:
            RefusalError: If no engine answered.
        """
        while True:
            await self._send(stream)
            try:
                first = await self._next_chunk(stream)
            except SendError as error:
                self.sends.record_failure(stream, stream.present, error)
                if not self.sends.may_send_again(stream):
                    refusal = stream.history.build_refusal(str(error))
                    raise RefusalError(refusal) from error
            else:
                return stream.present.relayed_head, first

    async def _send(self, stream: StreamState) -> None:
        """Sends to an engine, which is the present one from now on."""
        if stream.exchange is not None:
            await stream.exchange.close()
        grant = await self.sends.place(stream)
        exchange = self.sends.build(stream, grant, stream.progress.set)
        await stream.replace(exchange)
        exchange.start()

    async def _relay(
        self,
        stream: StreamState,
        first: bytes,
        stack: contextlib.AsyncExitStack,
    ) -> AsyncGenerator[bytes]:
        """Yields complete events; resumes at another engine on failure."""
        stack.callback(self._log_end, stream)
        chunk = first
        while chunk:
            complete = await self._feed(stream, chunk)
            if complete:
                await self._standbys.release(stream)
                yield complete
                stream.note_event()
            chunk = await self._read_on(stream)
        stream.complete = True

    async def _feed(self, stream: StreamState, chunk: bytes) -> bytes:
        """Returns the events that a chunk completes."""
        try:
            return stream.framer.feed(chunk)
        except EventError as error:
            await self._resume(
                stream, SendError(SendFailure.UNKNOWN, str(error))
            )
        return b''

    async def _read_on(self, stream: StreamState) -> bytes:
        """Returns the next bytes, of another engine if this one fails.

        Raises:
            StreamBrokenError: If no engine can go on with the stream.
        """
        while True:
            try:
                stream.require_events()
                return await self._next_chunk(stream)
            except SendError as error:
                await self._resume(stream, error)
            except RefusalError as refusal:
                raise _broken(refusal, stream.resume_reason) from refusal

    async def _next_chunk(self, stream: StreamState) -> bytes:
        """Returns the next bytes of a stream; empty at its end.

        While the present engine is silent another one may be asked. It goes
        on if it begins its run before the present one delivers an event.

        Raises:
            SendError: If the answer is incomplete, and no other engine has
                been asked.
        """
        while True:
            stream.progress.clear()
            chunk = self._take(stream)
            if chunk is not None:
                return chunk
            if await self._standbys.take_over(stream):
                continue
            left_ms = self.sends.left_ms(stream)
            if stream.relaying and left_ms <= 0:
                raise SendError(
                    SendFailure.UNKNOWN,
                    f'no event for {round(stream.silent_ms)} ms',
                )
            check_ms = self._standbys.ask_if_due(stream)
            await stream.wait(max(min(check_ms, left_ms), 1))

    def _take(self, stream: StreamState) -> bytes | None:
        """Returns bytes that have arrived; None if there are none yet.

        Raises:
            SendError: If there will be no more, and no other engine has been
                asked.
        """
        exchange = stream.present
        try:
            self._check_head(stream, exchange)
            chunk = exchange.take()
            if chunk == b'':
                stream.require_whole(exchange)
            if chunk is not None and not exchange.accepted:
                self.sends.note_accepted(stream, exchange)
        except SendError as error:
            if stream.standby is None:
                raise
            stream.resume_reason = str(error)
            self.sends.record_failure(stream, exchange, error)
            return None
        return chunk

    def _check_head(
        self, stream: StreamState, exchange: EngineExchange
    ) -> None:
        if exchange.accepted or exchange.failed:
            return
        if exchange.has_head():
            self.sends.check_head(stream, exchange, is_resume=stream.relaying)

    async def _resume(self, stream: StreamState, error: SendError) -> None:
        """Resumes an interrupted stream at another engine.

        Raises:
            StreamBrokenError: If the stream cannot be resumed.
        """
        await self._standbys.release(stream)
        stream.framer.discard_partial()
        stream.resume_reason = str(error)
        self.sends.record_failure(stream, stream.present, error)
        if not self.sends.may_send_again(stream):
            raise StreamBrokenError(str(error)) from error
        try:
            await self._send(stream)
        except RefusalError as refusal:
            raise _broken(refusal, str(error)) from refusal

    def _log_end(self, stream: StreamState) -> None:
        request = stream.request
        now_ms = self._clock.steady_ms()
        sent_at_ms = stream.history.first_sent_at_ms
        if stream.complete and sent_at_ms is not None:
            route_name = stream.context.route.name
            self.run_times.note(route_name, now_ms - sent_at_ms)
        log_event(
            Event.STREAM_ENDED,
            request_id=request.request_id,
            complete=stream.complete,
            events=stream.framer.event_count,
            last_event_id=stream.last_event_id,
            sends=stream.history.possible_runs + stream.history.sends_not_run,
            took_ms=round(now_ms - request.received_at_ms),
        )


def _broken(error: RefusalError, reason: str) -> StreamBrokenError:
    detail = error.refusal.detail or str(error)
    return StreamBrokenError(': '.join(filter(None, (reason, detail))))


def _longest_age_ms(stream: StreamState) -> float:
    """Returns for how long a stream that is taken up may have been running."""
    timeout_ms = stream.context.route.timeout_ms
    wait_ms = stream.request.wait_ms
    if wait_ms is None or wait_ms > timeout_ms:
        return timeout_ms
    return timeout_ms - wait_ms
