"""Calls in flight at targets, as reported by peers."""

import collections
import math
from collections.abc import Mapping

# Time after which the report of a silent peer is dropped.
REPORT_TTL_MS = 2000


class PeerCallCounts:
    """Sums of reported calls by target.

    Memory grows with the calls, not with pairs of peer and target.
    """

    def __init__(self) -> None:
        """Starts without reports."""
        self._counts_by_peer: dict[str, Mapping[str, int]] = {}
        self._heard_at_ms: dict[str, float] = {}
        self._sums: collections.Counter[str] = collections.Counter()
        self.oldest_ms = math.inf

    def note(
        self,
        peer_id: str,
        in_flight: Mapping[str, int],
        now_ms: float,
    ) -> None:
        """Replaces the report of a peer.

        Args:
            peer_id: Instance id of the peer.
            in_flight: Calls by target id; targets without any are omitted.
            now_ms: Monotonic time in milliseconds.
        """
        self._sums.subtract(self._counts_by_peer.get(peer_id, {}))
        self._sums.update(in_flight)
        self._counts_by_peer[peer_id] = dict(in_flight)
        self._heard_at_ms[peer_id] = now_ms
        self.oldest_ms = min(self._heard_at_ms.values())

    def forget_silent(self, now_ms: float) -> None:
        """Drops the reports of peers that are silent for REPORT_TTL_MS.

        Args:
            now_ms: Monotonic time in milliseconds.
        """
        for peer_id, heard_at_ms in tuple(self._heard_at_ms.items()):
            if now_ms - heard_at_ms >= REPORT_TTL_MS:
                self._sums.subtract(self._counts_by_peer.pop(peer_id))
                self._heard_at_ms.pop(peer_id)
        self._sums = +self._sums
        self.oldest_ms = min(self._heard_at_ms.values(), default=math.inf)

    def total_at(self, target_id: str) -> int:
        """Returns the calls in flight of all peers at a target."""
        return self._sums[target_id]
