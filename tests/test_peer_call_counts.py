"""Tests of what peers say of their calls."""

from borageyard.peer_call_counts import PeerCallCounts


class TestPeerCallCounts:
    """Sums follow the newest word of each peer."""

    def test_newest_word_counts(self):
        """A target that a peer no longer names is free of its calls."""
        calls = PeerCallCounts()
        calls.note('a', {'t0': 2, 't1': 1}, 0)
        calls.note('b', {'t0': 3}, 10)
        calls.note('a', {'t1': 4}, 20)
        assert calls.total_at('t0') == 3
        assert calls.total_at('t1') == 4
        assert calls.oldest_ms == 10

    def test_silent_peer_is_dropped(self):
        """After two seconds of silence its calls no longer count."""
        calls = PeerCallCounts()
        calls.note('a', {'t0': 2}, 0)
        calls.note('b', {'t0': 3}, 1500)
        calls.forget_silent(2500)
        assert calls.total_at('t0') == 3
        assert calls.oldest_ms == 1500
