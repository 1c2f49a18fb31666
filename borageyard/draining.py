"""How an entry stops: in phases, each one told to whoever asks."""

import enum

# Time in which news and addresses given out by peers catch up.
PROPAGATION_MS = 1000


class DrainPhase(enum.Enum):
    """What a stopping entry does with new requests."""

    SERVING = 'serving'
    LEAVING = 'leaving'
    REFUSING = 'refusing'


class DrainPlan:
    """Decides when a stopping entry may refuse and when it may end."""

    def __init__(self, drain_ms: float, address_ttl_ms: float) -> None:
        """Sets the times.

        Args:
            drain_ms: Least time to go on serving.
            address_ttl_ms: How long callers keep an address.
        """
        self.min_serving_ms = max(drain_ms, address_ttl_ms + PROPAGATION_MS)
        self._stopping_since_ms: float | None = None

    @property
    def leaving(self) -> bool:
        """Tells whether the entry has been told to stop."""
        return self._stopping_since_ms is not None

    def start(self, now_ms: float) -> None:
        """Starts to stop; a second order changes nothing."""
        if self._stopping_since_ms is None:
            self._stopping_since_ms = now_ms

    def phase(self, now_ms: float) -> DrainPhase:
        """Returns what is done with new requests now."""
        if self._stopping_since_ms is None:
            return DrainPhase.SERVING
        if now_ms - self._stopping_since_ms < self.min_serving_ms:
            return DrainPhase.LEAVING
        return DrainPhase.REFUSING

    def remaining_ms(self, now_ms: float) -> float:
        """Returns how long the entry goes on serving from now."""
        if self._stopping_since_ms is None:
            return self.min_serving_ms
        elapsed_ms = now_ms - self._stopping_since_ms
        return max(self.min_serving_ms - elapsed_ms, 0)
