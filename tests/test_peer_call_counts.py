"""Tests of the call counts that peers report."""

from borageyard.peer_call_counts import PeerCallCounts


class TestPeerCallCounts:
    """Sums use the newest report of each peer."""

    def test_newest_report_counts(self):
        """A newer report without a target removes the peer's calls there."""
        calls = PeerCallCounts()
        calls.note('a', {'t0': 2, 't1': 1}, 0)
        calls.note('b', {'t0': 3}, 10)
        calls.note('a', {'t1': 4}, 20)
        assert calls.total_at('t0') == 3
        assert calls.total_at('t1') == 4
        assert calls.oldest_ms == 10

    def test_silent_peer_is_dropped(self):
        """The report of a peer expires after two seconds of silence."""
        calls = PeerCallCounts()
        calls.note('a', {'t0': 2}, 0)
        calls.note('b', {'t0': 3}, 1500)
        calls.forget_silent(2500)
        assert calls.total_at('t0') == 3
        assert calls.oldest_ms == 1500
