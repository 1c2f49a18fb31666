"""Raw connections for tests with malformed or misbehaving peers."""

import asyncio
import contextlib
import json

from borageyard.http_messages import HttpLimits, split_address
from borageyard.http_server import HttpServer

LIMITS = HttpLimits(
    max_body_bytes=2048,
    max_connections=2,
    receive_timeout_ms=150,
    idle_timeout_ms=150,
    send_timeout_ms=150,
)


@contextlib.asynccontextmanager
async def serving(handler, limits=LIMITS):
    """Runs an ``HttpServer`` on a free port."""
    async with HttpServer(handler, limits) as server:
        await server.start('127.0.0.1:0')
        yield server


@contextlib.asynccontextmanager
async def connected(server):
    """Opens a raw connection and aborts it at the end."""
    reader, writer = await asyncio.open_connection(
        *split_address(server.address),
    )
    with contextlib.ExitStack() as stack:
        stack.callback(writer.transport.abort)
        yield reader, writer


async def read_response(reader):
    """Returns the status and the JSON body of a response with a length."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode().lower()
    _, _, rest = head.partition('content-length: ')
    length = int(rest.split('\r\n')[0])
    body = await reader.readexactly(length)
    return int(head.split(' ')[1]), json.loads(body)


@contextlib.asynccontextmanager
async def answering(*responses):
    """Runs a server that sends fixed bytes, one response per request."""
    waiting = list(responses)

    async def answer(reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while waiting:
                await reader.readuntil(b'\r\n\r\n')
                writer.write(waiting.pop(0))
                await writer.drain()
        writer.close()

    server = await asyncio.start_server(answer, '127.0.0.1', 0)
    async with server:
        listener = server.sockets[0]
        _, port = listener.getsockname()
        yield f'127.0.0.1:{port}'
