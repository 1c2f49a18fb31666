"""Tests of the watcher of cache events."""

import pytest

from borageyard.affinity import PrefixAffinity
from borageyard.backing_services import ROLE_TARGET, Instance
from borageyard.cache_watcher import CacheWatcher
from borageyard.clock import ManualClock
from borageyard.configuration import Configuration, Service
from borageyard.target_client import CacheEvent, FailureKind, TargetError
from borageyard.targets import TargetDirectory

ENGINE = Service('llm', 'engine', True, False, '', 8, 100)


class EventClient:
    """Target client that only serves cache events."""

    def __init__(self):
        """Initializes a client without events."""
        self.events = []
        self.down = False

    async def cache_events(self, address, after):
        """Returns the events from a sequence number on."""
        if self.down:
            raise TargetError(FailureKind.CONNECT, 'down', not_run=True)
        return [event for event in self.events if event.sequence >= after]


class OneConfiguration:
    """Configuration source with one engine service."""

    def current(self):
        """Returns the configuration."""
        return Configuration(1, '', 0, 0, 0, {}, {}, {'llm': ENGINE}, {})


class TestCacheWatcher:
    """Effect of events, gaps and restarts on the affinity."""

    def setup_method(self):
        """Creates a watcher of one target."""
        directory = TargetDirectory()
        directory.update([Instance('t0', ROLE_TARGET, 't0', 'a', 'llm')])
        self.affinity = PrefixAffinity()
        self.client = EventClient()
        self.watcher = CacheWatcher(
            directory,
            self.affinity,
            self.client,
            ManualClock(),
            OneConfiguration(),
        )

    @pytest.mark.looptime
    async def test_stored_and_evicted(self):
        """A stored prefix has a holder until it is evicted."""
        self.client.events.append(CacheEvent(0, 'stored', 'walk'))
        await self.watcher.poll()
        assert list(self.affinity.holders('walk')) == ['t0']
        self.client.events.append(CacheEvent(5, 'evicted', 'walk'))
        await self.watcher.poll()
        assert not self.affinity.holders('walk')

    @pytest.mark.looptime
    async def test_rereads_from_zero_after_a_restart(self):
        """A target's sequence may start at 0 again after it was unreachable."""
        self.client.events.append(CacheEvent(9, 'stored', 'walk'))
        await self.watcher.poll()
        self.client.down = True
        await self.watcher.poll()
        self.client.down = False
        self.client.events = [CacheEvent(0, 'stored', 'rain')]
        await self.watcher.poll()
        assert list(self.affinity.holders('rain')) == ['t0']
