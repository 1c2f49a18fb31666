"""Finds out whether a target still listens, or answers."""

import asyncio
import contextlib
from typing import Protocol

from .clock import MS_PER_S
from .http_messages import split_address
from .http_streams import Connect, open_stream

# Pause before the first attempt, in which a process that ends closes its
# listener, and between attempts.
PAUSES_MS = (10, 150, 400)
CONNECT_TIMEOUT_MS = 300
# Time for which a connection must stay open to show that the target is up.
OPEN_MS = 60
# Why a target does not answer: another one has its address.
OTHER_TARGET = 'another target answers'


class TargetProbe(Protocol):
    """Finds out whether a target still listens, or answers."""

    async def is_listening(self, address: str) -> bool | None:
        """Returns whether a target listens, or None if that is unclear.

        Args:
            address: IP address and port of the target.
        """

    async def can_connect(self, address: str) -> bool:
        """Returns whether a target accepts a connection at once.

        Args:
            address: IP address and port of the target.
        """

    async def check_status(
        self, target_id: str, address: str, *, through_peer: bool = False
    ) -> str:
        """Returns why a target does not answer; empty if it does.

        Args:
            target_id: Id of the target; another one does not count.
            address: IP address and port of the target.
            through_peer: Whether a peer must ask.
        """


class StatusClient(Protocol):
    """Asks targets for their status."""

    async def check_status(
        self, target_id: str, address: str, *, through_peer: bool = False
    ) -> str:
        """Returns why there was no answer in time; empty if there was one.

        Args:
            target_id: Id of the target; another one does not count.
            address: IP address and port of the target.
            through_peer: Whether a peer must ask.
        """


class ConnectProbe:
    """Opens connections that send nothing, and asks for the status."""

    def __init__(
        self, status_client: StatusClient, connect: Connect = open_stream
    ) -> None:
        """Stores the dependencies.

        Args:
            status_client: Asks targets for their status.
            connect: Opens connections.
        """
        self._status_client = status_client
        self._connect = connect

    async def check_status(
        self, target_id: str, address: str, *, through_peer: bool = False
    ) -> str:
        """Returns why a target does not answer; empty if it does."""
        return await self._status_client.check_status(
            target_id, address, through_peer=through_peer
        )

    async def can_connect(self, address: str) -> bool:
        """Returns whether a target accepts a connection at once."""
        host, port = split_address(address)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / MS_PER_S):
                _, writer = await self._connect(host, port, None)
        except OSError:
            return False
        writer.transport.abort()
        return True

    async def is_listening(self, address: str) -> bool | None:
        """Returns whether a target listens, or None if that is unclear."""
        for pause_ms in PAUSES_MS:
            await asyncio.sleep(pause_ms / MS_PER_S)
            listening = await _connect_once(address, self._connect)
            if listening is not None:
                return listening
        return None


async def _connect_once(address: str, connect: Connect) -> bool | None:
    host, port = split_address(address)
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_MS / MS_PER_S):
            reader, writer = await connect(host, port, None)
    except ConnectionRefusedError:
        return False
    except OSError:
        # The network may be at fault.
        return None
    with contextlib.ExitStack() as stack:
        stack.callback(writer.transport.abort)
        return await _stays_open(reader)


async def _stays_open(reader: asyncio.StreamReader) -> bool | None:
    try:
        async with asyncio.timeout(OPEN_MS / MS_PER_S):
            await reader.read(1)
    except TimeoutError:
        return True
    except OSError:
        return None
    return None
