"""Tests of the clocks."""

import time

from borageyard.clock import MS_PER_S, SystemClock


class TestSystemClock:
    """Clock of the operating system."""

    def test_steady_clock_counts_suspension(self, monkeypatch):
        """Deadlines continue while the machine is suspended."""
        now_s = {time.CLOCK_MONOTONIC: 10, time.CLOCK_BOOTTIME: 25}
        monkeypatch.setattr(time, 'clock_gettime', now_s.__getitem__)
        monkeypatch.setattr(time, 'monotonic', lambda: 10)
        assert SystemClock().steady_ms() == 25 * MS_PER_S
