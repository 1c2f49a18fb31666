"""Requests that nobody waits for now, kept in case they are asked again."""

import asyncio
from collections.abc import Callable

from .clock import MS_PER_S


class LingeringRequests:
    """Ends requests a while after the last one that waited has gone."""

    def __init__(self, end: Callable[[str], None]) -> None:
        """Starts without requests.

        Args:
            end: Ends a request by its id.
        """
        self._end = end
        self._timers: dict[str, asyncio.TimerHandle] = {}

    def hold(self, chain_id: str, linger_ms: float) -> None:
        """Ends a request after a time, at once if that is zero.

        Args:
            chain_id: Id of the request.
            linger_ms: How long it is kept.
        """
        self.claim(chain_id)
        if not linger_ms:
            self._end(chain_id)
            return
        self._timers[chain_id] = asyncio.get_running_loop().call_later(
            linger_ms / MS_PER_S,
            self._expire,
            chain_id,
        )

    def claim(self, chain_id: str) -> None:
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
            self.claim(chain_id)

    def _expire(self, chain_id: str) -> None:
        self._timers.pop(chain_id)
        self._end(chain_id)
