"""Receives requests of one connection, within limits of size and time."""

import asyncio
import contextlib
from collections.abc import Mapping

import h11

from ..clock import MS_PER_S
from ..errors import ErrorKind, Refusal
from ..http_messages import HttpLimits, HttpRequest, split_request_target
from ..http_streams import (
    DisconnectReader,
    StreamWriter,
    decode_headers,
)
from ..wire import request_id_of
from .body_buffer import BodyBuffer
from .client_guard import ClientGuard
from .memory_budget import HeldMemory
from .request_pacing import RefusedRequestError, RequestPacing

# Longest time to read on after a refusal, while the caller may still be
# sending its body, and most bytes that are read in it.
LINGER_S = 0.5
LINGER_BYTES = 262_144
STATUS_HEADER_TOO_LARGE = 431
# Bytes that are parsed at once. The parser keeps them until the connection is
# closed, also after an eviction.
PARSE_BYTES = 16_384
# Longest detail in the refusal of a malformed request.
MAX_DETAIL_CHARS = 200


class RequestReceiver:
    """Reads and parses the requests of one connection."""

    def __init__(
        self,
        reader: DisconnectReader,
        writer: StreamWriter,
        codec: h11.Connection,
        limits: HttpLimits,
        guard: ClientGuard,
        held: HeldMemory,
    ) -> None:
        """Wraps one connection.

        Args:
            reader: Bytes from the caller.
            writer: Bytes to the caller.
            codec: Parses the bytes.
            limits: Limits on body size and time.
            guard: Shared by all connections.
            held: Memory held for this connection.
        """
        self._reader = reader
        self._writer = writer
        self._codec = codec
        self._limits = limits
        self._guard = guard
        self._held = held
        self._read_bytes = 0
        self._body = BodyBuffer()
        self._pacing = RequestPacing(limits, guard, held)
        self._request: HttpRequest | None = None
        reader.on_bytes = self._note_bytes

    async def await_first_bytes(self) -> bool:
        """Waits for the first bytes of a request.

        Returns:
            False if the caller closed or the idle timeout passed.
        """
        if self._codec.trailing_data[0]:
            return True
        timeout_s = self._limits.idle_timeout_ms / MS_PER_S
        try:
            async with asyncio.timeout(timeout_s):
                received = await self._read()
        except TimeoutError:
            # A busy process may see the timeout and a request at once.
            if self._reader.received_bytes == self._read_bytes:
                return False
            received = await self._read()
        if self._held.evicted:
            # The bytes were dropped; ``receive`` refuses.
            return True
        self._codec.receive_data(received)
        return bool(received)

    async def receive(self) -> Mapping[str, str] | None:
        """Reads a complete request, once its first bytes have arrived.

        Returns:
            Its headers, or None if the caller disconnected. The request itself
            is left to ``take``.

        Raises:
            RefusedRequestError: If it is malformed or too large, makes no
                progress, or there is no memory for it.
        """
        try:
            async with self._pacing.receiving():
                self._request = await self._receive_complete()
        except h11.RemoteProtocolError as error:
            too_large = error.error_status_hint == STATUS_HEADER_TOO_LARGE
            kind = ErrorKind.BAD_REQUEST
            if too_large:
                kind = ErrorKind.HEADER_TOO_LARGE
            detail = str(error)[:MAX_DETAIL_CHARS]
            refusal = Refusal(kind, detail=detail)
            raise RefusedRequestError(refusal) from error
        finally:
            # The traceback of an error would keep it.
            self._body = BodyBuffer()
        return self._request.headers if self._request else None

    def take(self) -> HttpRequest:
        """Returns the request that was received; it is not kept here.

        Raises:
            LookupError: If there is none.
        """
        request = self._request
        self._request = None
        if request is None:
            raise LookupError('no request')
        return request

    def release(self) -> None:
        """Notes that only bytes which were not parsed are still held."""
        unread_bytes = self._reader.received_bytes - self._read_bytes
        unparsed_bytes = len(self._codec.trailing_data[0])
        self._held.hold(unread_bytes + unparsed_bytes)

    def evict(self) -> None:
        """Drops the body at once and ends ``receive`` with a refusal."""
        self._body.clear()
        self._drop_rest()
        self._pacing.evict()

    async def linger(self) -> None:
        """Reads on for a while after a refusal.

        Closing a socket with unread bytes sends a reset, which may discard
        the refusal before the caller has read it. Above ``LINGER_BYTES``
        nothing is read, and the caller still has the rest of the time.
        """
        self._drop_rest()
        self._held.hold(0)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LINGER_S):
                await self._reader.read()

    def _drop_rest(self) -> None:
        self._reader.drop(self._writer.transport, LINGER_BYTES)

    def _note_bytes(self, size_bytes: int) -> None:
        now_ms = self._guard.now_ms()
        self._held.add(size_bytes, now_ms)
        self._pacing.note_arrival(now_ms)

    async def _read(self) -> bytes:
        received = await self._reader.read(PARSE_BYTES)
        self._read_bytes += len(received)
        return received

    async def _receive_complete(self) -> HttpRequest | None:
        head = await self._next_event()
        if not isinstance(head, h11.Request):
            return None
        headers = decode_headers(head.headers)
        request_id = request_id_of(headers)
        _require_single_length(headers, request_id)
        self._require_size(headers.get('content-length', '0'), request_id)
        if not await self._receive_body(request_id):
            return None
        self._pacing.require_memory()
        try:
            path, query = split_request_target(head.target.decode('latin-1'))
        except ValueError as error:
            refusal = Refusal(ErrorKind.BAD_REQUEST, detail=str(error))
            raise RefusedRequestError(refusal, request_id) from error
        return HttpRequest(
            method=head.method.decode('ascii'),
            path=path,
            query=query,
            headers=headers,
            body=self._body.join(),
            target=head.target.decode('latin-1'),
        )

    async def _receive_body(self, request_id: str) -> bool:
        """Reads a body to its end; False if the caller disconnected."""
        self._pacing.start_body()
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return True
            if not isinstance(event, h11.Data):
                return False
            self._body.add(event.data)
            self._require_size(self._body.size_bytes, request_id)
            await self._pacing.note_piece(self._body.size_bytes)

    def _require_size(self, size_bytes: int | str, request_id: str) -> None:
        if int(size_bytes) > self._limits.max_body_bytes:
            limit_bytes = self._limits.max_body_bytes
            detail = f'at most {limit_bytes} bytes'
            refusal = Refusal(ErrorKind.BODY_TOO_LARGE, detail=detail)
            raise RefusedRequestError(refusal, request_id)

    async def _next_event(self) -> object:
        while True:
            event = self._codec.next_event()
            if event is not h11.NEED_DATA:
                return event
            if self._codec.they_are_waiting_for_100_continue:
                continue_response = h11.InformationalResponse(
                    status_code=100, headers=[]
                )
                await self._writer.send(self._codec.send(continue_response))
            if self._pacing.in_body:
                self._pacing.note_progress(self._body.size_bytes)
                await self._pacing.await_room()
            self._pacing.require_memory()
            received = await self._read()
            self._pacing.require_memory()
            self._codec.receive_data(received)


def _require_single_length(headers: Mapping[str, str], request_id: str) -> None:
    """Refuses a body with two lengths, which can hide another request.

    Parsers that choose different lengths see different requests
    (request smuggling).
    """
    if 'content-length' in headers and 'transfer-encoding' in headers:
        refusal = Refusal(ErrorKind.BAD_REQUEST, detail='two body lengths')
        raise RefusedRequestError(refusal, request_id)
