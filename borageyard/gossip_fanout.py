"""Choice of the peers to gossip to, within a byte budget."""

import hashlib
from collections.abc import Collection, Iterable, Sequence

from .clock import MS_PER_S
from .peers import PeerAddress

RING_SUCCESSORS = 2
# Unused budget accumulates up to this many seconds' worth.
BURST_S = 0.5
HASH_BYTES = 8


class GossipFanout:
    """Chooses gossip receivers in rotation.

    In a small fleet all peers get gossip, in a large one a subset.
    """

    def __init__(
        self,
        instance_id: str,
        max_peers: int,
        bytes_per_s: float,
    ) -> None:
        """Starts without peers and with a full budget.

        Args:
            instance_id: Id of this entry.
            max_peers: Maximum number of neighbours.
            bytes_per_s: Budget for all gossip together.
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
        """Returns the ids of the peers that get gossip from this entry."""
        return self._neighbours

    def update(self, peers: Iterable[PeerAddress]) -> None:
        """Chooses the neighbours among the known peers.

        Up to `max_peers` peers are all chosen. Of more, the successors on a
        hash ring are chosen, so that some peers receive the gossip of every
        entry and none is cut off, and further ones by a hash of the pair, so
        that gossip reaches the fleet in few hops.

        Args:
            peers: All known peers.
        """
        by_name = {peer.instance_id: peer for peer in peers}
        if by_name.keys() == self._known:
            return
        self._known = by_name.keys()
        known = sorted(by_name.values(), key=self._ring_distance)
        shuffled = sorted(known[RING_SUCCESSORS:], key=self._pair_hash)
        neighbours = (*known[:RING_SUCCESSORS], *shuffled)[: self._max_peers]
        self._neighbours = tuple(peer.instance_id for peer in neighbours)

    def choose(self, size_bytes: int, now_ms: float) -> Sequence[str]:
        """Selects the receivers of one message and charges the budget.

        Args:
            size_bytes: Size of the encoded message in bytes.
            now_ms: Monotonic time in milliseconds.

        Returns:
            Instance ids of the receivers; none while the budget is exhausted.
        """
        self._refill(now_ms)
        receivers: list[str] = []
        # While there is budget left one copy is sent even if it exceeds the
        # budget, so that a large message can't stop gossip altogether.
        limit = len(self._neighbours)
        while len(receivers) < limit and self._budget_bytes > 0:
            receivers.append(self._neighbours[self._next_index % limit])
            self._next_index += 1
            self._budget_bytes -= size_bytes
        return tuple(receivers)

    def spend(self, size_bytes: int) -> None:
        """Charges gossip that is sent regardless of the budget.

        Args:
            size_bytes: Size of the encoded message in bytes.
        """
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
        """Returns the distance to a peer, forward on the hash ring."""
        span = 1 << (HASH_BYTES * 8)
        ahead = _hash(peer.instance_id) - _hash(self._instance_id)
        return ahead % span

    def _pair_hash(self, peer: PeerAddress) -> int:
        return _hash(f'{self._instance_id} {peer.instance_id}')


def _hash(text: str) -> int:
    hashed = hashlib.blake2b(text.encode(), digest_size=HASH_BYTES)
    return int.from_bytes(hashed.digest(), 'big')
