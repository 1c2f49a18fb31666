"""One connection of a caller: requests, responses and cancellation."""

import asyncio
import contextlib
from collections.abc import (
    AsyncIterator,
    Awaitable,
    Callable,
    Iterator,
    Mapping,
)
from http import HTTPStatus

import h11

from .activity import Activity
from .client_limits.client_guard import ClientGuard
from .client_limits.limit_reports import LimitReason
from .client_limits.memory_budget import HoldPhase
from .client_limits.request_pacing import RefusedRequestError
from .client_limits.request_receiver import RequestReceiver
from .errors import ErrorKind, Refusal, RunStatus
from .events import Event, log_event
from .http_messages import HttpLimits, HttpRequest, HttpResponse
from .http_streams import DisconnectReader, StreamWriter, encode_headers
from .tasks import is_own_cancellation
from .wire import encode_refusal, request_id_of

Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]
# Returns the request id in the headers of a request.
IdReader = Callable[[Mapping[str, str]], str]

MAX_HEAD_BYTES = 32768
# Part of a body that is written at once; the rest is not copied before it is
# its turn.
SEND_BYTES = 65536


class ConnectionAbortError(Exception):
    """Raised by a handler to abort the connection without a response."""


class ServerConnection:
    """One server connection of a caller."""

    def __init__(
        self,
        reader: DisconnectReader,
        writer: asyncio.StreamWriter,
        limits: HttpLimits,
        activity: Activity,
        guard: ClientGuard,
        id_reader: IdReader = request_id_of,
    ) -> None:
        """Wraps both directions of an accepted connection.

        Args:
            reader: Bytes from the caller.
            writer: Bytes to the caller.
            limits: Limits on body size and time.
            activity: Counts the requests in progress.
            guard: Shared by all connections of the process.
            id_reader: Returns the request id for the log.
        """
        self._reader = reader
        self._id_reader = id_reader
        self._writer = StreamWriter(writer, limits.send_timeout_ms)
        self._writer.blocked = self._answering
        self._guard = guard
        self._activity = activity
        self._codec = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=MAX_HEAD_BYTES,
        )
        self._held = guard.budget.open(self._evict)
        self._receiver = RequestReceiver(
            reader, self._writer, self._codec, limits, guard, self._held
        )

    async def serve(self, handler: Handler) -> None:
        """Serves requests until the caller closes or a request is refused.

        Args:
            handler: Coroutine function that responds to each request.

        Raises:
            OSError: If the connection fails or the caller stops reading.
            h11.ProtocolError: If a response violates HTTP.
            ConnectionAbortError: If the handler aborts the connection.
        """
        while await self._receiver.await_first_bytes():
            with self._activity.track():
                if not await self._serve_request(handler):
                    return
            if self._codec.our_state is not h11.DONE:
                return
            self._codec.start_next_cycle()

    async def refuse(self, refusal: Refusal, request_id: str = '') -> None:
        """Sends a refusal if no response has begun, and ends the connection.

        Args:
            refusal: Why the request is not served.
            request_id: Id from the caller, if it was read.
        """
        self._held.phase = HoldPhase.RUNNING
        if self._codec.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        response = encode_refusal(request_id, refusal)
        headers = {**response.headers, 'connection': 'close'}
        await self._send_response(
            HttpResponse(response.status, response.body, headers=headers),
        )
        self._writer.end()
        await self._receiver.linger()

    def close(self) -> None:
        """Releases the memory that is held for the connection."""
        self._held.close()

    async def _serve_request(self, handler: Handler) -> bool:
        """Serves one request; returns False if there is none.

        What it holds is released at its end, not with the next request.
        """
        try:
            headers = await self._receiver.receive()
        except RefusedRequestError as error:
            refused = error.refusal, error.request_id
        else:
            if headers is not None:
                await self._respond(handler, headers)
            return headers is not None
        await self.refuse(*refused)
        return False

    async def _respond(
        self, handler: Handler, headers: Mapping[str, str]
    ) -> None:
        self._held.phase = HoldPhase.RUNNING
        with self._log_abort(headers), self._cancel_on_disconnect():
            response = await self._call_handler(handler, headers)
            if response.chunks is None:
                # A stream may be sent to another target from its body.
                self._receiver.release()
            await self._send_response(response)
        self._receiver.release()
        self._held.phase = HoldPhase.RECEIVING

    def _evict(self) -> None:
        if self._held.phase is HoldPhase.ANSWERING:
            self._guard.report(LimitReason.ANSWER_UNREAD)
            self._writer.abort()
        else:
            self._receiver.evict()

    def _answering(self) -> contextlib.AbstractContextManager[None]:
        return self._held.answering(self._guard.now_ms)

    async def _call_handler(
        self,
        handler: Handler,
        headers: Mapping[str, str],
    ) -> HttpResponse:
        """Returns the handler's response; an unexpected error is refused."""
        try:
            return await handler(self._receiver.take())
        except ConnectionAbortError:
            raise
        except (Exception, asyncio.CancelledError) as error:
            if is_own_cancellation(error):
                raise
            log_event(Event.CONNECTION_FAILED, reason=repr(error))
        refusal = Refusal(ErrorKind.INTERNAL, ran=RunStatus.UNKNOWN)
        return encode_refusal(request_id_of(headers), refusal)

    @contextlib.contextmanager
    def _log_abort(self, headers: Mapping[str, str]) -> Iterator[None]:
        """Logs an error that ends a request without a complete response."""
        sent_before = self._writer.sent_bytes
        try:
            yield
        except (Exception, asyncio.CancelledError) as error:
            log_event(
                Event.RESPONSE_ABORTED,
                request_id=self._id_reader(headers),
                reason=self._abort_reason(error),
                sent_bytes=self._writer.sent_bytes - sent_before,
            )
            raise

    def _abort_reason(self, error: BaseException) -> str:
        if not is_own_cancellation(error):
            return repr(error)
        if self._reader.at_eof() or self._reader.exception() is not None:
            return 'caller disconnected'
        return 'server closed'

    @contextlib.contextmanager
    def _cancel_on_disconnect(self) -> Iterator[None]:
        """Cancels the current task when the caller disconnects."""
        task = asyncio.current_task()
        self._reader.set_disconnect_callback(task.cancel if task else None)
        try:
            yield
        finally:
            self._reader.set_disconnect_callback(None)

    async def _send_response(self, response: HttpResponse) -> None:
        headers = dict(response.headers)
        if response.content_type:
            headers['content-type'] = response.content_type
        if response.chunks is None:
            headers['content-length'] = str(len(response.body))
        else:
            headers['transfer-encoding'] = 'chunked'
        if self._activity.closing:
            headers.setdefault('connection', 'close')
        head = _build_head(response.status, headers)
        encoded = self._codec.send(head) or b''
        if response.chunks is None:
            await self._send_body(encoded, response.body)
        else:
            await self._send_chunks(encoded, response.chunks)

    async def _send_body(self, head: bytes, body: bytes) -> None:
        """Sends a body in parts, so that only one part is copied at a time."""
        encoded = head + self._encode(body[:SEND_BYTES])
        if len(body) > SEND_BYTES:
            self._held.add(len(body), self._guard.now_ms())
        for start in range(SEND_BYTES, len(body), SEND_BYTES):
            await self._writer.send(encoded)
            encoded = self._encode(body[start : start + SEND_BYTES])
        encoded += self._codec.send(h11.EndOfMessage()) or b''
        await self._writer.send(encoded)

    def _encode(self, part: bytes) -> bytes:
        return self._codec.send(h11.Data(data=part)) or b'' if part else b''

    async def _send_chunks(
        self,
        head: bytes,
        chunks: AsyncIterator[bytes],
    ) -> None:
        """Sends a chunked body; closes its source also on errors."""
        async with contextlib.AsyncExitStack() as stack:
            if hasattr(chunks, 'aclose'):
                stack.push_async_callback(chunks.aclose)
            await self._writer.send(head)
            async for chunk in chunks:
                event = h11.Data(data=chunk)
                await self._writer.send(self._codec.send(event))
        await self._writer.send(self._codec.send(h11.EndOfMessage()))


def _build_head(status: int, headers: Mapping[str, str]) -> h11.Response:
    """Returns the head of a response, without headers that are invalid.

    The request may have run, so its answer must not be lost with a header.
    """
    try:
        return h11.Response(status_code=status, headers=encode_headers(headers))
    except (ValueError, h11.LocalProtocolError):
        valid = {
            name: text
            for name, text in headers.items()
            if _is_valid_header(name, text)
        }
    return h11.Response(status_code=status, headers=encode_headers(valid))


def _is_valid_header(name: str, text: str) -> bool:
    """Returns whether a header can be written; logs one that can not."""
    try:
        h11.Response(
            status_code=HTTPStatus.OK, headers=encode_headers({name: text})
        )
    except (ValueError, h11.LocalProtocolError) as error:
        log_event(Event.HEADER_DROPPED, name=name, reason=str(error))
        return False
    return True
