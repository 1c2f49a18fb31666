"""Sends calls with pieces to targets and processes their outcomes."""

from collections.abc import Callable, Mapping, Sequence

from .batch_targets import BatchCall
from .chain_scheduler import ChainScheduler
from .chains import PieceId, PieceResult
from .clock import Clock
from .events import Event, log_event
from .inbound import TargetLoad
from .piece_runner import (
    CallFailedError,
    PieceOutcome,
    PieceRequest,
    PieceRunner,
    PieceStatus,
    TargetFullError,
)
from .target_backoffs import MAX_PAUSE_MS

# A call that takes longer than this factor times its expected time, plus the
# extra time, is overdue: its pieces are sent to another target as well.
OVERDUE_FACTOR = 1.8
OVERDUE_EXTRA_MS = 100
# Factor and extra time after which the call fails with a timeout.
CALL_TIMEOUT_FACTOR = 7
CALL_TIMEOUT_EXTRA_MS = 300

# Called with the results of a call when it ends.
ResultsListener = Callable[[Mapping[PieceId, PieceResult]], None]


def overdue_ms(call: BatchCall) -> float:
    """Returns the time in ms after which a call is overdue."""
    return call.expected_ms * OVERDUE_FACTOR + OVERDUE_EXTRA_MS


class CallRunner:
    """Runs the calls that the scheduler creates."""

    def __init__(
        self,
        scheduler: ChainScheduler,
        runner: PieceRunner,
        clock: Clock,
    ) -> None:
        """Creates a runner.

        Args:
            scheduler: Holds the requests and records the outcomes of calls.
            runner: Sends calls to the targets.
            clock: Source of monotonic time.
        """
        # Receives the results of all calls.
        self.results_listener: ResultsListener | None = None
        self._scheduler = scheduler
        self._runner = runner
        self._clock = clock

    def piece_requests(self, call: BatchCall) -> Sequence[PieceRequest]:
        """Returns the piece requests of a call.

        Args:
            call: A call that was just created.
        """
        return [self._piece_request(piece) for piece in call.pieces]

    async def run(
        self,
        call: BatchCall,
        pieces: Sequence[PieceRequest],
    ) -> None:
        """Runs a call and reports its outcome to the scheduler.

        Args:
            call: The call.
            pieces: Requests for the pieces of the call.
        """
        timeout_ms = (
            call.expected_ms * CALL_TIMEOUT_FACTOR + CALL_TIMEOUT_EXTRA_MS
        )
        try:
            outcomes = await self._runner.run(call.target, pieces, timeout_ms)
        except (TargetFullError, CallFailedError) as error:
            full = isinstance(error, TargetFullError)
            load = error.load if isinstance(error, TargetFullError) else None
            now_ms = self._clock.steady_ms()
            self._log_failure(call, error, now_ms)
            self._scheduler.note_call_failed(call, now_ms, full=full)
            self._scheduler.speeds.note_stated(
                call.target, _stated_slowdown(load), now_ms
            )
            if isinstance(error, TargetFullError):
                granted_ms = min(error.pause_ms, MAX_PAUSE_MS)
                self._scheduler.targets.pause(
                    call.target.target_id, now_ms + granted_ms
                )
        else:
            self._handle_outcomes(call, outcomes)

    def _log_failure(
        self,
        call: BatchCall,
        error: TargetFullError | CallFailedError,
        now_ms: float,
    ) -> None:
        """Logs a failed call with the calls that held the target.

        A target that is full without own calls is held by another scheduler;
        one that is full of own calls was given too many.
        """
        target = self._scheduler.targets.find(call.target.target_id)
        load = error.load if isinstance(error, TargetFullError) else None
        log_event(
            Event.BATCH_FAILED,
            target_id=call.target.target_id,
            pieces=len(call.pieces),
            full=isinstance(error, TargetFullError),
            reason=str(error),
            took_ms=round(now_ms - call.sent_at_ms),
            other_calls=max(target.call_count - 1, 0) if target else 0,
            load_calls=load.running + load.waiting if load else None,
        )

    def _piece_request(self, piece: PieceId) -> PieceRequest:
        chain = self._scheduler.chains[piece.chain_id]
        stage = chain.stages[piece.stage].stage
        left_ms = chain.spec.deadline_at_ms - self._clock.steady_ms()
        inputs = None
        if stage.after:
            inputs = tuple(
                result.handle for result in chain.inputs_of(piece.stage)
            )
        return PieceRequest(
            request_id=piece.chain_id,
            stage=piece.stage,
            number=piece.number,
            left_ms=left_ms,
            key=chain.spec.piece_key,
            inputs=inputs,
        )

    def _handle_outcomes(
        self,
        call: BatchCall,
        outcomes: Sequence[PieceOutcome],
    ) -> None:
        now_ms = self._clock.steady_ms()
        results = {
            piece: _result_of(call, index, outcomes[index], now_ms)
            for index, piece in enumerate(call.pieces)
            if outcomes[index].status is PieceStatus.MADE
        }
        self._scheduler.note_call_answered(
            call, results, now_ms, _stated_slowdown(outcomes[0].load)
        )
        if self.results_listener is not None:
            self.results_listener(results)
        statuses = [outcome.status for outcome in outcomes]
        for piece, outcome in zip(call.pieces, outcomes, strict=True):
            if outcome.status is PieceStatus.INPUT_GONE:
                self._scheduler.note_lost_inputs(piece)
        smallest_rejected_bytes = min(
            (
                size_bytes
                for size_bytes, status in zip(
                    call.sizes_bytes, statuses, strict=True
                )
                if status is PieceStatus.NO_ROOM
            ),
            default=0,
        )
        if smallest_rejected_bytes:
            self._scheduler.note_no_room(
                call.target.target_id,
                smallest_rejected_bytes,
                now_ms,
                no_results=not results,
            )
        log_event(
            Event.BATCH_ENDED,
            target_id=call.target.target_id,
            service=call.target.service,
            pieces=len(call.pieces),
            took_ms=round(now_ms - call.sent_at_ms),
            expected_ms=round(call.expected_ms),
            missed=[
                missed.value
                for missed in statuses
                if missed is not PieceStatus.MADE
            ],
        )


def _stated_slowdown(load: TargetLoad | None) -> float | None:
    return None if load is None else load.slowdown_ratio


def _result_of(
    call: BatchCall,
    index: int,
    outcome: PieceOutcome,
    now_ms: float,
) -> PieceResult:
    return PieceResult(
        outcome.handle,
        call.target.target_id,
        call.target.address,
        call.target.failure_domain,
        call.sizes_bytes[index],
        now_ms + call.limits.keep_ms,
    )
