"""Bare h11 server and client: the lower bound for the cost of an exchange.

They keep connections alive and do nothing else: no time-outs, no limits, no
checks. The server passes the body of each request to a handler and sends
what it returns: one whole body, or chunks that are sent one by one.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Iterable
from http import HTTPStatus

import h11

READ_SIZE_BYTES = 65536
BACKLOG = 1024

BareAnswer = bytes | Iterable[bytes]
BareHandler = Callable[[bytes], BareAnswer]


@contextlib.asynccontextmanager
async def bare_server(
    handler: BareHandler,
    pause_s: float = 0,
) -> AsyncIterator[str]:
    """Runs a bare server on a free loopback port.

    Args:
        handler: Returns a body or its chunks for the body of a request.
        pause_s: Delay before each chunk.

    Yields:
        The address of the server, as host:port.
    """
    server = BareServer(handler, pause_s)
    listener = await asyncio.start_server(
        server.serve,
        '127.0.0.1',
        0,
        backlog=BACKLOG,
    )
    async with listener:
        _, port = listener.sockets[0].getsockname()
        yield f'127.0.0.1:{port}'
        listener.close()
        server.close()


class BareServer:
    """HTTP server that uses only h11."""

    def __init__(self, handler: BareHandler, pause_s: float) -> None:
        """Prepares a server.

        Args:
            handler: Returns a body or its chunks for the body of a request.
            pause_s: Delay before each chunk.
        """
        self._handler = handler
        self._pause_s = pause_s
        self._transports: set[asyncio.WriteTransport] = set()

    def close(self) -> None:
        """Aborts all connections."""
        for transport in self._transports:
            transport.abort()

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serves one connection until it ends."""
        codec = h11.Connection(h11.SERVER)
        self._transports.add(writer.transport)
        with contextlib.suppress(OSError, h11.ProtocolError):
            while True:
                body = await read_message(codec, reader)
                if body is None:
                    break
                await self._send_answer(codec, writer, self._handler(body))
                codec.start_next_cycle()
        writer.close()

    async def _send_answer(
        self,
        codec: h11.Connection,
        writer: asyncio.StreamWriter,
        answer: BareAnswer,
    ) -> None:
        if isinstance(answer, bytes):
            headers = [('content-length', str(len(answer)))]
            head = h11.Response(status_code=HTTPStatus.OK, headers=headers)
            send_message(codec, writer, head, answer)
            await writer.drain()
            return
        headers = [('transfer-encoding', 'chunked')]
        head = h11.Response(status_code=HTTPStatus.OK, headers=headers)
        writer.write(codec.send(head) or b'')
        for chunk in answer:
            await asyncio.sleep(self._pause_s)
            writer.write(codec.send(h11.Data(data=chunk)) or b'')
            await writer.drain()
        writer.write(codec.send(h11.EndOfMessage()) or b'')
        await writer.drain()


class BareClient:
    """HTTP client that sends requests over one connection with only h11."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        address: str,
    ) -> None:
        """Wraps a connection.

        Args:
            reader: Stream of bytes from the server.
            writer: Stream of bytes to the server.
            address: Address of the server.
        """
        self._reader = reader
        self._writer = writer
        self._address = address
        self._codec = h11.Connection(h11.CLIENT)

    @classmethod
    async def open(cls, address: str) -> 'BareClient':
        """Opens a connection.

        Args:
            address: Address of the server, as host:port.
        """
        host, _, port = address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        return cls(reader, writer, address)

    async def request(
        self,
        path: str,
        body: bytes,
        headers: Iterable[tuple[str, str]] = (),
    ) -> bytes:
        """Sends a request and reads its whole response.

        Args:
            path: Target of the request.
            body: Body of the request.
            headers: Headers besides host and content-length.

        Returns:
            The body of the response.
        """
        head = h11.Request(
            method='POST',
            target=path,
            headers=[
                ('host', self._address),
                ('content-length', str(len(body))),
                *headers,
            ],
        )
        send_message(self._codec, self._writer, head, body)
        await self._writer.drain()
        answer = await read_message(self._codec, self._reader)
        self._codec.start_next_cycle()
        return answer or b''

    def close(self) -> None:
        """Aborts the connection."""
        self._writer.transport.abort()


def send_message(
    codec: h11.Connection,
    writer: asyncio.StreamWriter,
    head: h11.Request | h11.Response,
    body: bytes,
) -> None:
    """Writes a whole message at once.

    Args:
        codec: h11 state of the connection.
        writer: Stream of bytes to the other side.
        head: Start line and headers.
        body: Body of the message.
    """
    encoded = codec.send(head) or b''
    encoded += codec.send(h11.Data(data=body)) or b''
    encoded += codec.send(h11.EndOfMessage()) or b''
    writer.write(encoded)


async def read_message(
    codec: h11.Connection,
    reader: asyncio.StreamReader,
) -> bytes | None:
    """Reads the body of the next message.

    Args:
        codec: h11 state of the connection.
        reader: Stream of bytes from the other side.

    Returns:
        The body, or None if the connection has been closed.
    """
    body = bytearray()
    event = codec.next_event()
    while not isinstance(event, (h11.EndOfMessage, h11.ConnectionClosed)):
        if event is h11.NEED_DATA:
            codec.receive_data(await reader.read(READ_SIZE_BYTES))
        elif isinstance(event, h11.Data):
            body += event.data
        event = codec.next_event()
    if isinstance(event, h11.ConnectionClosed):
        return None
    return bytes(body)
