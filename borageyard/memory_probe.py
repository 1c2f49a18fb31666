"""Asks targets how much room the work of others has left."""

from .batch_targets import BatchTargets
from .clock import Clock
from .events import Event, log_event
from .piece_runner import CallFailedError, PieceRunner
from .roster import RosterRow


class MemoryProbe:
    """Learns what a scheduler that is gone has left at the targets."""

    def __init__(
        self,
        targets: BatchTargets,
        runner: PieceRunner,
        clock: Clock,
    ) -> None:
        """Composes a probe.

        Args:
            targets: Accounts of the targets.
            runner: The way to the targets.
            clock: Source of steady time.
        """
        self._targets = targets
        self._runner = runner
        self._clock = clock

    async def ask(self, row: RosterRow) -> None:
        """Asks one target; what can't be learned is met as missing room.

        Args:
            row: The target.
        """
        try:
            free_bytes = await self._runner.free_bytes(row)
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
