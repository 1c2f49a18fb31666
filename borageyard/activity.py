"""Counts work in progress, so that a shutdown can wait for its end."""

import asyncio
import contextlib
from collections.abc import Iterator


class Activity:
    """Work in progress that a shutdown waits for."""

    def __init__(self) -> None:
        """Creates an idle instance."""
        self.count = 0
        self.closing = False
        self._idle = asyncio.Event()
        self._idle.set()

    @contextlib.contextmanager
    def track(self) -> Iterator[None]:
        """Counts one unit of work while the scope lasts."""
        self.count += 1
        self._idle.clear()
        with contextlib.ExitStack() as stack:
            stack.callback(self._finish)
            yield

    async def wait_idle(self) -> None:
        """Waits until no work is in progress."""
        await self._idle.wait()

    def _finish(self) -> None:
        self.count -= 1
        if not self.count:
            self._idle.set()
