"""Measures how late the event loop runs what is due."""

import asyncio
import collections
from collections.abc import Callable

from .clock import MS_PER_S

PROBE_INTERVAL_MS = 100
WINDOW_PROBES = 100


class LoopLagMonitor:
    """The worst lag among the newest probes."""

    def __init__(self, window: int = WINDOW_PROBES) -> None:
        """Starts without probes.

        Args:
            window: How many probes are kept.
        """
        self._probes: collections.deque[float] = collections.deque(
            maxlen=window,
        )

    @property
    def worst_ms(self) -> float:
        """Returns the worst lag of the window."""
        return max(self._probes, default=0)

    def record_lag(self, lag_ms: float) -> None:
        """Takes in a probe.

        Args:
            lag_ms: How late it ran.
        """
        self._probes.append(max(lag_ms, 0))

    async def run_probes(
        self,
        interval_ms: float = PROBE_INTERVAL_MS,
        on_probe: Callable[[float], None] | None = None,
    ) -> None:
        """Probes the running loop for ever.

        Args:
            probe_ms: Time between two probes.
            on_probe: Told the worst lag after each probe.
        """
        loop = asyncio.get_running_loop()
        while True:
            due_s = loop.time() + interval_ms / MS_PER_S
            await asyncio.sleep(interval_ms / MS_PER_S)
            self.record_lag((loop.time() - due_s) * MS_PER_S)
            if on_probe is not None:
                on_probe(self.worst_ms)
