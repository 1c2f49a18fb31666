"""Limit on the append rate of an entry, its share of the log's rate."""

from collections.abc import Callable

from .clock import MS_PER_S

BURST_MS = 100
# Shorter waits are below the resolution of the clock.
MIN_WAIT_MS = 0.1


class AppendBudget:
    """Token bucket whose rate is divided among the known entries."""

    def __init__(
        self,
        appends_per_s: float,
        count_entries: Callable[[], int],
    ) -> None:
        """Creates a bucket with one token, enough for one append.

        Args:
            appends_per_s: Rate of all entries together.
            count_entries: Returns the number of entries that share the rate.
        """
        self._appends_per_s = appends_per_s
        self._count_entries = count_entries
        self._tokens: float = 1
        self._refilled_at_ms: float = 0

    def take(self, now_ms: float) -> float:
        """Takes a token for one append if there is one.

        Args:
            now_ms: Steady clock time in milliseconds.

        Returns:
            0 if a token was taken, else the time to wait before the next
            try, in milliseconds.
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
