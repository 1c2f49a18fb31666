"""Measures whether an entry is overloaded and lets the other entries know."""

import contextlib
import functools
from collections.abc import AsyncIterator

from ..clock import Clock
from ..events import Event, log_event
from ..fleet_sync import FleetSync
from ..http_server import HttpServer
from ..loop_lag import LoopLagMonitor
from ..tasks import running_tasks
from .entry_load import EntryLoad


class EntryLoadWatch:
    """Probes the event loop; the result travels with the regular gossip."""

    def __init__(
        self, load: EntryLoad, sync: FleetSync, server: HttpServer, clock: Clock
    ) -> None:
        """Creates a watch that does not run.

        Args:
            load: Judges the probes.
            sync: Tells the other entries.
            server: Server of the callers.
            clock: Source of monotonic time.
        """
        self._load = load
        self._sync = sync
        self._server = server
        self._clock = clock
        # Keeps the last probe only.
        self._monitor = LoopLagMonitor(1)

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Probes within the scope."""
        probe = functools.partial(
            self._monitor.run_probes, on_probe=self._note_probe
        )
        async with running_tasks(probe):
            yield

    def _note_probe(self, lag_ms: float) -> None:
        connections = self._server.connections
        self._load.note(lag_ms, connections, self._clock.steady_ms())
        if self._load.overloaded is self._sync.overloaded:
            return
        self._sync.overloaded = self._load.overloaded
        log_event(
            Event.ENTRY_LOAD_CHANGED,
            instance_id=self._sync.membership.instance_id,
            overloaded=self._load.overloaded,
            lag_ms=round(lag_ms),
            connections=connections,
        )
