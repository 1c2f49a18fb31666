"""Tests of the control lease."""

import itertools

from borageyard.backing_services import LogPage, LogRecord
from borageyard.leases import TERM_MS, LeaseManager

SOON_MS = 10
LONG_MS = 30_000


class LeaseLog:
    """Lease stream and keepers that read it."""

    def __init__(self, *names):
        """Starts with an empty stream that all have read."""
        self.records = []
        self.managers = {name: LeaseManager(name) for name in names}
        for name in names:
            self.read(name, 0)

    def append(self, proposal):
        """Appends a proposal."""
        offset = len(self.records)
        body = proposal.model_dump()
        self.records.append(LogRecord(offset, 0, body))

    def read(self, name, now_ms):
        """Lets a keeper read what there is."""
        manager = self.managers[name]
        page = LogPage(
            0,
            len(self.records),
            tuple(self.records[manager.next_offset :]),
        )
        manager.fold_page(page, now_ms)

    def propose_and_read_all(self, name, now_ms):
        """Lets a keeper propose and everybody read."""
        proposal = self.managers[name].propose(now_ms)
        if proposal is not None:
            self.append(proposal)
        for other in self.managers:
            self.read(other, now_ms + SOON_MS)
        return proposal is not None

    def propose_and_read(self, name, now_ms):
        """Lets a keeper propose and read its own record."""
        proposal = self.managers[name].propose(now_ms)
        if proposal is not None:
            self.append(proposal)
        self.read(name, now_ms + SOON_MS)

    def holders(self, now_ms):
        """Returns who believes to hold the lease."""
        return {
            name
            for name, manager in self.managers.items()
            if manager.fencing_number(now_ms) is not None
        }


class TestLease:
    """One holder at a time, under growing numbers."""

    def test_first_waits_a_term(self):
        """A lease that nobody has seen may still run."""
        log = LeaseLog('a')
        assert not log.propose_and_read_all('a', TERM_MS)
        assert log.propose_and_read_all('a', TERM_MS + 100)
        assert log.holders(TERM_MS + 200) == {'a'}

    def test_race_has_one_winner(self):
        """Of two that append at once the first in log order wins."""
        log = LeaseLog('a', 'b')
        proposals = [
            log.managers[name].propose(2 * TERM_MS) for name in ('a', 'b')
        ]
        for proposal in reversed(proposals):
            log.append(proposal)
        for name in ('a', 'b'):
            log.read(name, 2 * TERM_MS + SOON_MS)
        assert log.holders(2 * TERM_MS + SOON_MS) == {'b'}

    def test_renewal_keeps_number(self):
        """A holder keeps its number as long as it renews."""
        log = LeaseLog('a', 'b')
        start_ms = 2 * TERM_MS
        log.propose_and_read_all('a', start_ms)
        number = log.managers['a'].fencing_number(start_ms)
        for step in range(1, 10):
            now_ms = start_ms + step * TERM_MS / 2
            assert log.propose_and_read_all('a', now_ms)
            assert not log.propose_and_read_all('b', now_ms)
        assert log.managers['a'].fencing_number(now_ms) == number

    def test_paused_holder_knows_that_its_term_ended(self):
        """A holder that wakes late has no number; the new one is higher."""
        log = LeaseLog('a', 'b')
        start_ms = 2 * TERM_MS
        log.propose_and_read_all('a', start_ms)
        old = log.managers['a'].fencing_number(start_ms)
        woken_ms = start_ms + LONG_MS
        proposal = log.managers['b'].propose(woken_ms)
        log.append(proposal)
        log.read('b', woken_ms)
        assert log.managers['a'].fencing_number(woken_ms) is None
        assert log.managers['b'].fencing_number(woken_ms) > old

    def test_renewal_that_lost_gives_nothing(self):
        """A renewal behind another's record does not extend a term."""
        log = LeaseLog('a', 'b')
        start_ms = 2 * TERM_MS
        log.propose_and_read_all('a', start_ms)
        late_ms = start_ms + 2 * TERM_MS
        renewal = log.managers['a'].propose(late_ms)
        log.append(log.managers['b'].propose(late_ms))
        log.append(renewal)
        for name in ('a', 'b'):
            log.read(name, late_ms + SOON_MS)
        assert log.holders(late_ms + SOON_MS) == {'b'}

    def test_never_two_holders(self):
        """At no time do two entries hold the lease, whoever is paused."""
        log = LeaseLog('a', 'b', 'c')
        paused = itertools.cycle((None, 'a', None, 'b', 'a', 'c'))
        seen = set()
        for step in range(600):
            now_ms = step * 200
            if step % 25 == 0:
                asleep = next(paused)
            for name in sorted(log.managers.keys() - {asleep}):
                log.read(name, now_ms)
                log.propose_and_read(name, now_ms)
            holders = log.holders(now_ms + SOON_MS)
            assert len(holders) <= 1
            seen |= holders
        assert seen == {'a', 'b', 'c'}
