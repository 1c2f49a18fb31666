"""Event loop whose time passes only while nothing is left to run."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

ReturnT = TypeVar('ReturnT')


class DeadlockError(RuntimeError):
    """Nothing is left to run and no timer is set."""


class VirtualTimeSelector(selectors.DefaultSelector):
    """Selector that skips waiting and adds it to virtual time."""

    def __init__(self) -> None:
        """Starts at time zero."""
        super().__init__()
        self.now_s: float = 0

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Returns ready files at once; otherwise skips the wait.

        Args:
            timeout: Seconds until the next timer.

        Raises:
            DeadlockError: If there is no timer to skip to.
        """
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise DeadlockError('no timer is set and nothing can run')
        self.now_s += max(timeout, 0)
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop in virtual time, for experiments without real waits."""

    def __init__(self) -> None:
        """Starts at time zero."""
        self._virtual_selector = VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Returns virtual seconds."""
        return self._virtual_selector.now_s


def run_virtual(coroutine: Coroutine[Any, Any, ReturnT]) -> ReturnT:
    """Runs a coroutine to its end in virtual time.

    Args:
        work: What is run.

    Returns:
        What it returns.

    Raises:
        DeadlockError: If it waits for something that can't happen.
    """
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(coroutine)
