"""Tests of the roster of targets built from announcements."""

import dataclasses

from borageyard.roster import (
    RosterChange,
    RosterRow,
    TargetPhase,
    TargetRoster,
)

ROW = RosterRow('t1', 'desk', '10.0.0.1:1', 'a', TargetPhase.READY, 4, 1, 5)


def changed(offset, **fields):
    """Returns a record about a target with some fields changed."""
    row = dataclasses.replace(ROW, **fields)
    return RosterChange(offset, row.target_id, row)


def ready(roster):
    """Returns the ids of the desk targets that take new work."""
    return [row.target_id for row in roster.ready('desk')]


class TestOrder:
    """Each record is applied once, in the order of the offsets."""

    def test_older_offset_changes_nothing(self):
        """A stale snapshot does not make a draining target ready again."""
        roster = TargetRoster()
        roster.apply([changed(5, phase=TargetPhase.DRAINING)], 6)
        assert not roster.apply([changed(3)], 6)
        assert not ready(roster)

    def test_older_announcement_changes_nothing(self):
        """A late write does not restore an older announcement."""
        roster = TargetRoster()
        roster.apply([changed(1)], 2)
        roster.apply([RosterChange(2, 't1', None)], 3)
        roster.apply([changed(3, announcement_number=4)], 4)
        assert not ready(roster)
        roster.apply([changed(4, announcement_number=6)], 5)
        assert ready(roster) == ['t1']

    def test_announcement_number_alone_is_no_change(self):
        """An announcement with nothing new is not reported as a change."""
        roster = TargetRoster()
        assert roster.apply([changed(1)], 2)
        assert not roster.apply([changed(2, announcement_number=6)], 3)
        assert roster.offset == 3


class TestLeaving:
    """Targets that drain, are gone or were replaced."""

    def test_draining_is_for_good(self):
        """A drained incarnation never takes new work again; the next does."""
        roster = TargetRoster()
        roster.apply([changed(1, phase=TargetPhase.DRAINING)], 2)
        roster.apply([changed(2, announcement_number=9)], 3)
        assert not ready(roster)
        roster.apply([changed(3, incarnation=2, announcement_number=0)], 4)
        assert ready(roster) == ['t1']

    def test_avoided_until_the_next_start(self):
        """A target whose address another one answers gets no work."""
        roster = TargetRoster()
        roster.apply([changed(1)], 2)
        roster.avoid(ROW)
        assert not ready(roster)
        roster.apply([changed(2, announcement_number=8)], 3)
        assert not ready(roster)
        roster.apply([changed(3, incarnation=2)], 4)
        assert ready(roster) == ['t1']

    def test_address_belongs_to_the_later_start(self):
        """A target that vanished without notice loses its reused address."""
        roster = TargetRoster()
        other = changed(2, target_id='t2', service='other', incarnation=7)
        roster.apply([changed(1), other], 3)
        assert not ready(roster)
        assert [row.target_id for row in roster.ready('other')] == ['t2']


class TestDrained:
    """Targets that are gone after they drained."""

    def test_record_that_is_gone(self):
        """It is remembered for the incarnation."""
        roster = TargetRoster()
        roster.apply([changed(1, phase=TargetPhase.DRAINING)], 2)
        roster.apply([RosterChange(2, 't1', None)], 3)
        assert roster.has_drained(ROW)
        assert not roster.has_drained(dataclasses.replace(ROW, incarnation=5))

    def test_target_that_did_not_drain(self):
        """Its record went without notice."""
        roster = TargetRoster()
        roster.apply([changed(1)], 2)
        roster.apply([RosterChange(2, 't1', None)], 3)
        assert not roster.has_drained(ROW)

    def test_target_that_said_so_itself(self):
        """Its announcements do not make it ready again."""
        roster = TargetRoster()
        roster.apply([changed(1)], 2)
        assert roster.mark_draining('t1', ROW.incarnation)
        assert not roster.mark_draining('t1', ROW.incarnation)
        roster.apply([changed(2, announcement_number=9)], 3)
        assert not ready(roster)
        roster.apply([changed(3, incarnation=ROW.incarnation + 1)], 4)
        assert ready(roster) == ['t1']

    def test_incarnation_that_is_not_known(self):
        """A successor is not taken for its predecessor."""
        roster = TargetRoster()
        roster.apply([changed(1)], 2)
        assert not roster.mark_draining('t1', ROW.incarnation - 1)
        assert not roster.mark_draining('t2', ROW.incarnation)
        assert ready(roster) == ['t1']


class TestSharedAddresses:
    """Records of several targets name one address."""

    def build(self):
        """Returns a roster with a target, and a later one at its address."""
        roster = TargetRoster()
        foreign = dataclasses.replace(
            ROW, target_id='t2', service='unknown', incarnation=2
        )
        changes = [changed(1), RosterChange(2, 't2', foreign)]
        roster.apply(changes, 3)
        return roster, foreign

    def test_later_start_has_the_address(self):
        """The other one is known as hidden."""
        roster, _ = self.build()
        assert not ready(roster)
        assert list(roster.hidden) == [ROW]

    def test_target_that_answers_has_the_address(self):
        """A record of another writer hid a sound target for good."""
        roster, foreign = self.build()
        roster.note_answering(ROW, roster.newest_start(ROW))
        assert ready(roster) == ['t1']
        assert list(roster.hidden) == [foreign]

    def test_target_that_is_gone_hides_none(self):
        """One that another target answered for does not keep its address."""
        roster, foreign = self.build()
        roster.avoid(foreign)
        assert ready(roster) == ['t1']
        assert not roster.hidden

    def test_answer_counts_until_the_target_is_gone(self):
        """The address may be given to another target later."""
        roster, foreign = self.build()
        roster.note_answering(ROW, roster.newest_start(ROW))
        roster.avoid(ROW)
        assert not ready(roster)
        assert list(roster.ready('unknown')) == [foreign]

    def test_later_start_has_the_address_again(self):
        """An answer says nothing of targets that start after it."""
        roster, _ = self.build()
        roster.note_answering(ROW, roster.newest_start(ROW))
        later = dataclasses.replace(ROW, target_id='t3', incarnation=3)
        roster.apply([RosterChange(3, 't3', later)], 4)
        assert ready(roster) == ['t3']

    def test_draining_target_is_not_asked(self):
        """It takes no new work at any address."""
        roster, _ = self.build()
        roster.apply([changed(3, phase=TargetPhase.DRAINING)], 4)
        assert not roster.hidden
