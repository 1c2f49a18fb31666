"""Share of a common budget of repeated sends, in a sliding window."""

import collections
import dataclasses

# Part of the common allowance that is used, so that entries which do not
# know of each other yet stay within it together.
ALLOWANCE_SHARE = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class RetryTerms:
    """The budget of all entries together, for each service."""

    # Repeats for each request in a window, and further ones.
    ratio: float
    extra: float
    window_ms: float


class RetryWindow:
    """Repeats of this entry; the window slides, so bursts are bounded too.

    Answers the load pattern of a service that fails: every request would be
    sent twice at all entries, which doubles the load on what is left.
    """

    def __init__(self, terms: RetryTerms) -> None:
        """Starts with nothing spent.

        Args:
            terms: The budget of all entries.
        """
        self._terms = terms
        self._requests: dict[str, collections.deque[float]] = {}
        self._repeats: dict[str, collections.deque[float]] = {}

    def note_request(self, service: str, now_ms: float) -> None:
        """Counts a request of a caller.

        Args:
            service: Service of its route.
            now_ms: Steady time.
        """
        counted = self._requests.setdefault(service, collections.deque())
        counted.append(now_ms)
        self._expire(counted, now_ms)

    def take(self, service: str, now_ms: float, entries: int) -> bool:
        """Spends a repeat if this entry's share allows it.

        Args:
            service: Service that would get it.
            now_ms: Steady time.
            entries: How many entries may share the budget.

        Returns:
            Whether it may be sent.
        """
        requests = self._requests.setdefault(service, collections.deque())
        repeats = self._repeats.setdefault(service, collections.deque())
        self._expire(requests, now_ms)
        self._expire(repeats, now_ms)
        extra = ALLOWANCE_SHARE * self._terms.extra / max(entries, 1)
        allowed = ALLOWANCE_SHARE * self._terms.ratio * len(requests) + extra
        if len(repeats) + 1 > allowed:
            return False
        repeats.append(now_ms)
        return True

    def _expire(
        self,
        counted: collections.deque[float],
        now_ms: float,
    ) -> None:
        while counted and counted[0] < now_ms - self._terms.window_ms:
            counted.popleft()
