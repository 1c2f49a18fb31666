"""Tests of single rules of the serving permission and of acceptance."""

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
    """Returns the smallest configuration with a permission time."""
    return {
        'format': 1,
        'permission_ms': permission_ms,
        'organisations': {'owner': {}},
        'services': {'desk': {'kind': 'plain'}},
        'pipelines': {'loan': {'stages': [{'name': 'a', 'service': 'desk'}]}},
    }


class Entry:
    """An entry that reads and talks when told."""

    def __init__(self, name, world):
        """Starts with nothing folded."""
        self.member = f'{name}#1'
        self.world = world
        self.fold = ConfigurationFold()
        parts = (self.fold, self.member, world.clock)
        self.holder = PermissionHolder(*parts)
        self.tracker = AcceptanceTracker(*parts)

    @property
    def admits(self):
        """Tells whether it admits work."""
        return self.holder.check() is None

    def read(self):
        """Reads the log to its head."""
        page = self.world.log.read_now(
            CONFIGURATION_STREAM,
            self.fold.state.next_offset,
        )
        self.fold.fold_page(page)
        self.holder.note_head(self.world.clock.now_ms, page.head)
        self.tracker.note_fold()

    def ask(self, *peers):
        """Asks others for their position."""
        for peer in peers:
            is_member = self.holder.is_member
            answer = peer.holder.reply_to_peer(requester_is_member=is_member)
            peer_position = PeerPosition(
                self.world.clock.now_ms, answer.position
            )
            self.holder.note_peer_position(peer.member, peer_position)
            self.tracker.note_ack(
                peer.member,
                answer.position,
                answer.guest_ms,
            )
        return self.tracker.evaluate()


class World:
    """A log and entries that have all folded and accepted everything."""

    def __init__(self, names, permission_ms=PERMISSION_MS):
        """Starts the entries."""
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
        """Lets entries read and accept everything."""
        for entry in entries:
            entry.read()
        accepted = entries[0].ask(*entries[1:])
        self.append({'type': 'accepted', 'position': accepted})
        for entry in entries:
            entry.read()


class TestAcceptance:
    """When a position counts as accepted."""

    def test_all_acknowledged(self):
        """With the word of all there is nothing to wait for."""
        world = World('abc')
        first, second, third = world.entries
        position = world.apply(1)
        for entry in world.entries:
            entry.read()
        assert first.ask(second, third) == position

    def test_silent_entry_is_waited_out(self):
        """Without the word of one, its permission must have lapsed."""
        world = World('abc')
        first, second, third = world.entries
        position = world.apply(1)
        first.read()
        second.read()
        assert first.ask(second) < position
        world.clock.advance(PERMISSION_MS)
        assert first.tracker.evaluate() < position
        world.clock.advance(drift_safe_wait_ms(PERMISSION_MS) - PERMISSION_MS)
        assert first.tracker.evaluate() == position
        assert not third.admits

    def test_minority_accepts_nothing(self):
        """One of three can't know what the other two agree on."""
        world = World('abc')
        first, second, third = world.entries
        position = world.apply(1)
        first.read()
        world.clock.advance(100 * PERMISSION_MS)
        third.ask(second)
        assert third.admits
        assert first.tracker.evaluate() < position

    def test_longer_permission_of_the_old_version_is_waited_out(self):
        """The wait follows the longest permission still possible."""
        world = World('abc', permission_ms=5 * PERMISSION_MS)
        first, second, third = world.entries
        position = world.apply(1, PERMISSION_MS)
        first.read()
        second.read()
        first.ask(second)
        world.clock.advance(drift_safe_wait_ms(PERMISSION_MS))
        assert third.admits
        assert first.tracker.evaluate() < position

    def test_guest_is_waited_out(self):
        """An entry outside the known set may still rely on an answer."""
        world = World('abc')
        first, second, third = world.entries
        guest = Entry('guest', world)
        guest.fold.adopt(second.fold.checkpoint())
        guest.ask(second, third)
        assert guest.admits
        position = world.apply(1)
        for entry in world.entries:
            entry.read()
        assert first.ask(second, third) < position
        assert guest.admits
        world.clock.advance(2 * drift_safe_wait_ms(PERMISSION_MS))
        assert first.tracker.evaluate() == position
        assert not guest.admits

    def test_wrongly_removed_majority_blocks(self):
        """Leave records don't shrink the set that cut entries rely on."""
        world = World('abcde')
        first, second, *cut = world.entries
        for entry in cut:
            world.append({'type': 'leave', 'member': entry.member})
        position = world.apply(1)
        first.read()
        second.read()
        first.ask(second)
        world.clock.advance(100 * PERMISSION_MS)
        cut[0].ask(*cut[1:])
        assert cut[0].admits
        assert first.tracker.evaluate() < position

    def test_removed_entry_still_holds_its_permission(self):
        """An entry just taken out is waited for like a known one."""
        world = World('abc')
        first, second, third = world.entries
        world.append({'type': 'leave', 'member': third.member})
        position = world.apply(1)
        first.read()
        second.read()
        assert first.ask(second) < position
        assert third.admits

    def test_final_leave_is_not_waited_for(self):
        """An entry that closed for good holds nothing."""
        world = World('abc')
        first, second, third = world.entries
        third.holder.closed = True
        world.append({'type': 'leave', 'member': third.member, 'final': True})
        position = world.apply(1)
        first.read()
        second.read()
        assert first.ask(second) == position


class TestPermission:
    """When an entry may admit."""

    def test_runs_from_when_the_question_was_sent(self):
        """A late answer gives less time."""
        world = World('abc')
        first, second, third = world.entries
        world.clock.advance(2 * PERMISSION_MS)
        peer_position = PeerPosition(
            world.clock.now_ms - PERMISSION_MS / 2,
            first.fold.state.changed_at,
        )
        for peer in (second, third):
            first.holder.note_peer_position(peer.member, peer_position)
        assert first.holder.remaining_ms() == pytest.approx(PERMISSION_MS / 2)

    def test_word_of_one_that_is_ahead_does_not_count(self):
        """A majority must not be ahead."""
        world = World('abc')
        first, second, third = world.entries
        world.clock.advance(2 * PERMISSION_MS)
        world.apply(1)
        second.read()
        first.ask(second)
        assert not first.admits
        first.ask(third)
        assert first.admits

    def test_head_read_of_a_removed_entry_gives_nothing(self):
        """Only known entries may rely on the log alone."""
        world = World('abc')
        silent = world.entries[1]
        assert silent.admits
        world.append({'type': 'leave', 'member': silent.member})
        silent.read()
        assert not silent.admits

    def test_head_read_ends_when_the_fold_moves_on(self):
        """What a peer brought needs a permission of its own."""
        world = World('abc')
        first, silent, _ = world.entries
        world.apply(1)
        first.read()
        assert silent.admits
        silent.fold.adopt(first.fold.checkpoint())
        assert not silent.admits

    def test_head_that_was_not_reached_gives_nothing(self):
        """A page that ends before the head says nothing of the rest."""
        world = World('abc')
        first = world.entries[1]
        world.clock.advance(2 * PERMISSION_MS)
        head = first.fold.state.next_offset
        first.holder.note_head(world.clock.now_ms, head + 1)
        assert not first.admits

    def test_word_of_a_minority_does_not_count(self):
        """Two of five are no majority."""
        world = World('abcde')
        first, second, third, *_ = world.entries
        world.clock.advance(2 * PERMISSION_MS)
        first.ask(second)
        assert not first.admits
        first.ask(third)
        assert first.admits

    def test_paused_entry_wakes_without_permission(self):
        """After a pause across an apply only the new version is served."""
        world = World('abc')
        first, second, paused = world.entries
        world.apply(1)
        first.read()
        second.read()
        world.clock.advance(30 * PERMISSION_MS)
        assert not paused.admits
        paused.ask(first, second)
        assert not paused.admits
        paused.read()
        assert paused.admits
        assert paused.fold.version == 2
