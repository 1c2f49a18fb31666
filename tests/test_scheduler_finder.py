"""Tests of which entry is asked to schedule, as one entry sees it."""

import pytest

from borageyard.backing_services import ROLE_ENTRY, Instance
from borageyard.generated.peer_membership import PeerMembershipBody
from borageyard.membership import Membership
from borageyard.scheduler_finder import SETTLE_MS, SchedulerFinder
from borageyard.succession import TOGETHER_MS

OWN_MS = 10 * TOGETHER_MS


class Clock:
    """Time that a test sets."""

    def __init__(self):
        """Starts at zero."""
        self.now_ms = 0

    def steady_ms(self):
        """Returns the time that was set."""
        return self.now_ms


class Roster:
    """One service has targets."""

    services = {'model': ('m1',)}


class Fleet:
    """State of a fleet with one target."""

    roster = Roster()
    groups = {'model': 'model'}


class Seen:
    """A finder with the membership that it looks at."""

    def __init__(self):
        """Starts with no other entry."""
        self.clock = Clock()
        self.membership = Membership('own', OWN_MS)
        self.finder = SchedulerFinder(
            'own',
            Fleet(),
            self.membership,
            self.clock,
        )

    def list(self, name):
        """Has the store list an entry."""
        row = Instance(name, ROLE_ENTRY, '', 'a', peer_address='p:1')
        self.membership.note_list([row], self.clock.now_ms)

    def hear(self, name, started_ms, address='c:1'):
        """Hears an entry."""
        news = PeerMembershipBody(incarnation=started_ms, address=address)
        self.membership.note_gossip(name, news, self.clock.now_ms)

    def find(self):
        """Returns the scheduler of the only group."""
        return self.finder.find('model', frozenset())


@pytest.fixture
def seen():
    """Returns a finder."""
    return Seen()


class TestFind:
    """The choice among those that were heard."""

    def test_alone(self, seen):
        """It schedules itself."""
        assert seen.find() == 'own'

    def test_older_entry_schedules(self, seen):
        """Whatever their names are."""
        seen.hear('older', OWN_MS - TOGETHER_MS)
        assert seen.find() == 'older'
        assert seen.finder.foreign_services() == {'model'}

    def test_younger_entry_does_not(self, seen):
        """An entry that came back takes nothing over."""
        for number in range(20):
            seen.hear(f'younger-{number}', OWN_MS + TOGETHER_MS)
        assert seen.find() == 'own'
        assert not seen.finder.foreign_services()

    def test_entry_that_is_not_ready_does_not(self, seen):
        """It knows no targets."""
        seen.hear('older', OWN_MS - TOGETHER_MS, address='')
        assert seen.find() == 'own'

    def test_entry_that_leaves_does_not(self, seen):
        """Another one does, if there is one."""
        seen.hear('younger', OWN_MS + TOGETHER_MS)
        seen.finder.leaving = True
        assert seen.find() == 'younger'


class TestSettling:
    """The time after the start."""

    def test_waits_for_those_that_are_listed(self, seen):
        """One of them may be scheduling."""
        seen.list('older')
        assert not seen.finder.is_settled()
        seen.hear('older', 1)
        assert seen.finder.is_settled()

    def test_not_for_ever(self, seen):
        """One that is gone is listed for long."""
        seen.list('older')
        seen.clock.now_ms = SETTLE_MS + 1
        assert seen.finder.is_settled()

    def test_before_the_list_is_known(self, seen):
        """Nothing is known of the others yet."""
        assert not seen.finder.is_settled()
