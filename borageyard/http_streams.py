"""Byte streams of TCP connections: disconnects, backpressure and timeouts.

The peer is the other end of a connection: a caller, a target or an entry.
"""

import asyncio
import contextlib
import socket
import ssl
from collections.abc import Awaitable, Callable, Iterable, Mapping
from typing import Any

from .clock import MS_PER_S
from .http_messages import combine_headers

# Name and value of a header as they are written.
RawHeader = tuple[bytes, bytes]

# Size of the write buffer above which ``StreamWriter.send`` waits.
HIGH_WATER_BYTES = 65536
# Most bytes that are taken from a connection at once, and half of those that
# are buffered before they are read. asyncio's own 256 KB and 128 KB would fill
# a small machine if each connection sent that much.
READ_BYTES = 32768
# A connection that is idle for 1 s is probed; two probes 1 s apart without a
# response close it. Unacknowledged bytes close it after 2 s, less than the 3 s
# after which users count an instance as reachable again.
TCP_KEEPALIVE_OPTIONS = (
    (socket.TCP_KEEPIDLE, 1),
    (socket.TCP_KEEPINTVL, 1),
    (socket.TCP_KEEPCNT, 2),
    (socket.TCP_USER_TIMEOUT, 2000),
)


class CountingReader(asyncio.StreamReader):
    """Reader that counts the bytes that have arrived."""

    def __init__(self) -> None:
        """Creates a reader on the running event loop."""
        super().__init__(READ_BYTES, asyncio.get_running_loop())
        self.received_bytes = 0

    def set_transport(self, transport: Any) -> None:
        """Bounds what a transport without TLS takes from its socket at once."""
        if hasattr(transport, 'max_size'):
            transport.max_size = READ_BYTES
        super().set_transport(transport)

    def feed_data(self, data: Any) -> None:
        """Counts and buffers bytes from the transport."""
        self.received_bytes += len(data)
        super().feed_data(data)


class DisconnectReader(CountingReader):
    """Reader that reports immediately when the peer disconnects."""

    # Bytes that were not read, of the base class.
    _buffer: bytearray

    def __init__(self) -> None:
        """Creates a reader without a disconnect callback."""
        super().__init__()
        # Called with the number of bytes that have arrived.
        self.on_bytes: Callable[[int], object] | None = None
        self._on_disconnect: Callable[[], object] | None = None
        # Transport whose bytes are dropped, and how many of them at most.
        self._dropped: asyncio.ReadTransport | None = None
        self._drop_until_bytes = 0

    def feed_data(self, data: Any) -> None:
        """Counts and buffers bytes from the transport, and reports them."""
        if self._dropped is None:
            super().feed_data(data)
            if self.on_bytes is not None:
                self.on_bytes(len(data))
            return
        self.received_bytes += len(data)
        if self.received_bytes >= self._drop_until_bytes:
            self._dropped.pause_reading()

    def drop(self, transport: Any, max_bytes: int) -> None:
        """Drops what was not read and what arrives from now on.

        Args:
            transport: Transport of this reader.
            max_bytes: Bytes that may arrive; then nothing is read any more.
        """
        if self._dropped is None and not self.at_eof():
            self._buffer.clear()
            self._dropped = transport
            self._drop_until_bytes = self.received_bytes + max_bytes
            transport.resume_reading()

    def set_disconnect_callback(
        self, on_disconnect: Callable[[], object] | None
    ) -> None:
        """Sets the callback; calls it at once after an earlier disconnect.

        Args:
            on_disconnect: Called when the peer disconnects; None removes
                the callback.
        """
        self._on_disconnect = on_disconnect
        if self.at_eof():
            self._notify()

    def feed_eof(self) -> None:
        """Handles the end of the stream and calls the callback."""
        super().feed_eof()
        self._notify()

    def set_exception(self, exc: Exception) -> None:
        """Handles a connection failure and calls the callback."""
        super().set_exception(exc)
        self._notify()

    def _notify(self) -> None:
        if self._on_disconnect is not None:
            self._on_disconnect()


class StreamWriter:
    """Writes with backpressure; times out if the peer stops reading."""

    def __init__(
        self,
        writer: asyncio.StreamWriter,
        timeout_ms: float,
    ) -> None:
        """Wraps a writer.

        Args:
            writer: Bytes to the peer.
            timeout_ms: Longest wait for a full write buffer to drain.
        """
        self._writer = writer
        self.transport = writer.transport
        self._timeout_s = timeout_ms / MS_PER_S
        self.sent_bytes = 0
        # Entered while the peer does not read what was written.
        self.blocked: Callable[[], contextlib.AbstractContextManager[None]] = (
            contextlib.nullcontext
        )

    async def send(self, encoded: bytes | None) -> None:
        """Writes bytes; waits if over ``HIGH_WATER_BYTES`` are unsent.

        Args:
            encoded: Bytes to write; if empty or None, nothing happens.

        Raises:
            OSError: If the connection is closed, or the peer stops reading
                for longer than the timeout.
        """
        if not encoded:
            return
        if self.transport.is_closing():
            raise ConnectionResetError('connection closed')
        self.write(encoded)
        if self.transport.get_write_buffer_size() > HIGH_WATER_BYTES:
            with self.blocked():
                async with asyncio.timeout(self._timeout_s):
                    await self._writer.drain()

    def write(self, encoded: bytes) -> None:
        """Writes bytes without waiting; unsent bytes are kept in memory."""
        self.sent_bytes += len(encoded)
        self._writer.write(encoded)

    @property
    def has_unsent(self) -> bool:
        """Whether written bytes have not been passed to the OS yet."""
        return self.transport.get_write_buffer_size() > 0

    def abort(self) -> None:
        """Closes the connection and discards what is unsent."""
        self.transport.abort()

    def end(self) -> None:
        """Closes the write direction, if the transport supports it."""
        if self.transport.can_write_eof() and not self.transport.is_closing():
            self.transport.write_eof()


# Opens a connection, given an IP address, a port and a TLS context or None.
Connect = Callable[
    [str, int, ssl.SSLContext | None],
    Awaitable[tuple[CountingReader, asyncio.StreamWriter]],
]


async def open_stream(
    host: str,
    port: int,
    tls: ssl.SSLContext | None,
) -> tuple[CountingReader, asyncio.StreamWriter]:
    """Opens a connection with TCP keepalive and a counting reader.

    Args:
        host: IP address.
        port: Port.
        tls: TLS context, or None for plain TCP.

    Returns:
        The reader and the writer of the connection.

    Raises:
        OSError: If the connection can't be opened.
    """
    return await connect_reader(CountingReader(), host, port, tls)


async def connect_reader(
    reader: CountingReader,
    host: str,
    port: int,
    tls: ssl.SSLContext | None,
) -> tuple[CountingReader, asyncio.StreamWriter]:
    """Opens a connection whose bytes a given reader receives.

    Args:
        reader: Reader without a connection.
        host: IP address.
        port: Port.
        tls: TLS context, or None for plain TCP.

    Raises:
        OSError: If the connection can't be opened.
    """
    loop = asyncio.get_running_loop()
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
    """Makes the OS detect a connection whose peer has vanished.

    Args:
        transport: An open TCP connection; others are left unchanged.
    """
    tcp_socket = transport.get_extra_info('socket')
    if tcp_socket is None:
        return
    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, setting in TCP_KEEPALIVE_OPTIONS:
        tcp_socket.setsockopt(socket.IPPROTO_TCP, option, setting)


def encode_headers(headers: Mapping[str, str]) -> list[RawHeader]:
    """Returns headers as they are written; the reverse of ``decode_headers``.

    Values are opaque bytes by RFC 9110, 5.5. Those that did not come from the
    wire may hold other characters, which are written in UTF-8.

    Args:
        headers: Values by name.
    """
    return [
        (name.encode('ascii'), _encode_value(text))
        for name, text in headers.items()
    ]


def _encode_value(text: str) -> bytes:
    try:
        return text.encode('latin-1')
    except UnicodeEncodeError:
        return text.encode()


def decode_headers(
    headers: Iterable[tuple[bytes, bytes]],
) -> dict[str, str]:
    """Returns the headers of an h11 event by lower-case name.

    Args:
        headers: Names and values; h11 has made the names lower case.
    """
    return combine_headers(
        (name.decode('latin-1'), text.decode('latin-1'))
        for name, text in headers
    )
