"""Requests that run on when their caller has gone."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

OutcomeT = TypeVar('OutcomeT')


class DetachedRuns:
    """Runs work that a caller's disconnect may or may not cancel."""

    def __init__(self) -> None:
        """Starts with no work."""
        self._tasks: set[asyncio.Task[Any]] = set()

    async def run(
        self,
        work: Coroutine[Any, Any, OutcomeT],
        must_finish: Callable[[], bool],
    ) -> OutcomeT:
        """Runs work to its end.

        Args:
            work: What is run.
            must_finish: Asked when the caller goes; whether to run on.
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
        """Cancels what still runs."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
