"""Byte streams below HTTP: end of stream, unread bytes, time-outs."""

import asyncio
import socket
import ssl
from collections.abc import Callable, Iterable
from typing import Any

from .clock import MS_PER_S
from .http_messages import combine_headers

HIGH_WATER_BYTES = 65536
# A connection that is silent for a second is probed; two probes a second
# apart without an answer end it. Unsent bytes end it after two seconds, below
# the three seconds after which users count an instance as in touch again.
TCP_KEEPALIVE_OPTIONS = (
    (socket.TCP_KEEPIDLE, 1),
    (socket.TCP_KEEPINTVL, 1),
    (socket.TCP_KEEPCNT, 2),
    (socket.TCP_USER_TIMEOUT, 2000),
)


class CountingReader(asyncio.StreamReader):
    """Reader that tells how many bytes have arrived."""

    def __init__(self) -> None:
        """Starts at zero on the running loop."""
        super().__init__(loop=asyncio.get_running_loop())
        self.received_bytes = 0

    def feed_data(self, data: Any) -> None:
        """Takes in bytes from the transport."""
        self.received_bytes += len(data)
        super().feed_data(data)


class DisconnectReader(CountingReader):
    """Reader that tells at once when the other side has closed."""

    def __init__(self) -> None:
        """Starts without anybody to tell."""
        super().__init__()
        self._on_disconnect: Callable[[], object] | None = None

    def set_disconnect_callback(
        self, on_disconnect: Callable[[], object] | None
    ) -> None:
        """Sets whom to tell; tells at once if it has already closed.

        Args:
            on_gone: Called when the other side closes; none to stop.
        """
        self._on_disconnect = on_disconnect
        if self.at_eof():
            self._notify()

    def feed_eof(self) -> None:
        """Takes in the end of the stream."""
        super().feed_eof()
        self._notify()

    def set_exception(self, exc: Exception) -> None:
        """Takes in a failure of the connection."""
        super().set_exception(exc)
        self._notify()

    def _notify(self) -> None:
        if self._on_disconnect is not None:
            self._on_disconnect()


class StreamWriter:
    """Writes with backpressure; a reader that stalls is cut off."""

    def __init__(
        self,
        writer: asyncio.StreamWriter,
        timeout_ms: float,
    ) -> None:
        """Wraps a writer.

        Args:
            writer: Bytes to the other side.
            timeout_ms: Longest wait for a full buffer to empty.
        """
        self._writer = writer
        self._transport = writer.transport
        self._timeout_s = timeout_ms / MS_PER_S

    async def send(self, encoded: bytes | None) -> None:
        """Writes bytes and waits while too many are unsent.

        Args:
            encoded: What is written; nothing if empty.

        Raises:
            OSError: If the connection is closed or the reader stalls.
        """
        if not encoded:
            return
        if self._transport.is_closing():
            raise ConnectionResetError('connection closed')
        self.write(encoded)
        if self._transport.get_write_buffer_size() > HIGH_WATER_BYTES:
            async with asyncio.timeout(self._timeout_s):
                await self._writer.drain()

    def write(self, encoded: bytes) -> None:
        """Writes bytes without waiting; they are kept in memory."""
        self._writer.write(encoded)

    @property
    def has_unsent(self) -> bool:
        """Tells whether written bytes were not handed to the system yet."""
        return self._transport.get_write_buffer_size() > 0

    def end(self) -> None:
        """Tells the other side that nothing follows, where that is possible."""
        if self._transport.can_write_eof() and not self._transport.is_closing():
            self._transport.write_eof()


async def open_stream(
    host: str,
    port: int,
    tls: ssl.SSLContext | None,
) -> tuple[CountingReader, asyncio.StreamWriter]:
    """Opens a connection whose reader counts.

    Args:
        host: IP number.
        port: Port.
        tls: Context for TLS, or none.

    Returns:
        Both directions of the connection.
    """
    loop = asyncio.get_running_loop()
    reader = CountingReader()
    protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
    transport, _ = await loop.create_connection(
        lambda: protocol,
        host,
        port,
        ssl=tls,
    )
    enable_tcp_keepalive(transport)
    return reader, asyncio.StreamWriter(transport, protocol, reader, loop)


def enable_tcp_keepalive(transport: asyncio.BaseTransport) -> None:
    """Makes the system notice a connection whose other end is gone.

    Args:
        transport: An open TCP connection.
    """
    tcp_socket = transport.get_extra_info('socket')
    if tcp_socket is None:
        return
    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, setting in TCP_KEEPALIVE_OPTIONS:
        tcp_socket.setsockopt(socket.IPPROTO_TCP, option, setting)


def decode_headers(
    headers: Iterable[tuple[bytes, bytes]],
) -> dict[str, str]:
    """Returns headers by lower-case name.

    Args:
        headers: Names and texts as on the wire.
    """
    return combine_headers(
        (name.decode('latin-1'), text.decode('latin-1'))
        for name, text in headers
    )
