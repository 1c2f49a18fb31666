"""Queries how much memory the results of other schedulers leave."""

from .batch_targets import BatchTargets
from .clock import Clock
from .events import Event, log_event
from .piece_runner import CallFailedError, PieceRunner
from .roster import RosterRow


class MemoryProbe:
    """Queries the memory that the previous scheduler left at the targets."""

    def __init__(
        self,
        targets: BatchTargets,
        runner: PieceRunner,
        clock: Clock,
    ) -> None:
        """Creates a probe.

        Args:
            targets: State of the batching targets.
            runner: Sends the calls to the targets.
            clock: Source of monotonic time.
        """
        self._targets = targets
        self._runner = runner
        self._clock = clock

    async def probe_target(self, row: RosterRow) -> None:
        """Queries the free memory of one target and records it.

        If the target does not answer, missing memory shows later, when a
        call does not fit.

        Args:
            row: Target to query.
        """
        try:
            free_bytes = await self._runner.query_free_bytes(row)
        except CallFailedError as error:
            log_event(
                Event.REPORT_FAILED,
                target_id=row.target_id,
                reason=str(error),
            )
            return
        target = self._targets.find(row.target_id)
        if target is not None:
            target.note_report(free_bytes, self._clock.steady_ms())
