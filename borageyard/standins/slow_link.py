"""Link of an entry on which bytes arrive at a limited rate."""

import asyncio
import ssl
from typing import Any

from ..http_streams import CountingReader, connect_reader

# Bytes that arrive together.
PACKET_BYTES = 8192


class SlowLink:
    """Opens connections that share the rate at which bytes arrive."""

    def __init__(self, bytes_per_s: float) -> None:
        """Creates an idle link.

        Args:
            bytes_per_s: Rate for all connections together.
        """
        self.bytes_per_s = bytes_per_s
        # Total that has arrived or is on its way.
        self.carried_bytes = 0
        self._free_at_s: float = 0

    async def connect(
        self, host: str, port: int, tls: ssl.SSLContext | None
    ) -> tuple[CountingReader, asyncio.StreamWriter]:
        """Opens a connection.

        Raises:
            OSError: If the connection can't be opened.
        """
        return await connect_reader(SlowReader(self), host, port, tls)

    def book(self, size_bytes: int) -> float:
        """Returns the time at which further bytes will have arrived.

        Args:
            size_bytes: Number of bytes.
        """
        now_s = asyncio.get_running_loop().time()
        self.carried_bytes += size_bytes
        start_s = max(self._free_at_s, now_s)
        self._free_at_s = start_s + size_bytes / self.bytes_per_s
        return self._free_at_s


class SlowReader(CountingReader):
    """Reader of one connection of a slow link."""

    def __init__(self, link: SlowLink) -> None:
        """Creates a reader.

        Args:
            link: Link that the connection shares.
        """
        super().__init__()
        self._link = link
        self._pending = 0
        self._ended = False
        self._source: asyncio.ReadTransport | None = None

    def set_transport(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport, which is paused while bytes are on their way."""
        super().set_transport(transport)
        if isinstance(transport, asyncio.ReadTransport):
            self._source = transport

    def feed_data(self, data: Any) -> None:
        """Delivers bytes when the link has carried them."""
        loop = asyncio.get_running_loop()
        for start in range(0, len(data), PACKET_BYTES):
            packet = bytes(data[start : start + PACKET_BYTES])
            self._pending += 1
            loop.call_at(self._link.book(len(packet)), self._deliver, packet)
        self._pause()

    def feed_eof(self) -> None:
        """Delivers the end after all bytes before it."""
        self._ended = True
        if not self._pending:
            super().feed_eof()

    def _deliver(self, packet: bytes) -> None:
        self._pending -= 1
        if self.at_eof() or self.exception() is not None:
            return
        CountingReader.feed_data(self, packet)
        if self._pending:
            return
        if self._ended:
            self.feed_eof()
        elif self._source is not None and not self._source.is_closing():
            self._source.resume_reading()

    def _pause(self) -> None:
        if self._source is not None and not self._source.is_closing():
            self._source.pause_reading()
