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
# Time for which results wait for the permit of a target with a limit. Targets
# drop them after about this time anyway.
MAX_PERMIT_WAIT_MS = 4000


class ResultFreer:
    """Collects unneeded results and frees them in batches."""

    def __init__(
        self,
        runner: PieceRunner,
        on_freed: Callable[[str, Sequence[str]], None],
        take_permit: Callable[[str], float],
    ) -> None:
        """Creates a freer without pending results.

        Args:
            runner: Sends the calls to the targets.
            on_freed: Called with the target id and the handles after they
                were freed.
            take_permit: Called with the target id before a call; returns the
                time in ms after which to try again, or 0 if it is permitted.
        """
        self._take_permit = take_permit
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
        permitted = await self._wait_for_permit(target_id)
        handles = sorted(self._handles.pop(target_id, set()))
        if not permitted:
            _log_unfreed(target_id, handles, 'limit of the target')
            return
        try:
            await self._runner.free(target_id, first.address, handles)
        except CallFailedError as error:
            _log_unfreed(target_id, handles, str(error))
            return
        self._on_freed(target_id, handles)

    async def _wait_for_permit(self, target_id: str) -> bool:
        """Returns whether a target may be called before results expire."""
        left_ms: float = MAX_PERMIT_WAIT_MS
        wait_ms = self._take_permit(target_id)
        while 0 < wait_ms <= left_ms:
            # Results that come meanwhile are freed in the same call.
            await asyncio.sleep(wait_ms / MS_PER_S)
            left_ms -= wait_ms
            wait_ms = self._take_permit(target_id)
        return not wait_ms

    def _cancel(self) -> None:
        for task in self._tasks:
            task.cancel()


def _log_unfreed(target_id: str, handles: Sequence[str], reason: str) -> None:
    """Logs results that the target keeps until they expire."""
    log_event(
        Event.RESULTS_UNFREED,
        target_id=target_id,
        results=len(handles),
        reason=reason,
    )
