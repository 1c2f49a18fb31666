"""HTTP/1.1 client on h11 with pooled connections.

Failures tell whether the server may have seen the request.
"""

import asyncio
import collections
import contextlib
import dataclasses
import enum
import itertools
import ssl
from collections.abc import (
    AsyncGenerator,
    AsyncIterator,
    Callable,
    Iterator,
    Mapping,
)
from types import TracebackType
from typing import Protocol, Self

import h11

from .clock import MS_PER_S
from .connection_ends import await_clean_end
from .events import Event, log_event
from .field_checks import parse_count
from .http_messages import HttpLimits, split_address
from .http_streams import (
    Connect,
    CountingReader,
    StreamWriter,
    decode_headers,
    encode_headers,
    open_stream,
)
from .response_heads import require_unfolded
from .send_trace import SendTrace
from .sent_keys import SentKeys

READ_SIZE_BYTES = 65536
MAX_IDLE_CONNECTIONS = 32
# Shorter than the idle timeout of servers, so that no request is sent on a
# connection that the server is about to close.
MAX_IDLE_S = 15
# Share of the idle timeout in a "keep-alive" header for which to keep it.
KEEP_ALIVE_SHARE = 0.6
# Bytes of a response besides its body: head, framing of chunks, and answers to
# other requests that come before it.
MAX_OVERHEAD_BYTES = 1_048_576
# Interim responses and answers to other requests that are skipped.
MAX_SKIPPED_RESPONSES = 16
# Longest time for a body that only has to keep arriving: the largest one at
# 0.2 MB/s.
MAX_BODY_MS = 20_000
# Pieces of a body after which other tasks get their turn.
PIECES_PER_TURN = 64
# Numbers of the connections of this process, for the log.
CONNECTION_IDS = itertools.count(1)


class AnswerMatch(enum.Enum):
    """Whether a response belongs to a call."""

    OWN = 'own'
    FOREIGN = 'foreign'
    # It names no request, so a copy of it can't be told from the answer to a
    # later call. It counts if no such response came before on its connection,
    # which is not used again.
    UNNAMED = 'unnamed'


# Compares the status and the headers of a response with a call.
AnswerCheck = Callable[[int, Mapping[str, str]], AnswerMatch]


def match_unnamed(status: int, headers: Mapping[str, str]) -> AnswerMatch:
    """Accepts any response, on a connection that is not used again."""
    return AnswerMatch.UNNAMED


class AnswerMismatchError(Exception):
    """The body of a response does not answer the call.

    Raised by readers of streamed responses; the connection is closed then.
    """


class AmbiguousAnswerError(Exception):
    """A whole response that a copy of it could not be told from.

    Raised by readers of streamed responses, which use the response; the
    connection is closed then.
    """


class HttpCallError(Exception):
    """A call did not get a complete response."""

    def __init__(
        self, reason: str, sent: bool, received_bytes: int = 0
    ) -> None:
        """Records the failure of a call.

        Args:
            reason: What went wrong.
            sent: Whether the server may have seen the request.
            received_bytes: Bytes of the response that had arrived, if the
                call took too long.
        """
        super().__init__(reason)
        self.reason = reason
        self.sent = sent
        self.received_bytes = received_bytes


@dataclasses.dataclass(frozen=True, slots=True)
class HttpCall:
    """One request to another process."""

    address: str
    method: str
    path: str
    body: bytes = b''
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)
    timeout_ms: float = 10_000
    # Whether a pooled connection may be used.
    reuse: bool = True
    # Whether it may be sent again if a pooled connection was closed.
    repeatable: bool = True
    # Maximum size of the response body; None for the limit of the client.
    max_body_bytes: int | None = None
    # Tells whether a response belongs to this call; None accepts all.
    match_answer: AnswerCheck | None = None
    # Request that other calls may send as well: none of them goes over the
    # same connection. Empty for calls that are made once.
    send_key: str = ''
    # Target that gets new work; empty for other calls.
    target_id: str = ''
    # Called before each send, with whether it repeats one. Returns why it must
    # not be made, or an empty text.
    refuse_send: Callable[[bool], str] | None = None
    # Whether a peer must make the call, if there are peers.
    through_peer: bool = False
    # If set, the timeout ends with the first part of the body, and this bounds
    # the time to each further one. For ``request`` only.
    max_gap_ms: float | None = None
    # Called with the size of each part of such a body.
    on_part: Callable[[int], None] | None = None
    # Header in which answers name their request, for the log.
    answer_id_header: str = ''
    # Filled in with the connection and the kind of answer.
    trace: SendTrace = dataclasses.field(default_factory=SendTrace)

    @property
    def pool_key(self) -> tuple[str, bool]:
        """Returns what connections that may carry the call have in common.

        A copy of an answer to a call without a key can't be told from the
        answer to the next one, so a request must never come to read it.
        """
        return self.address, bool(self.send_key)


@dataclasses.dataclass(frozen=True, slots=True)
class HttpReply:
    """A response with its complete body."""

    status: int
    headers: Mapping[str, str]
    body: bytes


# Status, headers and body of a response that is read as it arrives.
StreamedReply = tuple[int, Mapping[str, str], AsyncIterator[bytes]]


class CallClient(Protocol):
    """Makes calls to other processes."""

    async def request(self, call: HttpCall) -> HttpReply:
        """Sends a request and waits for the complete response.

        Args:
            call: The request.

        Raises:
            HttpCallError: If no complete response arrived in time.
        """

    def stream(
        self, call: HttpCall
    ) -> contextlib.AbstractAsyncContextManager[StreamedReply]:
        """Sends a request; the response body is read as it arrives.

        Args:
            call: The request; its timeout bounds the whole exchange.

        Raises:
            HttpCallError: If the exchange failed or took too long; also
                raised while the body is read.
        """


class ClientConnection:
    """One client connection to one address."""

    def __init__(
        self,
        reader: CountingReader,
        writer: asyncio.StreamWriter,
        limits: HttpLimits,
    ) -> None:
        """Wraps both directions of an open connection.

        Args:
            reader: Bytes from the server.
            writer: Bytes to the server.
            limits: Limits on body size and send time.
        """
        self._reader = reader
        self._raw_writer = writer
        self._writer = StreamWriter(writer, limits.send_timeout_ms)
        self._limits = limits
        self._max_body_bytes = limits.max_body_bytes
        self._codec = h11.Connection(h11.CLIENT)
        self._consumed_bytes = 0
        self._response_start_bytes = 0
        # Size of the latest request.
        self._request_bytes = 0
        # Whether the server has ended its direction.
        self._at_end = False
        # Pieces of bodies that were read.
        self._pieces = 0
        self._sent_keys = SentKeys()
        self.connection_id = next(CONNECTION_IDS)
        self.calls = 0
        # Whether no further call may be made on it.
        self.retired = False
        self.idle_since_s: float = 0
        self.keep_alive_s: float = MAX_IDLE_S

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent on this connection.

        Unsolicited bytes make a connection unusable: they would be taken
        for the next response.
        """
        unconsumed_bytes = self._reader.received_bytes - self._consumed_bytes
        clean = not unconsumed_bytes and not self._codec.trailing_data[0]
        clean = clean and not self._writer.has_unsent
        closed = self._reader.at_eof() or self._raw_writer.is_closing()
        idle = self._codec.our_state is h11.IDLE and not self.retired
        return idle and clean and not closed

    @property
    def stale(self) -> bool:
        """Whether a reused connection got no byte of its latest response."""
        return (
            self.calls > 1
            and self._consumed_bytes == self._response_start_bytes
        )

    @property
    def response_bytes(self) -> int:
        """Bytes that have arrived since the latest request was sent."""
        return self._consumed_bytes - self._response_start_bytes

    def send(self, call: HttpCall) -> None:
        """Writes a complete request without waiting for it to be sent.

        A server may respond before it has read the body.

        Args:
            call: The request.

        Raises:
            OSError: If the connection is closed.
            HttpCallError: If the request can't be encoded.
        """
        self.calls += 1
        call.trace.note_sent(
            self.connection_id, self.calls, sent_before=self.has_sent(call)
        )
        now_s = asyncio.get_running_loop().time()
        until_s = now_s + call.timeout_ms / MS_PER_S
        self._sent_keys.add(call.send_key, now_s, until_s)
        self._response_start_bytes = self._consumed_bytes
        self._max_body_bytes = (
            call.max_body_bytes or self._limits.max_body_bytes
        )
        if self._raw_writer.is_closing():
            raise ConnectionResetError('connection closed')
        try:
            encoded = self._encode(call)
        except (ValueError, h11.LocalProtocolError) as error:
            raise HttpCallError(
                f'request is invalid: {error}', False
            ) from error
        self._request_bytes = len(encoded)
        self._writer.write(encoded)

    def has_sent(self, call: HttpCall) -> bool:
        """Returns whether the request of a call was sent on this connection.

        A copy of the answer to that send could not be told from the answer to
        another one.

        Args:
            call: A call.
        """
        return self._sent_keys.has(call.send_key)

    def expect_another_response(self, call: HttpCall) -> bool:
        """Prepares to read another response after one to another request.

        Args:
            call: The request that was sent on this connection.

        Returns:
            Whether another response can follow on this connection.
        """
        trailing, closed = self._codec.trailing_data
        if closed or self._codec.their_state is not h11.IDLE:
            return False
        self._codec = h11.Connection(h11.CLIENT)
        self._encode(call)
        if trailing:
            # Empty bytes would stand for the end of the connection.
            self._codec.receive_data(trailing)
        return True

    def is_usable(self, now_s: float) -> bool:
        """Tells whether an idle connection can carry another call.

        Args:
            now_s: Current time of the event loop.
        """
        is_kept_alive = now_s - self.idle_since_s <= self.keep_alive_s
        return is_kept_alive and self.reusable

    async def receive_head(self) -> tuple[int, dict[str, str]]:
        """Reads the status and the headers of a response.

        Raises:
            HttpCallError: If the connection was closed before a response, or
                too many interim responses come first.
        """
        event = await self._next_event()
        for _ in range(MAX_SKIPPED_RESPONSES):
            if not isinstance(event, h11.InformationalResponse):
                break
            event = await self._next_event()
        if isinstance(event, h11.InformationalResponse):
            raise HttpCallError('too many interim responses', sent=True)
        if not isinstance(event, h11.Response):
            raise HttpCallError('connection closed before a response', True)
        headers = decode_headers(event.headers)
        self.keep_alive_s = min(self.keep_alive_s, _keep_alive_s(headers))
        return event.status_code, headers

    async def receive_body(self) -> bytes:
        """Reads the complete body.

        Raises:
            HttpCallError: If it is truncated or exceeds the size limit.
        """
        body = bytearray()
        while chunk := await self._next_chunk():
            body += chunk
            self._require_size(len(body))
        return bytes(body)

    async def receive_chunks(self) -> AsyncGenerator[bytes, None]:
        """Yields the body in chunks as they arrive.

        Raises:
            HttpCallError: If it is truncated or exceeds the size limit, or
                the connection failed.
        """
        size_bytes = 0
        while chunk := await self._receive_chunk():
            size_bytes += len(chunk)
            self._require_size(size_bytes)
            yield bytes(chunk)

    def close(self) -> None:
        """Aborts the connection."""
        self._raw_writer.transport.abort()

    def _encode(self, call: HttpCall) -> bytes:
        headers = {
            'host': call.address,
            **call.headers,
            'content-length': str(len(call.body)),
        }
        head = h11.Request(
            method=call.method,
            target=call.path,
            headers=encode_headers(headers),
        )
        encoded = self._codec.send(head) or b''
        if call.body:
            encoded += self._codec.send(h11.Data(data=call.body)) or b''
        return encoded + (self._codec.send(h11.EndOfMessage()) or b'')

    async def _receive_chunk(self) -> bytes | bytearray:
        try:
            return await self._next_chunk()
        except (OSError, h11.ProtocolError) as error:
            raise HttpCallError(str(error) or 'reset', sent=True) from error

    async def _next_chunk(self) -> bytes | bytearray:
        """Returns the next part of the body, or empty bytes at its end."""
        self._pieces += 1
        if self._pieces % PIECES_PER_TURN == 0:
            await asyncio.sleep(0)
        event = await self._next_event()
        while isinstance(event, h11.Data):
            if event.data:
                return event.data
            event = await self._next_event()
        if not isinstance(event, h11.EndOfMessage):
            raise HttpCallError('response is truncated', sent=True)
        if self._at_end:
            await await_clean_end(self._raw_writer, self._request_bytes)
        if self._codec.our_state is h11.DONE:
            with contextlib.suppress(h11.ProtocolError):
                self._codec.start_next_cycle()
        return b''

    def _require_size(self, size_bytes: int) -> None:
        if size_bytes > self._max_body_bytes:
            raise HttpCallError('response is too large', sent=True)

    async def _next_event(self) -> object:
        while True:
            if self._codec.their_state is h11.SEND_RESPONSE:
                require_unfolded(self._codec.trailing_data[0])
            event = self._codec.next_event()
            if event is not h11.NEED_DATA:
                return event
            received = await self._reader.read(READ_SIZE_BYTES)
            self._consumed_bytes += len(received)
            self._at_end = not received
            if self.response_bytes > self._max_body_bytes + MAX_OVERHEAD_BYTES:
                raise HttpCallError('response is too large', sent=True)
            self._codec.receive_data(received)


@dataclasses.dataclass(slots=True)
class Exchange:
    """Progress of a call: its connection and whether it was sent."""

    connection: ClientConnection | None = None
    sent: bool = False

    @property
    def received_bytes(self) -> int:
        """Bytes of the response that have arrived."""
        if self.connection is None:
            return 0
        return self.connection.response_bytes

    @property
    def open_connection(self) -> ClientConnection:
        """The connection of a call.

        Raises:
            HttpCallError: If the call has no connection yet.
        """
        if self.connection is None:
            raise HttpCallError('not connected', sent=False)
        return self.connection

    def note_send(self, call: HttpCall) -> None:
        """Records that a call is sent, for the first time or again.

        Args:
            call: The call.

        Raises:
            HttpCallError: If the call must not be sent now.
        """
        reason = call.refuse_send(self.sent) if call.refuse_send else ''
        if reason:
            raise HttpCallError(reason, self.sent)
        self.sent = True


class HttpClient:
    """Sends requests over pooled connections."""

    def __init__(
        self,
        limits: HttpLimits | None = None,
        tls: ssl.SSLContext | None = None,
        connect: Connect = open_stream,
    ) -> None:
        """Creates a client without opening connections.

        Args:
            limits: Limits on body size, connect time and send time.
            tls: TLS context, or None for plain TCP.
            connect: Opens connections.
        """
        self._connect_stream = connect
        self._limits = limits or HttpLimits()
        self._tls = tls
        self._idle: dict[
            tuple[str, bool], collections.deque[ClientConnection]
        ] = {}

    async def __aenter__(self) -> Self:
        """Returns the client."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Closes all idle connections."""
        for connections in self._idle.values():
            for connection in connections:
                connection.close()
        self._idle.clear()

    async def request(self, call: HttpCall) -> HttpReply:
        """Sends a request and reads the complete response.

        Args:
            call: The request.

        Returns:
            The response.

        Raises:
            HttpCallError: If no complete response arrived in time.
        """
        with self._exchange_for(call) as exchange:
            async with asyncio.timeout(call.timeout_ms / MS_PER_S) as limit:
                status, headers = await self._exchange_head(call, exchange)
                connection = exchange.open_connection
                if call.max_gap_ms is None:
                    body = await connection.receive_body()
                else:
                    body = await _receive_parts(
                        call, connection, limit, call.max_gap_ms
                    )
        return HttpReply(status, headers, body)

    @contextlib.asynccontextmanager
    async def stream(
        self,
        call: HttpCall,
    ) -> AsyncIterator[StreamedReply]:
        """Sends a request and yields the response body as it arrives.

        Args:
            call: The request; its timeout bounds the whole exchange.

        Yields:
            The status, the headers and an iterator over body chunks.

        Raises:
            HttpCallError: If the exchange failed or took too long.
        """
        with self._exchange_for(call) as exchange:
            async with asyncio.timeout(call.timeout_ms / MS_PER_S):
                status, headers = await self._exchange_head(call, exchange)
                yield status, headers, exchange.open_connection.receive_chunks()

    @contextlib.contextmanager
    def _exchange_for(self, call: HttpCall) -> Iterator[Exchange]:
        """Converts failures to call errors; pools or closes the connection."""
        exchange = Exchange()
        try:
            with _retiring(exchange):
                yield exchange
        except TimeoutError as error:
            raise HttpCallError(
                'timed out', exchange.sent, exchange.received_bytes
            ) from error
        except (OSError, h11.ProtocolError) as error:
            reason = str(error) or 'reset'
            raise HttpCallError(reason, exchange.sent) from error
        except AnswerMismatchError as error:
            raise HttpCallError(str(error), exchange.sent) from error
        finally:
            if exchange.connection is not None:
                self._release(call, exchange.connection)

    async def _exchange_head(
        self,
        call: HttpCall,
        exchange: Exchange,
    ) -> tuple[int, dict[str, str]]:
        """Sends a call and reads the head of its response.

        The server may close a pooled connection while the request is in
        flight; a call that is ``repeatable`` is then sent again on another
        connection.
        """
        while True:
            connection = await self._connect(call)
            exchange.connection = connection
            exchange.note_send(call)
            try:
                connection.send(call)
                return await self._receive_matching_head(call, connection)
            except (OSError, h11.ProtocolError, HttpCallError) as error:
                if not _may_resend(call, connection, error):
                    raise
            connection.close()

    async def _receive_matching_head(
        self,
        call: HttpCall,
        connection: ClientConnection,
    ) -> tuple[int, dict[str, str]]:
        """Reads responses until one belongs to the call; skips others."""
        for _ in range(MAX_SKIPPED_RESPONSES):
            status, headers = await connection.receive_head()
            if _is_accepted(call, connection, status, headers):
                return status, headers
            await connection.receive_body()
            log_event(
                Event.ANSWER_FOREIGN,
                target_id=call.target_id or call.address,
                request_id=call.send_key,
                foreign_id=headers.get(call.answer_id_header, ''),
                status=status,
                connection_id=connection.connection_id,
                call_number=connection.calls,
            )
            if not connection.expect_another_response(call):
                raise HttpCallError('only a foreign response', sent=True)
        raise HttpCallError('too many foreign responses', sent=True)

    async def _connect(self, call: HttpCall) -> ClientConnection:
        connection = self._take_idle(call) if call.reuse else None
        if connection is not None:
            return connection
        try:
            return await self._open(call.address)
        except (ValueError, OverflowError) as error:
            raise HttpCallError(
                f'address {call.address!r} is invalid: {error}', sent=False
            ) from error

    def _take_idle(self, call: HttpCall) -> ClientConnection | None:
        """Returns an idle connection that can carry a call, if there is one."""
        idle = self._idle.get(call.pool_key)
        now_s = asyncio.get_running_loop().time()
        with contextlib.ExitStack() as stack:
            while idle:
                connection = idle.pop()
                if connection.has_sent(call):
                    stack.callback(idle.append, connection)
                elif connection.is_usable(now_s):
                    return connection
                else:
                    connection.close()
        return None

    async def _open(self, address: str) -> ClientConnection:
        host, port = split_address(address)
        timeout_s = self._limits.connect_timeout_ms / MS_PER_S
        async with asyncio.timeout(timeout_s):
            reader, writer = await self._connect_stream(host, port, self._tls)
        return ClientConnection(reader, writer, self._limits)

    def _release(self, call: HttpCall, connection: ClientConnection) -> None:
        idle = self._idle.setdefault(call.pool_key, collections.deque())
        if connection.reusable and len(idle) < MAX_IDLE_CONNECTIONS:
            connection.idle_since_s = asyncio.get_running_loop().time()
            idle.append(connection)
            return
        connection.close()


@contextlib.contextmanager
def _retiring(exchange: Exchange) -> Iterator[None]:
    """Ends the use of a connection whose next answer would be in doubt."""
    try:
        yield
    except (AnswerMismatchError, AmbiguousAnswerError):
        exchange.open_connection.retired = True
        raise


async def _receive_parts(
    call: HttpCall,
    connection: ClientConnection,
    limit: asyncio.Timeout,
    max_gap_ms: float,
) -> bytes:
    """Reads a body for as long as parts of it keep arriving.

    Designed for links that are slow or shared: a limit on the whole body makes
    the next attempt start at the first byte, and never fits a body that takes
    longer.
    """
    loop = asyncio.get_running_loop()
    latest_s = loop.time() + MAX_BODY_MS / MS_PER_S
    body = bytearray()
    async with contextlib.aclosing(connection.receive_chunks()) as chunks:
        async for chunk in chunks:
            body += chunk
            next_s = loop.time() + max_gap_ms / MS_PER_S
            limit.reschedule(min(next_s, latest_s))
            if call.on_part is not None:
                call.on_part(len(chunk))
    return bytes(body)


def _is_accepted(
    call: HttpCall,
    connection: ClientConnection,
    status: int,
    headers: Mapping[str, str],
) -> bool:
    """Returns whether a response is taken for the answer to a call."""
    if call.match_answer is None:
        return True
    match = call.match_answer(status, headers)
    if match is not AnswerMatch.FOREIGN:
        call.trace.answer_match = match.value
    if match is AnswerMatch.UNNAMED:
        connection.retired = True
    return match is not AnswerMatch.FOREIGN


def _may_resend(
    call: HttpCall,
    connection: ClientConnection,
    error: Exception,
) -> bool:
    """Tells whether to send a call again after a stale connection failed.

    A timeout is never followed by another send.
    """
    timed_out = isinstance(error, TimeoutError)
    return call.repeatable and connection.stale and not timed_out


def _keep_alive_s(headers: Mapping[str, str]) -> float:
    """Returns how long to keep an idle connection, given response headers."""
    for field in headers.get('keep-alive', '').split(','):
        name, _, timeout = field.strip().partition('=')
        timeout_s = parse_count(timeout)
        if name == 'timeout' and timeout_s is not None:
            return timeout_s * KEEP_ALIVE_SHARE
    return MAX_IDLE_S
