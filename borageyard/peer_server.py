"""Server for the streams that peers open."""

import asyncio
import contextlib
import functools
from collections.abc import Callable, Mapping

import pydantic
from opentelemetry import trace

from .client_limits.limit_reports import LimitReason
from .client_limits.memory_budget import HeldMemory
from .clock import MS_PER_S
from .events import Event, log_event
from .generated.peer_frames import PeerFrameBody, PeerGreetingBody
from .http_messages import split_address
from .peer_codec import FrameError
from .peer_stream import (
    FRAME_FAILURE,
    FRAME_NEWS,
    FRAME_PING,
    FRAME_PONG,
    FRAME_REPLY,
    FRAME_REQUEST,
    HANDLER_FAILED,
    STREAM_ERRORS,
    FrameOutbox,
    PeerContext,
    receive_frame,
    receive_greeting,
    send_greeting,
)
from .peers import GossipSection, PeerError, PeerHandler
from .tasks import is_own_cancellation, running_tasks
from .trace_context import peer_span

# Streams that have not greeted yet; more are closed. A greeting arrives at
# once, so a whole deployment that starts together stays below.
MAX_STRANGERS = 512


class PeerDispatcher:
    """Dispatches requests and gossip of peers by message kind."""

    def __init__(self, tracer: trace.Tracer | None = None) -> None:
        """Starts without handlers.

        Args:
            tracer: Creates a span for each request; without it there are no
                spans.
        """
        self._tracer = tracer
        self.handlers: dict[
            str,
            tuple[type[pydantic.BaseModel], PeerHandler],
        ] = {}
        self.sections: dict[str, GossipSection] = {}
        # Peers and kinds of sections whose last section could not be used.
        self._failing: set[tuple[str, str]] = set()

    async def handle_request(
        self, peer_id: str, frame: PeerFrameBody
    ) -> PeerFrameBody:
        """Runs the handler of a request.

        Args:
            peer_id: Instance id of the sender.
            frame: The request frame.

        Returns:
            A reply frame, or a failure frame with the reason.
        """
        registered = self.handlers.get(frame.kind)
        if registered is None:
            return _failure(frame, 'unknown kind')
        model, handler = registered
        try:
            message = model.model_validate(frame.body)
        except pydantic.ValidationError:
            return _failure(frame, 'malformed request')
        try:
            with peer_span(self._tracer, frame.kind, frame.trace_parent):
                reply = await handler(peer_id, message)
        except (Exception, asyncio.CancelledError) as error:
            if is_own_cancellation(error):
                raise
            log_event(
                Event.PEER_HANDLER_FAILED,
                peer_id=peer_id,
                kind=frame.kind,
                reason=repr(error),
            )
            return _failure(frame, HANDLER_FAILED)
        return PeerFrameBody(
            type=FRAME_REPLY,
            id=frame.id,
            body=reply.model_dump(exclude_defaults=True),
        )

    def consume_gossip(
        self, peer_id: str, sections: Mapping[str, object]
    ) -> int:
        """Passes the sections of a gossip message to their consumers.

        Args:
            peer_id: Instance id of the sender.
            sections: Message bodies by kind.

        Returns:
            Number of sections of unknown kind, with malformed content or
            on which their consumer failed.
        """
        consumed = [
            self._consume(peer_id, kind, body)
            for kind, body in sections.items()
        ]
        return consumed.count(False)

    def _consume(self, peer_id: str, kind: str, body: object) -> bool:
        """Consumes a section; returns False if it can't be used."""
        section = self.sections.get(kind)
        if section is None:
            return False
        try:
            section.consume(peer_id, section.model.model_validate(body))
        except pydantic.ValidationError:
            return False
        except Exception as error:
            # The other sections and the stream must go on.
            self._log_failure(peer_id, kind, error)
            return False
        self._failing.discard((peer_id, kind))
        return True

    def _log_failure(self, peer_id: str, kind: str, error: Exception) -> None:
        """Logs the first of several failures, as gossip is periodic."""
        if (peer_id, kind) not in self._failing:
            self._failing.add((peer_id, kind))
            log_event(
                Event.PEER_HANDLER_FAILED,
                peer_id=peer_id,
                kind=kind,
                reason=repr(error),
            )


class PeerServer:
    """Accepts streams of peers; limits apply to each stream."""

    def __init__(
        self, dispatcher: PeerDispatcher, context: PeerContext
    ) -> None:
        """Creates a server that does not listen yet.

        Args:
            dispatcher: Handles requests and gossip.
            context: Identity, limits and counters of this entry.
        """
        self.address = ''
        self._dispatcher = dispatcher
        self._context = context
        self._server: asyncio.Server | None = None
        self._streams: set[asyncio.Task[None]] = set()
        self._incarnations: dict[str, int] = {}
        self._strangers: set[asyncio.StreamWriter] = set()

    async def start(self, address: str) -> None:
        """Starts to listen and sets `address` to the bound address.

        Args:
            address: IP address and port; port 0 selects a free one.
        """
        host, port = split_address(address)
        self._server = await asyncio.start_server(
            self._accept,
            host,
            port,
            ssl=self._context.server_tls,
        )
        bound = self._server.sockets[0].getsockname()
        self.address = f'{host}:{bound[1]}'

    async def close(self) -> None:
        """Stops listening and closes all streams."""
        if self._server is not None:
            self._server.close()
        for task in tuple(self._streams):
            task.cancel()
        await asyncio.gather(*self._streams, return_exceptions=True)

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        task = asyncio.current_task()
        with contextlib.ExitStack() as stack:
            stack.callback(writer.transport.abort)
            if task is not None:
                self._streams.add(task)
                stack.callback(self._streams.discard, task)
            # Otherwise asyncio logs the cancellation of a stream as an error.
            stack.enter_context(contextlib.suppress(asyncio.CancelledError))
            try:
                await self._serve(reader, writer)
            except STREAM_ERRORS as error:
                self._log_stream_error(error)

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        greeting = await self._receive_greeting(reader, writer)
        peer_id = greeting.instance_id
        if greeting.incarnation < self._incarnations.get(peer_id, 0):
            raise PeerError(
                f'{peer_id} greeted with an incarnation that has been replaced'
            )
        self._incarnations[peer_id] = greeting.incarnation
        self._context.on_contact(peer_id, greeting.incarnation)
        self._report_address(greeting)
        await send_greeting(writer, self._context)
        stream = InboundStream(
            greeting,
            self._dispatcher,
            self._context,
            writer.transport.abort,
        )
        async with running_tasks(
            functools.partial(stream.outbox.drain_to, writer)
        ):
            await stream.serve(reader)

    async def _receive_greeting(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> PeerGreetingBody:
        if len(self._strangers) >= MAX_STRANGERS:
            report_limit(self._context)
            raise PeerError('too many streams without a greeting')
        with contextlib.ExitStack() as stack:
            self._strangers.add(writer)
            stack.callback(self._strangers.discard, writer)
            return await receive_greeting(reader, self._context)

    def _report_address(self, greeting: PeerGreetingBody) -> None:
        listener = self._context.on_address
        if greeting.peer_address and listener is not None:
            listener(
                greeting.instance_id,
                greeting.incarnation,
                greeting.peer_address,
            )

    def _log_stream_error(self, error: Exception) -> None:
        if isinstance(error, FrameError):
            self._context.counters.broken_frames += 1
            log_event(Event.PEER_FRAME_BROKEN, reason=str(error))
        if isinstance(error, PeerError):
            log_event(Event.PEER_REFUSED, reason=str(error))


class InboundStream:
    """An accepted stream after the exchange of greetings."""

    def __init__(
        self,
        greeting: PeerGreetingBody,
        dispatcher: PeerDispatcher,
        context: PeerContext,
        abort: Callable[[], None],
    ) -> None:
        """Creates the stream with an empty outbox.

        Args:
            greeting: Greeting of the peer that opened the stream.
            dispatcher: Handles requests and gossip.
            context: Limits and counters.
            abort: Closes the stream immediately.
        """
        self.outbox = FrameOutbox(context)
        self._peer_id = greeting.instance_id
        self._incarnation = greeting.incarnation
        self._dispatcher = dispatcher
        self._context = context
        self._abort = abort
        self._request_tasks: set[asyncio.Task[None]] = set()

    async def serve(self, reader: asyncio.StreamReader) -> None:
        """Processes frames until the stream ends.

        Running requests are cancelled then.

        Args:
            reader: Stream to read from.
        """
        async with contextlib.AsyncExitStack() as stack:
            stack.callback(self._cancel_requests)
            held = self._open_account(stack)
            while True:
                frame = await receive_frame(
                    reader, self._context, functools.partial(_count_part, held)
                )
                if held is not None:
                    held.hold(0)
                self._dispatch(frame)

    def _open_account(
        self, stack: contextlib.AsyncExitStack
    ) -> HeldMemory | None:
        guard = self._context.guard
        if guard is None:
            return None
        held = guard.budget.open(self._evict)
        stack.callback(held.close)
        return held

    def _evict(self) -> None:
        report_limit(self._context)
        self._abort()

    def _dispatch(self, frame: PeerFrameBody) -> None:
        self._context.on_contact(self._peer_id, self._incarnation)
        if frame.type == FRAME_PING:
            self._reply(PeerFrameBody(type=FRAME_PONG))
        elif frame.type == FRAME_NEWS:
            rejected = self._dispatcher.consume_gossip(
                self._peer_id, frame.body
            )
            self._context.counters.news_unknown += rejected
        elif frame.type == FRAME_REQUEST:
            self._start_request(frame)

    def _start_request(self, frame: PeerFrameBody) -> None:
        if len(self._request_tasks) >= self._context.settings.max_requests:
            self._context.counters.requests_refused += 1
            self._reply(_failure(frame, 'too many requests'))
            return
        task = asyncio.ensure_future(self._handle(frame))
        self._request_tasks.add(task)
        task.add_done_callback(self._request_tasks.discard)

    async def _handle(self, frame: PeerFrameBody) -> None:
        reply = await self._dispatcher.handle_request(self._peer_id, frame)
        try:
            self._reply(reply)
        except FrameError as error:
            self._reply(_failure(frame, str(error)))

    def _reply(self, frame: PeerFrameBody) -> None:
        if not self.outbox.put(frame):
            # A lost reply must not go unnoticed, so the stream is closed,
            # which the peer notices.
            self._context.counters.requests_refused += 1
            self._abort()

    def _cancel_requests(self) -> None:
        for task in self._request_tasks:
            task.cancel()
        if self._context.on_stream_ended is not None:
            self._context.on_stream_ended(self._peer_id)


def report_limit(context: PeerContext) -> None:
    """Reports a stream that met a limit."""
    if context.guard is not None:
        context.guard.report(LimitReason.PEER_STREAM)


def _count_part(held: HeldMemory | None, size_bytes: int) -> None:
    if held is not None:
        now_s = asyncio.get_running_loop().time()
        held.add(size_bytes, now_s * MS_PER_S)


def _failure(frame: PeerFrameBody, reason: str) -> PeerFrameBody:
    return PeerFrameBody(type=FRAME_FAILURE, id=frame.id, reason=reason)
