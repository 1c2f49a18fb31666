"""Detects engines that end in silence, closing no connection."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from .clock import MS_PER_S, Clock
from .crash_attribution import EngineRun
from .crash_suspects import CrashSuspects
from .events import Event, log_event
from .fleet_state import FleetState
from .silent_engines import SilentEngines
from .target_probe import TargetProbe
from .tasks import running_tasks

# Interval in which silent engines are looked for.
WATCH_INTERVAL_MS = 250


class SilenceWatch:
    """Checks engines that owe answers and reports those that have ended."""

    def __init__(
        self,
        state: FleetState,
        suspects: CrashSuspects,
        clock: Clock,
        probe: TargetProbe,
    ) -> None:
        """Starts without engines.

        Args:
            state: Holds the target roster.
            suspects: Receives the crashes, and tells of those that peers saw.
            clock: Monotonic clock.
            probe: Asks engines for their status.
        """
        self.engines = SilentEngines()
        self._state = state
        self._suspects = suspects
        self._clock = clock
        self._probe = probe
        self._checks: dict[EngineRun, asyncio.Task[None]] = {}
        suspects.on_reported = self._on_reported

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Checks engines within the scope."""
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self._close)
            await stack.enter_async_context(running_tasks(self._watch))
            yield

    def compare_rows(self) -> None:
        """Reports the silent engines that have ended, checks unclear ones."""
        ended, unclear = self.engines.note_rows(
            self._state.roster.rows(), self._clock.steady_ms()
        )
        for engine in ended:
            self._report_silent(engine, 'silent')
        for engine, address in unclear:
            self._start_check(engine, address)

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(WATCH_INTERVAL_MS / MS_PER_S)
            for engine, address in self.engines.to_check(
                self._clock.steady_ms()
            ):
                self._start_check(engine, address)

    def _start_check(self, engine: EngineRun, address: str) -> None:
        if engine not in self._checks:
            self._checks[engine] = asyncio.ensure_future(
                self._check_silent(engine, address)
            )

    async def _check_silent(self, engine: EngineRun, address: str) -> None:
        with contextlib.ExitStack() as stack:
            stack.callback(self._checks.pop, engine)
            reason = await self._probe.check_status(engine.target_id, address)
        self.engines.note_check(
            engine, self._clock.steady_ms(), answered=not reason
        )
        log_event(
            Event.ENGINE_SILENT, target_id=engine.target_id, reason=reason
        )
        self.compare_rows()

    def _report_silent(self, engine: EngineRun, reason: str) -> None:
        crash = self.engines.take_crash(engine, self._clock.steady_ms())
        if crash is not None:
            self._suspects.report_crash(crash, reason)

    def _on_reported(self, engine: EngineRun) -> None:
        """Adds what this entry lost at an engine that a peer saw crash."""
        if self.engines.is_silent(engine, self._clock.steady_ms()):
            self._report_silent(engine, 'known')

    async def _close(self) -> None:
        tasks = tuple(self._checks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
