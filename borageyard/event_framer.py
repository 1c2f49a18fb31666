"""Splits a byte stream of server-sent events at event boundaries."""

import re

from .field_checks import parse_count

SEPARATOR = b'\n\n'
# A field of an event, or a comment.
LINE = re.compile(rb'(?P<name>[\w-]*)(?:: ?(?P<value>.*))?', re.DOTALL)
ID_FIELD = b'id'
# Larger than any event of some tokens; hundreds of streams may hold one each.
MAX_EVENT_BYTES = 131_072


class EventError(Exception):
    """The bytes of a target are not the next events of the stream."""


class EventFramer:
    """Returns only complete events that follow those before.

    A target may fail in the middle of an event, and write something else into
    its stream. Another target can resume the stream after the last complete
    event.
    """

    def __init__(self) -> None:
        """Creates a framer at the start of a stream."""
        self.last_id = ''
        self.event_count = 0
        # Why the bytes held are no event; empty if they may be one.
        self.violation = ''
        self._pending = bytearray()

    @property
    def has_partial(self) -> bool:
        """Returns whether an incomplete event is buffered."""
        return bool(self._pending)

    def start_after(self, event_id: str) -> None:
        """Starts in the middle of a stream.

        Args:
            event_id: Id of the event before the first one; empty for none.
        """
        self.last_id = event_id

    def feed(self, chunk: bytes) -> bytes:
        """Buffers bytes and returns the events that are now complete.

        Args:
            chunk: Bytes of the stream, split at any position.

        Returns:
            The complete events; empty if none was completed. What follows them
            may be no event; ``violation`` tells so.

        Raises:
            EventError: If an incomplete event is too large.
        """
        # The separator may begin in the last byte held.
        searched = max(len(self._pending) - len(SEPARATOR) + 1, 0)
        self._pending += chunk
        end = 0
        next_end = self._pending.find(SEPARATOR, searched)
        while next_end >= 0:
            next_end += len(SEPARATOR)
            self.violation = self._accept(bytes(self._pending[end:next_end]))
            if self.violation:
                break
            end = next_end
            next_end = self._pending.find(SEPARATOR, end)
        complete = bytes(self._pending[:end])
        self._pending = self._pending[end:]
        self._require_size()
        return complete

    def discard_partial(self) -> None:
        """Drops the incomplete event of a target that failed."""
        self._pending.clear()
        self.violation = ''

    def _require_size(self) -> None:
        held_bytes = len(self._pending)
        if held_bytes > MAX_EVENT_BYTES:
            raise EventError(
                f'event without an end after {held_bytes} bytes, '
                f'expected at most {MAX_EVENT_BYTES}'
            )

    def _accept(self, event: bytes) -> str:
        """Counts an event; returns why it is none of this stream."""
        lines = event.strip(b'\n').split(b'\n')
        fields = [field for field in map(LINE.fullmatch, lines) if field]
        if len(fields) < len(lines):
            return 'an event has a line that is no field'
        ids = [field['value'] for field in fields if field['name'] == ID_FIELD]
        if ids:
            event_id = (ids[-1] or b'').strip().decode('latin-1')
            if not self._follows(event_id):
                return f'event {event_id} came after event {self.last_id}'
            self.last_id = event_id
        elif self.last_id and any(field['name'] for field in fields):
            return f'an event without an id came after event {self.last_id}'
        self.event_count += 1
        return ''

    def _follows(self, event_id: str) -> bool:
        """Returns whether an id may come next; only numbers are ordered."""
        number = parse_count(event_id)
        last = parse_count(self.last_id)
        return number is None or last is None or number > last
