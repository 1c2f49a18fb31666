"""Executes the plans of the chain scheduler and answers its clients."""

import asyncio
import contextlib
from collections.abc import (
    AsyncIterator,
    Collection,
    Coroutine,
    Sequence,
)
from typing import Any

from .auxiliary_permits import AuxiliaryPermits
from .batch_targets import BatchCall
from .call_runner import CallRunner, overdue_ms
from .chain_scheduler import ChainScheduler
from .chains import ChainSpec
from .clock import MS_PER_S, Clock
from .delayed_removal import DelayedRemoval
from .events import Event, log_event
from .fleet_state import FleetState
from .memory_probe import MemoryProbe
from .outcome_waiters import OutcomeWaiters
from .piece_runner import PieceRequest, PieceRunner
from .plans import Denial, Grant
from .result_freer import ResultFreer
from .send_permits import SendPermits
from .shared_table import Table
from .target_speed.speed_reports import log_speed_changes
from .target_speed.target_speeds import EngineStart
from .wake_timer import WakeTimer

# Time for which a failed engine is selected only as a last resort.
ENGINE_BACKOFF_MS = 1500
# Share of the time that planning may take; the rest is for calls, peers and
# the renewal of the term, without which the next entry takes over.
MAX_PLANNING_SHARE = 0.25
# Maximum time between the starts of plans, in case the process was suspended
# during a plan.
MAX_PLAN_INTERVAL_MS = 500


class SchedulerService:
    """Schedules the requests of this entry and those that peers send.

    Designed for bursts in which many requests wait: a plan looks at all of
    them, so events that come in quick succession share one.
    """

    def __init__(
        self,
        state: FleetState,
        runner: PieceRunner,
        clock: Clock,
        permits: SendPermits,
        *,
        competing: bool = False,
    ) -> None:
        """Creates a service without requests.

        Args:
            state: Targets and their declared limits.
            runner: Sends calls to the targets.
            clock: Source of monotonic time.
            permits: Permits to send to targets with limits.
            competing: Whether callers compete for room.
        """
        self.scheduler = ChainScheduler(permits, competing=competing)
        self._state = state
        self.call_runner = CallRunner(self.scheduler, runner, clock)
        self._memory_probe = MemoryProbe(self.scheduler.targets, runner, clock)
        self._clock = clock
        self._waiters = OutcomeWaiters()
        self._tasks: set[asyncio.Task[None]] = set()
        self._permits = AuxiliaryPermits(
            state, self.scheduler.permits, self.scheduler.handover, clock
        )
        self._freer = ResultFreer(runner, self._note_freed, self._permits.take)
        self._timer = WakeTimer(self._apply_plan)
        self._delayed_removal = DelayedRemoval(self.scheduler.remove)
        self._initialized = False
        # Monotonic time before which no plan is made.
        self._next_plan_at_ms: float = 0
        state.add_listener(self._on_fleet_change)

    @property
    def is_awaited(self) -> bool:
        """Whether an entry waits here for the outcome of a request."""
        return not self._waiters.is_empty

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Context manager that cancels all calls when it exits."""
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self._close)
            await stack.enter_async_context(self._freer.running())
            yield

    async def place(
        self,
        spec: ChainSpec,
        excluded: frozenset[str],
        linger_ms: float = 0,
    ) -> Grant | Denial:
        """Runs the stages of a request and selects its engine.

        Args:
            spec: Stages, engine service and deadline of the request.
            excluded: Ids of the engines that failed the request.
            linger_ms: Time for which a request continues after its caller
                has stopped waiting, in case it is sent again.

        Returns:
            The engine and the inputs, or why there are none.
        """
        self._initialize()
        now_ms = self._clock.steady_ms()
        for engine_id in excluded:
            self._back_off_engine(engine_id)
        self._delayed_removal.cancel(spec.chain_id)
        denial = self.scheduler.submit(spec, now_ms)
        if denial is not None:
            return denial
        future = self._waiters.add(spec.chain_id)
        self._apply_plan()
        try:
            return await future
        except asyncio.CancelledError:
            if self._waiters.count(spec.chain_id) == 1:
                self._delayed_removal.schedule(spec.chain_id, linger_ms)
            raise
        finally:
            self._waiters.remove(spec.chain_id, future)
            self._apply_plan()

    def release(self, services: Collection[str]) -> None:
        """Releases the requests for some engine services.

        They are denied as moved as soon as no call for them is in progress.

        Args:
            services: Engine services that another entry schedules. Services
                of the previous call that are missing now are scheduled here
                again.
        """
        handover = self.scheduler.handover
        previous = handover.released_services
        if previous == frozenset(services):
            return
        handover.release(services)
        if not handover.released_services >= previous:
            self._probe_targets()
        self._apply_plan()

    def note_started(
        self, chain_id: str, start: EngineStart | None = None
    ) -> None:
        """Records that the engine of a request has started its answer.

        Args:
            chain_id: Id of the request.
            start: What its entry saw, if it said so.
        """
        self.scheduler.note_started(chain_id, start, self._clock.steady_ms())
        log_speed_changes(self.scheduler.speeds)
        self._waiters.release(chain_id)
        self._apply_plan()

    def note_ended(self, chain_id: str) -> None:
        """Removes a request that has ended, with any outcome."""
        self._delayed_removal.cancel(chain_id)
        self.scheduler.remove(chain_id)
        self._waiters.release(chain_id)
        self._apply_plan()

    def note_failed(self, chain_id: str, engine_id: str) -> None:
        """Records that an engine failed a request; keeps its results.

        Args:
            chain_id: Id of the request.
            engine_id: Id of the engine, which is avoided for a while.
        """
        self._back_off_engine(engine_id)
        self.scheduler.placer.note_ended(chain_id)

    async def _close(self) -> None:
        self._timer.cancel()
        self._delayed_removal.close()
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _initialize(self) -> None:
        """Loads the state of the targets at the first request."""
        if self._initialized:
            return
        self._initialized = True
        self._on_fleet_change(Table.TARGETS)
        self._probe_targets()

    def _probe_targets(self) -> None:
        """Queries the memory that the previous scheduler left at targets."""
        for row in self.scheduler.targets.rows():
            if self._permits.take(row.target_id):
                # Missing memory shows when a call does not fit.
                continue
            self._spawn(self._memory_probe.probe_target(row))

    def _on_fleet_change(self, table: Table) -> None:
        if not self._initialized or table is Table.ENTRIES:
            return
        self.scheduler.update_fleet(self._state.view())
        self._apply_plan()

    def _note_freed(self, target_id: str, handles: Sequence[str]) -> None:
        self.scheduler.note_freed(target_id, handles)
        self._apply_plan()

    def _back_off_engine(self, engine_id: str) -> None:
        until_ms = self._clock.steady_ms() + ENGINE_BACKOFF_MS
        self.scheduler.placer.note_failure(engine_id, until_ms)

    def _apply_plan(self) -> None:
        """Plans and carries out the decisions, now or as soon as it may."""
        now_ms = self._clock.steady_ms()
        if now_ms < self._next_plan_at_ms:
            self._timer.set((self._next_plan_at_ms - now_ms) / MS_PER_S)
            return
        plan = self.scheduler.plan(now_ms)
        for call in plan.calls:
            self._spawn(self._run(call, self.call_runner.piece_requests(call)))
        for grant in plan.grants:
            spec = self.scheduler.chains[grant.chain_id].spec
            _log_grant(grant, now_ms - spec.received_at_ms)
            self._waiters.resolve(grant)
        for denial in plan.denials:
            self._waiters.resolve(denial)
        self._freer.free_later(plan.results_to_free)
        if plan.wake_at_ms is not None:
            self._timer.set((plan.wake_at_ms - now_ms) / MS_PER_S)
        took_ms = self._clock.steady_ms() - now_ms
        self._next_plan_at_ms = now_ms + max(
            took_ms, min(took_ms / MAX_PLANNING_SHARE, MAX_PLAN_INTERVAL_MS)
        )

    async def _run(
        self,
        call: BatchCall,
        pieces: Sequence[PieceRequest],
    ) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.ExitStack() as stack:
            overdue = loop.call_later(
                overdue_ms(call) / MS_PER_S,
                self._note_overdue,
                call,
            )
            stack.callback(overdue.cancel)
            await self.call_runner.run(call, pieces)
        log_speed_changes(self.scheduler.speeds)
        self._apply_plan()

    def _note_overdue(self, call: BatchCall) -> None:
        log_event(
            Event.BATCH_OVERDUE,
            target_id=call.target.target_id,
            pieces=len(call.pieces),
            expected_ms=round(call.expected_ms),
        )
        self.scheduler.note_overdue(call, self._clock.steady_ms())
        self._apply_plan()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _log_grant(grant: Grant, waited_ms: float) -> None:
    log_event(
        Event.CHAIN_GRANTED,
        request_id=grant.chain_id,
        engine_id=grant.placement.engine.target_id,
        software_version=grant.placement.engine.software_version,
        cost_ms=round(grant.placement.cost_ms),
        waited_ms=round(waited_ms),
        inputs=len(grant.handles),
    )
