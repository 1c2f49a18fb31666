"""Which peers the news goes to, within a budget of bytes."""

import hashlib
from collections.abc import Iterable, Sequence

from .clock import MS_PER_S
from .peers import PeerAddress

HASH_BYTES = 8


class NewsPlan:
    """Chooses receivers in turn; few peers all get news, many a part."""

    def __init__(
        self,
        instance_id: str,
        max_peers: int,
        bytes_per_s: float,
    ) -> None:
        """Starts without peers and with a full budget.

        Args:
            instance_id: Id of this entry.
            max_peers: Most peers that news goes to.
            bytes_per_s: Budget of all news together.
        """
        self._instance_id = instance_id
        self._max_peers = max_peers
        self._bytes_per_s = bytes_per_s
        self._budget_bytes = bytes_per_s
        self._refilled_at_ms: float | None = None
        self._neighbours: tuple[str, ...] = ()
        self._next = 0

    @property
    def neighbours(self) -> Sequence[str]:
        """Returns the peers that news goes to."""
        return self._neighbours

    def update(self, peers: Iterable[PeerAddress]) -> None:
        """Chooses the receivers among the known peers.

        All when they are few; else the successors on a ring of hashes and
        one of each failure domain in turn, so that the graph is connected
        and news crosses domains in few steps.

        Args:
            peers: All peers known now.
        """
        known = sorted(peers, key=self._distance)
        if len(known) <= self._max_peers:
            self._neighbours = tuple(peer.instance_id for peer in known)
            return
        ring = known[: self._max_peers // 2]
        others = known[self._max_peers // 2 :]
        first_of_domain: dict[str, PeerAddress] = {}
        for peer in others:
            first_of_domain.setdefault(peer.failure_domain, peer)
        spread = [*first_of_domain.values(), *others]
        chosen = dict.fromkeys(
            member.instance_id for member in (*ring, *spread)
        )
        self._neighbours = tuple(chosen)[: self._max_peers]

    def choose(self, size_bytes: int, now_ms: float) -> Sequence[str]:
        """Returns the receivers of this interval and spends the budget.

        Args:
            size_bytes: Size of the news.
            now_ms: Steady time.
        """
        self._refill(now_ms)
        chosen: list[str] = []
        # One copy always goes out, so that large news can't stop all.
        limit = len(self._neighbours)
        while len(chosen) < limit and self._budget_bytes > 0:
            chosen.append(self._neighbours[self._next % limit])
            self._next += 1
            self._budget_bytes -= size_bytes
        return tuple(chosen)

    def _refill(self, now_ms: float) -> None:
        since_ms = self._refilled_at_ms
        self._refilled_at_ms = now_ms
        if since_ms is None:
            return
        gained = (now_ms - since_ms) * self._bytes_per_s / MS_PER_S
        self._budget_bytes = min(
            self._bytes_per_s,
            self._budget_bytes + gained,
        )

    def _distance(self, peer: PeerAddress) -> int:
        """Returns how far a peer is ahead on the ring of hashes."""
        own = _ring_position(self._instance_id)
        span = 1 << (HASH_BYTES * 8)
        return (_ring_position(peer.instance_id) - own) % span


def _ring_position(instance_id: str) -> int:
    hashed = hashlib.blake2b(instance_id.encode(), digest_size=HASH_BYTES)
    return int.from_bytes(hashed.digest(), 'big')
