"""Tests of selected races between claims, in virtual time."""

import pytest

from borageyard.errors import ErrorKind, RunStatus
from borageyard.requests import Answer

from .claim_model import STREAM, ClaimModel, Submission
from .test_claims import key_made_at

SETTLE_MS = 8000


@pytest.fixture
def model():
    """Runs three entries on one log and checks the invariants at the end."""
    running = ClaimModel()
    running.advance(100)
    yield running
    running.check()
    running.close()


def submission_of(model, key='', deadline_ms=3000, run_ms=40, ending='answer'):
    """Returns a submission, of a new key by default."""
    key = key or key_made_at(model.wall_ms(), len(model.submissions))
    return Submission(key, 'walk', run_ms, ending, deadline_ms)


def submit(model, index, **submission_fields):
    """Sends a submission to an entry and returns it."""
    submission = submission_of(model, **submission_fields)
    model.submit(index, submission)
    return submission


class TestRaces:
    """Races of entries for one key."""

    def test_at_the_same_instant(self, model):
        """Of two claims in the log one is granted and one abandoned."""
        first = submit(model, 0)
        second = submit(model, 1, key=first.key)
        model.advance(1000)
        assert model.runs[first.key] == 1
        assert isinstance(first.outcome, Answer)
        assert isinstance(second.outcome, Answer)
        attempts = [entry.claims.attempts for entry in model.entries.values()]
        assert sum(tried.granted for tried in attempts) == 1
        assert sum(tried.abandoned for tried in attempts) == 1

    def test_paused_holder_is_not_overtaken(self, model):
        """A retry does not run a call whose holder is paused before it."""
        model.log_of(0).faults.append('duplicate')
        first = submit(model, 0)
        model.advance(3)
        model.log_of(0).awake.clear()
        second = submit(model, 1, key=first.key, deadline_ms=500)
        model.advance(2000)
        assert second.outcome.ran is RunStatus.UNKNOWN
        model.log_of(0).awake.set()
        model.advance(1000)
        assert isinstance(first.outcome, Answer)
        assert model.runs[first.key] == 1

    def test_claim_that_lands_after_its_void(self, model):
        """A claim appended 5 s late, after its void, stays void."""
        model.log_of(0).faults.append('late5')
        first = submit(model, 0, deadline_ms=200)
        model.advance(1000)
        assert first.outcome.kind is ErrorKind.DEADLINE_EXCEEDED
        assert first.outcome.ran is RunStatus.NOT_RUN
        second = submit(model, 1, key=first.key)
        model.advance(SETTLE_MS)
        third = submit(model, 2, key=first.key)
        model.advance(1000)
        assert isinstance(second.outcome, Answer)
        assert isinstance(third.outcome, Answer)
        assert model.runs[first.key] == 1

    def test_disconnect_before_the_grant(self, model):
        """A disconnect before the grant abandons the attempt unrun."""
        first = submit(model, 0)
        model.advance(2)
        first.task.cancel()
        model.advance(1000)
        assert model.entries[0].claims.attempts.abandoned == 1
        assert not model.runs[first.key]
        second = submit(model, 1, key=first.key)
        model.advance(1000)
        assert isinstance(second.outcome, Answer)

    def test_refused_run_frees_the_key(self, model):
        """A key can be claimed again after a refusal as not run."""
        first = submit(model, 0, ending='not_run')
        model.advance(500)
        second = submit(model, 1, key=first.key)
        model.advance(500)
        assert first.outcome.ran is RunStatus.NOT_RUN
        assert isinstance(second.outcome, Answer)

    def test_unknown_outcome_is_final(self, model):
        """A retry after an unknown outcome gets unknown and does not run."""
        first = submit(model, 0, ending='unknown')
        model.advance(500)
        second = submit(model, 1, key=first.key)
        model.advance(500)
        assert second.outcome.ran is RunStatus.UNKNOWN
        assert model.runs[first.key] == 1


class TestCheckpointRaces:
    """Checkpoints written while other records are appended."""

    def test_record_between_the_fold_and_the_checkpoint(self, model):
        """A checkpoint does not cover records its writer had not read.

        The checkpoint is lost and appended again after another claim.
        """
        submit(model, 0)
        model.advance(100)
        model.log_of(0).faults.append('drop')
        assert model.checkpoint_if_due(0)
        racing = submit(model, 1)
        model.advance(100)
        assert isinstance(racing.outcome, Answer)
        model.advance(1000)
        _keep_checkpoints_only(model)
        model.replace_entry(2)
        model.advance(500)
        retry = submit(model, 2, key=racing.key)
        model.advance(5000)
        assert model.runs[racing.key] == 1
        assert retry.outcome.ran is RunStatus.UNKNOWN

    def test_quiet_stream_serves_new_keys_at_once(self, model):
        """A new entry accepts new keys when only checkpoints are left."""
        submit(model, 0)
        model.advance(60_000)
        _keep_checkpoints_only(model)
        model.replace_entry(2)
        fresh = submit(model, 2)
        model.advance(1000)
        assert isinstance(fresh.outcome, Answer)


def _keep_checkpoints_only(model):
    """Expires all records before the last checkpoint."""
    offsets = [
        row.offset for row in model.records() if 'checkpoints' in row.body
    ]
    model.log.expire_before(STREAM, offsets[-1])
