"""Tests of an entry's share of the common retry budget."""

from borageyard.retry_budget import (
    USABLE_BUDGET_SHARE,
    RetryBudget,
    RetryBudgetLimits,
)

LIMITS = RetryBudgetLimits(ratio=0.2, extra=50, window_ms=10_000)


def count_granted(budget, now_ms, entries):
    """Returns how many retries are granted at a time."""
    count = 0
    while budget.try_spend('desk', now_ms, entries):
        count += 1
    return count


class TestShares:
    """Retries that one entry may send."""

    def test_all_entries_together_keep_the_budget(self):
        """The shares of all entries sum to at most the common budget.

        The service fails for all entries, which all spend their shares.
        """
        for entries in (1, 4, 35):
            spent = 0
            for _ in range(entries):
                budget = RetryBudget(LIMITS)
                for now_ms in range(0, 1000, 10):
                    budget.note_request('desk', now_ms)
                spent += count_granted(budget, 1000, entries)
            assert spent <= LIMITS.ratio * 100 * entries + LIMITS.extra

    def test_window_slides(self):
        """Retries count for the length of the window and no longer."""
        budget = RetryBudget(LIMITS)
        allowed = int(USABLE_BUDGET_SHARE * LIMITS.extra)
        assert count_granted(budget, 0, 1) == allowed
        assert count_granted(budget, LIMITS.window_ms, 1) == 0
        assert count_granted(budget, LIMITS.window_ms + 1, 1) == allowed

    def test_question_spends_nothing(self):
        """The answer is the same until a retry is spent."""
        budget = RetryBudget(LIMITS)
        for _ in range(2 * LIMITS.extra):
            assert budget.has_room('desk', 0, 1)
        count_granted(budget, 0, 1)
        assert not budget.has_room('desk', 0, 1)

    def test_services_have_budgets_of_their_own(self):
        """A failing service does not use the budget of another."""
        budget = RetryBudget(LIMITS)
        count_granted(budget, 0, 1)
        assert budget.try_spend('model', 0, 1)
