"""Background tasks bound to a scope."""

import asyncio
import collections
import contextlib
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any

from .backoff import retry_delays
from .clock import MS_PER_S
from .events import Event, log_event

# Starts the work of a task, at first and after each failure.
Work = Callable[[], Coroutine[Any, Any, None]]

# Time without a failure after which the next one counts as the first.
SOUND_AFTER_S = 10
# Failures of the tasks of this process, by the name of their work.
FAILURES: collections.Counter[str] = collections.Counter()


@contextlib.asynccontextmanager
async def running_tasks(*work: Work) -> AsyncIterator[None]:
    """Runs work in background tasks while the scope lasts.

    Work that ends with an error is started again after a delay that grows
    with each failure: others rely on it, and nobody awaits its end.

    Args:
        *work: Coroutine functions without arguments; their tasks are
            cancelled at the end of the scope.
    """
    tasks = [asyncio.ensure_future(run_again(one)) for one in work]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def run_again(work: Work) -> None:
    """Runs work, again after each error, until it returns or is cancelled.

    Args:
        work: Coroutine function without arguments.
    """
    loop = asyncio.get_running_loop()
    delays = retry_delays()
    while True:
        started_at_s = loop.time()
        try:
            await work()
        except (Exception, asyncio.CancelledError) as error:
            if is_own_cancellation(error):
                raise
            _note_failure(work, error)
        else:
            return
        if loop.time() - started_at_s > SOUND_AFTER_S:
            delays = retry_delays()
        await asyncio.sleep(next(delays) / MS_PER_S)


def _note_failure(work: Work, error: BaseException) -> None:
    function = getattr(work, 'func', work)
    name = getattr(function, '__qualname__', repr(function))
    FAILURES[name] += 1
    log_event(
        Event.TASK_FAILED,
        task=name,
        failures=FAILURES[name],
        reason=repr(error),
    )


def is_own_cancellation(error: BaseException) -> bool:
    """Returns whether an error is the cancellation of the current task.

    A task that awaits a future which others cancel gets the same error.

    Args:
        error: An error that was raised in the current task.
    """
    task = asyncio.current_task()
    is_cancellation = isinstance(error, asyncio.CancelledError)
    return is_cancellation and task is not None and task.cancelling() > 0
