"""Tells failures of engines from a partition of this entry."""

import asyncio
from collections.abc import Callable

from .target_path_watch import TargetPathWatch

# Called with the id of the engine that failed; empty if this entry did.
FailureReport = Callable[[str], None]


class EngineFailures:
    """Reports engines that failed, unless this entry is partitioned."""

    def __init__(self) -> None:
        """Starts without a watch, and reports everything."""
        self.watch: TargetPathWatch | None = None
        self._checks: set[asyncio.Task[None]] = set()

    async def are_own(self) -> bool:
        """Returns whether failures are due to a partition of this entry."""
        return self.watch is not None and await self.watch.is_partitioned()

    def report(self, engine_id: str, tell: FailureReport) -> None:
        """Reports a failure as soon as its cause is known.

        Args:
            engine_id: Engine that failed.
            tell: Tells the scheduler.
        """
        verdict = self.watch.verdict if self.watch else False
        if verdict is not None:
            tell('' if verdict else engine_id)
            return
        # A later wait for another engine waits for the same check.
        check = asyncio.ensure_future(self._report_checked(engine_id, tell))
        self._checks.add(check)
        check.add_done_callback(self._checks.discard)

    async def _report_checked(
        self, engine_id: str, tell: FailureReport
    ) -> None:
        tell('' if await self.are_own() else engine_id)
