"""Share of an entry in the append rate of the log."""

from collections.abc import Callable

from .clock import MS_PER_S

BURST_MS = 100
# Shorter waits are lost in the resolution of the clock.
MIN_WAIT_MS = 0.1


class AppendBudget:
    """Token bucket whose rate is divided among the known entries."""

    def __init__(
        self,
        appends_per_s: float,
        count_entries: Callable[[], int],
    ) -> None:
        """Starts full.

        Args:
            appends_per_s: Rate of all entries together.
            count_entries: Returns how many entries share it.
        """
        self._appends_per_s = appends_per_s
        self._count_entries = count_entries
        self._tokens: float = 1
        self._refilled_at_ms: float = 0

    def take(self, now_ms: float) -> float:
        """Takes leave for one append, or tells how long to wait for it.

        Args:
            now_ms: Steady time.

        Returns:
            0 if the append may be made, else the time to wait.
        """
        rate_per_ms = self._rate_per_s() / MS_PER_S
        elapsed_ms = max(now_ms - self._refilled_at_ms, 0)
        self._refilled_at_ms = now_ms
        burst = max(rate_per_ms * BURST_MS, 1)
        self._tokens = min(self._tokens + elapsed_ms * rate_per_ms, burst)
        if self._tokens >= 1:
            self._tokens -= 1
            return 0
        return max((1 - self._tokens) / rate_per_ms, MIN_WAIT_MS)

    def _rate_per_s(self) -> float:
        return self._appends_per_s / max(self._count_entries(), 1)
