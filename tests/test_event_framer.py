"""Tests of cutting streams into whole events."""

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
    """Bytes cut anywhere."""

    @given(st.lists(st.integers(0, len(STREAM)), max_size=12))
    def test_cuts_change_nothing(self, cuts):
        """All events come out whole, in their order."""
        relay = EventFramer()
        bounds = [0, *sorted(cuts), len(STREAM)]
        parts = [
            relay.feed(STREAM[start:end])
            for start, end in itertools.pairwise(bounds)
        ]
        assert b''.join(parts) == STREAM
        assert all(part.endswith(b'\n\n') for part in parts if part)
        assert (relay.last_id, relay.events) == ('8', 9)

    def test_half_an_event_is_kept_back(self):
        """Another target goes on after the last whole one."""
        relay = EventFramer()
        assert relay.feed(b'id: 1\n\nid: 2\nda') == b'id: 1\n\n'
        assert relay.has_partial
        relay.discard_partial()
        assert relay.feed(b'id: 2\n\n') == b'id: 2\n\n'
        assert relay.last_id == '2'

    def test_endless_event(self):
        """Memory is bounded."""
        relay = EventFramer()
        with pytest.raises(EventTooLargeError):
            relay.feed(b'x' * (MAX_EVENT_BYTES + 1))
