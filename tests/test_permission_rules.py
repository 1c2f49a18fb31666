"""Tests of single rules of serving permission and acceptance."""

import pytest

from borageyard.backing_services import MemoryLog
from borageyard.clock import ManualClock
from borageyard.configuration_log import (
    CONFIGURATION_STREAM,
    ConfigurationFold,
)
from borageyard.permission import (
    AcceptanceTracker,
    PeerPosition,
    PermissionHolder,
    drift_safe_wait_ms,
)

PERMISSION_MS = 1000


def document(permission_ms=PERMISSION_MS):
    """Returns a minimal configuration document."""
    return {
        'format': 1,
        'permission_ms': permission_ms,
        'organisations': {'owner': {}},
        'services': {'desk': {'kind': 'plain'}},
        'pipelines': {'loan': {'stages': [{'name': 'a', 'service': 'desk'}]}},
    }


class Entry:
    """An entry that reads and sends probes only when called."""

    def __init__(self, name, cluster):
        """Creates the entry with nothing folded."""
        self.member = f'{name}#1'
        self.cluster = cluster
        self.fold = ConfigurationFold()
        parts = (self.fold, self.member, cluster.clock)
        self.holder = PermissionHolder(*parts)
        self.tracker = AcceptanceTracker(*parts)

    @property
    def admits(self):
        """Returns whether it admits work."""
        return self.holder.check() is None

    def read(self):
        """Reads the log to its head."""
        page = self.cluster.log.read_now(
            CONFIGURATION_STREAM,
            self.fold.state.next_offset,
        )
        self.fold.fold_page(page)
        self.holder.note_head(self.cluster.clock.now_ms, page.head)
        self.tracker.note_fold()

    def probe(self, *peers):
        """Probes other entries and returns the accepted position."""
        for peer in peers:
            is_member = self.holder.is_member
            answer = peer.holder.reply_to_peer(requester_is_member=is_member)
            peer_position = PeerPosition(
                self.cluster.clock.now_ms, answer.position
            )
            self.holder.note_peer_position(peer.member, peer_position)
            self.tracker.note_ack(
                peer.member,
                answer.position,
                answer.guest_ms,
            )
        return self.tracker.evaluate()


class Cluster:
    """A log and entries that have folded and accepted all records."""

    def __init__(self, names, permission_ms=PERMISSION_MS):
        """Creates the log and the entries."""
        self.clock = ManualClock()
        self.log = MemoryLog(self.clock, appends_per_s=1e6)
        self.entries = [Entry(name, self) for name in names]
        self.apply(0, permission_ms)
        for entry in self.entries:
            self.append({'type': 'join', 'member': entry.member})
        self.settle(self.entries)

    def append(self, body):
        """Appends a record and returns its position."""
        return self.log.append_now(CONFIGURATION_STREAM, body) + 1

    def apply(self, base_version, permission_ms=PERMISSION_MS):
        """Appends a change and returns its position."""
        change = {'base_version': base_version}
        change['document'] = document(permission_ms)
        return self.append({'type': 'apply', **change})

    def settle(self, entries):
        """Lets entries read the log and accept its last position."""
        for entry in entries:
            entry.read()
        accepted = entries[0].probe(*entries[1:])
        self.append({'type': 'accepted', 'position': accepted})
        for entry in entries:
            entry.read()


class TestAcceptance:
    """Conditions under which a position is accepted."""

    def test_all_acknowledged(self):
        """With acknowledgements of all members nothing is waited for."""
        cluster = Cluster('abc')
        first, second, third = cluster.entries
        position = cluster.apply(1)
        for entry in cluster.entries:
            entry.read()
        assert first.probe(second, third) == position

    def test_silent_entry_is_waited_out(self):
        """A member without acknowledgement delays until its permission ends."""
        cluster = Cluster('abc')
        first, second, third = cluster.entries
        position = cluster.apply(1)
        first.read()
        second.read()
        assert first.probe(second) < position
        cluster.clock.advance(PERMISSION_MS)
        assert first.tracker.evaluate() < position
        cluster.clock.advance(drift_safe_wait_ms(PERMISSION_MS) - PERMISSION_MS)
        assert first.tracker.evaluate() == position
        assert not third.admits

    def test_minority_accepts_nothing(self):
        """One of three accepts nothing, as the others permit each other."""
        cluster = Cluster('abc')
        first, second, third = cluster.entries
        position = cluster.apply(1)
        first.read()
        cluster.clock.advance(100 * PERMISSION_MS)
        third.probe(second)
        assert third.admits
        assert first.tracker.evaluate() < position

    def test_longer_permission_of_the_old_version_is_waited_out(self):
        """The wait covers the longest permission that may still be held."""
        cluster = Cluster('abc', permission_ms=5 * PERMISSION_MS)
        first, second, third = cluster.entries
        position = cluster.apply(1, PERMISSION_MS)
        first.read()
        second.read()
        first.probe(second)
        cluster.clock.advance(drift_safe_wait_ms(PERMISSION_MS))
        assert third.admits
        assert first.tracker.evaluate() < position

    def test_guest_is_waited_out(self):
        """Acceptance waits for non-members that may rely on a reply."""
        cluster = Cluster('abc')
        first, second, third = cluster.entries
        guest = Entry('guest', cluster)
        guest.fold.adopt(second.fold.checkpoint())
        guest.probe(second, third)
        assert guest.admits
        position = cluster.apply(1)
        for entry in cluster.entries:
            entry.read()
        assert first.probe(second, third) < position
        assert guest.admits
        cluster.clock.advance(2 * drift_safe_wait_ms(PERMISSION_MS))
        assert first.tracker.evaluate() == position
        assert not guest.admits

    def test_wrongly_removed_majority_blocks(self):
        """Leave records of a partitioned majority do not permit acceptance.

        The partitioned entries still permit each other under the membership
        that they have folded.
        """
        cluster = Cluster('abcde')
        first, second, *cut = cluster.entries
        for entry in cut:
            cluster.append({'type': 'leave', 'member': entry.member})
        position = cluster.apply(1)
        first.read()
        second.read()
        first.probe(second)
        cluster.clock.advance(100 * PERMISSION_MS)
        cut[0].probe(*cut[1:])
        assert cut[0].admits
        assert first.tracker.evaluate() < position

    def test_removed_entry_still_holds_its_permission(self):
        """Acceptance waits for a removed entry as for a member."""
        cluster = Cluster('abc')
        first, second, third = cluster.entries
        cluster.append({'type': 'leave', 'member': third.member})
        position = cluster.apply(1)
        first.read()
        second.read()
        assert first.probe(second) < position
        assert third.admits

    def test_final_leave_is_not_waited_for(self):
        """An entry that left for good holds no permission."""
        cluster = Cluster('abc')
        first, second, third = cluster.entries
        third.holder.closed = True
        cluster.append({'type': 'leave', 'member': third.member, 'final': True})
        position = cluster.apply(1)
        first.read()
        second.read()
        assert first.probe(second) == position


class TestPermission:
    """Conditions under which an entry may admit work."""

    def test_runs_from_when_the_probe_was_sent(self):
        """A reply that arrives late gives less time."""
        cluster = Cluster('abc')
        first, second, third = cluster.entries
        cluster.clock.advance(2 * PERMISSION_MS)
        peer_position = PeerPosition(
            cluster.clock.now_ms - PERMISSION_MS / 2,
            first.fold.state.changed_at,
        )
        for peer in (second, third):
            first.holder.note_peer_position(peer.member, peer_position)
        assert first.holder.remaining_ms() == pytest.approx(PERMISSION_MS / 2)

    def test_reply_of_a_peer_ahead_does_not_count(self):
        """A reply from a later position does not count to the majority."""
        cluster = Cluster('abc')
        first, second, third = cluster.entries
        cluster.clock.advance(2 * PERMISSION_MS)
        cluster.apply(1)
        second.read()
        first.probe(second)
        assert not first.admits
        first.probe(third)
        assert first.admits

    def test_head_read_of_a_removed_entry_gives_nothing(self):
        """Only members may rely on a read of the log alone."""
        cluster = Cluster('abc')
        silent = cluster.entries[1]
        assert silent.admits
        cluster.append({'type': 'leave', 'member': silent.member})
        silent.read()
        assert not silent.admits

    def test_head_read_ends_when_the_position_changes(self):
        """A state adopted from a peer needs a new permission."""
        cluster = Cluster('abc')
        first, silent, _ = cluster.entries
        cluster.apply(1)
        first.read()
        assert silent.admits
        silent.fold.adopt(first.fold.checkpoint())
        assert not silent.admits

    def test_head_that_was_not_reached_gives_nothing(self):
        """A page that ends before the head gives no permission."""
        cluster = Cluster('abc')
        first = cluster.entries[1]
        cluster.clock.advance(2 * PERMISSION_MS)
        head = first.fold.state.next_offset
        first.holder.note_head(cluster.clock.now_ms, head + 1)
        assert not first.admits

    def test_replies_of_a_minority_do_not_count(self):
        """Two of five entries are no majority."""
        cluster = Cluster('abcde')
        first, second, third, *_ = cluster.entries
        cluster.clock.advance(2 * PERMISSION_MS)
        first.probe(second)
        assert not first.admits
        first.probe(third)
        assert first.admits

    def test_paused_entry_wakes_without_permission(self):
        """After a pause during an apply only the new version is served."""
        cluster = Cluster('abc')
        first, second, paused = cluster.entries
        cluster.apply(1)
        first.read()
        second.read()
        cluster.clock.advance(30 * PERMISSION_MS)
        assert not paused.admits
        paused.probe(first, second)
        assert not paused.admits
        paused.read()
        assert paused.admits
        assert paused.fold.version == 2
