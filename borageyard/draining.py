"""Phases in which an entry stops; each can be queried."""

import enum

# Time until peers have learned by gossip that this entry is leaving and no
# longer return its address to callers.
PROPAGATION_MS = 1000


class DrainPhase(enum.Enum):
    """What an entry does with new requests."""

    SERVING = 'serving'
    LEAVING = 'leaving'
    REFUSING = 'refusing'


class DrainPlan:
    """Decides when a stopping entry may refuse requests and may end."""

    def __init__(self, drain_ms: float, address_ttl_ms: float) -> None:
        """Computes how long the entry goes on serving.

        Args:
            drain_ms: Minimum time in milliseconds to go on serving.
            address_ttl_ms: Milliseconds for which callers cache an address.
        """
        self.min_serving_ms = max(drain_ms, address_ttl_ms + PROPAGATION_MS)
        self._stopping_since_ms: float | None = None

    @property
    def draining(self) -> bool:
        """Returns whether the entry is stopping."""
        return self._stopping_since_ms is not None

    def start(self, now_ms: float) -> None:
        """Starts the drain; later calls have no effect.

        Args:
            now_ms: Monotonic time in milliseconds.
        """
        if self._stopping_since_ms is None:
            self._stopping_since_ms = now_ms

    def phase(self, now_ms: float) -> DrainPhase:
        """Returns the phase, which says how new requests are treated.

        Args:
            now_ms: Monotonic time in milliseconds.
        """
        if self._stopping_since_ms is None:
            return DrainPhase.SERVING
        if now_ms - self._stopping_since_ms < self.min_serving_ms:
            return DrainPhase.LEAVING
        return DrainPhase.REFUSING

    def remaining_ms(self, now_ms: float) -> float:
        """Returns for how many more milliseconds the entry goes on serving.

        Args:
            now_ms: Monotonic time in milliseconds.
        """
        if self._stopping_since_ms is None:
            return self.min_serving_ms
        elapsed_ms = now_ms - self._stopping_since_ms
        return max(self.min_serving_ms - elapsed_ms, 0)
