"""Delayed removal of requests without waiters, as a waiter may return."""

import asyncio
from collections.abc import Callable

from .clock import MS_PER_S


class DelayedRemoval:
    """Removes requests some time after their last waiter has left."""

    def __init__(self, remove: Callable[[str], None]) -> None:
        """Initializes an instance without timers.

        Args:
            remove: Removes a request by its chain id.
        """
        self._remove = remove
        self._timers: dict[str, asyncio.TimerHandle] = {}

    def schedule(self, chain_id: str, delay_ms: float) -> None:
        """Removes a request after a delay, or at once if the delay is zero.

        Replaces a pending timer of the same request.

        Args:
            chain_id: Chain id of the request.
            delay_ms: Milliseconds until the request is removed.
        """
        self.cancel(chain_id)
        if not delay_ms:
            self._remove(chain_id)
            return
        self._timers[chain_id] = asyncio.get_running_loop().call_later(
            delay_ms / MS_PER_S,
            self._expire,
            chain_id,
        )

    def cancel(self, chain_id: str) -> None:
        """Cancels the removal of a request.

        Args:
            chain_id: Chain id of the request, whether or not it has a timer.
        """
        timer = self._timers.pop(chain_id, None)
        if timer is not None:
            timer.cancel()

    def close(self) -> None:
        """Cancels all timers without removing their requests."""
        for chain_id in tuple(self._timers):
            self.cancel(chain_id)

    def _expire(self, chain_id: str) -> None:
        self._timers.pop(chain_id)
        self._remove(chain_id)
