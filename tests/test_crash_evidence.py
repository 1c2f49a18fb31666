"""Tests of what evidence about crashes shows."""

import itertools

import pytest

from borageyard.answer_progress import AnswerStage
from borageyard.crash_attribution import Crash, EngineRun, Suspect
from borageyard.crash_evidence import (
    EVIDENCE_MS,
    PROBATION_MS,
    QUARANTINE_MS,
    SETTLING_MS,
    SHORT_QUARANTINE_MS,
    CrashEvidence,
    QuarantinedKeys,
)
from borageyard.request_keys import RequestKeys
from borageyard.sound_keys import SoundKeys

BAD = 'p-bad'
# Shared by sound requests and by those that crash engines.
SHARED = 'p-shared'
_NUMBERS = itertools.count()


def keys(*parts, request=None):
    """Returns the keys of a request, a new one by default."""
    request = request or f'r-{next(_NUMBERS)}'
    return RequestKeys(request, frozenset(parts))


def suspect(*parts, stage=AnswerStage.BEGUN, request=None):
    """Returns a request that was lost."""
    return Suspect(keys(*parts, request=request), stage)


def crash(at_ms, *suspects, engine=None):
    """Returns the crash of an engine, a new one by default."""
    engine = engine or EngineRun(f'e-{next(_NUMBERS)}', 1)
    by_request = {one.keys.request_key: one for one in suspects}
    return Crash(engine, at_ms, by_request)


@pytest.fixture
def evidence():
    """Returns evidence of which nothing is known."""
    return CrashEvidence()


def bad_crashes(count, at_ms=0, parts=(BAD,)):
    """Returns crashes, each under another request with the same parts."""
    return [crash(at_ms, suspect(*parts)) for _ in range(count)]


def add(evidence, now_ms, *crashes):
    """Adds crashes and returns the keys that are quarantined for them."""
    for one in crashes:
        evidence.add_crash(one, now_ms)
    return [set(found.keys) for found in evidence.conclude(now_ms)]


class TestParts:
    """Parts of prompts that crash engines."""

    def test_third_crash_shows_the_part(self, evidence):
        """The part that no sound answer is known of is quarantined alone."""
        evidence.add_sound([SHARED], 0)
        crashes = [crash(at_ms, suspect(SHARED, BAD)) for at_ms in (1, 2, 3)]
        assert not add(evidence, 3, *crashes[:2])
        assert add(evidence, 3, crashes[2]) == [{BAD}]
        assert evidence.find_quarantine(keys('p-other', BAD), 4)
        assert not evidence.find_quarantine(keys(SHARED), 4)

    def test_parts_that_may_both_be_the_cause(self, evidence):
        """Only requests with both are refused, until one of them is sound."""
        add(evidence, 3, *bad_crashes(3, 1, (SHARED, BAD)))
        assert evidence.find_quarantine(keys(SHARED, BAD), 4)
        assert not evidence.find_quarantine(keys(SHARED), 4)
        assert not evidence.find_quarantine(keys(BAD), 4)
        evidence.add_sound([SHARED], 5)
        assert evidence.find_quarantine(keys('p-other', BAD), 6)

    def test_entry_that_lost_only_sound_requests(self, evidence):
        """It waits for what its peers lost at the same engine."""
        engine = EngineRun('e', 1)
        own = suspect(SHARED, 'p-new', stage=AnswerStage.WRITING)
        add(evidence, 1, *bad_crashes(2, 0, (SHARED, BAD)))
        assert not add(evidence, 1, crash(0, own, engine=engine))
        told = crash(0, suspect(SHARED, BAD), engine=engine)
        assert add(evidence, 2, told) == [{SHARED, BAD}]
        assert not evidence.find_quarantine(keys(SHARED, 'p-new'), 3)

    def test_shared_part_explains_one_crash_more(self, evidence):
        """The narrower explanation is tried first."""
        other = suspect(SHARED, 'p-new')
        crashes = (*bad_crashes(3, 0, (SHARED, BAD)), crash(0, other))
        assert add(evidence, 1, *crashes) == [{SHARED, BAD}]

    def test_shared_part_is_not_closed_for_long(self, evidence):
        """Too few crashes tell it from the part that goes with it."""
        other = suspect(SHARED, 'p-new')
        crashes = (*bad_crashes(2, 0, (SHARED, BAD)), crash(0, other))
        assert add(evidence, 1, *crashes) == [{SHARED}]
        add(evidence, 2, *bad_crashes(3, 1, (SHARED, BAD)))
        now_ms = 2 + SHORT_QUARANTINE_MS
        assert not evidence.find_quarantine(keys(SHARED, 'p-new'), now_ms)

    def test_requests_that_waited_are_not_blamed(self, evidence):
        """They are lost with the one whose answer had begun."""
        for _ in range(3):
            waiting = [
                suspect(SHARED, 'p-new', stage=AnswerStage.WAITING)
                for _ in range(9)
            ]
            add(evidence, 1000, crash(0, suspect(SHARED, BAD), *waiting))
        assert evidence.find_quarantine(keys(SHARED, BAD), 1000)
        assert not evidence.find_quarantine(keys(SHARED, 'p-new'), 1000)

    def test_crashes_before_any_head(self, evidence):
        """Waiting requests are suspects once peers had time to tell more."""
        crashes = [
            crash(0, suspect(BAD, stage=AnswerStage.WAITING)) for _ in range(3)
        ]
        assert not add(evidence, 1, *crashes)
        assert add(evidence, SETTLING_MS) == [{BAD}]

    def test_many_at_one_engine_are_one_crash(self, evidence):
        """Reports of several entries about one engine are merged."""
        engine = EngineRun('e', 1)
        reports = [crash(0, suspect(BAD), engine=engine) for _ in range(9)]
        assert not add(evidence, 1, *reports)
        (merged,) = evidence.crashes(1)
        assert len(merged.suspects) == 9

    def test_report_that_brings_nothing_is_no_news(self, evidence):
        """Entries pass on only what is new."""
        one = crash(0, suspect(BAD))
        assert evidence.add_crash(one, 1)
        assert not evidence.add_crash(one, 2)

    def test_crashes_of_other_causes_do_not_hide_the_part(self, evidence):
        """Engines end for other reasons in between."""
        add(evidence, 1, *bad_crashes(1, 0, ['p-x']), crash(0))
        assert add(evidence, 1, *bad_crashes(3)) == [{BAD}]

    def test_two_parts_that_crash_engines(self, evidence):
        """The crashes of one do not count for the other."""
        first = [crash(0, suspect(BAD)) for _ in range(3)]
        second = [crash(0, suspect('p-worse')) for _ in range(4)]
        found = add(evidence, 1, *first, *second)
        assert found == [{'p-worse'}, {BAD}]

    def test_unrelated_parts_with_the_same_crashes(self, evidence):
        """Neither is quarantined until there is more evidence."""
        crashes = [crash(0, suspect(BAD), suspect('p-rare')) for _ in range(3)]
        assert not add(evidence, 1, *crashes)
        assert add(evidence, 1, crash(0, suspect(BAD))) == [{BAD}]

    def test_parts_that_nothing_tells_apart(self, evidence):
        """Both are quarantined at the fifth crash."""
        crashes = [crash(0, suspect(BAD), suspect('p-rare')) for _ in range(5)]
        found = add(evidence, 1, *crashes)
        assert sorted(map(sorted, found)) == [[BAD], ['p-rare']]

    def test_one_request_does_not_blame_its_parts(self, evidence):
        """It is quarantined itself when it crashed two engines."""
        crashes = [crash(0, suspect(BAD, request='r')) for _ in range(4)]
        assert add(evidence, 1, *crashes) == [{'r'}]
        assert not evidence.find_quarantine(keys(BAD), 1)

    def test_old_crashes_do_not_count(self, evidence):
        """A part is blamed only for crashes of the last minute."""
        add(evidence, 0, *bad_crashes(2))
        late_ms = EVIDENCE_MS
        assert not add(evidence, late_ms, crash(late_ms, suspect(BAD)))


class TestSoundParts:
    """Parts that had sound answers."""

    def test_part_that_many_share_is_not_blamed(self, evidence):
        """It is at all engines, so it is at those that crash."""
        evidence.add_sound([SHARED], 0)
        crashes = [
            crash(at_ms, suspect(SHARED, stage=AnswerStage.WRITING))
            for at_ms in range(1, 9)
        ]
        assert not add(evidence, 9, *crashes)

    def test_part_that_turns_bad(self, evidence):
        """It takes five crashes at the start of an answer, none sound since."""
        evidence.add_sound([SHARED, BAD], 0)
        crashes = [crash(1, suspect(SHARED, BAD)) for _ in range(5)]
        assert not add(evidence, 2, *crashes[:4])
        assert add(evidence, 2, crashes[4]) == [{SHARED, BAD}]

    def test_sound_answer_after_the_crashes(self, evidence):
        """A run that began after a crash rules the part out for it."""
        evidence.add_sound([SHARED], 5)
        crashes = [crash(1, suspect(SHARED)) for _ in range(9)]
        assert not add(evidence, 6, *crashes)

    def test_proof_that_arrives_later_clears(self, evidence):
        """Only a run that began after the last crash is a proof."""
        add(evidence, 3, *bad_crashes(3, 3))
        assert not evidence.add_sound([BAD], 2)
        assert evidence.find_quarantine(keys(BAD), 4)
        (cleared,) = evidence.add_sound([BAD], 4)
        assert cleared.keys == {BAD}
        assert not evidence.find_quarantine(keys(BAD), 5)


class TestPeers:
    """Conclusions of peers, and their end."""

    def test_quarantine_of_a_peer_applies(self, evidence):
        """An entry that saw no crash keeps the part from engines too."""
        assert evidence.add_quarantine(
            QuarantinedKeys(frozenset((BAD,)), 0, 5000), 1
        )
        assert evidence.find_quarantine(keys(BAD, SHARED), 2)
        assert not evidence.find_quarantine(keys(BAD, SHARED), 5000)

    def test_quarantine_of_a_peer_that_is_known_to_be_sound(self, evidence):
        """Proofs of this entry outweigh conclusions of its peers."""
        evidence.add_sound([SHARED], 5)
        both = QuarantinedKeys(frozenset((BAD, SHARED)), 3, 5000)
        assert evidence.add_quarantine(both, 6)
        assert evidence.find_quarantine(keys(BAD), 6)
        one = QuarantinedKeys(frozenset((SHARED,)), 3, 5000)
        assert not evidence.add_quarantine(one, 6)

    def test_same_conclusion_again_is_no_news(self, evidence):
        """Nor is one that refuses less."""
        entry = QuarantinedKeys(frozenset((BAD,)), 0, 5000)
        assert evidence.add_quarantine(entry, 1)
        assert not evidence.add_quarantine(entry, 2)
        wider = QuarantinedKeys(frozenset((BAD, SHARED)), 0, 5000)
        assert not evidence.add_quarantine(wider, 2)
        assert len(evidence.quarantined(2)) == 1

    def test_same_crash_that_seems_later(self, evidence):
        """Ages grow a little on the way, which delays no proof."""
        for late_ms in range(0, 3000, 100):
            late = late_ms / 10
            entry = QuarantinedKeys(frozenset((BAD,)), late, 9000 + late)
            evidence.add_quarantine(entry, late_ms)
        (known,) = evidence.quarantined(3000)
        assert (known.crashed_at_ms, known.expires_at_ms) == (0, 9000)

    def test_old_proof_that_is_told_again(self):
        """It seems a little later each time, but remains the same run."""
        sound = SoundKeys()
        sound.note([BAD], 0)
        for _ in range(30):
            known_ms = sound.begun_at_ms(BAD)
            if sound.is_later_run(BAD, known_ms + 100):
                sound.note([BAD], known_ms + 100)
        assert sound.begun_at_ms(BAD) == 0
        assert sound.is_later_run(BAD, 1000)

    def test_order_of_the_evidence_does_not_matter(self):
        """All entries conclude the same from the same evidence."""
        crashes = [crash(0, suspect(SHARED, BAD)) for _ in range(3)]
        for order in itertools.permutations(crashes):
            evidence = CrashEvidence()
            evidence.add_sound([SHARED], 1)
            for one in order:
                add(evidence, 2, one)
            (entry,) = evidence.quarantined(2)
            assert entry.keys == {BAD}


class TestProbation:
    """The time after a quarantine."""

    def test_part_that_was_lost_with_others_is_tried_soon(self, evidence):
        """Engines that end for other reasons do not close it for minutes."""
        writing = [
            crash(0, suspect(BAD, stage=AnswerStage.WRITING)) for _ in range(6)
        ]
        add(evidence, SETTLING_MS, *writing)
        now_ms = SETTLING_MS + SHORT_QUARANTINE_MS
        assert evidence.find_quarantine(keys(BAD), now_ms - 1)
        assert not evidence.find_quarantine(keys(BAD), now_ms)
        assert evidence.find_probation(keys(BAD), now_ms)
        add(evidence, now_ms, crash(now_ms, suspect(BAD)))
        late_ms = now_ms + QUARANTINE_MS - 1
        assert evidence.find_quarantine(keys(BAD), late_ms)

    def test_next_crash_quarantines_again(self, evidence):
        """A single one suffices until the end of the probation."""
        add(evidence, 0, *bad_crashes(3))
        now_ms = QUARANTINE_MS
        assert not evidence.find_quarantine(keys(BAD), now_ms)
        assert evidence.find_probation(keys(BAD), now_ms)
        add(evidence, now_ms, crash(now_ms, suspect(BAD)))
        assert evidence.find_quarantine(keys(BAD), now_ms + 1)

    def test_probation_ends(self, evidence):
        """Requests run side by side again."""
        add(evidence, 0, *bad_crashes(3))
        now_ms = QUARANTINE_MS + PROBATION_MS
        assert not evidence.find_probation(keys(BAD), now_ms)
        add(evidence, now_ms)
        add(evidence, now_ms, crash(now_ms, suspect(BAD)))
        assert not evidence.find_quarantine(keys(BAD), now_ms)
