"""Tests of the tracked state of batching targets."""

from borageyard.batch_targets import (
    MAX_SLOW_PAUSE_MS,
    NO_ROOM_DECAY_MS,
    REPORT_GRANULARITY_BYTES,
    SLOW_PAUSE_MS,
    USABLE_MEMORY_SHARE,
    BatchCall,
    BatchTarget,
    BatchTargets,
)
from borageyard.chains import PieceId, PieceResult
from borageyard.roster import RosterRow, TargetPhase
from borageyard.serving_configuration import BatchLimits

LIMITS = BatchLimits(
    slots=1,
    queue=2,
    size=4,
    call_ms=200,
    piece_ms=10,
    result_memory_bytes=3_000_000,
    keep_ms=4000,
)
ROOM_BYTES = LIMITS.result_memory_bytes * USABLE_MEMORY_SHARE
ROW = RosterRow('t', 'planner', '10.0.0.1:1', 'a', TargetPhase.READY)


def build_call(size_bytes=1000, count=2):
    """Returns a call with pieces of one request."""
    return BatchCall(
        target=ROW,
        limits=LIMITS,
        pieces=tuple(PieceId('c', 0, number) for number in range(count)),
        work_kinds=('w',) * count,
        sizes_bytes=(size_bytes,) * count,
        sent_at_ms=0,
        expected_ms=220,
    )


def build_result(handle, size_bytes=1000):
    """Returns a result that is held at the target."""
    return PieceResult(handle, 't', ROW.address, 'a', size_bytes, 4000)


class TestRoom:
    """Tracked memory for results."""

    def test_calls_and_results_take_room(self):
        """A result takes memory from the start of its call until freed."""
        target = BatchTarget(ROW, LIMITS)
        call = build_call(1_000_000)
        target.note_sent(call)
        assert target.free_bytes(0) == ROOM_BYTES - 2_000_000
        target.note_ended(call, [build_result('h', 1_000_000)], 220)
        assert target.free_bytes(220) == ROOM_BYTES - 1_000_000
        target.note_freed('h')
        assert target.free_bytes(220) == ROOM_BYTES

    def test_results_expire(self):
        """Results that nobody frees are dropped by their target."""
        target = BatchTarget(ROW, LIMITS)
        call = build_call()
        target.note_sent(call)
        target.note_ended(call, [build_result('h', 1_000_000)], 100)
        assert target.free_bytes(100 + LIMITS.keep_ms) == ROOM_BYTES

    def test_report_is_rounded_down(self):
        """A difference below a megabyte does not count as used memory."""
        target = BatchTarget(ROW, LIMITS)
        target.note_report(2_000_000, 0)
        assert target.free_bytes(0) == ROOM_BYTES
        target.note_report(0, 0)
        assert target.free_bytes(0) == REPORT_GRANULARITY_BYTES

    def test_untracked_results_expire(self):
        """Memory that a report shows as used counts while results are kept."""
        target = BatchTarget(ROW, LIMITS)
        target.note_report(0, 0)
        assert target.free_bytes(LIMITS.keep_ms) == ROOM_BYTES

    def test_no_room_limits_free_memory_for_a_while(self):
        """Less memory than the size of the result that did not fit is free."""
        target = BatchTarget(ROW, LIMITS)
        target.note_no_room(60_000, 0)
        assert 0 <= target.free_bytes(0) < 60_000
        assert target.free_bytes(NO_ROOM_DECAY_MS) == ROOM_BYTES

    def test_memory_freed_after_no_room_counts(self):
        """Only untracked memory is subtracted, not that of tracked results."""
        target = BatchTarget(ROW, LIMITS)
        target.note_ended(build_call(), [build_result('h', 1_000_000)], 0)
        target.note_no_room(60_000, 0)
        target.note_freed('h')
        assert 1_000_000 <= target.free_bytes(0) < 1_060_000

    def test_untracked_memory_shrinks_linearly(self):
        """Untracked results expire one after another."""
        target = BatchTarget(ROW, LIMITS)
        target.note_no_room(1, 0)
        assert target.free_bytes(0) == 0
        assert target.free_bytes(NO_ROOM_DECAY_MS / 2) == ROOM_BYTES / 2

    def test_adopted_result_is_counted_once(self):
        """Its memory was part of the untracked memory before."""
        target = BatchTarget(ROW, LIMITS)
        target.note_report(0, 0)
        before_bytes = target.free_bytes(0)
        target.note_adopted(build_result('h', 500_000))
        assert target.free_bytes(0) == before_bytes
        target.note_freed('h')
        assert target.free_bytes(0) == before_bytes + 500_000


class TestPauses:
    """Idle targets, and the longer pauses of slow ones."""

    def test_idle_only_with_a_free_slot(self):
        """A target with one slot is busy until its call has ended."""
        target = BatchTarget(ROW, LIMITS)
        call = build_call()
        assert target.is_idle(0)
        target.note_sent(call)
        assert not target.is_idle(0)
        assert target.expected_wait_ms(100) == 120
        target.note_ended(call, (), 220)
        assert target.is_idle(220)

    def test_slow_calls_pause_longer_each_time(self):
        """The pause doubles up to a maximum; a quick call resets it."""
        target = BatchTarget(ROW, LIMITS)
        target.note_slow(0)
        assert target.is_slow(SLOW_PAUSE_MS - 1)
        assert not target.is_slow(SLOW_PAUSE_MS)
        target.note_slow(0)
        assert target.is_slow(2 * SLOW_PAUSE_MS - 1)
        for _ in range(9):
            target.note_slow(0)
        assert not target.is_slow(MAX_SLOW_PAUSE_MS)
        target.note_quick()
        target.note_slow(0)
        assert not target.is_slow(SLOW_PAUSE_MS)


class TestFleet:
    """Updates of the set of targets."""

    def test_restart_under_the_same_id_is_fresh(self):
        """State of the earlier incarnation is not kept."""
        targets = BatchTargets()
        targets.update({'planner': (LIMITS, [ROW])})
        targets.find('t').note_sent(build_call())
        targets.update({'planner': (LIMITS, [ROW])})
        assert not targets.find('t').is_idle(0)
        again = RosterRow(
            't',
            'planner',
            ROW.address,
            'a',
            TargetPhase.READY,
            incarnation=2,
        )
        targets.update({'planner': (LIMITS, [again])})
        assert targets.find('t').is_idle(0)

    def test_removed_targets_are_forgotten(self):
        """Targets that are not in an update get no more calls."""
        targets = BatchTargets()
        targets.update({'planner': (LIMITS, [ROW])})
        targets.update({'planner': (LIMITS, [])})
        assert not targets.of_service('planner')


class TestRequestedPauses:
    """Pauses that a target asks for when it rejects calls."""

    def test_shorter_pause_ends_a_longer_one(self):
        """The answers of two calls may come in either order."""
        targets = BatchTargets()
        targets.update({'planner': (LIMITS, [ROW])})
        targets.pause('t', 9000)
        targets.pause('t', 1000)
        assert targets.find('t').asked_for_pause(5000)
