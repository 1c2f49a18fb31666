"""Tests of fleet membership."""

import dataclasses

import pytest

from borageyard.backing_services import ROLE_ENTRY, STATE_LEAVING, Instance
from borageyard.generated.peer_membership import (
    LeavingMarkBody,
    PeerMembershipBody,
    SuspicionBody,
)
from borageyard.membership import (
    LOST_AFTER_MS,
    PAUSE_THRESHOLD_MS,
    REMOVE_AFTER_MS,
    SUSPECT_AFTER_MS,
    Membership,
    MemberState,
)

TICK_MS = 200


def row(name, incarnation=0, **fields):
    """Returns an entry of the instance list."""
    return Instance(
        instance_id=name,
        role=ROLE_ENTRY,
        address=f'{name}:1',
        failure_domain='a',
        incarnation=incarnation,
        **fields,
    )


def names(members):
    """Returns the sorted ids of members."""
    return sorted(member.instance_id for member in members)


class MembershipHarness:
    """A membership with a manual clock."""

    def __init__(self, *rows):
        """Starts with an instance list."""
        self.now_ms = 0
        self.members = Membership('self', 1)
        self.rows = rows
        self.members.note_list(rows, 0)

    def receive_gossip(self, name, incarnation=1, **fields):
        """Merges a gossip message at the current time."""
        gossip = PeerMembershipBody(incarnation=incarnation, **fields)
        self.members.note_gossip(name, gossip, self.now_ms)

    def advance(self, span_ms, *heard):
        """Advances time in ticks while the heard peers gossip.

        Returns:
            The peers selected for probes.
        """
        probed = set()
        for _ in range(round(span_ms / TICK_MS)):
            self.now_ms += TICK_MS
            for name in heard:
                self.receive_gossip(name)
            probed.update(self.members.tick(self.now_ms))
            self.members.note_list(self.rows, self.now_ms)
        return probed

    def state(self, name):
        """Returns the state of a peer."""
        return self.members.state(name, self.now_ms)

    def alive(self):
        """Returns the sorted ids of the peers that are alive."""
        return names(self.members.alive(self.now_ms))


class TestList:
    """An instance list that lags behind."""

    @pytest.mark.parametrize('rows', [(), (row('t'),)], ids=['none', 'other'])
    def test_list_that_lost_entries_does_not_empty_the_fleet(self, rows):
        """Peers that gossip stay alive, even if the list omits them."""
        view = MembershipHarness(row('b'), row('c'))
        view.rows = rows
        view.advance(REMOVE_AFTER_MS * 2, 'b', 'c')
        assert set(view.alive()) >= {'b', 'c'}

    def test_empty_list_keeps_silent_peers_known(self):
        """A list without entries is treated as a fault of the list."""
        view = MembershipHarness(row('b'))
        view.rows = ()
        view.advance(REMOVE_AFTER_MS * 2)
        assert names(view.members.members()) == ['b']

    def test_vanished_and_silent_peer_is_forgotten(self):
        """A silent peer is removed after its row is gone long enough."""
        view = MembershipHarness(row('b'), row('c'))
        view.rows = (row('c'),)
        view.advance(REMOVE_AFTER_MS * 2, 'c')
        assert names(view.members.members()) == ['c']

    def test_listed_peer_without_contact_is_not_alive(self):
        """A peer that was only listed is probed, but not given to callers."""
        view = MembershipHarness(row('b'))
        assert view.alive() == []
        assert 'b' in view.advance(TICK_MS)
        view.members.note_contact('b', 1, view.now_ms)
        assert view.alive() == ['b']

    def test_unlisted_peer_that_gossips_is_known(self):
        """Direct contact makes a peer known before the list shows it."""
        view = MembershipHarness(row('b'))
        view.receive_gossip('new', address='new:1')
        assert view.alive() == ['new']


class TestSilence:
    """Silent peers are suspected first and lost later."""

    def test_silent_peer_is_suspected_then_lost(self):
        """A silent peer is probed and suspected before it counts as lost."""
        view = MembershipHarness(row('b'))
        view.receive_gossip('b')
        assert 'b' in view.advance(SUSPECT_AFTER_MS + TICK_MS)
        assert view.state('b') is MemberState.SUSPECTED
        assert view.alive() == []
        view.advance(LOST_AFTER_MS)
        assert view.state('b') is MemberState.LOST

    def test_resumed_peer_is_alive(self):
        """A lost peer is alive again when the same incarnation gossips."""
        view = MembershipHarness(row('b'))
        view.receive_gossip('b')
        view.advance(LOST_AFTER_MS + TICK_MS)
        view.receive_gossip('b')
        assert view.state('b') is MemberState.ALIVE

    def test_own_suspension_suspects_no_peer(self):
        """A suspension of this process does not count as peers' silence."""
        view = MembershipHarness(row('b'))
        view.receive_gossip('b')
        view.advance(TICK_MS)
        view.now_ms += PAUSE_THRESHOLD_MS + LOST_AFTER_MS
        view.members.tick(view.now_ms)
        assert view.state('b') is MemberState.ALIVE

    def test_suspicion_of_others_counts_without_contact(self):
        """A peer that does not gossip to this entry is judged by others."""
        view = MembershipHarness(row('b'), row('far'))
        view.members.note_contact('far', 1, 0)
        view.advance(SUSPECT_AFTER_MS * 2, 'b')
        assert view.state('far') is MemberState.ALIVE
        suspicion = SuspicionBody(id='far', incarnation=1)
        view.receive_gossip('b', suspicions=[suspicion])
        assert view.state('far') is not MemberState.ALIVE
        view.members.note_contact('far', 1, view.now_ms)
        assert view.state('far') is MemberState.ALIVE

    def test_suspicion_ages_across_relays(self):
        """A suspicion expires unless renewed, however often it is relayed."""
        view = MembershipHarness(row('b'), row('far'))
        view.receive_gossip(
            'b', suspicions=[SuspicionBody(id='far', age_ms=3900)]
        )
        assert view.members.suspicions(view.now_ms)
        view.advance(TICK_MS)
        assert not view.members.suspicions(view.now_ms)

    def test_replaced_address_is_lost_at_once(self):
        """A peer is lost once another instance answers at its address."""
        view = MembershipHarness(row('b'))
        view.receive_gossip('b')
        view.members.note_replaced('b')
        assert view.state('b') is MemberState.LOST


class TestLeaving:
    """Leaving marks, which hold for the rest of an incarnation."""

    def test_mark_holds_for_the_incarnation(self):
        """Later gossip without the mark does not clear it."""
        view = MembershipHarness(row('b'))
        view.receive_gossip('b', leaving=True)
        view.receive_gossip('b', leaving=False)
        assert view.alive() == []
        view.receive_gossip('b', incarnation=2)
        assert view.alive() == ['b']

    def test_older_incarnation_is_ignored(self):
        """Gossip of an older incarnation is ignored."""
        view = MembershipHarness(row('b'))
        view.receive_gossip('b', incarnation=2)
        view.receive_gossip('b', incarnation=1, leaving=True)
        assert view.alive() == ['b']

    def test_mark_spreads_through_a_peer(self):
        """A mark gossiped by another entry counts as well."""
        view = MembershipHarness(row('b'), row('c'))
        view.receive_gossip('c')
        mark = LeavingMarkBody(id='c', incarnation=1)
        view.receive_gossip('b', leaving_entries=[mark])
        assert view.alive() == ['b']

    def test_mark_of_the_list_holds_until_a_new_incarnation(self):
        """An outdated list that shows the row live again is ignored."""
        view = MembershipHarness(row('b', state=STATE_LEAVING))
        view.receive_gossip('b')
        view.members.note_list((row('b'),), 0)
        assert view.alive() == []
        view.members.note_list((row('b', incarnation=1),), 0)
        assert view.alive() == ['b']


class TestAddress:
    """Address at which callers reach an entry."""

    def test_list_without_addresses_keeps_the_gossiped_one(self):
        """An address from gossip survives a list without addresses."""
        members = Membership('self', 1)
        listed = [dataclasses.replace(row('b', 1), address='')]
        members.note_list(listed, 0)
        gossip = PeerMembershipBody(incarnation=1, address='b:9')
        members.note_gossip('b', gossip, 1)
        members.note_list(listed, 2)
        assert [member.address for member in members.alive(3)] == ['b:9']

    def test_restart_clears_the_address(self):
        """A restarted entry has no address until it gossips one."""
        members = Membership('self', 1)
        members.note_list([dataclasses.replace(row('b', 1), address='')], 0)
        gossip = PeerMembershipBody(incarnation=1, address='b:9')
        members.note_gossip('b', gossip, 1)
        members.note_contact('b', 2, 2)
        assert [member.address for member in members.alive(3)] == ['']
