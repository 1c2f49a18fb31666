"""Detects engines that end while they owe or begin answers."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from .clock import Clock
from .crash_attribution import EngineRun
from .crash_suspects import CrashSuspects
from .events import Event, log_event
from .fleet_state import FleetState
from .inbound import InboundRequest
from .path_witnesses import PathWitnesses, RefusalCause
from .request_keys import identify_request
from .roster import RosterRow
from .run_tracker import EngineSend
from .shared_table import Table
from .silence_watch import SilenceWatch
from .target_probe import TargetProbe


class EngineWatch:
    """Observes the sends of this entry to engines and reports crashes."""

    def __init__(
        self,
        state: FleetState,
        suspects: CrashSuspects,
        clock: Clock,
        probe: TargetProbe,
    ) -> None:
        """Follows the table of targets.

        Args:
            state: Holds the target roster.
            suspects: Receives the crashes.
            clock: Monotonic clock.
            probe: Finds out whether an engine is up.
        """
        self._state = state
        self._suspects = suspects
        self._tracker = suspects.tracker
        self._clock = clock
        self._probe = probe
        self._witnesses = PathWitnesses(state, probe)
        self._probes: dict[EngineRun, asyncio.Task[None]] = {}
        self._silence = SilenceWatch(state, suspects, clock, probe)
        state.add_listener(self._on_table_change)

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Context manager that ends all probes when it exits."""
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self._close)
            await stack.enter_async_context(self._silence.running())
            yield

    def start(self, request: InboundRequest, engine: RosterRow) -> EngineSend:
        """Records a send of a request to an engine.

        Args:
            request: The caller's request.
            engine: The engine.
        """
        send = self._tracker.start(
            identify_request(request),
            EngineRun(engine.target_id, engine.incarnation),
            self._clock.steady_ms(),
        )
        self._silence.engines.note_sent(send, engine.address)
        return send

    def note_answering(self, send: EngineSend) -> None:
        """Records the head of an answer.

        Args:
            send: The send.
        """
        now_ms = self._clock.steady_ms()
        self._silence.engines.note_sign(send.engine, now_ms)
        if self._tracker.note_answering(send, now_ms):
            _log_refuted(send.engine, 'answer')

    def note_bytes(self, send: EngineSend, chunk: bytes) -> None:
        """Records a part of the body of an answer.

        Args:
            send: The send.
            chunk: Bytes of the body.
        """
        now_ms = self._clock.steady_ms()
        self._silence.engines.note_sign(send.engine, now_ms)
        send.progress.note_bytes(chunk, now_ms)

    def note_whole(self, send: EngineSend, *, framed: bool) -> None:
        """Records an answer that ended as it should.

        Args:
            send: The send.
            framed: Whether the answer states where it ends.
        """
        self._silence.engines.note_ended(send)
        self._tracker.note_whole(send, self._clock.steady_ms(), framed=framed)

    def note_given_up(self, send: EngineSend) -> None:
        """Records a send that was given up without a complete answer.

        It is a suspect if its engine turns out to have been silent since.

        Args:
            send: The send; one that has ended is left as it is.
        """
        self._silence.engines.note_given_up(send, self._clock.steady_ms())
        self._tracker.note_dropped(send)

    def note_dropped(self, send: EngineSend) -> None:
        """Records a send that was given up, or of which nothing ran.

        Args:
            send: The send; one that has ended is left as it is.
        """
        self._silence.engines.note_ended(send)
        self._tracker.note_dropped(send)

    def note_lost(self, send: EngineSend, address: str) -> None:
        """Records a send whose connection ended without a complete answer.

        Args:
            send: The send.
            address: Address of the engine.
        """
        engine = send.engine
        now_ms = self._clock.steady_ms()
        # Whatever listens at its address now, it may have ended in silence.
        self._silence.engines.note_given_up(send, now_ms)
        if not self._tracker.note_lost(send, now_ms):
            return
        if self._tracker.is_down(engine):
            self._confirm(engine, 'known')
        elif engine not in self._probes:
            self._probes[engine] = asyncio.ensure_future(
                self._check(engine, address)
            )

    async def _close(self) -> None:
        tasks = tuple(self._probes.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _check(self, engine: EngineRun, address: str) -> None:
        """Finds out whether an engine crashed when it lost requests."""
        with contextlib.ExitStack() as stack:
            stack.callback(self._probes.pop, engine)
            listening = await self._probe.is_listening(address)
        if listening is False:
            await self._confirm_refused(engine, address)
        elif listening and self._tracker.refute(engine):
            _log_refuted(engine, 'listening')

    async def _confirm_refused(self, engine: EngineRun, address: str) -> None:
        """Takes a refused connection for a crash if nobody reaches the engine.

        Otherwise its record decides.
        """
        lost = self._tracker.unconfirmed(self._clock.steady_ms())
        cause = await self._witnesses.explain_refusal(
            engine.target_id, address, {run.target_id for run in lost}
        )
        if cause is RefusalCause.DOWN:
            self._confirm(engine, 'refused')
        else:
            log_event(
                Event.CRASH_UNCONFIRMED,
                target_id=engine.target_id,
                cause=cause.value,
            )

    def _on_table_change(self, table: Table) -> None:
        """Detects engines that left or restarted after a loss."""
        if table is not Table.TARGETS:
            return
        for engine in self._tracker.unconfirmed(self._clock.steady_ms()):
            row = self._state.roster.find(engine.target_id)
            if row is None or row.incarnation != engine.incarnation:
                self._confirm(engine, 'record')
        self._silence.compare_rows()

    def _confirm(self, engine: EngineRun, reason: str) -> None:
        now_ms = self._clock.steady_ms()
        crash = self._tracker.confirm(engine, now_ms)
        if crash is not None:
            self._suspects.report_crash(crash, reason)


def _log_refuted(engine: EngineRun, reason: str) -> None:
    log_event(Event.CRASH_REFUTED, target_id=engine.target_id, reason=reason)
