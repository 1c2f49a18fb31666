"""Whether an entry is overloaded, by its own measure."""

import collections

# Probes of the event loop that are averaged: one second at their interval.
AVERAGED_PROBES = 10
# Mean lag of the event loop above which an entry is overloaded, and below which
# it no longer is. A healthy loop lags by a few milliseconds, one planning step
# of a scheduler by tens.
BUSY_LAG_MS = 150
IDLE_LAG_MS = 50
# Shares of the allowed connections with the same meaning.
BUSY_CONNECTIONS = 0.9
IDLE_CONNECTIONS = 0.75
# Time below the lower limits after which it is no longer overloaded: callers
# keep addresses for two seconds, so an earlier return would overload it again.
IDLE_AFTER_MS = 3000


class EntryLoad:
    """Tells with hysteresis whether an entry is overloaded.

    Load pattern: a burst that takes more processor time or connections than a
    small machine has, while larger entries have room.
    """

    def __init__(self, max_connections: int) -> None:
        """Starts without measurements.

        Args:
            max_connections: Connections of callers that the entry allows.
        """
        self.overloaded = False
        self._max_connections = max_connections
        self._lags_ms: collections.deque[float] = collections.deque(
            maxlen=AVERAGED_PROBES
        )
        self._idle_since_ms: float | None = None

    def note(self, lag_ms: float, connections: int, now_ms: float) -> None:
        """Records a probe.

        Args:
            lag_ms: How late the event loop ran the probe.
            connections: Open connections of callers.
            now_ms: Monotonic time.
        """
        self._lags_ms.append(lag_ms)
        lag_ms = sum(self._lags_ms) / AVERAGED_PROBES
        used = connections / self._max_connections
        if lag_ms > BUSY_LAG_MS or used > BUSY_CONNECTIONS:
            self.overloaded = True
            self._idle_since_ms = None
        elif lag_ms > IDLE_LAG_MS or used > IDLE_CONNECTIONS:
            self._idle_since_ms = None
        elif self._idle_since_ms is None:
            self._idle_since_ms = now_ms
        elif now_ms - self._idle_since_ms >= IDLE_AFTER_MS:
            self.overloaded = False
