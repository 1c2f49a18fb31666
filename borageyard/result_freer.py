"""Frees results at the targets that hold them, in batches."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Sequence

from .chains import PieceResult
from .clock import MS_PER_S
from .events import Event, log_event
from .piece_runner import CallFailedError, PieceRunner

# Time for which results of one target are collected, to free them in one call.
FREE_DELAY_MS = 5


class ResultFreer:
    """Collects unneeded results and frees them in batches."""

    def __init__(
        self,
        runner: PieceRunner,
        on_freed: Callable[[str, Sequence[str]], None],
    ) -> None:
        """Creates a freer without pending results.

        Args:
            runner: Sends the calls to the targets.
            on_freed: Called with the target id and the handles after they
                were freed.
        """
        self._runner = runner
        self._on_freed = on_freed
        self._handles: dict[str, set[str]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Context manager that cancels all calls when it exits."""
        async with contextlib.AsyncExitStack() as stack:
            stack.callback(self._cancel)
            yield

    def free_later(self, results: Sequence[PieceResult]) -> None:
        """Frees results after a short delay.

        Args:
            results: Results that are no longer needed.
        """
        for result in results:
            handles = self._handles.setdefault(result.target_id, set())
            if not handles:
                task = asyncio.ensure_future(self._free(result))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            handles.add(result.handle)

    async def _free(self, first: PieceResult) -> None:
        await asyncio.sleep(FREE_DELAY_MS / MS_PER_S)
        target_id = first.target_id
        handles = sorted(self._handles.pop(target_id, set()))
        try:
            await self._runner.free(first.address, handles)
        except CallFailedError as error:
            # The target drops the results when they expire.
            log_event(
                Event.RESULTS_UNFREED,
                target_id=target_id,
                results=len(handles),
                reason=str(error),
            )
            return
        self._on_freed(target_id, handles)

    def _cancel(self) -> None:
        for task in self._tasks:
            task.cancel()
