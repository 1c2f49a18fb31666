"""Tests of splitting streams at event boundaries."""

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from borageyard.event_framer import (
    MAX_EVENT_BYTES,
    EventFramer,
    EventTooLargeError,
)

STREAM = b''.join(b'id: %d\ndata: word\n\n' % number for number in range(9))


class TestFeed:
    """Chunks that are split at any position."""

    @given(st.lists(st.integers(0, len(STREAM)), max_size=12))
    def test_cuts_change_nothing(self, cuts):
        """All events are returned complete and in order."""
        framer = EventFramer()
        bounds = [0, *sorted(cuts), len(STREAM)]
        parts = [
            framer.feed(STREAM[start:end])
            for start, end in itertools.pairwise(bounds)
        ]
        assert b''.join(parts) == STREAM
        assert all(part.endswith(b'\n\n') for part in parts if part)
        assert (framer.last_id, framer.event_count) == ('8', 9)

    def test_half_an_event_is_kept_back(self):
        """A partial event is buffered, and dropped when the stream resumes."""
        framer = EventFramer()
        assert framer.feed(b'id: 1\n\nid: 2\nda') == b'id: 1\n\n'
        assert framer.has_partial
        framer.discard_partial()
        assert framer.feed(b'id: 2\n\n') == b'id: 2\n\n'
        assert framer.last_id == '2'

    def test_endless_event(self):
        """An event without an end cannot use unlimited memory."""
        framer = EventFramer()
        with pytest.raises(EventTooLargeError):
            framer.feed(b'x' * (MAX_EVENT_BYTES + 1))
