"""Writes the record of this entry to the shared store."""

import asyncio
from collections.abc import Sequence

from .backoff import retry_delays
from .clock import MS_PER_S, Clock
from .events import Event, log_event
from .fleet_state import FleetState
from .generated.peer_fleet import EntryPresenceBody
from .shared_table import SharedTables, StoreError, Table


class PresenceAnnouncer:
    """Writes the record once, and again in each era that lacks it.

    Designed for a store that is restored from a copy: the record may be
    missing although the store acknowledged it, and nobody else writes it.
    """

    def __init__(
        self,
        presence: EntryPresenceBody,
        state: FleetState,
        tables: SharedTables,
        clock: Clock,
    ) -> None:
        """Creates an announcer that has written nothing.

        Args:
            presence: Identity and addresses of this entry.
            state: Knows the present era.
            tables: The shared store.
            clock: Source of monotonic time.
        """
        self._rewritten_after_ms: list[float] = []
        self._key = presence.instance_id
        self._content = presence.model_dump_json().encode()
        self._state = state
        self._tables = tables
        self._clock = clock
        self._era_entered_at_ms: float = 0
        self._era_entered = asyncio.Event()

    def note_era(self) -> None:
        """Has the record written again after the state entered an era."""
        self._era_entered_at_ms = self._clock.steady_ms()
        self._era_entered.set()

    @property
    def era(self) -> int:
        """Returns the era of the store that this entry follows."""
        return self._state.era

    def take_rewritten_after_ms(self) -> Sequence[float]:
        """Returns the times from new eras until the record was in the store.

        Times that were returned before are left out.
        """
        taken = tuple(self._rewritten_after_ms)
        self._rewritten_after_ms.clear()
        return taken

    async def run(self) -> None:
        """Keeps the record in the store until cancelled."""
        era = await self._write()
        while True:
            self._era_entered.clear()
            while era < self._state.era:
                era = await self._write()
                self._log_rewritten(era)
            await self._era_entered.wait()

    def _log_rewritten(self, era: int) -> None:
        took_ms = self._clock.steady_ms() - self._era_entered_at_ms
        self._rewritten_after_ms.append(took_ms)
        log_event(
            Event.STORE_RECORDS_REWRITTEN,
            table=Table.ENTRIES.value,
            era=era,
            records=1,
            took_ms=round(took_ms),
        )

    async def _write(self) -> int:
        """Writes the record until that succeeds; returns the era."""
        delays = retry_delays()
        while True:
            try:
                return await self._tables.put(
                    Table.ENTRIES, self._key, self._content
                )
            except StoreError as error:
                log_event(Event.PLATFORM_FAILED, reason=str(error))
            await asyncio.sleep(next(delays) / MS_PER_S)
