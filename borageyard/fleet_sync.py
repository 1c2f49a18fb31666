"""Keeps an entry's view of the deployment up to date."""

import asyncio
import contextlib
import itertools
import math
from collections.abc import AsyncIterator

from .backing_services import ROLE_ENTRY, Instance
from .clock import MS_PER_S, Clock
from .document_validation import DocumentError, check_document, parse_json
from .events import Event, log_event
from .fleet_state import FleetState
from .generated.peer_fleet import (
    EntryPresenceBody,
    TableNewsBody,
    TableRecordBody,
    TableReplyBody,
    TableRequestBody,
)
from .generated.peer_membership import PeerMembershipBody
from .membership import Membership
from .peer_link import TcpPeerLink
from .peers import GossipSection, PeerAddress, PeerError
from .shared_table import (
    HistoryLostError,
    SharedTables,
    StoreError,
    Table,
    TablePage,
    TableRecord,
)
from .tasks import running_tasks

# Wait of a read for a change of the entries; calls of the store are priced,
# and entries that are new make themselves known to the others.
ENTRIES_POLL_MS = 10_000
# Wait of a read for a change of the configuration: a read that hears nothing
# of a change must end within the time in which changes are to be in force (3 s
# by the users' letter, two seconds on their sites).
CONFIGURATION_POLL_MS = 800
# Pause between reads of the targets, half of the least bound after which a
# leaving target gets no new work.
TARGETS_INTERVAL_MS = 1000
# Pauses after a call of the store failed.
RETRY_MIN_MS = 100
RETRY_MAX_MS = 1000
# Time without a read of the targets after which peers are asked.
STALE_MS = 1500
PEER_TIMEOUT_MS = 500
TICK_MS = 250
# Time after the return of the store in which targets whose records lapsed
# meanwhile announce themselves again: about two seconds by the users.
LAPSE_MS = 2300


class FleetSync:
    """Reads the shared store, and peers where the store does not answer."""

    def __init__(
        self,
        presence: EntryPresenceBody,
        state: FleetState,
        tables: SharedTables,
        link: TcpPeerLink,
        membership: Membership,
        clock: Clock,
    ) -> None:
        """Composes what is not running yet.

        Args:
            presence: How others find this entry.
            state: What is kept up to date.
            tables: The shared store.
            link: The streams to the other entries.
            membership: The other entries.
            clock: Source of steady time.
        """
        self.membership = membership
        self.leaving = False
        # Address for callers; empty while this entry is not ready.
        self.address = ''
        self._presence = presence
        self._state = state
        self._tables = tables
        self._link = link
        self._clock = clock
        self._read_at_ms: dict[Table, float] = {}
        self._reachable: dict[Table, bool] = {}
        self._asked = 0
        # Entries that opened a stream to this one: all that is known of the
        # others after a start while the store is away.
        self._greeted: dict[str, EntryPresenceBody] = {}
        link.register(TableRequestBody, self._handle_request)
        link.add_gossip_section(
            GossipSection(
                PeerMembershipBody,
                self._tell_membership,
                self._note_membership,
                urgent=True,
            ),
        )
        link.add_gossip_section(
            GossipSection(
                TableNewsBody,
                self._tell_ends,
                self._note_ends,
                urgent=True,
            ),
        )
        self._behind: dict[Table, set[str]] = {table: set() for table in Table}
        self._wake = asyncio.Event()

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Keeps the view up to date while the scope lasts."""
        async with running_tasks(
            self._follow(Table.CONFIGURATION, CONFIGURATION_POLL_MS, 0),
            self._follow(Table.TARGETS, 0, TARGETS_INTERVAL_MS),
            self._follow(Table.ENTRIES, ENTRIES_POLL_MS, 0),
            self._announce(),
            self._catch_up(),
            self._tick(),
        ):
            yield

    def entries_known(self) -> int:
        """Returns how many entries there may be, this one included."""
        return len(self.membership.members()) + 1

    def note_entry(self, entry: EntryPresenceBody) -> None:
        """Takes in an entry that opened a stream to this one.

        Args:
            entry: What it tells of itself.
        """
        self._greeted[entry.instance_id] = entry

    async def _announce(self) -> None:
        """Makes this entry known in the store, however long that takes."""
        content = self._presence.model_dump_json().encode()
        pauses = _pauses()
        while True:
            try:
                await self._tables.put(
                    Table.ENTRIES,
                    self._presence.instance_id,
                    content,
                )
            except StoreError as error:
                log_event(Event.PLATFORM_FAILED, reason=str(error))
            else:
                return
            await asyncio.sleep(next(pauses) / MS_PER_S)

    async def _follow(
        self,
        table: Table,
        wait_ms: float,
        interval_ms: float,
    ) -> None:
        """Reads a table again and again.

        Args:
            table: Which table.
            wait_ms: How long the store waits for a record.
            interval_ms: Pause between reads.
        """
        pauses = _pauses()
        whole = True
        while True:
            try:
                whole = await self._read(table, wait_ms, whole=whole)
            except StoreError as error:
                self._note_reachable(table, str(error))
                await asyncio.sleep(next(pauses) / MS_PER_S)
                continue
            self._note_reachable(table, '')
            pauses = _pauses()
            await asyncio.sleep(interval_ms / MS_PER_S)

    async def _read(
        self,
        table: Table,
        wait_ms: float,
        *,
        whole: bool,
    ) -> bool:
        """Reads once; returns whether a snapshot has to be read next."""
        began_ms = self._clock.steady_ms()
        if whole:
            page = await self._tables.snapshot(table)
            self._state.replace(table, page)
        else:
            offset = self._state.mirrors[table].end
            try:
                page = await self._tables.read(table, offset, wait_ms)
            except HistoryLostError as error:
                log_event(
                    Event.HISTORY_LOST,
                    table=table.value,
                    reason=str(error),
                )
                return True
            self._state.apply(table, page)
        self._read_at_ms[table] = began_ms
        return False

    def _note_reachable(self, table: Table, reason: str) -> None:
        """Logs when the store was lost or is there again."""
        reachable = not reason
        if self._reachable.get(table, True) == reachable:
            return
        self._reachable[table] = reachable
        if reachable:
            log_event(Event.STORE_REGAINED, table=table.value)
            until_ms = self._clock.steady_ms() + LAPSE_MS
        else:
            log_event(Event.STORE_LOST, table=table.value, reason=reason)
            until_ms = math.inf
        if table is Table.TARGETS:
            self._state.hold_removals(until_ms)

    async def _tick(self) -> None:
        """Lets the time of the membership pass and updates the streams."""
        while True:
            now_ms = self._clock.steady_ms()
            rows = self._entry_rows()
            self.membership.note_list(rows, now_ms)
            self.membership.tick(now_ms)
            self._state.settle_removals(now_ms)
            self._link.update_peers(
                PeerAddress(
                    row.instance_id,
                    row.peer_address,
                    row.failure_domain,
                )
                for row in rows
            )
            await asyncio.sleep(TICK_MS / MS_PER_S)

    def _entry_rows(self) -> list[Instance]:
        known_entries = dict(self._greeted)
        for record in self._state.mirrors[Table.ENTRIES].records():
            try:
                document = parse_json(record.content or b'', record.key)
                known = check_document(
                    EntryPresenceBody,
                    document,
                    record.key,
                )
            except DocumentError as error:
                log_event(Event.PLATFORM_FAILED, reason=str(error))
                continue
            greeted = known_entries.get(known.instance_id)
            if greeted is None or greeted.incarnation <= known.incarnation:
                known_entries[known.instance_id] = known
        return [_instance_of(entry) for entry in known_entries.values()]

    async def _catch_up(self) -> None:
        """Asks peers for records that they have and this entry lacks."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(TICK_MS / MS_PER_S):
                    await self._wake.wait()
            self._wake.clear()
            for table in (Table.CONFIGURATION, Table.TARGETS):
                if self._behind[table]:
                    await self._ask_peer(table)

    async def _ask_peer(self, table: Table) -> None:
        peers = sorted(self._behind[table])
        self._behind[table].clear()
        self._asked += 1
        peer_id = peers[self._asked % len(peers)]
        offset = self._state.mirrors[table].end
        request = TableRequestBody(table=table.value, offset=offset)
        try:
            reply = await self._link.request(
                peer_id,
                request,
                TableReplyBody,
                PEER_TIMEOUT_MS,
            )
        except PeerError as error:
            log_event(
                Event.PEER_UNANSWERED,
                peer_id=peer_id,
                request_id='',
                reason=str(error),
            )
            return
        records = tuple(
            TableRecord(
                told.offset,
                told.key,
                None if told.dropped else told.content,
            )
            for told in reply.records
        )
        page = TablePage(records, reply.end)
        self._state.apply(table, page, from_peer=True)
        log_event(
            Event.TABLE_CAUGHT_UP,
            table=table.value,
            peer_id=peer_id,
            end=reply.end,
        )

    async def _handle_request(
        self,
        peer_id: str,
        request: TableRequestBody,
    ) -> TableReplyBody:
        page = self._state.mirrors[Table(request.table)].since(request.offset)
        return TableReplyBody(
            records=[
                TableRecordBody(
                    offset=record.offset,
                    key=record.key,
                    content=record.content or b'',
                    dropped=record.content is None,
                )
                for record in page.records
            ],
            end=page.end,
        )

    def _tell_membership(self) -> PeerMembershipBody:
        return PeerMembershipBody(
            incarnation=self._presence.incarnation,
            address=self.address,
            failure_domain=self._presence.failure_domain,
            leaving=self.leaving,
        )

    def _note_membership(self, peer_id: str, news: PeerMembershipBody) -> None:
        now_ms = self._clock.steady_ms()
        self.membership.note_gossip(peer_id, news, now_ms)

    def _tell_ends(self) -> TableNewsBody:
        return TableNewsBody(
            ends={
                table.value: self._state.mirrors[table].end
                for table in (Table.CONFIGURATION, Table.TARGETS)
            },
        )

    def _note_ends(self, peer_id: str, news: TableNewsBody) -> None:
        now_ms = self._clock.steady_ms()
        for table in (Table.CONFIGURATION, Table.TARGETS):
            own_end = self._state.mirrors[table].end
            if news.ends.get(table.value, 0) <= own_end:
                continue
            # Targets announce themselves all the time: an entry that reads
            # the store itself is always a little behind some peer.
            read_at_ms = self._read_at_ms.get(table, 0)
            stale = now_ms - read_at_ms > STALE_MS
            if table is Table.CONFIGURATION or stale:
                self._behind[table].add(peer_id)
                self._wake.set()


def _instance_of(entry: EntryPresenceBody) -> Instance:
    return Instance(
        instance_id=entry.instance_id,
        role=ROLE_ENTRY,
        address='',
        failure_domain=entry.failure_domain,
        peer_address=entry.peer_address,
        incarnation=entry.incarnation,
    )


def _pauses() -> itertools.chain[float]:
    """Returns growing pauses in milliseconds, the last one without end."""
    growing: list[float] = []
    pause_ms: float = RETRY_MIN_MS
    while pause_ms < RETRY_MAX_MS:
        growing.append(pause_ms)
        pause_ms *= 2
    return itertools.chain(growing, itertools.repeat(RETRY_MAX_MS))
