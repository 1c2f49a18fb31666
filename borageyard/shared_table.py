"""Tables of the shared store: the newest record of each key."""

import asyncio
import dataclasses
import enum
from typing import Protocol

from .clock import MS_PER_S


class Table(enum.Enum):
    """Tables that entries read; they write only ENTRIES."""

    CONFIGURATION = 'configuration'
    TARGETS = 'targets'
    ENTRIES = 'entries'


class StoreError(Exception):
    """The store did not answer or refused the call."""


class HistoryLostError(StoreError):
    """Records from the requested offset on are no longer retained."""


@dataclasses.dataclass(frozen=True, slots=True)
class TableRecord:
    """A record and its offset in the history of its table.

    ``content`` is None if the key was removed.
    """

    offset: int
    key: str
    content: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class TablePage:
    """Records, and the offset at which the next read starts."""

    records: tuple[TableRecord, ...]
    end: int


class SharedTables(Protocol):
    """The store that the entries of a deployment share."""

    async def snapshot(self, table: Table) -> TablePage:
        """Reads the newest record of each key.

        Args:
            table: Table to read.

        Raises:
            StoreError: If the store does not answer.
        """

    async def read(
        self, table: Table, offset: int, wait_ms: float
    ) -> TablePage:
        """Reads the history of a table from an offset on.

        Args:
            table: Table to read.
            offset: First offset to return.
            wait_ms: Milliseconds to wait for a record if there is none yet.

        Raises:
            HistoryLostError: If records from the offset on were removed.
            StoreError: If the store does not answer.
        """

    async def put(self, table: Table, key: str, content: bytes) -> None:
        """Writes the newest record of a key.

        Args:
            table: Table to write to.
            key: Key of the record.
            content: Content of the record, any bytes.

        Raises:
            StoreError: If the store does not answer. The record may have been
                written nevertheless.
        """


class MemoryTables:
    """In-memory store for tests, with faults that can be switched on."""

    def __init__(self) -> None:
        """Initializes empty tables."""
        self.down = False
        self._history: dict[Table, list[TableRecord]] = {}
        self._first_retained: dict[Table, int] = {}
        self._changed = asyncio.Event()

    def write(self, table: Table, key: str, content: bytes | None) -> None:
        """Appends a record, as an operator or a target does.

        Args:
            table: Table to write to.
            key: Key of the record.
            content: Content of the record; None removes the key.
        """
        history = self._history.setdefault(table, [])
        history.append(TableRecord(len(history), key, content))
        self._changed.set()
        self._changed = asyncio.Event()

    def truncate_history(self, table: Table) -> None:
        """Drops the history but keeps the newest record of each key."""
        self._first_retained[table] = len(self._history.get(table, ()))

    async def snapshot(self, table: Table) -> TablePage:
        """Reads the newest record of each key."""
        self._require_up()
        history = self._history.get(table, [])
        newest = {record.key: record for record in history}
        present = [
            record for record in newest.values() if record.content is not None
        ]
        return TablePage(tuple(present), len(history))

    async def read(
        self, table: Table, offset: int, wait_ms: float
    ) -> TablePage:
        """Reads the history of a table from an offset on."""
        self._require_up()
        if offset < self._first_retained.get(table, 0):
            raise HistoryLostError(
                f'table {table.value}: offset {offset} is no longer retained'
            )
        if offset >= len(self._history.get(table, ())):
            await self._wait(wait_ms)
            self._require_up()
        history = self._history.get(table, [])
        return TablePage(tuple(history[offset:]), len(history))

    async def put(self, table: Table, key: str, content: bytes) -> None:
        """Writes the newest record of a key."""
        self._require_up()
        self.write(table, key, content)

    async def _wait(self, wait_ms: float) -> None:
        try:
            async with asyncio.timeout(wait_ms / MS_PER_S):
                await self._changed.wait()
        except TimeoutError:
            return

    def _require_up(self) -> None:
        if self.down:
            raise StoreError('down')
