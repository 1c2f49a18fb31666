"""Reads the tables of the shared store, over its eras."""

import asyncio
import contextlib
import math

from .backoff import retry_delays
from .clock import MS_PER_S, Clock
from .events import Event, log_event
from .fleet_state import FleetState
from .presence_announcer import PresenceAnnouncer
from .read_progress import ReadProgress
from .shared_table import (
    HistoryLostError,
    SharedTables,
    StoreError,
    Table,
    TablePage,
)

# Time that targets get to announce themselves again after the store is back,
# as their records may have expired meanwhile. According to the users they take
# about two seconds.
REANNOUNCE_MS = 2300
# Names the store, and not a peer, as what showed a new era.
STORE_SOURCE = 'store'


class TableReader:
    """Keeps the view of an entry up to date with the shared store.

    Designed for a store that is restored from a copy some seconds old: on a
    new era each table is read again from its start, and what is known stays in
    use meanwhile.
    """

    def __init__(
        self,
        state: FleetState,
        tables: SharedTables,
        announcer: PresenceAnnouncer,
        clock: Clock,
    ) -> None:
        """Creates a reader that has read nothing.

        Args:
            state: View that is kept up to date.
            tables: The shared store.
            announcer: Told of each new era.
            clock: Source of monotonic time.
        """
        self._state = state
        self._tables = tables
        self._announcer = announcer
        self._clock = clock
        self._reachable: dict[Table, bool] = {}
        self._progress = {table: ReadProgress(clock) for table in Table}
        # Tables of which a snapshot was read in the present era.
        self._snapshots: set[Table] = set()

    def is_reachable(self, table: Table) -> bool:
        """Returns whether the last read of a table succeeded."""
        return self._reachable.get(table, True)

    def is_receiving(self, table: Table) -> bool:
        """Returns whether an answer of the store is arriving."""
        return self._progress[table].is_moving()

    async def poll(
        self,
        table: Table,
        wait_ms: float,
        interval_ms: float,
    ) -> None:
        """Polls a table until cancelled.

        Args:
            table: Table to read.
            wait_ms: Milliseconds that the store waits for a new record.
            interval_ms: Milliseconds between reads.
        """
        delays = retry_delays()
        while True:
            try:
                await self._read(table, wait_ms)
            except StoreError as error:
                self.follow_era(error.era, STORE_SOURCE)
                self._update_reachable(table, str(error))
                await asyncio.sleep(next(delays) / MS_PER_S)
                continue
            self._update_reachable(table, '')
            delays = retry_delays()
            await asyncio.sleep(interval_ms / MS_PER_S)

    def follow_era(self, era: int, source: str) -> None:
        """Starts over if the store is in a newer era.

        Args:
            era: Era that was stated.
            source: The store, or the id of the peer that stated it.
        """
        if era > self._state.era:
            self._restart(era, source)

    async def _read(self, table: Table, wait_ms: float) -> None:
        """Reads a snapshot of a table, or what follows its last read."""
        started_at_ms = self._clock.steady_ms()
        with contextlib.ExitStack() as stack:
            stack.callback(self._progress[table].note_end)
            if table in self._snapshots:
                await self._read_history(table, wait_ms)
            else:
                await self._read_snapshot(table)
        self._state.mirrors[table].read_at_ms = started_at_ms

    async def _read_snapshot(self, table: Table) -> None:
        on_part = self._progress[table].note_part
        page = await self._tables.snapshot(table, on_part)
        self._require_present_era(page)
        self._state.replace(table, page)
        self._snapshots.add(table)
        if table is Table.TARGETS and self._state.unlisted_targets:
            self._state.delay_removals(self._clock.steady_ms() + REANNOUNCE_MS)
        log_event(
            Event.TABLE_SNAPSHOT_READ,
            table=table.value,
            era=page.era,
            listed=len(page.records),
            kept=len(self._state.mirrors[table].unplaced_keys()),
        )

    async def _read_history(self, table: Table, wait_ms: float) -> None:
        era = self._state.era
        offset = self._state.mirrors[table].end
        try:
            page = await self._tables.read(
                table, offset, wait_ms, self._progress[table].note_part
            )
        except HistoryLostError as error:
            log_event(Event.HISTORY_LOST, table=table.value, reason=str(error))
            self._snapshots.discard(table)
            self.follow_era(error.era, STORE_SOURCE)
            if error.restored and error.era == era == self._state.era:
                # A store that states no era.
                self._restart(era, STORE_SOURCE)
            return
        self._require_present_era(page)
        if page.era == era:
            self._state.apply(table, page)

    def _require_present_era(self, page: TablePage) -> None:
        """Follows the era of an answer; an answer of an older era is late."""
        self.follow_era(page.era, STORE_SOURCE)
        if page.era < self._state.era:
            raise StoreError(f'answer of the earlier era {page.era}')

    def _restart(self, era: int, source: str) -> None:
        log_event(
            Event.STORE_ERA_CHANGED,
            previous=self._state.era,
            era=era,
            source=source,
            kept={
                table.value: len(mirror.records())
                for table, mirror in self._state.mirrors.items()
            },
        )
        self._state.restart(era)
        self._snapshots.clear()
        self._announcer.note_era()

    def _update_reachable(self, table: Table, reason: str) -> None:
        """Records whether the store answers; logs each change.

        Args:
            table: Table that was read.
            reason: Why the read failed; empty if it succeeded.
        """
        reachable = not reason
        if self.is_reachable(table) == reachable:
            return
        self._reachable[table] = reachable
        if reachable:
            log_event(Event.STORE_REGAINED, table=table.value)
            until_ms = self._clock.steady_ms() + REANNOUNCE_MS
        else:
            log_event(Event.STORE_LOST, table=table.value, reason=reason)
            until_ms = math.inf
        if table is Table.TARGETS:
            self._state.delay_removals(until_ms)
