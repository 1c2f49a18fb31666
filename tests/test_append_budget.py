"""Tests of AppendBudget."""

import pytest

from borageyard.append_budget import AppendBudget


def appends_within(budget, span_ms):
    """Returns the number of appends allowed in a time span."""
    now_ms, count, steps = 1e6, 0, 0
    while now_ms < 1e6 + span_ms:
        wait_ms = budget.take(now_ms)
        count += not wait_ms
        now_ms += wait_ms
        steps += 1
        assert steps < 10 * span_ms
    return count


class TestShare:
    """Division of the append rate among entries."""

    @pytest.mark.parametrize(('entries', 'share'), [(1, 250), (5, 50)])
    def test_is_equal(self, entries, share):
        """Every entry gets an equal share, and waits make progress."""
        budget = AppendBudget(250, lambda: entries)
        used = appends_within(budget, 10_000)
        assert used == pytest.approx(10 * share, rel=0.1)
