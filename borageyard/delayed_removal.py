"""Requests that nobody waits for now, kept in case they are asked again."""

import asyncio
from collections.abc import Callable

from .clock import MS_PER_S


class DelayedRemoval:
    """Ends requests a while after the last one that waited has gone."""

    def __init__(self, remove: Callable[[str], None]) -> None:
        """Starts without requests.

        Args:
            end: Ends a request by its id.
        """
        self._remove = remove
        self._timers: dict[str, asyncio.TimerHandle] = {}

    def schedule(self, chain_id: str, delay_ms: float) -> None:
        """Ends a request after a time, at once if that is zero.

        Args:
            chain_id: Id of the request.
            linger_ms: How long it is kept.
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
        """Keeps a request from being ended.

        Args:
            chain_id: Id of the request, held or not.
        """
        timer = self._timers.pop(chain_id, None)
        if timer is not None:
            timer.cancel()

    def close(self) -> None:
        """Forgets all timers."""
        for chain_id in tuple(self._timers):
            self.cancel(chain_id)

    def _expire(self, chain_id: str) -> None:
        self._timers.pop(chain_id)
        self._remove(chain_id)
