"""Tests of the accounts of batching targets."""

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
from borageyard.serving import BatchLimits

LIMITS = BatchLimits(
    slots=1,
    queue=2,
    size=4,
    call_ms=200,
    piece_ms=10,
    room_bytes=3_000_000,
    keep_ms=4000,
)
ROOM_BYTES = LIMITS.room_bytes * USABLE_MEMORY_SHARE
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
    """Memory for results."""

    def test_calls_and_results_take_room(self):
        """A result counts from the begin of its call until it is freed."""
        target = BatchTarget(ROW, LIMITS)
        call = build_call(1_000_000)
        target.note_sent(call)
        assert target.free_bytes(0) == ROOM_BYTES - 2_000_000
        target.note_ended(call, [build_result('h', 1_000_000)], 220)
        assert target.free_bytes(220) == ROOM_BYTES - 1_000_000
        target.release('h')
        assert target.free_bytes(220) == ROOM_BYTES

    def test_results_expire(self):
        """What nobody frees is dropped by its maker."""
        target = BatchTarget(ROW, LIMITS)
        call = build_call()
        target.note_sent(call)
        target.note_ended(call, [build_result('h', 1_000_000)], 100)
        assert target.free_bytes(100 + LIMITS.keep_ms) == ROOM_BYTES

    def test_report_is_rounded_down(self):
        """Less than a megabyte of difference says nothing."""
        target = BatchTarget(ROW, LIMITS)
        target.note_report(2_000_000, 0)
        assert target.free_bytes(0) == ROOM_BYTES
        target.note_report(0, 0)
        assert target.free_bytes(0) == REPORT_GRANULARITY_BYTES

    def test_what_others_hold_expires_too(self):
        """A report counts for as long as results are kept."""
        target = BatchTarget(ROW, LIMITS)
        target.note_report(0, 0)
        assert target.free_bytes(LIMITS.keep_ms) == ROOM_BYTES

    def test_no_room_is_believed_for_a_while(self):
        """Less than the size of the result was free."""
        target = BatchTarget(ROW, LIMITS)
        target.note_no_room(60_000, 0)
        assert 0 <= target.free_bytes(0) < 60_000
        assert target.free_bytes(NO_ROOM_DECAY_MS) == ROOM_BYTES

    def test_room_that_is_freed_after_that_counts(self):
        """Only what was unknown is taken off."""
        target = BatchTarget(ROW, LIMITS)
        target.note_ended(build_call(), [build_result('h', 1_000_000)], 0)
        target.note_no_room(60_000, 0)
        target.release('h')
        assert 1_000_000 <= target.free_bytes(0) < 1_060_000

    def test_what_others_hold_shrinks_evenly(self):
        """Its results expire one after the other."""
        target = BatchTarget(ROW, LIMITS)
        target.note_no_room(1, 0)
        assert target.free_bytes(0) == 0
        assert target.free_bytes(NO_ROOM_DECAY_MS / 2) == ROOM_BYTES / 2

    def test_result_that_is_taken_over_is_counted_once(self):
        """It was part of what others hold."""
        target = BatchTarget(ROW, LIMITS)
        target.note_report(0, 0)
        before_bytes = target.free_bytes(0)
        target.note_adopted(build_result('h', 500_000))
        assert target.free_bytes(0) == before_bytes
        target.release('h')
        assert target.free_bytes(0) == before_bytes + 500_000


class TestPauses:
    """Targets that fail, are full or slow."""

    def test_idle_only_with_a_free_slot(self):
        """One call fills the only slot."""
        target = BatchTarget(ROW, LIMITS)
        call = build_call()
        assert target.is_idle(0)
        target.note_sent(call)
        assert not target.is_idle(0)
        assert target.expected_wait_ms(100) == 120
        target.note_ended(call, (), 220)
        assert target.is_idle(220)

    def test_slow_calls_pause_longer_each_time(self):
        """A call as quick as expected ends that."""
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
    """All targets of a service."""

    def test_restart_under_the_same_id_is_fresh(self):
        """It holds nothing of before."""
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

    def test_targets_that_left_are_forgotten(self):
        """They get no calls any more."""
        targets = BatchTargets()
        targets.update({'planner': (LIMITS, [ROW])})
        targets.update({'planner': (LIMITS, [])})
        assert not targets.of_service('planner')
