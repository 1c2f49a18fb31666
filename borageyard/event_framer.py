"""Cuts a stream of server-sent events into whole events."""

SEPARATOR = b'\n\n'
ID_FIELD = b'id:'
# Larger than any event of a model.
MAX_EVENT_BYTES = 1_048_576


class EventTooLargeError(Exception):
    """An event that does not end."""


class EventFramer:
    """Hands out only whole events and remembers the id of the last one.

    A target may stop in the middle of an event; what was handed out before
    can be gone on with by another one.
    """

    def __init__(self) -> None:
        """Starts before the first event."""
        self.last_id = ''
        self.events = 0
        self._pending = b''

    @property
    def has_partial(self) -> bool:
        """Tells whether an event was begun and not ended."""
        return bool(self._pending)

    def feed(self, chunk: bytes) -> bytes:
        """Takes in bytes and returns the events that are whole now.

        Args:
            chunk: Bytes of the stream, cut anywhere.

        Raises:
            EventTooLargeError: If an event does not end.
        """
        joined = self._pending + chunk
        end = joined.rfind(SEPARATOR)
        if end < 0:
            self._pending = joined
            if len(joined) > MAX_EVENT_BYTES:
                raise EventTooLargeError(f'{len(joined)} bytes')
            return b''
        end += len(SEPARATOR)
        self._pending = joined[end:]
        complete = joined[:end]
        self.events += complete.count(SEPARATOR)
        self._update_last_id(complete)
        return complete

    def discard_partial(self) -> None:
        """Drops an event that was begun by a target that broke off."""
        self._pending = b''

    def _update_last_id(self, complete: bytes) -> None:
        start = complete.rfind(ID_FIELD)
        if start < 0:
            return
        line = complete[start + len(ID_FIELD) :].split(b'\n', 1)[0]
        self.last_id = line.strip().decode('latin-1')
