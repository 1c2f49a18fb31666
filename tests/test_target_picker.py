"""Tests of the choice among targets of a plain service."""

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
    """Calls under way and what targets tell."""

    def test_least_calls(self):
        """A target with own calls is passed over."""
        picker = TargetPicker('seed')
        with picker.count_in_flight(ROWS[0]), picker.count_in_flight(ROWS[1]):
            assert pick(picker) == 't2'

    def test_told_load_fades(self):
        """What a target told long ago counts for nothing."""
        picker = TargetPicker('seed')
        picker.note_load(ROWS[0], TargetLoad(6, 4, 6), 0)
        assert pick(picker) != 't0'
        assert pick(picker, now_ms=5000) == 't0'


class TestFailures:
    """Targets that fail while they count as healthy."""

    def test_tried_last_for_a_while(self):
        """Each failure doubles the pause, a success ends it."""
        picker = TargetPicker('seed')
        picker.note_failure(ROWS[0], 0)
        assert pick(picker) != 't0'
        assert pick(picker, now_ms=FAILURE_BACKOFF_MS) == 't0'
        picker.note_failure(ROWS[0], 0)
        assert pick(picker, now_ms=FAILURE_BACKOFF_MS) != 't0'

    def test_failed_is_better_than_none(self):
        """With the others tried, the failed one is used."""
        picker = TargetPicker('seed')
        picker.note_failure(ROWS[0], 0)
        assert pick(picker, ('t1', 't2')) == 't0'
        assert pick(picker, ('t0', 't1', 't2')) is None
