"""Counts work that is under way and tells when there is none."""

import asyncio
import contextlib
from collections.abc import Iterator


class Activity:
    """Work that a stop has to wait for."""

    def __init__(self) -> None:
        """Starts idle."""
        self.count = 0
        self.closing = False
        self._idle = asyncio.Event()
        self._idle.set()

    @contextlib.contextmanager
    def track(self) -> Iterator[None]:
        """Counts one piece of work while the scope lasts."""
        self.count += 1
        self._idle.clear()
        with contextlib.ExitStack() as stack:
            stack.callback(self._finish)
            yield

    async def wait_idle(self) -> None:
        """Returns once nothing is under way."""
        await self._idle.wait()

    def _finish(self) -> None:
        self.count -= 1
        if not self.count:
            self._idle.set()
