"""Asynchronous face of the log in memory."""

import asyncio
import contextlib

from ..backing_services import LogPage, MemoryLog, PlatformError, Record
from ..clock import MS_PER_S

# How often a waiting read looks for faults of the log.
FAULT_POLL_MS = 50


class MemoryLogService:
    """Offers a log in memory behind the protocol of the log service."""

    def __init__(self, log: MemoryLog) -> None:
        """Wraps a log.

        Args:
            log: Where records are kept; several services may share it.
        """
        self.log = log
        self.is_unreachable = False

    async def append(self, stream: str, body: Record) -> int:
        """Appends a record after the log's delay."""
        await self._apply_faults()
        return self.log.append_now(stream, body)

    async def read(
        self,
        stream: str,
        offset: int,
        wait_ms: float = 0,
    ) -> LogPage:
        """Reads records, waiting for the first one if there is none."""
        await self._apply_faults()
        waited_ms = 0
        page = self.log.read_now(stream, offset)
        while not page.records and waited_ms < wait_ms:
            await self._wait_for_append()
            waited_ms += FAULT_POLL_MS
            page = self.log.read_now(stream, offset)
        return page

    async def _wait_for_append(self) -> None:
        """Waits for the next append, or for a while to notice faults."""
        appended = self.log.appended
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FAULT_POLL_MS / MS_PER_S):
                await appended.wait()

    async def _apply_faults(self) -> None:
        if self.is_unreachable:
            raise PlatformError('unreachable')
        await asyncio.sleep(self.log.faults.delay_ms / MS_PER_S)
