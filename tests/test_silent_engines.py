"""Tests of engines that fall silent."""

import dataclasses

import pytest

from borageyard.answer_progress import AnswerStage
from borageyard.crash_attribution import EngineRun
from borageyard.crash_correlator import CRASH_CONFIRM_MS
from borageyard.request_keys import RequestKeys
from borageyard.roster import RosterRow, TargetPhase
from borageyard.run_tracker import EngineSend
from borageyard.silent_engines import (
    CHECK_INTERVAL_MS,
    SILENCE_MS,
    SilentEngines,
)

ENGINE = EngineRun('e', 1)
ADDRESS = 'h:1'
ROW = RosterRow('e', 's', ADDRESS, 'a', TargetPhase.READY, incarnation=1)
SUCCESSOR = dataclasses.replace(ROW, target_id='f', incarnation=2)
EVENT = b'data: x\n\n'


@pytest.fixture
def engines():
    """Returns a tracker without engines."""
    return SilentEngines()


def start(engines, name='r', at_ms=0):
    """Starts a send."""
    send = EngineSend(RequestKeys(name, frozenset()), ENGINE, at_ms)
    engines.note_sent(send, ADDRESS)
    return send


class TestSuspects:
    """Requests that may have silenced an engine."""

    @pytest.mark.parametrize('given_up', [True, False])
    def test_send_without_an_answer(self, engines, given_up):
        """It is one whether or not it was given up."""
        send = start(engines)
        if given_up:
            engines.note_given_up(send, 500)
        crash = engines.take_crash(ENGINE, 900)
        assert crash.at_ms == 0
        assert crash.suspects['r'].stage is AnswerStage.WAITING
        assert engines.take_crash(ENGINE, 900) is None

    def test_send_before_a_sign_of_life(self, engines):
        """What was given up earlier did not end the engine."""
        engines.note_given_up(start(engines), 500)
        later = start(engines, 'later', 600)
        engines.note_sign(ENGINE, 700)
        crash = engines.take_crash(ENGINE, 900)
        assert crash.at_ms == 700
        assert set(crash.suspects) == {later.keys.request_key}

    def test_answer_that_was_written_for_long(self, engines):
        """Its engine began it long before it ended."""
        send = start(engines)
        send.progress.note_bytes(EVENT, 10)
        send.progress.note_bytes(EVENT, 900)
        assert engines.take_crash(ENGINE, 1000) is None

    def test_send_that_was_given_up_long_ago(self, engines):
        """It is forgotten."""
        engines.note_given_up(start(engines), 500)
        assert engines.take_crash(ENGINE, 500 + CRASH_CONFIRM_MS) is None


class TestRecords:
    """What the announcements of an engine say of its silence."""

    def test_engine_that_is_listed(self, engines):
        """It may be slow."""
        start(engines)
        engines.note_check(ENGINE, 2000, answered=False)
        assert engines.note_rows([ROW], 2000) == ([], [])

    @pytest.mark.parametrize(
        'rows',
        [
            [dataclasses.replace(ROW, incarnation=2)],
            [SUCCESSOR],
            [ROW, SUCCESSOR],
        ],
    )
    def test_successor(self, engines, rows):
        """The engine has ended, whoever answered the check."""
        start(engines)
        engines.note_check(ENGINE, 2000, answered=True)
        assert engines.note_rows(rows, 2000) == ([ENGINE], [])

    def test_record_that_is_gone(self, engines):
        """The store may have lost sight of an engine that answers."""
        start(engines)
        assert engines.note_rows([], 1) == ([], [(ENGINE, ADDRESS)])
        engines.note_check(ENGINE, 2000, answered=True)
        assert engines.note_rows([], 2001) == ([], [])
        due_at_ms = 2000 + CHECK_INTERVAL_MS
        assert engines.note_rows([], due_at_ms) == ([], [(ENGINE, ADDRESS)])
        engines.note_check(ENGINE, due_at_ms, answered=False)
        assert engines.note_rows([], due_at_ms) == ([ENGINE], [])

    def test_engine_that_leaves(self, engines):
        """Its record goes without a crash."""
        start(engines)
        leaving = dataclasses.replace(ROW, phase=TargetPhase.DRAINING)
        engines.note_rows([leaving], 1)
        engines.note_check(ENGINE, 2000, answered=False)
        assert engines.note_rows([], 2000) == ([], [])


class TestChecks:
    """Engines that are asked for their status."""

    def test_engine_that_owes_an_answer(self, engines):
        """It is checked after a silence, and not at once again."""
        start(engines)
        assert not engines.to_check(SILENCE_MS - 1)
        assert engines.to_check(SILENCE_MS) == [(ENGINE, ADDRESS)]
        engines.note_check(ENGINE, SILENCE_MS, answered=False)
        assert not engines.to_check(SILENCE_MS + 1)

    def test_engine_that_answers_another_request(self, engines):
        """It is not silent."""
        start(engines)
        engines.note_sign(ENGINE, SILENCE_MS - 1)
        assert not engines.to_check(SILENCE_MS)

    def test_engine_that_owes_nothing(self, engines):
        """Its silence means nothing."""
        engines.note_ended(start(engines))
        assert not engines.to_check(SILENCE_MS)

    def test_engine_whose_callers_have_left(self, engines):
        """It is checked once."""
        engines.note_given_up(start(engines), 100)
        assert engines.to_check(SILENCE_MS) == [(ENGINE, ADDRESS)]
        engines.note_check(ENGINE, SILENCE_MS, answered=True)
        assert not engines.to_check(SILENCE_MS + CHECK_INTERVAL_MS)
