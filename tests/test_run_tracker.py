"""Tests of the runs that were lost or were sound."""

import pytest

from borageyard.answer_progress import AnswerStage
from borageyard.crash_attribution import EngineRun
from borageyard.crash_correlator import CRASH_CONFIRM_MS
from borageyard.request_keys import RequestKeys
from borageyard.run_tracker import (
    SOUND_WRITING_MS,
    SUSPECT_WRITING_MS,
    RunTracker,
)

ENGINE = EngineRun('e', 1)
EVENT = b'id: 1\ndata: x\n\n'


@pytest.fixture
def tracker():
    """Returns a tracker without runs."""
    return RunTracker()


def start(tracker, name='r', begun_at_ms=None, engine=ENGINE, sent_at_ms=0):
    """Starts a run, which has its first event at the given time."""
    send = tracker.start(
        RequestKeys(name, frozenset(('p',))), engine, sent_at_ms
    )
    if begun_at_ms is not None:
        tracker.note_answering(send, begun_at_ms)
        send.progress.note_bytes(EVENT, begun_at_ms)
    return send


class TestSuspects:
    """Requests that are blamed when an engine turns out to be down."""

    def test_stages_of_those_that_were_lost(self, tracker):
        """All that had not been writing for long are suspects."""
        begun = start(tracker, 'begun')
        tracker.note_answering(begun, 1)
        tracker.note_lost(begun, 2)
        tracker.note_lost(start(tracker, 'waiting'), 2)
        tracker.note_lost(start(tracker, 'writing', 1), 2)
        crash = tracker.confirm(ENGINE, 3)
        assert crash.at_ms == 2
        assert {
            name: suspect.stage for name, suspect in crash.suspects.items()
        } == {
            'begun': AnswerStage.BEGUN,
            'waiting': AnswerStage.WAITING,
            'writing': AnswerStage.WRITING,
        }

    def test_request_that_had_been_writing(self, tracker):
        """The engine began it long before it ended."""
        send = start(tracker, begun_at_ms=0)
        assert not tracker.note_lost(send, SUSPECT_WRITING_MS)
        assert tracker.confirm(ENGINE, SUSPECT_WRITING_MS) is None

    def test_caller_that_left(self, tracker):
        """A send that was given up is neither blamed nor sound."""
        send = start(tracker, begun_at_ms=0)
        tracker.note_dropped(send)
        assert tracker.confirm(ENGINE, 1) is None
        assert not tracker.take_sound(SOUND_WRITING_MS)

    def test_engine_whose_record_expires_late(self, tracker):
        """A loss is remembered until the record must have expired."""
        tracker.note_lost(start(tracker), 0)
        assert tracker.unconfirmed(CRASH_CONFIRM_MS - 1) == (ENGINE,)
        assert not tracker.unconfirmed(CRASH_CONFIRM_MS)

    def test_answer_of_the_same_engine_refutes(self, tracker):
        """A connection was lost, not the engine."""
        before = start(tracker, 'before')
        tracker.note_lost(start(tracker), 5)
        assert not tracker.note_answering(before, 6)
        assert tracker.note_answering(start(tracker, sent_at_ms=6), 7)
        assert tracker.confirm(ENGINE, 8) is None

    def test_engine_that_listens_refutes(self, tracker):
        """The crash is ruled out by a probe."""
        tracker.note_lost(start(tracker), 0)
        assert tracker.refute(ENGINE)
        assert not tracker.refute(ENGINE)
        assert tracker.confirm(ENGINE, 1) is None

    def test_loss_that_shows_late(self, tracker):
        """It counts for an engine that is known to be down."""
        tracker.note_lost(start(tracker), 0)
        tracker.confirm(ENGINE, 1)
        assert tracker.is_down(ENGINE)
        tracker.note_lost(start(tracker, 'late'), 2)
        assert set(tracker.confirm(ENGINE, 2).suspects) == {'late'}


class TestSound:
    """Answers that show that an engine does not crash."""

    def test_answer_that_goes_on(self, tracker):
        """It is sound after a while, once."""
        send = start(tracker, begun_at_ms=0)
        send.progress.note_bytes(EVENT, SOUND_WRITING_MS - 1)
        assert not tracker.take_sound(SOUND_WRITING_MS - 1)
        send.progress.note_bytes(EVENT, SOUND_WRITING_MS)
        assert tracker.take_sound(SOUND_WRITING_MS) == [send]
        assert not tracker.take_sound(SOUND_WRITING_MS)

    def test_answer_that_falls_silent(self, tracker):
        """Time that passes without bytes proves nothing."""
        start(tracker, begun_at_ms=0)
        assert not tracker.take_sound(2 * SOUND_WRITING_MS)

    def test_short_answer_that_is_whole(self, tracker):
        """It is sound at once."""
        send = start(tracker, begun_at_ms=0)
        tracker.note_whole(send, 0, framed=True)
        assert tracker.take_sound(1) == [send]

    def test_crash_that_looks_like_an_end(self, tracker):
        """An answer without framing ends with its connection."""
        tracker.note_whole(start(tracker, begun_at_ms=0), 1, framed=False)
        assert not tracker.take_sound(SOUND_WRITING_MS)
        assert set(tracker.confirm(ENGINE, 2).suspects) == {'r'}
        assert not tracker.take_sound(SOUND_WRITING_MS)

    def test_short_answer_without_framing(self, tracker):
        """It is sound once its engine is known to have gone on."""
        send = start(tracker, begun_at_ms=0)
        tracker.note_whole(send, 1, framed=False)
        assert tracker.note_answering(
            start(tracker, 'next', None, ENGINE, 2), 3
        )
        assert not tracker.take_sound(3)
        assert tracker.take_sound(SOUND_WRITING_MS) == [send]

    def test_engine_that_is_not_heard_of_again(self, tracker):
        """The answer is sound when its record would have expired."""
        send = start(tracker, begun_at_ms=0)
        tracker.note_whole(send, 1, framed=False)
        assert not tracker.take_sound(CRASH_CONFIRM_MS)
        assert tracker.take_sound(CRASH_CONFIRM_MS + 1) == [send]
