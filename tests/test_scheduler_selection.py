"""Tests of the selection of the entry that schedules a group."""

import pytest

from borageyard.scheduler_selection import START_BUCKET_MS, choose_scheduler

START_MS = 1_000_000
NAMES = ('a', 'b', 'c', 'd')
GROUPS = tuple(f'group-{number}' for number in range(40))


def together(**later):
    """Returns entries that started together, except for the overrides."""
    started = {name: START_MS + index for index, name in enumerate(NAMES)}
    return {**started, **later}


class TestChooseScheduler:
    """The choice while entries die and restart."""

    def test_none(self):
        """There is no scheduler without entries."""
        assert choose_scheduler('g', {}) is None

    @pytest.mark.parametrize('group', GROUPS)
    def test_entry_that_comes_back_takes_nothing_over(self, group):
        """A restarted entry does not take its groups back."""
        owner = choose_scheduler(group, together())
        others = together()
        others.pop(owner)
        deputy = choose_scheduler(group, others)
        back = {owner: START_MS + 3 * START_BUCKET_MS}
        assert choose_scheduler(group, together(**back)) == deputy

    def test_groups_are_spread_over_those_that_started_together(self):
        """Each entry schedules some groups."""
        owners = {choose_scheduler(group, together()) for group in GROUPS}
        assert owners == set(NAMES)

    def test_entry_that_dies_changes_only_its_groups(self):
        """The groups of the surviving entries keep their schedulers."""
        fewer = together()
        fewer.pop('a')
        for group in GROUPS:
            owner = choose_scheduler(group, together())
            if owner != 'a':
                assert choose_scheduler(group, fewer) == owner
