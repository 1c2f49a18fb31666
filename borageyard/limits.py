"""Rate limits of organisations, shared by entries without a common store."""

import dataclasses
from collections.abc import Mapping

from .clock import MS_PER_S
from .configuration import Organisation

# Fraction of a limit that is split equally between entries whatever their
# demand.
EQUAL_SHARE = 0.2
PEER_DEMAND_TTL_MS = 2000
DEMAND_WINDOW_MS = 1000
MAX_WAIT_MS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class LimitDecision:
    """Whether a request may start, and after which wait."""

    allowed: bool
    wait_ms: float = 0


@dataclasses.dataclass(slots=True)
class TokenBucket:
    """Token bucket of one organisation at this entry.

    ``tokens`` is negative while admitted requests wait for theirs. ``arrivals``
    counts the requests since the demand was last measured.
    """

    tokens: float
    refilled_at_ms: float
    demand_per_s: float = 0
    published_per_s: float = 0
    arrivals: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PeerDemand:
    """Demand by organisation that a peer has last reported."""

    received_at_ms: float
    per_s: Mapping[str, float]


class OrganisationLimits:
    """This entry's share of each organisation's rate limit."""

    def __init__(self) -> None:
        """Starts as the only entry and without demand."""
        self._buckets: dict[str, TokenBucket] = {}
        self._peers: dict[str, PeerDemand] = {}
        self._window_at_ms: float = 0
        self.entries = 1

    def note_entries(self, count: int) -> None:
        """Sets the number of entries that share the limits.

        Args:
            count: Number of known entries, including this one.
        """
        self.entries = max(count, 1)

    def note_peer(
        self,
        peer_id: str,
        per_s: Mapping[str, float],
        now_ms: float,
    ) -> None:
        """Records the demand that a peer reports.

        Args:
            peer_id: Id of the peer.
            per_s: Requests per second by organisation.
            now_ms: Monotonic time.
        """
        self._peers[peer_id] = PeerDemand(now_ms, per_s)

    def publish_demand(self, now_ms: float) -> dict[str, float]:
        """Measures and returns the demand by organisation, to be sent to peers.

        The returned values are also what this entry's share is computed from.

        Args:
            now_ms: Monotonic time.

        Returns:
            Requests per second by organisation.
        """
        self._measure_demand(now_ms)
        published = {}
        for name, bucket in self._buckets.items():
            bucket.published_per_s = bucket.demand_per_s
            published[name] = bucket.published_per_s
        return published

    def take(
        self,
        organisation: Organisation,
        now_ms: float,
        max_wait_ms: float = MAX_WAIT_MS,
    ) -> LimitDecision:
        """Takes a token, in advance if one will be available soon.

        Args:
            organisation: Organisation of the request.
            now_ms: Monotonic time.
            max_wait_ms: Longest wait that the caller accepts; values above
                ``MAX_WAIT_MS`` count as ``MAX_WAIT_MS``.

        Returns:
            Whether the request may start and after which wait; if it may
            not, the wait before a retry.
        """
        share = self.share(organisation.name, now_ms)
        rate_per_ms = organisation.limit_requests_per_s * share / MS_PER_S
        burst = max(organisation.burst_requests * share, 1)
        bucket = self._find(organisation.name, burst, now_ms)
        _refill(bucket, rate_per_ms, burst, now_ms)
        bucket.arrivals += 1
        wait_ms = max(1 - bucket.tokens, 0) / rate_per_ms
        if wait_ms > min(max_wait_ms, MAX_WAIT_MS):
            return LimitDecision(allowed=False, wait_ms=wait_ms)
        bucket.tokens -= 1
        return LimitDecision(allowed=True, wait_ms=wait_ms)

    def share(self, name: str, now_ms: float) -> float:
        """Returns this entry's share of an organisation's limit, from 0 to 1.

        All entries have equal shares if there is no demand or while the demand
        of some peers is unknown.

        Args:
            name: Name of the organisation.
            now_ms: Monotonic time.
        """
        equal = 1 / self.entries
        fresh = [
            peer
            for peer in self._peers.values()
            if now_ms - peer.received_at_ms < PEER_DEMAND_TTL_MS
        ]
        if len(fresh) + 1 < self.entries:
            return equal
        bucket = self._buckets.get(name)
        own = bucket.published_per_s if bucket else 0
        total_per_s = own + sum(peer.per_s.get(name, 0) for peer in fresh)
        if total_per_s <= 0:
            return equal
        return EQUAL_SHARE * equal + (1 - EQUAL_SHARE) * own / total_per_s

    def _find(self, name: str, burst: float, now_ms: float) -> TokenBucket:
        bucket = self._buckets.get(name)
        if bucket is None:
            bucket = TokenBucket(burst, now_ms)
            self._buckets[name] = bucket
        return bucket

    def _measure_demand(self, now_ms: float) -> None:
        elapsed_ms = now_ms - self._window_at_ms
        if elapsed_ms <= 0:
            return
        self._window_at_ms = now_ms
        weight = min(elapsed_ms / DEMAND_WINDOW_MS, 1)
        for bucket in self._buckets.values():
            rate = bucket.arrivals * MS_PER_S / elapsed_ms
            bucket.demand_per_s += weight * (rate - bucket.demand_per_s)
            bucket.arrivals = 0


def _refill(
    bucket: TokenBucket,
    rate_per_ms: float,
    burst: float,
    now_ms: float,
) -> None:
    added = (now_ms - bucket.refilled_at_ms) * rate_per_ms
    bucket.tokens = min(bucket.tokens + added, burst)
    bucket.refilled_at_ms = now_ms
