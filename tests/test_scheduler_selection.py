"""Tests of which entry schedules a group."""

import pytest

from borageyard.scheduler_selection import START_BUCKET_MS, choose_scheduler

START_MS = 1_000_000
NAMES = ('a', 'b', 'c', 'd')
GROUPS = tuple(f'group-{number}' for number in range(40))


def together(**later):
    """Returns entries that started together, but for some."""
    started = {name: START_MS + index for index, name in enumerate(NAMES)}
    return {**started, **later}


class TestChooseScheduler:
    """The choice, as entries die and come back."""

    def test_none(self):
        """Without entries there is none."""
        assert choose_scheduler('g', {}) is None

    @pytest.mark.parametrize('group', GROUPS)
    def test_entry_that_comes_back_takes_nothing_over(self, group):
        """Its deputy goes on."""
        owner = choose_scheduler(group, together())
        others = together()
        others.pop(owner)
        deputy = choose_scheduler(group, others)
        back = {owner: START_MS + 3 * START_BUCKET_MS}
        assert choose_scheduler(group, together(**back)) == deputy

    def test_groups_are_spread_over_those_that_started_together(self):
        """No entry schedules all of them."""
        owners = {choose_scheduler(group, together()) for group in GROUPS}
        assert owners == set(NAMES)

    def test_entry_that_dies_changes_only_its_groups(self):
        """The others stay where they are."""
        fewer = together()
        fewer.pop('a')
        for group in GROUPS:
            owner = choose_scheduler(group, together())
            if owner != 'a':
                assert choose_scheduler(group, fewer) == owner
