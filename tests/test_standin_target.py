"""Tests of the cache events of the stand-in target."""

from borageyard.clock import ManualClock
from borageyard.standins.target import StandinTarget, TargetProfile


def build_target():
    """Returns a stand-in engine and its clock."""
    clock = ManualClock()
    profile = TargetProfile('t0', 'llm', 'engine', cache_tokens=100)
    return StandinTarget(profile, clock), clock


def visible_sequences(target, after=0):
    """Returns the sequence numbers of the visible cache events."""
    events = target.cache.visible_events(after, target.faults)
    return [event['sequence'] for event in events]


class TestCacheEvents:
    """Injected faults delay cache events, leave gaps or hide all."""

    def test_late(self):
        """An event is visible only after the injected lag."""
        target, clock = build_target()
        target.faults.cache_event_lag_ms = 500
        target.cache.use('walk', 60)
        assert visible_sequences(target) == []
        clock.advance(500)
        assert visible_sequences(target) == [0]

    def test_gaps(self):
        """A gap of 2 hides every second event; an eviction is an event."""
        target, _ = build_target()
        target.faults.cache_event_gap = 2
        for prefix in ('walk', 'feed', 'sleep'):
            target.cache.use(prefix, 60)
        assert visible_sequences(target) == [0, 2, 4]
        assert visible_sequences(target, 3) == [4]

    def test_lost(self):
        """No event is visible while events are lost."""
        target, _ = build_target()
        target.cache.use('walk', 60)
        target.faults.lose_cache_events = True
        assert visible_sequences(target) == []
