"""Requests that may continue after their caller disconnects."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

OutcomeT = TypeVar('OutcomeT')


class DetachedRuns:
    """Runs work that is cancelled on disconnect unless it must finish."""

    def __init__(self) -> None:
        """Creates an instance without running work."""
        self._tasks: set[asyncio.Task[Any]] = set()

    async def run(
        self,
        work: Coroutine[Any, Any, OutcomeT],
        must_finish: Callable[[], bool],
    ) -> OutcomeT:
        """Runs work and returns its result.

        Args:
            work: Coroutine to run.
            must_finish: Called when this call is cancelled; tells whether
                the work continues in the background.

        Returns:
            The result of the work.
        """
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            if not must_finish():
                task.cancel()
            raise

    async def close(self) -> None:
        """Cancels all running work and waits for it to end."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
