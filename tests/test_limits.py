"""Tests of rate limits across entries."""

from borageyard.configuration import Organisation
from borageyard.limits import OrganisationLimits

KENNELS = Organisation('kennels', 1, 100, 10, '')


def exchange_demand(entries, now_ms):
    """Exchanges the demand between all entries."""
    demands = {
        name: limits.publish_demand(now_ms) for name, limits in entries.items()
    }
    for name, limits in entries.items():
        for peer, demand in demands.items():
            if peer != name:
                limits.note_peer(peer, demand, now_ms)


def build(count):
    """Returns the limits of a number of entries that know the count."""
    entries = {f'e{index}': OrganisationLimits() for index in range(count)}
    for limits in entries.values():
        limits.note_entries(count)
    return entries


def flood(entries, asked, start_ms, end_ms):
    """Sends requests every millisecond and returns their start times."""
    starts = []
    for now_ms in range(start_ms, end_ms):
        if now_ms % 200 == 0:
            exchange_demand(entries, now_ms)
        for name in asked:
            decision = entries[name].take(KENNELS, now_ms)
            if decision.allowed:
                starts.append(now_ms + decision.wait_ms)
    return starts


def most_in_10_s(starts):
    """Returns the largest number of starts within any 10 s."""
    starts = sorted(starts)
    most = 0
    first = 0
    for index, start_ms in enumerate(starts):
        while starts[first] <= start_ms - 10_000:
            first += 1
        most = max(most, index - first + 1)
    return most


def share_percent(limits, now_ms):
    """Returns the share of the limit that an entry has, in percent."""
    return round(limits.share('kennels', now_ms) * 100)


class TestLimits:
    """The entries together keep the limit."""

    def test_flood_at_all_entries(self):
        """The limit plus its burst holds over any 10 s, and is used up."""
        starts = flood(build(5), ('e0', 'e1', 'e2'), 0, 25_000)
        assert most_in_10_s(starts) <= 1.05 * (100 * 10 + 10)
        assert most_in_10_s(starts) >= 0.9 * 100 * 10

    def test_shares_follow_demand(self):
        """An entry that sees all the demand gets most of the limit."""
        entries = build(5)
        flood(entries, ('e0',), 0, 3000)
        assert share_percent(entries['e0'], 3000) > 80

    def test_moving_demand_keeps_the_limit(self):
        """The limit holds while callers move between entries."""
        entries = build(5)
        starts = flood(entries, ('e0',), 0, 10_000)
        starts += flood(entries, ('e3', 'e4'), 10_000, 20_000)
        assert most_in_10_s(starts) <= 1.05 * (100 * 10 + 10)

    def test_silent_peers_leave_an_equal_part(self):
        """An entry cut off from its peers uses an equal share.

        The share follows the last known number of entries.
        """
        entries = build(5)
        flood(entries, ('e0',), 0, 2000)
        assert share_percent(entries['e0'], 60_000) == 20

    def test_wait_is_told(self):
        """A refusal states the wait before a retry."""
        limits = OrganisationLimits()
        decisions = [limits.take(KENNELS, 0) for _ in range(200)]
        assert not decisions[-1].allowed
        assert decisions[-1].wait_ms >= 1000
