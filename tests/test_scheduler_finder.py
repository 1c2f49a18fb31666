"""Tests of the selection of the scheduler from what one entry knows."""

import pytest

from borageyard.backing_services import ROLE_ENTRY, Instance
from borageyard.generated.peer_membership import PeerMembershipBody
from borageyard.membership import Membership
from borageyard.scheduler_finder import DISCOVERY_MS, SchedulerFinder
from borageyard.scheduler_selection import START_BUCKET_MS

OWN_MS = 10 * START_BUCKET_MS


class Clock:
    """Clock with a time that the test sets."""

    def __init__(self):
        """Creates a clock at time zero."""
        self.now_ms = 0

    def steady_ms(self):
        """Returns the time that was set."""
        return self.now_ms


class Roster:
    """Roster with targets of one service."""

    services = {'model': ('m1',)}


class Fleet:
    """Fleet state with one target."""

    roster = Roster()
    groups = {'model': 'model'}


class FinderFixture:
    """A finder with the membership that it reads."""

    def __init__(self):
        """Creates a finder that knows no other entry."""
        self.clock = Clock()
        self.membership = Membership('own', OWN_MS)
        self.finder = SchedulerFinder(
            'own',
            Fleet(),
            self.membership,
            self.clock,
        )

    def list(self, name):
        """Adds an entry to the instance list of the store."""
        row = Instance(name, ROLE_ENTRY, '', 'a', peer_address='p:1')
        self.membership.note_list([row], self.clock.now_ms)

    def hear(self, name, started_ms, address='c:1'):
        """Delivers the gossip of an entry."""
        news = PeerMembershipBody(incarnation=started_ms, address=address)
        self.membership.note_gossip(name, news, self.clock.now_ms)

    def find(self):
        """Returns the scheduler of the only group."""
        return self.finder.find('model', frozenset())


@pytest.fixture
def seen():
    """Returns a finder that knows no other entry."""
    return FinderFixture()


class TestFind:
    """The choice among the entries that were heard."""

    def test_alone(self, seen):
        """An entry without peers schedules its own requests."""
        assert seen.find() == 'own'

    def test_older_entry_schedules(self, seen):
        """An older entry schedules, regardless of the order of the names."""
        seen.hear('older', OWN_MS - START_BUCKET_MS)
        assert seen.find() == 'older'
        assert seen.finder.foreign_services() == {'model'}

    def test_younger_entry_does_not(self, seen):
        """An entry that restarted takes no group over."""
        for number in range(20):
            seen.hear(f'younger-{number}', OWN_MS + START_BUCKET_MS)
        assert seen.find() == 'own'
        assert not seen.finder.foreign_services()

    def test_entry_that_is_not_ready_does_not(self, seen):
        """An entry that is not ready knows no targets and can't schedule."""
        seen.hear('older', OWN_MS - START_BUCKET_MS, address='')
        assert seen.find() == 'own'

    def test_entry_that_leaves_does_not(self, seen):
        """A leaving entry passes its groups to another one, if there is one."""
        seen.hear('younger', OWN_MS + START_BUCKET_MS)
        seen.finder.leaving = True
        assert seen.find() == 'younger'


class TestDiscovery:
    """The wait for the other entries after startup."""

    def test_waits_for_those_that_are_listed(self, seen):
        """A listed entry that was not heard may be scheduling already."""
        seen.list('older')
        assert not seen.finder.is_discovery_over()
        seen.hear('older', 1)
        assert seen.finder.is_discovery_over()

    def test_not_for_ever(self, seen):
        """The wait is bounded, as an entry that is gone stays listed."""
        seen.list('older')
        seen.clock.now_ms = DISCOVERY_MS + 1
        assert seen.finder.is_discovery_over()

    def test_before_the_list_is_known(self, seen):
        """The wait is not over while no other entry is known."""
        assert not seen.finder.is_discovery_over()
