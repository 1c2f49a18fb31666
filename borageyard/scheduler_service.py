"""Runs the plans of the chain scheduler and answers those who ask it."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Coroutine, Sequence
from typing import Any

from .batch_targets import BatchCall
from .chain_scheduler import (
    ChainScheduler,
    Denial,
    Grant,
    Plan,
)
from .chains import ChainOrder, PieceId, PieceResult
from .clock import MS_PER_S, Clock
from .events import Event, log_event
from .fleet_state import FleetState
from .piece_runner import (
    CallFailedError,
    PieceEnd,
    PieceOutcome,
    PieceRunner,
    PieceWork,
    TargetFullError,
)
from .roster import RosterRow
from .shared_table import Table

# A call may take this many times its expected time, and a little more, before
# its pieces are given to another target.
CALL_TIME_FACTOR = 2.5
CALL_EXTRA_MS = 150
# Results that are given up within this time are freed with one call.
FREE_DELAY_MS = 5
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
        self._runner = runner
        self._clock = clock
        self._waiting: dict[str, asyncio.Future[Grant | Denial]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._unfreed: dict[str, set[str]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._used = False
        state.add_listener(self._note_fleet)

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Ends all calls with the scope."""
        try:
            yield
        finally:
            if self._timer is not None:
                self._timer.cancel()
            tasks = tuple(self._tasks)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def place(
        self,
        order: ChainOrder,
        excluded: frozenset[str],
    ) -> Grant | Denial:
        """Has the stages of a request run and chooses its engine.

        Args:
            order: What it needs.
            excluded: Engines that failed it.

        Returns:
            The engine and the inputs, or why there are none.
        """
        self._begin_use()
        now_ms = self._clock.steady_ms()
        for engine_id in excluded:
            self._avoid_engine(engine_id)
        denial = self.scheduler.submit(order, now_ms)
        if denial is not None:
            return denial
        loop = asyncio.get_running_loop()
        waiting: asyncio.Future[Grant | Denial] = loop.create_future()
        self._settle_superseded(order.chain_id)
        self._waiting[order.chain_id] = waiting
        self._pump()
        try:
            return await waiting
        except asyncio.CancelledError:
            self.scheduler.remove(order.chain_id)
            raise
        finally:
            if self._waiting.get(order.chain_id) is waiting:
                self._waiting.pop(order.chain_id)
            self._pump()

    def note_started(self, chain_id: str) -> None:
        """Takes in that the engine has read the inputs of a request."""
        self.scheduler.note_started(chain_id)
        self._pump()

    def note_ended(self, chain_id: str) -> None:
        """Takes in that a request is over, whatever became of it."""
        self.scheduler.remove(chain_id)
        self._pump()

    def note_failed(self, chain_id: str, engine_id: str) -> None:
        """Takes in that an engine failed a request; its results are kept."""
        self._avoid_engine(engine_id)
        self.scheduler.board.note_ended(chain_id)

    def _begin_use(self) -> None:
        """Learns the targets' state when the first request comes."""
        if self._used:
            return
        self._used = True
        self._note_fleet(Table.TARGETS)

    def _note_fleet(self, table: Table) -> None:
        if not self._used or table is Table.ENTRIES:
            return
        fresh = self.scheduler.update_fleet(self._state.view())
        for row in fresh:
            self._spawn(self._ask_room(row))
        self._pump()

    async def _ask_room(self, row: RosterRow) -> None:
        """Asks a target how much room another scheduler's work has left."""
        try:
            free_bytes = await self._runner.free_bytes(row)
        except CallFailedError as error:
            log_event(
                Event.BATCH_FAILED,
                target_id=row.target_id,
                reason=str(error),
            )
            return
        target = self.scheduler.targets.find(row.target_id)
        if target is not None:
            target.note_report(free_bytes, self._clock.steady_ms())

    def _avoid_engine(self, engine_id: str) -> None:
        until_ms = self._clock.steady_ms() + ENGINE_PAUSE_MS
        self.scheduler.board.note_failure(engine_id, until_ms)

    def _settle_superseded(self, chain_id: str) -> None:
        before = self._waiting.pop(chain_id, None)
        if before is not None:
            before.cancel()

    def _pump(self) -> None:
        """Carries out what the scheduler decides now."""
        now_ms = self._clock.steady_ms()
        plan = self.scheduler.plan(now_ms)
        for call in plan.calls:
            pieces = [self._work_of(piece) for piece in call.pieces]
            self._spawn(self._run_call(call, pieces))
        for settled in (*plan.grants, *plan.denials):
            waiting = self._waiting.get(settled.chain_id)
            if waiting is not None and not waiting.done():
                waiting.set_result(settled)
        self._free_later(plan.freed)
        self._set_timer(plan, now_ms)

    def _set_timer(self, plan: Plan, now_ms: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if plan.wake_at_ms is None:
            return
        delay_s = max(plan.wake_at_ms - now_ms, 1) / MS_PER_S
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self._pump)

    async def _run_call(
        self,
        call: BatchCall,
        pieces: Sequence[PieceWork],
    ) -> None:
        timeout_ms = call.expected_ms * CALL_TIME_FACTOR + CALL_EXTRA_MS
        try:
            outcomes = await self._runner.run(call.target, pieces, timeout_ms)
        except (TargetFullError, CallFailedError) as error:
            full = isinstance(error, TargetFullError)
            log_event(
                Event.BATCH_FAILED,
                target_id=call.target.target_id,
                pieces=len(call.pieces),
                full=full,
                reason=str(error),
            )
            now_ms = self._clock.steady_ms()
            self.scheduler.note_call_failed(call, now_ms, full=full)
        else:
            self._take_outcomes(call, outcomes)
        self._pump()

    def _work_of(self, piece: PieceId) -> PieceWork:
        chain = self.scheduler.chains[piece.chain_id]
        stage = chain.stages[piece.stage].stage
        left_ms = chain.order.deadline_at_ms - self._clock.steady_ms()
        inputs = None
        if stage.after:
            inputs = tuple(
                made.handle for made in chain.inputs_of(piece.stage)
            )
        return PieceWork(
            request_id=piece.chain_id,
            stage=piece.stage,
            number=piece.number,
            left_ms=left_ms,
            key=chain.order.piece_key,
            inputs=inputs,
        )

    def _take_outcomes(
        self,
        call: BatchCall,
        outcomes: Sequence[PieceOutcome],
    ) -> None:
        made = {
            piece: PieceResult(
                outcome.handle,
                call.target.target_id,
                call.target.failure_domain,
                size_bytes,
            )
            for piece, outcome, size_bytes in zip(
                call.pieces,
                outcomes,
                call.sizes_bytes,
                strict=True,
            )
            if outcome.end is PieceEnd.MADE
        }
        now_ms = self._clock.steady_ms()
        target = self.scheduler.targets.find(call.target.target_id)
        log_event(
            Event.BATCH_ENDED,
            target_id=call.target.target_id,
            service=call.target.service,
            pieces=len(call.pieces),
            took_ms=round(now_ms - call.sent_at_ms),
            expected_ms=round(call.expected_ms),
            made_bytes=round(sum(made_.size_bytes for made_ in made.values())),
            free_bytes=round(target.free_bytes(now_ms)) if target else None,
        )
        self.scheduler.note_made(call, made, now_ms)
        for piece, outcome in zip(call.pieces, outcomes, strict=True):
            if outcome.end is PieceEnd.INPUT_GONE:
                self.scheduler.note_lost_inputs(piece)
        ends = {outcome.end for outcome in outcomes}
        if PieceEnd.NO_ROOM in ends:
            self.scheduler.note_no_room(call.target.target_id, now_ms)
        missed = [
            outcome.end.value
            for outcome in outcomes
            if outcome.end is not PieceEnd.MADE
        ]
        if missed:
            log_event(
                Event.BATCH_FAILED,
                target_id=call.target.target_id,
                pieces=len(call.pieces),
                missed=missed,
            )

    def _free_later(self, freed: Sequence[PieceResult]) -> None:
        for made in freed:
            target = self.scheduler.targets.find(made.target_id)
            if target is None:
                continue
            handles = self._unfreed.setdefault(target.row.target_id, set())
            if not handles:
                self._spawn(self._free(target.row))
            handles.add(made.handle)

    async def _free(self, row: RosterRow) -> None:
        await asyncio.sleep(FREE_DELAY_MS / MS_PER_S)
        handles = sorted(self._unfreed.pop(row.target_id, set()))
        try:
            await self._runner.free(row.address, handles)
        except CallFailedError as error:
            # They expire by themselves.
            log_event(
                Event.RESULTS_UNFREED,
                target_id=row.target_id,
                results=len(handles),
                reason=str(error),
            )
            return
        self.scheduler.note_freed(row.target_id, handles)
        self._pump()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
