"""HTTP/1.1 client on h11 with pooled connections and honest failures."""

import asyncio
import collections
import contextlib
import dataclasses
import ssl
from collections.abc import AsyncIterator, Mapping
from types import TracebackType
from typing import Self

import h11

from .clock import MS_PER_S
from .http_messages import HttpLimits, split_address

READ_SIZE_BYTES = 65536
MAX_IDLE_CONNECTIONS = 32


class HttpCallError(Exception):
    """A call that did not get its whole response."""

    def __init__(self, reason: str, sent: bool) -> None:
        """Keeps what is known of the call.

        Args:
            reason: What went wrong.
            sent: Whether the other side may have seen the request.
        """
        super().__init__(reason)
        self.reason = reason
        self.sent = sent


@dataclasses.dataclass(frozen=True, slots=True)
class HttpCall:
    """One request to another process."""

    address: str
    method: str
    path: str
    body: bytes = b''
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)
    timeout_ms: float = 10_000
    reuse: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class HttpReply:
    """A response with its whole body."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class ClientConnection:
    """One connection to one address."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        limits: HttpLimits,
    ) -> None:
        """Wraps the two directions of a connection.

        Args:
            reader: Bytes from the server.
            writer: Bytes to the server.
            limits: Bounds on bodies.
        """
        self._reader = reader
        self._writer = writer
        self._limits = limits
        self._codec = h11.Connection(h11.CLIENT)

    @property
    def reusable(self) -> bool:
        """Tells whether another request may be sent."""
        return (
            self._codec.our_state is h11.IDLE
            and not self._reader.at_eof()
            and not self._writer.is_closing()
        )

    async def send(self, call: HttpCall) -> None:
        """Writes a whole request."""
        headers = [
            ('host', call.address),
            ('content-length', str(len(call.body))),
            *call.headers.items(),
        ]
        head = h11.Request(
            method=call.method,
            target=call.path,
            headers=headers,
        )
        self._write(head)
        if call.body:
            self._write(h11.Data(data=call.body))
        self._write(h11.EndOfMessage())
        await self._writer.drain()

    async def receive_head(self) -> tuple[int, dict[str, str]]:
        """Reads the status and the headers of a response."""
        event = await self._next_event()
        while isinstance(event, h11.InformationalResponse):
            event = await self._next_event()
        if not isinstance(event, h11.Response):
            raise HttpCallError('connection closed before a response', True)
        headers = {
            name.decode('latin-1'): text.decode('latin-1')
            for name, text in event.headers
        }
        return event.status_code, headers

    async def receive_chunks(self) -> AsyncIterator[bytes]:
        """Reads the body, up to the limit."""
        size_bytes = 0
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                break
            if not isinstance(event, h11.Data):
                raise HttpCallError('response is truncated', True)
            size_bytes += len(event.data)
            if size_bytes > self._limits.max_body_bytes:
                raise HttpCallError('response is too large', True)
            yield bytes(event.data)
        if self._codec.our_state is h11.DONE:
            with contextlib.suppress(h11.ProtocolError):
                self._codec.start_next_cycle()

    def close(self) -> None:
        """Drops the connection."""
        self._writer.transport.abort()

    async def _next_event(self) -> object:
        while True:
            event = self._codec.next_event()
            if event is not h11.NEED_DATA:
                return event
            received = await self._reader.read(READ_SIZE_BYTES)
            self._codec.receive_data(received)

    def _write(self, event: h11.Event) -> None:
        encoded = self._codec.send(event)
        if encoded:
            self._writer.write(encoded)


class HttpClient:
    """Sends requests over pooled connections."""

    def __init__(
        self,
        limits: HttpLimits | None = None,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        """Prepares a client without connections.

        Args:
            limits: Bounds on bodies and on connecting.
            tls: Context for TLS, or none for plain TCP.
        """
        self._limits = limits or HttpLimits()
        self._tls = tls
        self._idle: dict[str, collections.deque[ClientConnection]] = {}

    async def __aenter__(self) -> Self:
        """Returns the client."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Drops all connections."""
        for connections in self._idle.values():
            for connection in connections:
                connection.close()
        self._idle.clear()

    async def request(self, call: HttpCall) -> HttpReply:
        """Sends a request and reads the whole response.

        Args:
            call: The request.

        Returns:
            The response.

        Raises:
            HttpCallError: If the whole response did not arrive in time.
        """
        async with self.stream(call) as (status, headers, chunks):
            body = b''.join([chunk async for chunk in chunks])
            return HttpReply(status, headers, body)
        raise HttpCallError('no response', sent=True)

    @contextlib.asynccontextmanager
    async def stream(
        self,
        call: HttpCall,
    ) -> AsyncIterator[tuple[int, Mapping[str, str], AsyncIterator[bytes]]]:
        """Sends a request and hands out the body as it arrives.

        Args:
            call: The request; its time-out bounds the whole exchange.

        Yields:
            Status, headers and the chunks of the body.

        Raises:
            HttpCallError: If the exchange failed or took too long.
        """
        connection = None
        sent = False
        try:
            async with asyncio.timeout(call.timeout_ms / MS_PER_S):
                connection = await self._connect(call)
                sent = True
                await connection.send(call)
                status, headers = await connection.receive_head()
                yield status, headers, connection.receive_chunks()
        except TimeoutError as error:
            raise HttpCallError('timed out', sent) from error
        except (OSError, h11.ProtocolError) as error:
            raise HttpCallError(str(error) or 'reset', sent) from error
        finally:
            if connection is not None:
                self._release(call.address, connection)

    async def _connect(self, call: HttpCall) -> ClientConnection:
        idle = self._idle.get(call.address)
        while call.reuse and idle:
            connection = idle.pop()
            if connection.reusable:
                return connection
            connection.close()
        host, port = split_address(call.address)
        timeout_s = self._limits.connect_timeout_ms / MS_PER_S
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                host,
                port,
                ssl=self._tls,
            )
        return ClientConnection(reader, writer, self._limits)

    def _release(self, address: str, connection: ClientConnection) -> None:
        idle = self._idle.setdefault(address, collections.deque())
        if connection.reusable and len(idle) < MAX_IDLE_CONNECTIONS:
            idle.append(connection)
            return
        connection.close()


async def read_events(chunks: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    """Splits chunks into the payloads of server-sent events.

    Args:
        chunks: Bytes of the body, cut anywhere.

    Yields:
        The payload of each whole event.
    """
    pending = b''
    async for chunk in chunks:
        pending += chunk
        *events, pending = pending.split(b'\n\n')
        for event in events:
            if event.startswith(b'data: '):
                yield event.removeprefix(b'data: ')
