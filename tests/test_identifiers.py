"""Tests of identifiers."""

import random

from borageyard.identifiers import (
    identifier_at,
    identifier_time_ms,
    new_identifier,
)

NOW_MS = 1_790_000_000_123


class TestTime:
    """Creation times of identifiers."""

    def test_of_a_given_time(self):
        """The time is recovered, and different random bits differ."""
        source = random.Random(1)
        first = identifier_at(NOW_MS, source.getrandbits(74))
        second = identifier_at(NOW_MS, source.getrandbits(74))
        assert identifier_time_ms(first) == NOW_MS
        assert identifier_time_ms(second) == NOW_MS
        assert first != second

    def test_of_now(self):
        """A new identifier has a time; text that is no UUID has none."""
        assert identifier_time_ms(new_identifier())
        assert identifier_time_ms('walk-1') is None
