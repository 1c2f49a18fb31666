"""Measures how late the event loop runs scheduled callbacks."""

import asyncio
import collections
from collections.abc import Callable

from .clock import MS_PER_S

PROBE_INTERVAL_MS = 100
WINDOW_PROBES = 100


class LoopLagMonitor:
    """Keeps the lag of the most recent probes of the event loop."""

    def __init__(self, window: int = WINDOW_PROBES) -> None:
        """Creates a monitor without probes.

        Args:
            window: Number of probes to keep.
        """
        self._probes: collections.deque[float] = collections.deque(
            maxlen=window,
        )

    @property
    def worst_ms(self) -> float:
        """Returns the largest lag in the window, 0 without probes."""
        return max(self._probes, default=0)

    def record_lag(self, lag_ms: float) -> None:
        """Adds the lag of a probe to the window.

        Args:
            lag_ms: How late the probe ran; below 0 counts as 0.
        """
        self._probes.append(max(lag_ms, 0))

    async def run_probes(
        self,
        interval_ms: float = PROBE_INTERVAL_MS,
        on_probe: Callable[[float], None] | None = None,
    ) -> None:
        """Probes the running loop until cancelled.

        Args:
            interval_ms: Time between two probes.
            on_probe: Called with the worst lag after each probe.
        """
        loop = asyncio.get_running_loop()
        while True:
            due_s = loop.time() + interval_ms / MS_PER_S
            await asyncio.sleep(interval_ms / MS_PER_S)
            self.record_lag((loop.time() - due_s) * MS_PER_S)
            if on_probe is not None:
                on_probe(self.worst_ms)
