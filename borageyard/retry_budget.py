"""This entry's share of a common retry budget, in a sliding window."""

import collections
import dataclasses

# Part of the common budget that entries use, so that together they stay
# within it even if some have not discovered each other yet.
USABLE_BUDGET_SHARE = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class RetryBudgetLimits:
    """Budget for each service that all entries share."""

    # Retries for each request in the window, and additional retries.
    ratio: float
    extra: float
    window_ms: float


class RetryBudget:
    """Retries of this entry in a sliding window, which limits bursts too.

    Guards against retry storms: if a service fails, every request would be
    sent twice by all entries, which doubles the load on the remaining targets.
    """

    def __init__(self, limits: RetryBudgetLimits) -> None:
        """Creates an unspent budget.

        Args:
            limits: Budget that all entries share.
        """
        self._limits = limits
        self._requests: dict[str, collections.deque[float]] = {}
        self._retries: dict[str, collections.deque[float]] = {}

    def note_request(self, service: str, now_ms: float) -> None:
        """Counts a caller's request.

        Args:
            service: Service that it is routed to.
            now_ms: Monotonic time.
        """
        times_ms = self._requests.setdefault(service, collections.deque())
        times_ms.append(now_ms)
        self._expire(times_ms, now_ms)

    def try_spend(self, service: str, now_ms: float, entry_count: int) -> bool:
        """Spends a retry if this entry's share of the budget allows it.

        Args:
            service: Service that the retry goes to.
            now_ms: Monotonic time.
            entry_count: Number of entries that may share the budget.

        Returns:
            Whether the retry may be sent.
        """
        if not self.has_room(service, now_ms, entry_count):
            return False
        self._retries[service].append(now_ms)
        return True

    def note_spent(self, service: str, now_ms: float) -> None:
        """Counts a retry that was not asked for.

        Args:
            service: Service that it went to.
            now_ms: Monotonic time.
        """
        times_ms = self._retries.setdefault(service, collections.deque())
        times_ms.append(now_ms)
        self._expire(times_ms, now_ms)

    def has_room(self, service: str, now_ms: float, entry_count: int) -> bool:
        """Returns whether a retry could be spent.

        Args:
            service: Service that the retry goes to.
            now_ms: Monotonic time.
            entry_count: Number of entries that may share the budget.
        """
        requests = self._requests.setdefault(service, collections.deque())
        retries = self._retries.setdefault(service, collections.deque())
        self._expire(requests, now_ms)
        self._expire(retries, now_ms)
        extra = USABLE_BUDGET_SHARE * self._limits.extra / max(entry_count, 1)
        allowed = (
            USABLE_BUDGET_SHARE * self._limits.ratio * len(requests) + extra
        )
        return len(retries) + 1 <= allowed

    def _expire(
        self,
        times_ms: collections.deque[float],
        now_ms: float,
    ) -> None:
        while times_ms and times_ms[0] < now_ms - self._limits.window_ms:
            times_ms.popleft()
