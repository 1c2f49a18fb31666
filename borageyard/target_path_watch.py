"""Detects the start and the end of partitions from the targets."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from .clock import MS_PER_S, Clock
from .events import Event, log_event
from .path_witnesses import PathWitnesses
from .target_paths import TargetPaths
from .tasks import running_tasks

# Time for which the result of a check holds.
CHECK_TTL_MS = 500
# Interval in which an entry without a path looks for one.
RECOVERY_INTERVAL_MS = 500
# Successful checks in a row that end a partition.
CHECKS_TO_RECOVER = 2


class TargetPathWatch:
    """Finds out whether this entry has a path to any target."""

    def __init__(
        self, paths: TargetPaths, witnesses: PathWitnesses, clock: Clock
    ) -> None:
        """Stores the dependencies.

        Args:
            paths: Is told what was found.
            witnesses: Opens connections to some targets.
            clock: Monotonic clock.
        """
        self.paths = paths
        self._witnesses = witnesses
        self._clock = clock
        self._check: asyncio.Task[None] | None = None
        self._valid_until_ms: float = 0
        # Number of checks, each of which asks other targets.
        self._checks = 0
        self._partitioned_at_ms: float = 0

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Looks for the end of partitions within the scope."""
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self._close)
            await stack.enter_async_context(running_tasks(self._recover))
            yield

    @property
    def verdict(self) -> bool | None:
        """Whether there is no path; None if that must be checked."""
        if self.paths.is_partitioned:
            return True
        if self._clock.steady_ms() < self._valid_until_ms:
            return False
        return None

    async def is_partitioned(self) -> bool:
        """Returns whether there is no path, after a connection failed."""
        verdict = self.verdict
        if verdict is not None:
            return verdict
        if self._check is None or self._check.done():
            self._check = asyncio.ensure_future(self._check_path())
        # A caller that leaves must not end the check of the others.
        await asyncio.shield(self._check)
        return self.paths.is_partitioned

    def note_reached(self) -> None:
        """Records that a call of this entry reached a target."""
        if self.paths.is_partitioned:
            self._end_partition()

    async def _check_path(self) -> None:
        self._checks += 1
        silent_ids = await self._witnesses.find_silent(str(self._checks), ())
        now_ms = self._clock.steady_ms()
        self._valid_until_ms = now_ms + CHECK_TTL_MS
        if silent_ids and not self.paths.is_partitioned:
            self.paths.is_partitioned = True
            self._partitioned_at_ms = now_ms
            log_event(Event.TARGETS_UNREACHABLE, witnesses=list(silent_ids))

    async def _recover(self) -> None:
        successes = 0
        while True:
            await asyncio.sleep(RECOVERY_INTERVAL_MS / MS_PER_S)
            if not self.paths.is_partitioned:
                successes = 0
                continue
            self._checks += 1
            silent_ids = await self._witnesses.find_silent(
                str(self._checks), ()
            )
            successes = 0 if silent_ids else successes + 1
            if successes == CHECKS_TO_RECOVER:
                self._end_partition()

    def _end_partition(self) -> None:
        self.paths.is_partitioned = False
        after_ms = self._clock.steady_ms() - self._partitioned_at_ms
        log_event(Event.TARGETS_REACHABLE, after_ms=round(after_ms))

    async def _close(self) -> None:
        if self._check is not None:
            self._check.cancel()
            await asyncio.gather(self._check, return_exceptions=True)
