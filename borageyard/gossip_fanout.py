"""Which peers the news goes to, within a budget of bytes."""

import hashlib
from collections.abc import Collection, Iterable, Sequence

from .clock import MS_PER_S
from .peers import PeerAddress

RING_SUCCESSORS = 2
# Part of a second's budget that may be saved up.
BURST_S = 0.5
HASH_BYTES = 8


class GossipFanout:
    """Chooses receivers in turn; few peers all get news, of many a part."""

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
        self._budget_bytes = bytes_per_s * BURST_S
        self._refilled_at_ms: float | None = None
        self._known: Collection[str] = ()
        self._neighbours: tuple[str, ...] = ()
        self._next_index = 0

    @property
    def neighbours(self) -> Sequence[str]:
        """Returns the peers that news goes to."""
        return self._neighbours

    def update(self, peers: Iterable[PeerAddress]) -> None:
        """Chooses the receivers among the known peers.

        All when they are few. Else the successors on a ring of hashes, so
        that every entry is heard by some and none is cut off, and further
        ones drawn by a hash of the pair, so that news needs few steps.

        Args:
            peers: All peers known now.
        """
        by_name = {peer.instance_id: peer for peer in peers}
        if by_name.keys() == self._known:
            return
        self._known = by_name.keys()
        known = sorted(by_name.values(), key=self._ring_distance)
        drawn = sorted(known[RING_SUCCESSORS:], key=self._pair_hash)
        chosen = (*known[:RING_SUCCESSORS], *drawn)[: self._max_peers]
        self._neighbours = tuple(peer.instance_id for peer in chosen)

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
            chosen.append(self._neighbours[self._next_index % limit])
            self._next_index += 1
            self._budget_bytes -= size_bytes
        return tuple(chosen)

    def spend(self, size_bytes: int) -> None:
        """Takes news that goes out in any case from the budget."""
        self._budget_bytes -= size_bytes

    def _refill(self, now_ms: float) -> None:
        since_ms = self._refilled_at_ms
        self._refilled_at_ms = now_ms
        if since_ms is None:
            return
        gained = (now_ms - since_ms) * self._bytes_per_s / MS_PER_S
        self._budget_bytes = min(
            self._bytes_per_s * BURST_S,
            self._budget_bytes + gained,
        )

    def _ring_distance(self, peer: PeerAddress) -> int:
        """Returns how far a peer is ahead on the ring of hashes."""
        span = 1 << (HASH_BYTES * 8)
        ahead = _hash(peer.instance_id) - _hash(self._instance_id)
        return ahead % span

    def _pair_hash(self, peer: PeerAddress) -> int:
        return _hash(f'{self._instance_id} {peer.instance_id}')


def _hash(text: str) -> int:
    hashed = hashlib.blake2b(text.encode(), digest_size=HASH_BYTES)
    return int.from_bytes(hashed.digest(), 'big')
