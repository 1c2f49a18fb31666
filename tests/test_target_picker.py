"""Tests of load balancing among the targets of a plain service."""

from borageyard.inbound import TargetLoad
from borageyard.roster import RosterRow, TargetPhase
from borageyard.target_picker import FAILURE_BACKOFF_MS, TargetPicker

ROWS = tuple(
    RosterRow(f't{number}', 'desk', f't{number}', domain, TargetPhase.READY)
    for number, domain in enumerate('abc')
)


def pick(picker, excluded=(), now_ms=0):
    """Returns the id of the chosen target."""
    row = picker.pick(ROWS, excluded, 'a', now_ms)
    return row.target_id if row else None


class TestLoad:
    """Calls in flight and reported load."""

    def test_least_calls(self):
        """Targets with calls in flight are passed over."""
        picker = TargetPicker('seed')
        with picker.count_in_flight(ROWS[0]), picker.count_in_flight(ROWS[1]):
            assert pick(picker) == 't2'

    def test_told_load_fades(self):
        """An old load report no longer counts."""
        picker = TargetPicker('seed')
        picker.note_load(ROWS[0], TargetLoad(6, 4, 6), 0)
        assert pick(picker) != 't0'
        assert pick(picker, now_ms=5000) == 't0'


class TestFailures:
    """Targets that fail while their health check passes."""

    def test_tried_last_for_a_while(self):
        """Each failure doubles the backoff of a target."""
        picker = TargetPicker('seed')
        picker.note_failure(ROWS[0], 0)
        assert pick(picker) != 't0'
        assert pick(picker, now_ms=FAILURE_BACKOFF_MS) == 't0'
        picker.note_failure(ROWS[0], 0)
        assert pick(picker, now_ms=FAILURE_BACKOFF_MS) != 't0'

    def test_failed_is_better_than_none(self):
        """A failed target is used if the others were tried already."""
        picker = TargetPicker('seed')
        picker.note_failure(ROWS[0], 0)
        assert pick(picker, ('t1', 't2')) == 't0'
        assert pick(picker, ('t0', 't1', 't2')) is None
