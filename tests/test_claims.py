"""Tests of ClaimFold and KeyWindow."""

import random
import uuid

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from borageyard.claims import Claim, ClaimFold, KeyWindow, RecordedOutcome
from borageyard.errors import ErrorKind

NOW_MS = 1_790_000_000_000
WINDOW = KeyWindow(window_ms=600_000, skew_ms=2000)
TIME_SHIFT_BITS = 80
VERSION_BITS = 7 << 76
VARIANT_BITS = 2 << 62


OTHER_KEYS = ('', 'walk-1', '01890a5d-ac96-474b-8cce-b302099a8057')
BOUNDS = (
    (0, None),
    (600_000, None),
    (600_001, ErrorKind.KEY_EXPIRED),
    (-2000, None),
    (-2001, ErrorKind.KEY_IN_FUTURE),
)


def key_made_at(at_ms, serial=0):
    """Returns a version 7 UUID created at a time in milliseconds."""
    shifted = int(at_ms) << TIME_SHIFT_BITS
    number = shifted | VERSION_BITS | VARIANT_BITS | serial
    return str(uuid.UUID(int=number))


KEY = key_made_at(NOW_MS)
KINDS = st.sampled_from(('claim', 'void'))
RECORDS = st.lists(
    st.tuples(KINDS, st.sampled_from('abcd'), st.integers(0, 6)),
)


def claim_of(attempt_id, offset, digest='d', index=0):
    """Returns a claim to KEY."""
    return Claim(KEY, attempt_id, digest, 'entry-0', (offset, index))


def fold_of(*claims):
    """Returns a fold that contains claims."""
    fold = ClaimFold()
    for claim in claims:
        fold.add_claim(claim)
    return fold


class TestWinner:
    """Selection of the claim that holds a key."""

    def test_first_in_log_order_wins(self):
        """The lowest offset wins, whichever record is read first."""
        fold = fold_of(claim_of('b', 7), claim_of('a', 3))
        assert fold.winner(KEY).attempt_id == 'a'

    def test_order_within_a_record(self):
        """Claims of one batch are ordered by their index in it."""
        fold = fold_of(claim_of('b', 3, index=1), claim_of('a', 3, index=0))
        assert fold.winner(KEY).attempt_id == 'a'

    @pytest.mark.parametrize('void_first', [True, False])
    def test_void_kills_wherever_it_stands(self, void_first):
        """A void frees the key, read before or after its claim."""
        fold = ClaimFold()
        if void_first:
            fold.add_void(KEY, 'a')
        fold.add_claim(claim_of('a', 3))
        fold.add_void(KEY, 'a')
        assert fold.winner(KEY) is None
        fold.add_claim(claim_of('b', 5))
        assert fold.winner(KEY).attempt_id == 'b'

    def test_void_kills_a_late_duplicate(self):
        """A claim appended again after its void stays void."""
        fold = fold_of(claim_of('a', 3))
        fold.add_void(KEY, 'a')
        fold.add_claim(claim_of('a', 9))
        assert fold.winner(KEY) is None

    def test_duplicate_counts_once(self):
        """A later record of an attempt does not change its order."""
        fold = fold_of(claim_of('a', 3), claim_of('b', 5), claim_of('a', 9))
        assert fold.winner(KEY).order == (3, 0)

    def test_first_outcome_counts(self):
        """A second outcome of an attempt is ignored."""
        fold = fold_of(claim_of('a', 3))
        fold.add_outcome(RecordedOutcome(KEY, 'a', 'one'))
        fold.add_outcome(RecordedOutcome(KEY, 'a', 'two'))
        assert fold.outcome_of(KEY, 'a').document == 'one'

    @settings(derandomize=True, max_examples=100)
    @given(RECORDS, st.integers(0, 1000))
    def test_any_order_and_repetition(self, records, seed):
        """Shuffled records, some of them twice, give the same winner."""
        shuffled = records + records[: len(records) // 2]
        random.Random(seed).shuffle(shuffled)
        assert winner_of(records) == winner_of(shuffled)


class TestWindow:
    """Acceptance and expiry of keys by creation time."""

    @pytest.mark.parametrize(('age_ms', 'kind'), BOUNDS)
    def test_bounds(self, age_ms, kind):
        """Keys exactly at the bounds of the window are accepted."""
        assert WINDOW.check(key_made_at(NOW_MS - age_ms), NOW_MS) is kind

    @pytest.mark.parametrize('key', OTHER_KEYS)
    def test_other_keys(self, key):
        """Only version 7 UUIDs are accepted as keys."""
        assert WINDOW.check(key, NOW_MS) is ErrorKind.KEY_REQUIRED

    def test_expired_keys_are_dropped_for_good(self):
        """A record of an expired key does not add the key again."""
        fold = fold_of(claim_of('a', 3))
        fold.expire(NOW_MS + 1)
        fold.add_claim(claim_of('a', 3))
        assert not len(fold)
        assert fold.winner(KEY) is None


def winner_of(records):
    """Returns the winner's attempt id and order, or None."""
    fold = ClaimFold()
    for kind, attempt_id, offset in records:
        if kind == 'void':
            fold.add_void(KEY, attempt_id)
        else:
            place = 'abcd'.index(attempt_id)
            fold.add_claim(claim_of(attempt_id, offset, index=place))
    winner = fold.winner(KEY)
    return winner and (winner.attempt_id, winner.order)
