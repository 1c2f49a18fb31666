"""Keeps the cold targets up to date with the fleet."""

import asyncio
import contextlib
import math
from collections.abc import AsyncIterator

from ..clock import MS_PER_S, Clock
from ..fleet_state import FleetState
from ..shared_table import Table
from ..tasks import running_tasks
from .cold_targets import ColdTargets

# Interval at which targets that have become cold or warm are logged.
REFRESH_MS = 250
# Time from the first targets that peers tell of, while the store was never
# read, in which further ones count as there before this entry: a roster comes
# in several pieces.
FIRST_PIECES_MS = 3000


class ColdTargetService:
    """Tells the cold targets of each change of the configuration and roster.

    It listens to the state before the schedulers do, so that a target which
    comes back has its limit before the first request is placed there.
    """

    def __init__(
        self, cold: ColdTargets, state: FleetState, clock: Clock
    ) -> None:
        """Registers its listener.

        Args:
            cold: The cold targets.
            state: Configuration and targets.
            clock: Source of monotonic time.
        """
        self._cold = cold
        self._state = state
        self._clock = clock
        self._first_at_ms = math.inf
        state.add_listener(self._on_change)

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Runs the task that logs changes within the scope."""
        async with running_tasks(self._refresh):
            yield

    async def _refresh(self) -> None:
        while True:
            self._cold.refresh(self._is_listed)
            await asyncio.sleep(REFRESH_MS / MS_PER_S)

    def _is_listed(self, target_id: str) -> bool:
        return self._state.roster.find(target_id) is not None

    def _on_change(self, table: Table) -> None:
        if table is Table.CONFIGURATION and self._state.configuration:
            services = self._state.configuration.services
            self._cold.configure(services.values())
        elif table is Table.TARGETS:
            rows = self._state.roster.rows()
            self._cold.note_targets(rows, initial=self._is_initial())

    def _is_initial(self) -> bool:
        """Returns whether the targets may have been there before."""
        now_ms = self._clock.steady_ms()
        if math.isinf(self._first_at_ms):
            self._first_at_ms = now_ms
        was_read = math.isfinite(self._state.mirrors[Table.TARGETS].read_at_ms)
        return not was_read and now_ms - self._first_at_ms < FIRST_PIECES_MS
