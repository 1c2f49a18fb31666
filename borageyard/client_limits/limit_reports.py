"""Counts clients that met a limit; tells when to log a line about them."""

import collections
import enum

# One line for each reason in this time; a crowd would fill the log.
MIN_INTERVAL_MS = 1000


class LimitReason(enum.StrEnum):
    """Limits that a client may meet."""

    # Refused as not run, because the memory for requests was short.
    MEMORY = 'memory'
    # Closed with an answer that was not read, for the same reason.
    ANSWER_UNREAD = 'answer_unread'
    # Refused, because the head was not complete in time.
    SLOW_HEAD = 'slow_head'
    # Refused, because the body made no progress.
    SLOW_BODY = 'slow_body'
    # Refused or closed above the limit on open connections.
    CONNECTIONS = 'connections'
    # A stream to the port for peers that held too much or did not greet.
    PEER_STREAM = 'peer_stream'


class LimitReports:
    """Counters by reason, and the time of the last line of each."""

    def __init__(self) -> None:
        """Starts without occurrences."""
        self.counts: collections.Counter[LimitReason] = collections.Counter()
        self._logged_counts: collections.Counter[LimitReason] = (
            collections.Counter()
        )
        self._logged_at_ms: dict[LimitReason, float] = {}

    def note(self, reason: LimitReason, now_ms: float) -> int:
        """Counts an occurrence.

        Args:
            reason: The limit.
            now_ms: Monotonic time.

        Returns:
            Number of occurrences since the last line if there should be
            another one, else 0.
        """
        self.counts[reason] += 1
        logged_at_ms = self._logged_at_ms.get(reason)
        if logged_at_ms is not None and now_ms - logged_at_ms < MIN_INTERVAL_MS:
            return 0
        unlogged = self.counts[reason] - self._logged_counts[reason]
        self._logged_at_ms[reason] = now_ms
        self._logged_counts[reason] = self.counts[reason]
        return unlogged
