"""A timer that acts once, at the time that was set last."""

import asyncio
from collections.abc import Callable

# Least delay, so that a time in the past does not starve the loop.
MIN_DELAY_S = 0.001


class WakeTimer:
    """Calls back after a delay; setting it anew replaces the delay."""

    def __init__(self, callback: Callable[[], None]) -> None:
        """Prepares a timer that is not set.

        Args:
            act: What is called.
        """
        self._callback = callback
        self._handle: asyncio.TimerHandle | None = None

    def set(self, delay_s: float) -> None:
        """Sets the time of the next call.

        Args:
            delay_s: How long from now.
        """
        self.cancel()
        loop = asyncio.get_running_loop()
        delay_s = max(delay_s, MIN_DELAY_S)
        self._handle = loop.call_later(delay_s, self._callback)

    def cancel(self) -> None:
        """Calls nothing any more."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None
