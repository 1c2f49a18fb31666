"""Waiting for news of a key."""

import asyncio
import contextlib


class KeyWaiters:
    """Coroutines that wait until something may have changed for a key."""

    def __init__(self) -> None:
        """Starts with nobody waiting."""
        self._waiters: dict[str, set[asyncio.Future[None]]] = {}

    def wake(self, key: str) -> None:
        """Lets those who wait for a key look again."""
        for future in self._waiters.pop(key, ()):
            if not future.done():
                future.set_result(None)

    def wake_all(self) -> None:
        """Lets all who wait look again."""
        for key in tuple(self._waiters):
            self.wake(key)

    async def wait(self, key: str) -> None:
        """Waits until a key is woken."""
        future = asyncio.get_running_loop().create_future()
        self._waiters.setdefault(key, set()).add(future)
        with contextlib.ExitStack() as stack:
            stack.callback(self._forget, key, future)
            await future

    def _forget(self, key: str, future: asyncio.Future[None]) -> None:
        waiting = self._waiters.get(key)
        if waiting is None:
            return
        waiting.discard(future)
        if not waiting:
            self._waiters.pop(key)
