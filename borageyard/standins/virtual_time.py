"""Event loop whose time advances only when nothing is ready to run."""

import asyncio
import functools
import selectors
from collections.abc import Callable, Coroutine
from typing import Any, ParamSpec, TypeVar

ParamsT = ParamSpec('ParamsT')
ReturnT = TypeVar('ReturnT')


class DeadlockError(RuntimeError):
    """Nothing is ready to run and no timer is set."""


class VirtualTimeSelector(selectors.DefaultSelector):
    """Selector that advances virtual time instead of waiting."""

    def __init__(self) -> None:
        """Initializes virtual time at zero seconds."""
        super().__init__()
        self.now_s: float = 0

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Returns ready files; if there are none, advances virtual time.

        Args:
            timeout: Seconds until the next timer; ``None`` if no timer is set.

        Raises:
            DeadlockError: If no file is ready and no timer is set.
        """
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise DeadlockError('nothing is ready to run and no timer is set')
        self.now_s += max(timeout, 0)
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop in virtual time, for runs that never really wait."""

    def __init__(self) -> None:
        """Initializes virtual time at zero seconds."""
        self._virtual_selector = VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self._virtual_selector.now_s


def run_virtual(coroutine: Coroutine[Any, Any, ReturnT]) -> ReturnT:
    """Runs a coroutine to completion in virtual time.

    Args:
        coroutine: Coroutine to run.

    Returns:
        The result of the coroutine.

    Raises:
        DeadlockError: If it waits while nothing is ready to run and no timer
            is set.
    """
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(coroutine)


def in_virtual_time(
    function: Callable[ParamsT, Coroutine[Any, Any, ReturnT]],
) -> Callable[ParamsT, ReturnT]:
    """Decorates a coroutine function, so that calls run in virtual time.

    Args:
        function: The coroutine function.
    """

    @functools.wraps(function)
    def decorator(*args: ParamsT.args, **kwargs: ParamsT.kwargs) -> ReturnT:
        return run_virtual(function(*args, **kwargs))

    return decorator
