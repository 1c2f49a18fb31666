"""Tests of the targets that are asked whether this entry is partitioned."""

import pytest

from borageyard.path_witnesses import WITNESSES, choose_witnesses
from borageyard.roster import RosterRow, TargetPhase


def row(name, service='a', domain='north', phase=TargetPhase.READY):
    """Returns the announcement of a target."""
    return RosterRow(name, service, name, domain, phase)


class TestChoice:
    """Which targets are asked."""

    def test_other_services_come_first(self):
        """A fault of one service then looks like no partition."""
        rows = [row(f'a{number}') for number in range(9)]
        rows += [row('b', 'b'), row('c', 'c')]
        chosen = choose_witnesses(rows, 'key', ())
        assert {one.service for one in chosen} == {'a', 'b', 'c'}

    def test_other_domains_come_next(self):
        """The fault may be that of a domain."""
        rows = [row(f'a{number}') for number in range(9)]
        rows += [row('s', domain='south'), row('e', domain='east')]
        chosen = choose_witnesses(rows, 'key', ())
        assert {one.failure_domain for one in chosen} == {
            'north',
            'south',
            'east',
        }

    @pytest.mark.parametrize('count', [0, 1, 2, 300])
    def test_number(self, count):
        """As many as there are, up to a bound."""
        rows = [row(f'a{number}') for number in range(count)]
        assert len(choose_witnesses(rows, 'key', ())) == min(count, WITNESSES)

    def test_targets_that_may_be_down(self):
        """They and those that leave say nothing."""
        rows = [row('lost'), row('leaving', phase=TargetPhase.DRAINING)]
        assert not choose_witnesses(rows, 'key', {'lost'})
