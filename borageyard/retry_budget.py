"""Share of a common budget of repeated sends, in a sliding window."""

import collections
import dataclasses

# Part of the common allowance that is used, so that entries which do not
# know of each other yet stay within it together.
USABLE_BUDGET_SHARE = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class RetryBudgetLimits:
    """The budget of all entries together, for each service."""

    # Repeats for each request in a window, and further ones.
    ratio: float
    extra: float
    window_ms: float


class RetryBudget:
    """Repeats of this entry; the window slides, so bursts are bounded too.

    Answers the load pattern of a service that fails: every request would be
    sent twice at all entries, which doubles the load on what is left.
    """

    def __init__(self, limits: RetryBudgetLimits) -> None:
        """Starts with nothing spent.

        Args:
            terms: The budget of all entries.
        """
        self._limits = limits
        self._requests: dict[str, collections.deque[float]] = {}
        self._retries: dict[str, collections.deque[float]] = {}

    def note_request(self, service: str, now_ms: float) -> None:
        """Counts a request of a caller.

        Args:
            service: Service of its route.
            now_ms: Steady time.
        """
        times_ms = self._requests.setdefault(service, collections.deque())
        times_ms.append(now_ms)
        self._expire(times_ms, now_ms)

    def try_spend(self, service: str, now_ms: float, entries: int) -> bool:
        """Spends a repeat if this entry's share allows it.

        Args:
            service: Service that would get it.
            now_ms: Steady time.
            entries: How many entries may share the budget.

        Returns:
            Whether it may be sent.
        """
        requests = self._requests.setdefault(service, collections.deque())
        retries = self._retries.setdefault(service, collections.deque())
        self._expire(requests, now_ms)
        self._expire(retries, now_ms)
        extra = USABLE_BUDGET_SHARE * self._limits.extra / max(entries, 1)
        allowed = (
            USABLE_BUDGET_SHARE * self._limits.ratio * len(requests) + extra
        )
        if len(retries) + 1 > allowed:
            return False
        retries.append(now_ms)
        return True

    def _expire(
        self,
        times_ms: collections.deque[float],
        now_ms: float,
    ) -> None:
        while times_ms and times_ms[0] < now_ms - self._limits.window_ms:
            times_ms.popleft()
