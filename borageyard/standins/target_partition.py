"""Partition of a gateway from all targets."""

import asyncio
import enum
import ssl
from collections.abc import Collection

from ..http_streams import Connect, CountingReader, open_stream

# Time after which the system resets a connection whose peer does not answer.
USER_TIMEOUT_S = 2


class PartitionMode(enum.Enum):
    """What becomes of connections to targets."""

    NONE = 'none'
    # New ones are refused; open ones are reset, or live on.
    RESET = 'reset'
    REFUSE = 'refuse'
    # Nothing arrives in either direction.
    HANG = 'hang'


class PartitionedWriter(asyncio.StreamWriter):
    """Writer whose bytes are lost during a partition."""

    def __init__(
        self,
        wrapped: asyncio.StreamWriter,
        reader: CountingReader,
        address: str,
    ) -> None:
        """Takes the place of another writer.

        Args:
            wrapped: The other writer, which closes its connection when it is
                collected.
            reader: Reader of the connection.
            address: Address that it leads to.
        """
        self.address = address
        transport = wrapped.transport
        super().__init__(
            transport,
            transport.get_protocol(),
            reader,
            asyncio.get_running_loop(),
        )
        self.is_cut = False
        self._wrapped = wrapped

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Writes bytes unless the connection is cut."""
        if not self.is_cut:
            super().write(data)


class TargetPartition:
    """Opens the connections of one gateway, and may cut those to targets."""

    def __init__(
        self, spared_address: str, connect: Connect = open_stream
    ) -> None:
        """Starts without a partition.

        Args:
            spared_address: Address of the store, which stays reachable.
            connect: Opens the connections that are not cut.
        """
        self._connect_stream = connect
        self._spared_address = spared_address
        self._mode = PartitionMode.NONE
        # Targets that are cut off; empty for all.
        self._addresses: frozenset[str] = frozenset()
        self._writers: set[PartitionedWriter] = set()
        # Connections that were asked for during partitions.
        self.denied = 0

    def begin(
        self, mode: PartitionMode, addresses: Collection[str] = ()
    ) -> None:
        """Cuts the gateway off from targets, or ends that.

        Args:
            mode: What becomes of connections.
            addresses: Addresses of the targets; empty for all.
        """
        self._mode = mode
        self._addresses = frozenset(addresses)
        for writer in tuple(self._writers):
            if not self._is_cut(writer.address):
                continue
            if mode is PartitionMode.RESET:
                writer.transport.abort()
            if mode is PartitionMode.HANG:
                writer.is_cut = True
                writer.transport.pause_reading()  # type: ignore[attr-defined]
                asyncio.get_running_loop().call_later(
                    USER_TIMEOUT_S, writer.transport.abort
                )
            if mode in {PartitionMode.RESET, PartitionMode.HANG}:
                self._writers.discard(writer)

    async def connect(
        self, host: str, port: int, tls: ssl.SSLContext | None
    ) -> tuple[CountingReader, asyncio.StreamWriter]:
        """Opens a connection.

        Raises:
            ConnectionRefusedError: If the partition refuses connections.
        """
        address = f'{host}:{port}'
        is_spared = address == self._spared_address
        is_cut = not is_spared and self._is_cut(address)
        if is_cut and self._mode is not PartitionMode.NONE:
            self.denied += 1
            if self._mode is PartitionMode.HANG:
                await asyncio.Event().wait()
            raise ConnectionRefusedError('partitioned')
        reader, writer = await self._connect_stream(host, port, tls)
        if is_spared:
            return reader, writer
        partitioned = PartitionedWriter(writer, reader, address)
        self._writers = {one for one in self._writers if not one.is_closing()}
        self._writers.add(partitioned)
        return reader, partitioned

    def _is_cut(self, address: str) -> bool:
        return not self._addresses or address in self._addresses
