"""Tables of the shared store: the newest record of each key."""

import asyncio
import dataclasses
import enum
from collections.abc import Callable, Mapping
from typing import Protocol

from .clock import MS_PER_S


class Table(enum.Enum):
    """Tables of the store; the operator and targets write the first two."""

    CONFIGURATION = 'configuration'
    TARGETS = 'targets'
    ENTRIES = 'entries'
    # Software versions of targets that serve, or did until recently.
    VERSIONS = 'versions'
    # Origins of streams. Its records expire.
    ORIGINS = 'origins'


# Tables that each entry follows and passes on to its peers.
MIRRORED_TABLES = (Table.CONFIGURATION, Table.TARGETS, Table.ENTRIES)

# Offset of a record that is known, but not from the present era of the store.
UNPLACED = -1


# Called with the size in bytes of each part of an answer.
PartListener = Callable[[int], None]


class StoreError(Exception):
    """The store did not answer or refused the call."""

    def __init__(self, reason: str, era: int = 0) -> None:
        """Creates an error.

        Args:
            reason: Why the call failed.
            era: Era that the answer stated; 0 if there was none.
        """
        super().__init__(reason)
        self.era = era


class HistoryLostError(StoreError):
    """The store has no records from the requested offset on.

    They were removed, or the store was restored from a copy that ends before
    the offset.
    """

    def __init__(
        self, reason: str, era: int = 0, *, restored: bool, first: int = 0
    ) -> None:
        """Creates an error.

        Args:
            reason: Which records are missing.
            era: Era that the answer stated; 0 if there was none.
            restored: Whether the offset is beyond the end of the history.
            first: First offset that the store has.
        """
        super().__init__(reason, era)
        self.restored = restored
        self.first = first


@dataclasses.dataclass(frozen=True, slots=True)
class TableRecord:
    """A record and its offset in the history of its table.

    ``content`` is None if the key was removed. The offset is ``UNPLACED`` if
    the record is known from an earlier era only.
    """

    offset: int
    key: str
    content: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class TablePage:
    """Records, and the offset at which the next read starts.

    The era of the store rises when it is restored from a copy. Offsets are
    given out again then, so those of different eras are never compared.
    """

    records: tuple[TableRecord, ...]
    end: int
    era: int = 0


class SharedTables(Protocol):
    """The store that the entries of a deployment share."""

    async def snapshot(
        self, table: Table, on_part: PartListener | None = None
    ) -> TablePage:
        """Reads the newest record of each key.

        Args:
            table: Table to read.
            on_part: Called as the answer arrives.

        Raises:
            StoreError: If the store does not answer.
        """

    async def read(
        self,
        table: Table,
        offset: int,
        wait_ms: float,
        on_part: PartListener | None = None,
    ) -> TablePage:
        """Reads the history of a table from an offset on.

        Args:
            table: Table to read.
            offset: First offset to return.
            wait_ms: Milliseconds to wait for a record if there is none yet.
            on_part: Called as the answer arrives.

        Raises:
            HistoryLostError: If the store has no records from the offset on.
            StoreError: If the store does not answer.
        """

    async def put(self, table: Table, key: str, content: bytes) -> int:
        """Writes the newest record of a key.

        Args:
            table: Table to write to.
            key: Key of the record.
            content: Content of the record, any bytes; empty to remove it.

        Returns:
            The era of the store that holds the record.

        Raises:
            StoreError: If the store does not answer. The record may have been
                written nevertheless.
        """


class MemoryTables:
    """In-memory store for tests, with faults that can be switched on."""

    def __init__(self) -> None:
        """Initializes empty tables."""
        self.down = False
        self.era = 0
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

    def ends(self) -> Mapping[Table, int]:
        """Returns the number of records of each table, for ``restore``."""
        return {table: len(self._history.get(table, ())) for table in Table}

    def restore(self, ends: Mapping[Table, int]) -> None:
        """Continues in a new era from a copy.

        Args:
            ends: Number of records of each table that the copy holds.
        """
        self.era += 1
        for table, end in ends.items():
            self._history[table] = self._history.get(table, [])[:end]
        self._changed.set()
        self._changed = asyncio.Event()

    async def snapshot(
        self, table: Table, on_part: PartListener | None = None
    ) -> TablePage:
        """Reads the newest record of each key."""
        self._require_up()
        history = self._history.get(table, [])
        newest = {record.key: record for record in history}
        present = [
            record for record in newest.values() if record.content is not None
        ]
        return TablePage(tuple(present), len(history), self.era)

    async def read(
        self,
        table: Table,
        offset: int,
        wait_ms: float,
        on_part: PartListener | None = None,
    ) -> TablePage:
        """Reads the history of a table from an offset on."""
        self._require_up()
        self._require_retained(table, offset)
        if offset >= len(self._history.get(table, ())):
            await self._wait(wait_ms)
            self._require_up()
            self._require_retained(table, offset)
        history = self._history.get(table, [])
        return TablePage(tuple(history[offset:]), len(history), self.era)

    async def put(self, table: Table, key: str, content: bytes) -> int:
        """Writes the newest record of a key."""
        self._require_up()
        self.write(table, key, content or None)
        return self.era

    def _require_retained(self, table: Table, offset: int) -> None:
        first = self._first_retained.get(table, 0)
        end = len(self._history.get(table, ()))
        if not first <= offset <= end:
            raise HistoryLostError(
                f'table {table.value} holds offsets {first} to {end}, not '
                f'{offset}',
                self.era,
                restored=offset > end,
                first=first,
            )

    async def _wait(self, wait_ms: float) -> None:
        try:
            async with asyncio.timeout(wait_ms / MS_PER_S):
                await self._changed.wait()
        except TimeoutError:
            return

    def _require_up(self) -> None:
        if self.down:
            raise StoreError('down')
