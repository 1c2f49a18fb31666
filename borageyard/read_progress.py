"""Tells whether an answer of the shared store is arriving."""

import collections

from .clock import Clock

# An answer arrives while at least so many bytes came within this time: about
# what a stream that recovers from lost packets still carries.
WINDOW_MS = 500
MIN_BYTES = 8192


class ReadProgress:
    """Parts of the present answer that have arrived lately."""

    def __init__(self, clock: Clock) -> None:
        """Starts without an answer.

        Args:
            clock: Source of monotonic time.
        """
        self._clock = clock
        # Time of arrival and size of each part.
        self._parts: collections.deque[tuple[float, int]] = collections.deque()

    def note_part(self, size_bytes: int) -> None:
        """Records that a part has arrived.

        Args:
            size_bytes: Its size.
        """
        self._parts.append((self._clock.steady_ms(), size_bytes))

    def note_end(self) -> None:
        """Records that the answer is complete or was given up."""
        self._parts.clear()

    def is_moving(self) -> bool:
        """Returns whether an answer is arriving."""
        since_ms = self._clock.steady_ms() - WINDOW_MS
        while self._parts and self._parts[0][0] < since_ms:
            self._parts.popleft()
        return sum(size_bytes for _, size_bytes in self._parts) >= MIN_BYTES
