"""Tests of the share of the common retry budget."""

from borageyard.retry_budget import (
    USABLE_BUDGET_SHARE,
    RetryBudget,
    RetryBudgetLimits,
)

TERMS = RetryBudgetLimits(ratio=0.2, extra=50, window_ms=10_000)


def taken(window, now_ms, entries):
    """Returns how many repeats are granted at a time."""
    count = 0
    while window.try_spend('desk', now_ms, entries):
        count += 1
    return count


class TestShares:
    """What one entry may spend."""

    def test_all_entries_together_keep_the_budget(self):
        """The parts of a service that fails for everyone add up."""
        for entries in (1, 4, 35):
            spent = 0
            for _ in range(entries):
                window = RetryBudget(TERMS)
                for now_ms in range(0, 1000, 10):
                    window.note_request('desk', now_ms)
                spent += taken(window, 1000, entries)
            assert spent <= TERMS.ratio * 100 * entries + TERMS.extra

    def test_window_slides(self):
        """What was spent counts for the whole window, and no longer."""
        window = RetryBudget(TERMS)
        allowed = int(USABLE_BUDGET_SHARE * TERMS.extra)
        assert taken(window, 0, 1) == allowed
        assert taken(window, TERMS.window_ms, 1) == 0
        assert taken(window, TERMS.window_ms + 1, 1) == allowed

    def test_services_have_budgets_of_their_own(self):
        """One service that fails takes nothing from another."""
        window = RetryBudget(TERMS)
        taken(window, 0, 1)
        assert window.try_spend('model', 0, 1)
