"""Runs the plans of the chain scheduler and answers those who ask it."""

import asyncio
import contextlib
from collections.abc import (
    AsyncIterator,
    Collection,
    Coroutine,
    Sequence,
)
from typing import Any

from .batch_targets import BatchCall
from .call_runner import CallRunner, overdue_ms
from .chain_scheduler import ChainScheduler
from .chains import ChainOrder
from .clock import MS_PER_S, Clock
from .events import Event, log_event
from .fleet_state import FleetState
from .lingering import LingeringRequests
from .piece_runner import PieceRunner, PieceWork
from .plans import Denial, Grant
from .result_freer import ResultFreer
from .room_probe import RoomProbe
from .shared_table import Table
from .wake_timer import WakeTimer

# Time for which a failed engine is tried last.
ENGINE_PAUSE_MS = 1500


class SchedulerService:
    """Schedules the requests of this entry and of those that ask it."""

    def __init__(
        self,
        state: FleetState,
        runner: PieceRunner,
        clock: Clock,
    ) -> None:
        """Composes a service without requests.

        Args:
            state: Targets and what is declared of them.
            runner: The way to the targets.
            clock: Source of steady time.
        """
        self.scheduler = ChainScheduler()
        self._state = state
        self.calls = CallRunner(self.scheduler, runner, clock)
        self._rooms = RoomProbe(self.scheduler.targets, runner, clock)
        self._clock = clock
        self._waiting: dict[str, asyncio.Future[Grant | Denial]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._freer = ResultFreer(runner, self._note_freed)
        self._timer = WakeTimer(self._pump)
        self._lingering = LingeringRequests(self.scheduler.remove)
        self._used = False
        state.add_listener(self._note_fleet)

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Ends all calls with the scope."""
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self._close)
            await stack.enter_async_context(self._freer.running())
            yield

    async def place(
        self,
        order: ChainOrder,
        excluded: frozenset[str],
        linger_ms: float = 0,
    ) -> Grant | Denial:
        """Has the stages of a request run and chooses its engine.

        Args:
            order: What it needs.
            excluded: Engines that failed it.
            linger_ms: Time for which a request goes on that nobody waits for
                any more, in case it is asked for again.

        Returns:
            The engine and the inputs, or why there are none.
        """
        self._begin_use()
        now_ms = self._clock.steady_ms()
        for engine_id in excluded:
            self._avoid_engine(engine_id)
        self._lingering.claim(order.chain_id)
        denial = self.scheduler.submit(order, now_ms)
        if denial is not None:
            return denial
        loop = asyncio.get_running_loop()
        waiting: asyncio.Future[Grant | Denial] = loop.create_future()
        before = self._waiting.pop(order.chain_id, None)
        if before is not None:
            before.cancel()
        self._waiting[order.chain_id] = waiting
        self._pump()
        try:
            return await waiting
        except asyncio.CancelledError:
            if self._waiting.get(order.chain_id) is waiting:
                self._lingering.hold(order.chain_id, linger_ms)
            raise
        finally:
            if self._waiting.get(order.chain_id) is waiting:
                self._waiting.pop(order.chain_id)
            self._pump()

    def release(self, services: Collection[str]) -> None:
        """Gives up the requests for some services of engines.

        They are settled as moved, as soon as no call for them is under way.

        Args:
            services: Services that another entry schedules; those named
                before and not now are scheduled here again.
        """
        handover = self.scheduler.handover
        before = handover.released_services
        if before == frozenset(services):
            return
        handover.release(services)
        if not handover.released_services >= before:
            self._take_over()
        self._pump()

    def note_started(self, chain_id: str) -> None:
        """Takes in that the engine has read the inputs of a request."""
        self.scheduler.note_started(chain_id)
        self._pump()

    def note_ended(self, chain_id: str) -> None:
        """Takes in that a request is over, whatever became of it."""
        self._lingering.claim(chain_id)
        self.scheduler.remove(chain_id)
        self._pump()

    def note_failed(self, chain_id: str, engine_id: str) -> None:
        """Takes in that an engine failed a request; its results are kept."""
        self._avoid_engine(engine_id)
        self.scheduler.placer.note_ended(chain_id)

    async def _close(self) -> None:
        self._timer.cancel()
        self._lingering.close()
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _begin_use(self) -> None:
        """Learns the targets' state when the first request comes."""
        if self._used:
            return
        self._used = True
        self._note_fleet(Table.TARGETS)
        self._take_over()

    def _take_over(self) -> None:
        """Learns what another scheduler has left at the targets."""
        for row in self.scheduler.targets.rows():
            self._spawn(self._rooms.ask(row))

    def _note_fleet(self, table: Table) -> None:
        if not self._used or table is Table.ENTRIES:
            return
        self.scheduler.update_fleet(self._state.view())
        self._pump()

    def _note_freed(self, target_id: str, handles: Sequence[str]) -> None:
        self.scheduler.note_freed(target_id, handles)
        self._pump()

    def _avoid_engine(self, engine_id: str) -> None:
        until_ms = self._clock.steady_ms() + ENGINE_PAUSE_MS
        self.scheduler.placer.note_failure(engine_id, until_ms)

    def _pump(self) -> None:
        """Carries out what the scheduler decides now."""
        now_ms = self._clock.steady_ms()
        plan = self.scheduler.plan(now_ms)
        for call in plan.calls:
            self._spawn(self._run(call, self.calls.describe(call)))
        for grant in plan.grants:
            order = self.scheduler.chains[grant.chain_id].order
            _log_grant(grant, now_ms - order.received_at_ms)
            self._settle(grant)
        for denial in plan.denials:
            self._settle(denial)
        self._freer.free_later(plan.freed)
        if plan.wake_at_ms is not None:
            self._timer.set((plan.wake_at_ms - now_ms) / MS_PER_S)

    def _settle(self, settled: Grant | Denial) -> None:
        waiting = self._waiting.get(settled.chain_id)
        if waiting is not None and not waiting.done():
            waiting.set_result(settled)

    async def _run(
        self,
        call: BatchCall,
        pieces: Sequence[PieceWork],
    ) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.ExitStack() as stack:
            overdue = loop.call_later(
                overdue_ms(call) / MS_PER_S,
                self._note_overdue,
                call,
            )
            stack.callback(overdue.cancel)
            await self.calls.run(call, pieces)
        self._pump()

    def _note_overdue(self, call: BatchCall) -> None:
        log_event(
            Event.BATCH_OVERDUE,
            target_id=call.target.target_id,
            pieces=len(call.pieces),
            expected_ms=round(call.expected_ms),
        )
        self.scheduler.note_overdue(call, self._clock.steady_ms())
        self._pump()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _log_grant(grant: Grant, waited_ms: float) -> None:
    log_event(
        Event.CHAIN_GRANTED,
        request_id=grant.chain_id,
        engine_id=grant.placement.engine.target_id,
        cost_ms=round(grant.placement.cost_ms),
        waited_ms=round(waited_ms),
        inputs=len(grant.handles),
    )
