"""One-shot timer that fires at the time that was set last."""

import asyncio
from collections.abc import Callable

# Minimum delay, so that a time in the past does not starve the event loop.
MIN_DELAY_S = 0.001


class WakeTimer:
    """Calls a function after a delay; setting it again replaces the delay."""

    def __init__(self, callback: Callable[[], None]) -> None:
        """Creates a timer that is not set.

        Args:
            callback: Function to call.
        """
        self._callback = callback
        self._handle: asyncio.TimerHandle | None = None

    def set(self, delay_s: float) -> None:
        """Sets the time of the next call.

        Args:
            delay_s: Delay from now, in seconds.
        """
        self.cancel()
        loop = asyncio.get_running_loop()
        delay_s = max(delay_s, MIN_DELAY_S)
        self._handle = loop.call_later(delay_s, self._callback)

    def cancel(self) -> None:
        """Cancels the next call, if one is set."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None
