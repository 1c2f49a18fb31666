"""Asynchronous interface to the in-memory log."""

import asyncio
import contextlib

from ..backing_services import LogPage, MemoryLog, PlatformError, Record
from ..clock import MS_PER_S

# Interval at which a waiting read checks for faults of the log.
FAULT_POLL_MS = 50


class MemoryLogService:
    """Implements the log service protocol on an in-memory log."""

    def __init__(self, log: MemoryLog) -> None:
        """Initializes a reachable service.

        Args:
            log: Log that holds the records; several services may share it.
        """
        self.log = log
        self.is_unreachable = False

    async def append(self, stream: str, body: Record) -> int:
        """Appends a record after the injected delay and returns its offset."""
        await self._apply_faults()
        return self.log.append_now(stream, body)

    async def read(
        self,
        stream: str,
        offset: int,
        wait_ms: float = 0,
    ) -> LogPage:
        """Returns a page of records, waiting for the first if there is none.

        Args:
            stream: Name of the stream.
            offset: First offset to return.
            wait_ms: Maximum milliseconds to wait for a record.
        """
        await self._apply_faults()
        waited_ms = 0
        page = self.log.read_now(stream, offset)
        while not page.records and waited_ms < wait_ms:
            await self._wait_for_append()
            waited_ms += FAULT_POLL_MS
            page = self.log.read_now(stream, offset)
        return page

    async def _wait_for_append(self) -> None:
        """Waits for the next append, at most ``FAULT_POLL_MS``.

        The bound lets the read notice faults that begin while it waits.
        """
        appended = self.log.appended
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FAULT_POLL_MS / MS_PER_S):
                await appended.wait()

    async def _apply_faults(self) -> None:
        if self.is_unreachable:
            raise PlatformError('unreachable')
        await asyncio.sleep(self.log.faults.delay_ms / MS_PER_S)
