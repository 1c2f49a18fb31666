"""HTTP server that may respond with neither a length nor chunks."""

import asyncio
import contextlib
import contextvars
import socket
import struct
from http import HTTPStatus
from typing import Any

from ..http_connection import ConnectionAbortError
from ..http_messages import HttpResponse
from ..http_server import HttpServer

# Value of SO_LINGER with which a close resets the connection.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)

_WRITER: contextvars.ContextVar[asyncio.StreamWriter] = contextvars.ContextVar(
    'writer'
)


class UnframedServer(HttpServer):
    """Lets a handler write on the connection of its request."""

    def stop_listening(self) -> None:
        """Refuses new connections; those that are open stay so."""
        if self._server is not None:
            self._server.close()

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        _WRITER.set(writer)
        await super()._accept(reader, writer)


async def send_unframed(
    response: HttpResponse, connection: str, head_bytes: int | None = None
) -> None:
    """Sends a response that ends with the connection of its request.

    To be called by a handler of an ``UnframedServer``, whose own response is
    not sent. If the handler is cancelled, as in a crash, the connection is
    reset; otherwise the response would look complete.

    Args:
        response: The response.
        connection: Value of the ``connection`` header.
        head_bytes: Bytes of its head after which the connection is closed;
            ``None`` to send it whole.

    Raises:
        ConnectionAbortError: When the response is complete, to close the
            connection; also if its source aborts the connection earlier.
    """
    writer = _WRITER.get()
    try:
        if head_bytes is None:
            await _send(writer, response, connection)
        else:
            writer.write(_encode_head(response, connection)[:head_bytes])
            await writer.drain()
            writer.close()
    except asyncio.CancelledError:
        reset_on_close()
        raise
    raise ConnectionAbortError


def reset_on_close() -> None:
    """Lets the close of the current request's connection be a reset."""
    connection = _WRITER.get().get_extra_info('socket')
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


async def _send(
    writer: asyncio.StreamWriter, response: HttpResponse, connection: str
) -> None:
    # ``drain`` returns only after all bytes are passed to the OS, so that the
    # abort that follows does not discard any.
    writer.transport.set_write_buffer_limits(0)
    writer.write(_encode_head(response, connection))
    if response.chunks is None:
        writer.write(response.body)
    else:
        await _send_chunks(writer, response.chunks)
    await writer.drain()


def _encode_head(response: HttpResponse, connection: str) -> bytes:
    lines = [
        f'HTTP/1.1 {response.status} {HTTPStatus(response.status).phrase}',
        f'connection: {connection}',
        *(f'{name}: {text}' for name, text in response.headers.items()),
    ]
    if response.content_type:
        lines.append(f'content-type: {response.content_type}')
    return '\r\n'.join((*lines, '', '')).encode('latin-1')


async def _send_chunks(writer: asyncio.StreamWriter, chunks: Any) -> None:
    async with contextlib.aclosing(chunks):
        async for chunk in chunks:
            writer.write(chunk)
            await writer.drain()
