"""Whether this entry and its peers have a path to targets."""

import random
from collections.abc import Collection, Iterable, Sequence

# Time for which a peer without a path is not asked again, and for which one
# that made a call is preferred.
PEER_CUT_MS = 2000
PEER_REACHING_MS = 10_000
# Peers with a path from which on no others are tried first.
ENOUGH_PEERS = 3


class TargetPaths:
    """Knows whether this entry is partitioned, and ranks peers for its calls.

    Peers need not be told of a partition: whoever is asked says whether it has
    a path, and which peers lately had one.
    """

    def __init__(self, seed: str) -> None:
        """Starts with a path.

        Args:
            seed: Seed of the choice among peers.
        """
        self.is_partitioned = False
        self._random = random.Random(seed)
        self._cut_until_ms: dict[str, float] = {}
        self._reaching_until_ms: dict[str, float] = {}

    def note_reaching(self, peer_id: str, now_ms: float) -> None:
        """Records that a peer made a call, or tried to, on its own path.

        Args:
            peer_id: Id of the peer.
            now_ms: Monotonic time.
        """
        self._cut_until_ms.pop(peer_id, None)
        self._reaching_until_ms[peer_id] = now_ms + PEER_REACHING_MS

    def note_cut(
        self, peer_id: str, reaching_ids: Iterable[str], now_ms: float
    ) -> None:
        """Records that a peer has no path, or could not be asked.

        Args:
            peer_id: Id of the peer.
            reaching_ids: Peers that it named.
            now_ms: Monotonic time.
        """
        self._reaching_until_ms.pop(peer_id, None)
        self._cut_until_ms[peer_id] = now_ms + PEER_CUT_MS
        for named_id in reaching_ids:
            if not self._is_cut(named_id, now_ms):
                self._reaching_until_ms.setdefault(
                    named_id, now_ms + PEER_REACHING_MS
                )

    def reaching_ids(self, now_ms: float) -> Sequence[str]:
        """Returns some peers that lately had a path.

        Args:
            now_ms: Monotonic time.
        """
        known = [
            peer_id
            for peer_id, until_ms in self._reaching_until_ms.items()
            if until_ms > now_ms
        ]
        return known[-ENOUGH_PEERS:]

    def rank_peers(
        self, peer_ids: Collection[str], now_ms: float
    ) -> Sequence[str]:
        """Returns the peers to ask, in order.

        Calls are spread over the peers that are known to have a path. While
        these are few, one that is not known to comes first.

        Args:
            peer_ids: All peers.
            now_ms: Monotonic time.
        """
        shuffled = sorted(peer_ids)
        self._random.shuffle(shuffled)
        reaching = [
            peer_id
            for peer_id in shuffled
            if self._reaching_until_ms.get(peer_id, 0) > now_ms
        ]
        unknown = [
            peer_id
            for peer_id in shuffled
            if peer_id not in reaching and not self._is_cut(peer_id, now_ms)
        ]
        if len(reaching) < ENOUGH_PEERS:
            return [*unknown[:1], *reaching, *unknown[1:]]
        return [*reaching, *unknown]

    def _is_cut(self, peer_id: str, now_ms: float) -> bool:
        return self._cut_until_ms.get(peer_id, 0) > now_ms
