"""In-memory fleet whose shared store is restored from copies."""

import asyncio
import collections
import contextlib
import dataclasses
import json
from collections.abc import AsyncIterator, Collection, Sequence
from typing import Any

from ..clock import MS_PER_S, LoopClock
from ..fleet_state import FleetState
from ..fleet_sync import FleetSync
from ..generated.peer_fleet import EntryPresenceBody
from ..membership import Membership
from ..memory_peers import MemoryPeerNetwork
from ..platform.documents import DocumentDecoder
from ..shared_table import (
    MemoryTables,
    PartListener,
    SharedTables,
    StoreError,
    Table,
    TablePage,
)
from .gateway_deployment import build_document

GOSSIP_INTERVAL_MS = 250
ANNOUNCE_INTERVAL_MS = 1000
# Time for which the copies from which the store can be restored are kept.
COPIES_MS = 6000
COPY_INTERVAL_MS = 100
CONFIGURATION_KEY = 'config'
TARGETS = 4
SETTLED_MS = 4000


class EntryTables:
    """The store as one entry reaches it, with its own faults."""

    def __init__(self, tables: SharedTables) -> None:
        """Creates access without faults.

        Args:
            tables: The store.
        """
        self.cut = False
        self.delay_ms: float = 0
        self.calls: collections.Counter[str] = collections.Counter()
        self._tables = tables

    async def snapshot(
        self, table: Table, on_part: PartListener | None = None
    ) -> TablePage:
        """Reads the newest record of each key."""
        await self._count(f'snapshot {table.value}')
        page = await self._tables.snapshot(table)
        await self._answer()
        return page

    async def read(
        self,
        table: Table,
        offset: int,
        wait_ms: float,
        on_part: PartListener | None = None,
    ) -> TablePage:
        """Reads the history of a table from an offset on."""
        await self._count(f'read {table.value}')
        page = await self._tables.read(table, offset, wait_ms)
        await self._answer()
        return page

    async def put(self, table: Table, key: str, content: bytes) -> int:
        """Writes the newest record of a key."""
        await self._count(f'put {table.value}')
        era = await self._tables.put(table, key, content)
        await self._answer()
        return era

    async def _count(self, call: str) -> None:
        self.calls[call] += 1
        await asyncio.sleep(1 / MS_PER_S)
        if self.cut:
            raise StoreError('cut off')

    async def _answer(self) -> None:
        await asyncio.sleep(self.delay_ms / MS_PER_S)
        if self.cut:
            raise StoreError('answer lost')


class RestoredEntry:
    """Entry that reads the store and gossips with the others."""

    def __init__(
        self,
        name: str,
        incarnation: int,
        tables: SharedTables,
        network: MemoryPeerNetwork,
    ) -> None:
        """Joins the network; ``run`` runs its tasks."""
        self.name = name
        self.state = FleetState(DocumentDecoder())
        self.tables = EntryTables(tables)
        # Versions of the configuration in the order in which they came into
        # force.
        self.versions: list[int] = []
        self.link = network.join(name)
        presence = EntryPresenceBody(
            instance_id=name,
            incarnation=incarnation,
            peer_address=f'10.0.0.1:{incarnation}',
        )
        self.sync = FleetSync(
            presence,
            self.state,
            self.tables,
            self.link,
            Membership(name, incarnation),
            LoopClock(),
        )
        self.state.add_listener(self._note_version)

    async def run(self) -> None:
        """Runs the tasks of the entry until cancelled."""
        async with self.sync.running():
            while True:
                self.link.send_gossip()
                await asyncio.sleep(GOSSIP_INTERVAL_MS / MS_PER_S)

    def _note_version(self, table: Table) -> None:
        if table is Table.CONFIGURATION:
            self.versions.append(self.state.version)


@dataclasses.dataclass(slots=True)
class _Target:
    incarnation: int
    number: int = 0
    state: str = 'ready'


class RestoredFleet:
    """Entries, an operator and targets that share a store."""

    def __init__(self, size: int) -> None:
        """Creates a fleet that is not started.

        Args:
            size: Number of entries.
        """
        self.store = MemoryTables()
        self.store.era = 1
        self.network = MemoryPeerNetwork()
        self.entries: dict[str, RestoredEntry] = {}
        # Entries that were killed.
        self.former: list[RestoredEntry] = []
        self.targets: dict[str, _Target] = {}
        self.version = 0
        self._size = size
        self._incarnation = 0
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._documents: list[tuple[int, bytes]] = []
        self._copies: collections.deque[dict[Table, int]] = collections.deque(
            maxlen=COPIES_MS // COPY_INTERVAL_MS
        )

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator['RestoredFleet']:
        """Runs all parts within the scope, from a settled state on."""
        self.configure()
        for number in range(TARGETS):
            self.start_target(f'target-{number}')
        for number in range(self._size):
            self.start_entry(f'entry-{number}')
        self._spawn('targets', self._announce())
        self._spawn('copies', self._copy())
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self._close)
            await asyncio.sleep(SETTLED_MS / MS_PER_S)
            yield self

    def start_entry(self, name: str) -> None:
        """Starts an entry that knows nothing."""
        self._incarnation += 1
        entry = RestoredEntry(name, self._incarnation, self.store, self.network)
        self.entries[name] = entry
        self._spawn(name, entry.run())

    def kill_entry(self, name: str) -> None:
        """Ends an entry without warning."""
        self._tasks.pop(name).cancel()
        self.network.leave(name)
        self.former.append(self.entries.pop(name))

    def configure(self) -> None:
        """Writes the next version of the configuration to the store."""
        self.version += 1
        content = json.dumps(build_document(self.version)).encode()
        self._documents.append((self.version, content))
        self.store.write(Table.CONFIGURATION, CONFIGURATION_KEY, content)

    def start_target(self, name: str) -> None:
        """Starts a target, or starts it again."""
        self._incarnation += 1
        self.targets[name] = _Target(self._incarnation)
        self.announce(name)

    def announce(self, name: str, state: str = '') -> None:
        """Writes the record of a target.

        Args:
            name: Id of the target.
            state: State to announce; empty for the present one.
        """
        target = self.targets[name]
        target.number += 1
        target.state = state or target.state
        row = {
            'service': 'desk',
            'address': f'10.0.0.1:{target.incarnation}',
            'zone': 'north',
            'slots': 8,
            'state': target.state,
            'sequence': target.number,
            'born': target.incarnation,
        }
        self.store.write(Table.TARGETS, name, json.dumps(row).encode())

    def stop_target(self, name: str) -> None:
        """Removes a target and its record."""
        self.targets.pop(name)
        self.store.write(Table.TARGETS, name, None)

    async def restore(
        self, age_ms: float, away_ms: float, rewrite_after_ms: float
    ) -> None:
        """Takes the store away and brings it back from a copy.

        What the operator wrote since the copy is written again in its order,
        and what targets removed is removed again; the other targets announce
        themselves all the time.

        Args:
            age_ms: Age of the copy, when the store goes away.
            away_ms: Time for which the store is away.
            rewrite_after_ms: Time from its return until the operator writes.
        """
        back = min(round(age_ms / COPY_INTERVAL_MS), len(self._copies) - 1)
        copied = self._copies[len(self._copies) - 1 - back]
        self.store.down = True
        await asyncio.sleep(away_ms / MS_PER_S)
        self.store.restore(copied)
        self._copies.clear()
        self._copies.append(copied)
        self.store.down = False
        await asyncio.sleep(rewrite_after_ms / MS_PER_S)
        for _, content in self._documents[copied[Table.CONFIGURATION] :]:
            self.store.write(Table.CONFIGURATION, CONFIGURATION_KEY, content)
        for record in (await self.store.snapshot(Table.TARGETS)).records:
            if record.key not in self.targets:
                self.store.write(Table.TARGETS, record.key, None)

    async def unlisted_entries(self) -> Collection[str]:
        """Returns the entries whose records the store does not hold."""
        page = await self.store.snapshot(Table.ENTRIES)
        return self.entries.keys() - {record.key for record in page.records}

    def lagging_entries(self) -> Collection[str]:
        """Returns the entries that do not know what holds at present."""
        ready = sorted(
            name
            for name, target in self.targets.items()
            if target.state == 'ready'
        )
        return [
            name
            for name, entry in self.entries.items()
            if entry.state.version != self.version or self.ready(entry) != ready
        ]

    def reverted_entries(self) -> Collection[str]:
        """Returns the entries at which an older version came into force."""
        return [
            entry.name
            for entry in (*self.entries.values(), *self.former)
            if entry.versions != sorted(entry.versions)
        ]

    def ready(self, entry: RestoredEntry) -> Sequence[str]:
        """Returns the ids of the targets that take work, as an entry knows."""
        return [row.target_id for row in entry.state.roster.ready('desk')]

    async def _close(self) -> None:
        tasks = tuple(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _announce(self) -> None:
        while True:
            for name in tuple(self.targets):
                if not self.store.down:
                    self.announce(name)
            await asyncio.sleep(ANNOUNCE_INTERVAL_MS / MS_PER_S)

    async def _copy(self) -> None:
        while True:
            if not self.store.down:
                self._copies.append(dict(self.store.ends()))
            await asyncio.sleep(COPY_INTERVAL_MS / MS_PER_S)

    def _spawn(self, name: str, work: Any) -> None:
        self._tasks[name] = asyncio.ensure_future(work)
