"""Tests that all entries of a fleet agree on the scheduler of a group."""

import pytest

from borageyard.backing_services import ROLE_ENTRY, Instance
from borageyard.clock import ManualClock
from borageyard.generated.peer_membership import PeerMembershipBody
from borageyard.gossip_fanout import GossipFanout
from borageyard.membership import Membership
from borageyard.peers import PeerAddress
from borageyard.scheduler_finder import SchedulerFinder

GROUP = 'model'
NEIGHBOURS = 8
ROUND_MS = 300
START_MS = 1_000_000


class Roster:
    """Roster with targets of one service."""

    services = {GROUP: ('m1',)}


class Fleet:
    """Fleet state with one target."""

    roster = Roster()
    groups = {GROUP: GROUP}


class Entry:
    """The decisions of one entry that are based on gossip."""

    def __init__(self, number, clock):
        """Creates an entry that knows no other one."""
        self.name = f'entry-{number}'
        # Entries of a deployment start within 0.3 s.
        self.started_ms = START_MS + number
        self.membership = Membership(self.name, self.started_ms)
        self.fanout = GossipFanout(self.name, NEIGHBOURS, 3000)
        self.finder = SchedulerFinder(
            self.name, Fleet(), self.membership, clock
        )

    def list(self, names, now_ms):
        """Reads the table of entries, which holds all of them."""
        rows = [
            Instance(name, ROLE_ENTRY, '', 'a', peer_address=f'{name}:1')
            for name in names
        ]
        self.membership.note_list(rows, now_ms)
        self.fanout.update(
            PeerAddress(name, f'{name}:1')
            for name in names
            if name != self.name
        )

    def gossip(self):
        """Returns the gossip of a ready entry."""
        return PeerMembershipBody(
            incarnation=self.started_ms, address=f'{self.name}:2'
        )


class Deployment:
    """Entries that gossip to their neighbours only, as over TCP."""

    def __init__(self, size):
        """Starts all entries; each one knows the table of entries."""
        self.clock = ManualClock()
        entries = [Entry(number, self.clock) for number in range(size)]
        self.entries = {entry.name: entry for entry in entries}
        for entry in entries:
            entry.list(self.entries, 0)

    def run(self, span_ms):
        """Delivers the gossip of all entries for some time."""
        for _ in range(span_ms // ROUND_MS):
            self.clock.advance(ROUND_MS)
            for entry in self.entries.values():
                for neighbour in entry.fanout.neighbours:
                    self.entries[neighbour].membership.note_gossip(
                        entry.name, entry.gossip(), self.clock.now_ms
                    )

    def schedulers(self):
        """Returns the ids that the entries take for the scheduler."""
        return {
            entry.finder.find(GROUP, frozenset())
            for entry in self.entries.values()
        }


class TestAgreement:
    """Each entry hears gossip from a part of the fleet only."""

    @pytest.mark.parametrize('size', [5, 27, 35, 300])
    def test_group_has_one_scheduler(self, size):
        """Incident SHORT: each part of the fleet had its own scheduler."""
        deployment = Deployment(size)
        deployment.run(6000)
        assert len(deployment.schedulers()) == 1
