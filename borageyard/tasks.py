"""Background work of a scope."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Coroutine
from typing import Any


@contextlib.asynccontextmanager
async def running_tasks(
    *work: Coroutine[Any, Any, None],
) -> AsyncIterator[None]:
    """Runs coroutines in the background of a scope.

    Args:
        *work: Coroutines that are cancelled at the end of the scope.
    """
    tasks = [asyncio.ensure_future(coroutine) for coroutine in work]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
