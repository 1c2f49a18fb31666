"""In-memory fleet that relays streams of engines of several versions."""

import functools
from collections.abc import Collection, Mapping

from ..clock import LoopClock
from ..memory_peers import MemoryPeerNetwork
from ..roster import RosterChange, RosterRow, TargetPhase
from ..shared_table import (
    MemoryTables,
    PartListener,
    SharedTables,
    StoreError,
    Table,
    TablePage,
)
from ..stream_journal import StreamJournal
from ..stream_origin_service import StreamOriginService
from ..stream_origins import StreamOrigin
from ..version_listing import VersionListing
from .electing_fleet import GROUP, ElectingEntry, ElectingFleet

# Start of the engines; the time of the loop begins at zero.
EPOCH_MS = 1_000_000
STREAM_MS = 20_000
# Time within which a stream must have begun that is taken up.
SPAN_MS = 10_000


class ClosableTables:
    """The store as one entry reaches it."""

    def __init__(self, store: MemoryTables) -> None:
        """Opens the store."""
        self.closed = False
        self._store = store

    async def snapshot(
        self, table: Table, on_part: PartListener | None = None
    ) -> TablePage:
        """Reads the newest record of each key."""
        self._require_open()
        return await self._store.snapshot(table, on_part)

    async def read(
        self,
        table: Table,
        offset: int,
        wait_ms: float,
        on_part: PartListener | None = None,
    ) -> TablePage:
        """Reads the history of a table from an offset on."""
        self._require_open()
        return await self._store.read(table, offset, wait_ms, on_part)

    async def put(self, table: Table, key: str, content: bytes) -> int:
        """Writes the newest record of a key."""
        self._require_open()
        return await self._store.put(table, key, content)

    def _require_open(self) -> None:
        if self.closed:
            raise StoreError('turned away')


class StreamingEntry(ElectingEntry):
    """Entry that knows the origins of streams."""

    def __init__(
        self,
        name: str,
        incarnation: int,
        listed: Collection[str],
        network: MemoryPeerNetwork,
        *,
        tables: Mapping[str, SharedTables],
    ) -> None:
        """Joins the network; ``start`` starts its tasks."""
        super().__init__(name, incarnation, listed, network)
        clock = LoopClock(EPOCH_MS)
        self.journal = StreamJournal(
            name, self.service, tables[name], clock, self.state.refused
        )
        self.listing = VersionListing(
            name, self.state, self.service, tables[name], self.link, clock
        )
        self.origins = StreamOriginService(
            self.state,
            self.service,
            self.link,
            clock,
            self.journal,
            self.listing,
        )

    async def start(self) -> None:
        """Starts its tasks."""
        await super().start()
        for part in (self.journal, self.listing, self.origins):
            await self._stack.enter_async_context(part.running())

    def read_roster(self, rows: Collection[RosterRow], offset: int) -> None:
        """Reads the targets from the store.

        Args:
            rows: The present targets; all others are gone.
            offset: Offset of the read, greater than that of any other.
        """
        present = {row.target_id: row for row in rows}
        known = {row.target_id for row in self.state.roster.rows()}
        self.state.roster.apply(
            [
                RosterChange(offset, target_id, present.get(target_id))
                for target_id in known | present.keys()
            ],
            offset + 1,
        )
        mirror = self.state.mirrors[Table.TARGETS]
        mirror.read_at_ms = LoopClock().steady_ms()
        self.state.notify(Table.TARGETS)


class StreamingFleet(ElectingFleet):
    """Entries that relay streams, and engines of several versions."""

    def __init__(self, size: int) -> None:
        """Creates a fleet that is not started.

        Args:
            size: Number of entries.
        """
        self.store = MemoryTables()
        # The store as each entry reaches it, by instance id.
        self.tables: dict[str, ClosableTables] = {}
        super().__init__(
            size, functools.partial(StreamingEntry, tables=self.tables)
        )
        for name in self.names:
            self.tables[name] = ClosableTables(self.store)
        self._offset = 0
        self._rows: Collection[RosterRow] = ()
        self._begun = 0

    async def start(self, name: str) -> None:
        """Starts an entry, which reads the targets at once."""
        await super().start(name)
        self.read([name])

    def serve(self, *versions: str) -> None:
        """Replaces the engines by one of each version; all entries know.

        Args:
            versions: The versions.
        """
        self.replace_engines(versions)
        self.read(self.entries)

    def replace_engines(self, versions: Collection[str]) -> None:
        """Replaces the engines; entries know once they read the store.

        Args:
            versions: The versions.
        """
        born_ms = round(LoopClock(EPOCH_MS).wall_ms())
        running = {row.target_id: row for row in self._rows}
        self._rows = [
            running.get(f'engine-{version}')
            or RosterRow(
                f'engine-{version}',
                GROUP,
                f'h:{version}',
                'a',
                TargetPhase.READY,
                incarnation=born_ms,
                software_version=version,
            )
            for version in versions
        ]

    def read(self, names: Collection[str]) -> None:
        """Has entries read the targets.

        Args:
            names: Ids of the entries.
        """
        self._offset += 1
        for name in names:
            self.entry(name).state.era = self.store.era
            self.entry(name).read_roster(self._rows, self._offset)

    def close_store(self, names: Collection[str]) -> None:
        """Lets the store turn just these entries away.

        Args:
            names: Their instance ids.
        """
        for name, tables in self.tables.items():
            tables.closed = name in names

    def granted_versions(self, name: str) -> Collection[str]:
        """Returns the versions of the engines that an entry may be granted.

        Args:
            name: Id of the entry; another one may be its scheduler.
        """
        scheduler_id = self.entry(name).scheduler_id
        if scheduler_id not in self.entries:
            return ()
        state = self.entry(scheduler_id).state
        return sorted({row.software_version for row in state.engines(GROUP)})

    def entry(self, name: str) -> StreamingEntry:
        """Returns an entry that runs."""
        entry = self.entries[name]
        if not isinstance(entry, StreamingEntry):
            raise TypeError(f'{name} does not relay streams')
        return entry

    def begin(self, name: str, version: str) -> str:
        """Begins a stream; returns the id of its request.

        Args:
            name: Entry that relays it.
            version: Version of its engine.
        """
        self._begun += 1
        request_id = f'request-{self._begun}'
        expires_at_ms = LoopClock().steady_ms() + STREAM_MS
        self.entry(name).origins.note_begun(
            StreamOrigin(request_id, GROUP, version, expires_at_ms)
        )
        return request_id

    async def resolve(self, name: str, request_id: str) -> str | None:
        """Returns the version that an entry finds for a stream.

        Args:
            name: Entry that takes the stream up.
            request_id: Id of the request that began it.
        """
        origins = self.entry(name).origins
        return await origins.resolve(request_id, GROUP, SPAN_MS)
