"""Waiting for changes to a key."""

import asyncio
import contextlib


class KeyWaiters:
    """Coroutines that wait until the state of a key may have changed."""

    def __init__(self) -> None:
        """Creates an empty set of waiters."""
        self._waiters: dict[str, set[asyncio.Future[None]]] = {}

    def wake(self, key: str) -> None:
        """Wakes the waiters of a key so that they recheck its state."""
        for future in self._waiters.pop(key, ()):
            if not future.done():
                future.set_result(None)

    def wake_all(self) -> None:
        """Wakes all waiters so that they recheck the state of their keys."""
        for key in tuple(self._waiters):
            self.wake(key)

    async def wait(self, key: str) -> None:
        """Waits until `wake` is called for a key, or `wake_all`."""
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
