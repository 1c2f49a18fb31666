"""Asynchronous face of the log in memory."""

import asyncio
import contextlib

from .clock import MS_PER_S
from .platform import LogPage, MemoryLog, PlatformError, Record


class MemoryLogService:
    """Offers a log in memory behind the protocol of the log service."""

    def __init__(self, log: MemoryLog) -> None:
        """Wraps a log.

        Args:
            log: Where records are kept; several services may share it.
        """
        self.log = log
        self.cut = False

    async def append(self, stream: str, body: Record) -> int:
        """Appends a record after the log's delay."""
        await self._delay()
        return self.log.append_now(stream, body)

    async def read(
        self,
        stream: str,
        offset: int,
        wait_ms: float = 0,
    ) -> LogPage:
        """Reads records, waiting for the first one if there is none."""
        await self._delay()
        page = self.log.read_now(stream, offset)
        if page.records or not wait_ms:
            return page
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_ms / MS_PER_S):
                await self.log.wait_for_append(stream)
        return self.log.read_now(stream, offset)

    async def _delay(self) -> None:
        if self.cut:
            raise PlatformError('unreachable')
        await asyncio.sleep(self.log.faults.delay_ms / MS_PER_S)
