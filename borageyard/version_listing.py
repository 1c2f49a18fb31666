"""Lists the software versions of targets in the shared store."""

import asyncio
import contextlib
import hashlib
from collections.abc import AsyncIterator, Collection, Sequence

from .backoff import retry_delays
from .clock import MS_PER_S, Clock
from .document_validation import check_document, parse_json
from .election_service import ElectionService
from .events import Event, log_event
from .fleet_state import FleetState
from .generated.peer_streams import VersionListingBody, VersionListingReplyBody
from .generated.stored_streams import ServedVersionRecord
from .listed_versions import ListedVersions, VersionKey
from .peers import PeerError, PeerLink
from .refused_records import RefusedRecords
from .roster import RosterRow
from .served_versions import ServedVersions
from .shared_table import SharedTables, StoreError, Table, TablePage
from .tasks import running_tasks

CHECK_INTERVAL_MS = 1000
# Time that the scheduler has to list a version before the others do.
SCHEDULER_FIRST_MS = 300
# Peers that are asked at once by an entry that the store does not answer.
PEERS_ASKED = 2
ASK_TIMEOUT_MS = 1000
KEY_BYTES = 16


class VersionListing:
    """Lists each version before its engines get streams.

    Designed for the loss of all entries at once: a stream that was begun at a
    version implies that the store lists the version, so whoever reads the list
    later knows all versions that a stream may be of. The scheduler of a service
    lists its versions and removes them; another entry does so if the scheduler
    has not listed a version in time, and on behalf of peers that the store does
    not answer.
    """

    def __init__(
        self,
        instance_id: str,
        state: FleetState,
        elections: ElectionService,
        tables: SharedTables,
        link: PeerLink,
        clock: Clock,
    ) -> None:
        """Registers its messages on the link; lists nothing yet.

        Args:
            instance_id: Id of this entry.
            state: Holds the target roster; its engines are filtered.
            elections: Elects the schedulers.
            tables: The shared store.
            link: Link to the peers.
            clock: Source of monotonic time.
        """
        self._instance_id = instance_id
        self._state = state
        self._elections = elections
        self._tables = tables
        self._link = link
        self._clock = clock
        # Whether there was a time when all present versions were listed.
        self.settled = False
        self._listed = ListedVersions()
        # What this entry lists as the scheduler, by service.
        self._served: dict[str, ServedVersions] = {}
        self._changed = asyncio.Event()
        self._unlisted = asyncio.Event()
        self._read: asyncio.Task[TablePage | None] | None = None
        self._next_read: asyncio.Task[TablePage | None] | None = None
        state.is_listed = self.is_listed
        state.add_listener(self._on_table_change)
        elections.add_listener(self._changed.set)
        link.register(VersionListingBody, self._handle_listing)

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Reads and writes the list within the scope."""
        async with contextlib.AsyncExitStack() as stack:
            stack.callback(self._cancel_reads)
            await stack.enter_async_context(
                running_tasks(self._keep, self._ask_peers)
            )
            yield

    def is_listed(self, engine: RosterRow) -> bool:
        """Returns whether the store lists the version of an engine."""
        return self._listed.has((engine.service, engine.software_version))

    async def read(self, service: str) -> Collection[str] | None:
        """Returns all versions that may have begun streams until the call.

        Args:
            service: Name of the service.

        Returns:
            The versions; None if the store does not answer, or if its list
            may not be complete since it was restored.
        """
        page = await self._read_after_call()
        if page is None:
            return None
        records = [
            record
            for record in _decode_versions(page, self._state.refused)
            if record.service == service
        ]
        if any(record.era < page.era for record in records):
            return None
        return frozenset(record.software_version for record in records)

    async def _read_after_call(self) -> TablePage | None:
        """Returns the list as of a read that begins after the call."""
        if self._next_read is None:
            # The read under way may have begun before the call.
            self._next_read = asyncio.ensure_future(
                self._read_after(self._read)
            )
        # A caller that leaves must not end the read of the others.
        return await asyncio.shield(self._next_read)

    async def _read_after(
        self, previous: asyncio.Task[TablePage | None] | None
    ) -> TablePage | None:
        if previous is not None:
            await asyncio.wait([previous])
        self._read = self._next_read
        self._next_read = None
        try:
            return await self._tables.snapshot(Table.VERSIONS)
        except StoreError as error:
            log_event(Event.PLATFORM_FAILED, reason=str(error))
        return None

    def _cancel_reads(self) -> None:
        for read in (self._read, self._next_read):
            if read is not None:
                read.cancel()

    def _on_table_change(self, table: Table) -> None:
        if table is Table.TARGETS:
            self._changed.set()

    async def _keep(self) -> None:
        """Lists the versions of the present targets until cancelled."""
        delays = retry_delays()
        while True:
            self._changed.clear()
            now_ms = self._clock.steady_ms()
            self._note_present(now_ms)
            try:
                await self._update_lists(now_ms)
            except StoreError as error:
                log_event(Event.PLATFORM_FAILED, reason=str(error))
                await asyncio.sleep(next(delays) / MS_PER_S)
                continue
            delays = retry_delays()
            unlisted = self._listed.unlisted()
            interval_ms = SCHEDULER_FIRST_MS if unlisted else CHECK_INTERVAL_MS
            await _wait(self._changed, interval_ms)

    def _note_present(self, now_ms: float) -> None:
        """Records the versions of the present targets."""
        self._listed.update(
            [
                (row.service, row.software_version)
                for row in self._state.roster.rows()
            ],
            now_ms,
        )
        if self._listed.unlisted_here():
            self._unlisted.set()
        elif not self.settled and self._state.roster.rows():
            self.settled = True
            # The entry may have become ready.
            self._state.notify(Table.TARGETS)

    async def _update_lists(self, now_ms: float) -> None:
        """Lists what is to be listed.

        Raises:
            StoreError: If the store does not answer.
        """
        for service, versions in self._listed.due().items():
            if self._elections.find(service) == self._instance_id:
                await self._update_as_scheduler(service, versions)
            else:
                self._served.pop(service, None)
        if not self._listed.unlisted():
            return
        records = await self._read_records()
        overdue = self._listed.unlisted(now_ms - SCHEDULER_FIRST_MS)
        for service, versions in overdue.items():
            await self._write(ServedVersions(service, records), versions)

    async def _update_as_scheduler(
        self, service: str, versions: Collection[str]
    ) -> None:
        served = self._served.get(service)
        if served is None:
            served = ServedVersions(service, await self._read_records())
            self._served[service] = served
        for version in await self._write(served, versions):
            key = _record_key(service, version)
            await self._tables.put(Table.VERSIONS, key, b'')
            served.note_removed(version)
            self._listed.remove((service, version))

    async def _read_records(self) -> Sequence[ServedVersionRecord]:
        page = await self._tables.snapshot(Table.VERSIONS)
        records = _decode_versions(page, self._state.refused)
        self._confirm(
            [(record.service, record.software_version) for record in records]
        )
        return records

    async def _write(
        self, served: ServedVersions, versions: Collection[str]
    ) -> Collection[str]:
        """Writes what is not listed; returns the versions to remove."""
        changes = served.plan(
            versions, self._state.era, self._clock.steady_ms()
        )
        for record in changes.writes:
            await self._tables.put(
                Table.VERSIONS,
                _record_key(record.service, record.software_version),
                record.model_dump_json().encode(),
            )
            served.note_written(record)
            self._confirm([(record.service, record.software_version)])
        return changes.removals

    def _confirm(self, keys: Collection[VersionKey]) -> None:
        """Records what the store lists; engines of new versions get work."""
        if self._listed.confirm(keys):
            self._state.notify(Table.TARGETS)

    async def _ask_peers(self) -> None:
        """Has peers list versions while the store does not answer."""
        delays = retry_delays()
        asked = 0
        while True:
            await self._unlisted.wait()
            # The store answers first as a rule.
            await asyncio.sleep(next(delays) / MS_PER_S)
            missing = self._listed.unlisted_here()
            if not missing:
                self._unlisted.clear()
                delays = retry_delays()
                continue
            peers = self._link.connected_ids()
            chosen = [
                peers[number % len(peers)]
                for number in range(asked, asked + min(PEERS_ASKED, len(peers)))
            ]
            asked += len(chosen)
            await asyncio.gather(
                *(
                    self._ask(peer_id, service, versions)
                    for peer_id in chosen
                    for service, versions in missing.items()
                )
            )

    async def _ask(
        self, peer_id: str, service: str, versions: Collection[str]
    ) -> None:
        try:
            reply = await self._link.request(
                peer_id,
                VersionListingBody(service=service, versions=sorted(versions)),
                VersionListingReplyBody,
                ASK_TIMEOUT_MS,
            )
        except PeerError as error:
            log_event(
                Event.PEER_UNANSWERED,
                peer_id=peer_id,
                request_id='',
                reason=str(error),
            )
            return
        self._confirm([(service, version) for version in reply.listed])

    async def _handle_listing(
        self, peer_id: str, message: VersionListingBody
    ) -> VersionListingReplyBody:
        keys = [(message.service, version) for version in message.versions]
        self._listed.want(keys, self._clock.steady_ms())
        listed = [key[1] for key in keys if self._listed.has(key)]
        if len(listed) < len(keys):
            self._changed.set()
        return VersionListingReplyBody(listed=listed)


def _record_key(service: str, version: str) -> str:
    # Names may be longer than keys.
    name = f'{service}\n{version}'.encode()
    return hashlib.blake2b(name, digest_size=KEY_BYTES).hexdigest()


async def _wait(event: asyncio.Event, limit_ms: float) -> None:
    """Waits for an event, at most for a time."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(limit_ms / MS_PER_S):
            await event.wait()


def _decode_versions(
    page: TablePage, refused: RefusedRecords
) -> Sequence[ServedVersionRecord]:
    listed = []
    source = Table.VERSIONS.value
    for record in page.records:
        with refused.skipping(Table.VERSIONS, record):
            document = parse_json(record.content or b'', source)
            listed.append(check_document(ServedVersionRecord, document, source))
    return listed
