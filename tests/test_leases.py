"""Tests of the control lease."""

import itertools

from borageyard.backing_services import LogPage, LogRecord
from borageyard.leases import LEASE_TERM_MS, LeaseManager

READ_DELAY_MS = 10
PAUSE_MS = 30_000


class LeaseLog:
    """A lease stream and the managers that read it."""

    def __init__(self, *names):
        """Creates an empty stream that all managers have read at time 0."""
        self.records = []
        self.managers = {name: LeaseManager(name) for name in names}
        for name in names:
            self.read(name, 0)

    def append(self, proposal):
        """Appends a proposal to the stream."""
        offset = len(self.records)
        body = proposal.model_dump()
        self.records.append(LogRecord(offset, 0, body))

    def read(self, name, now_ms):
        """Lets a manager read all new records."""
        manager = self.managers[name]
        page = LogPage(
            0,
            len(self.records),
            tuple(self.records[manager.next_offset :]),
        )
        manager.fold_page(page, now_ms)

    def propose_and_read_all(self, name, now_ms):
        """Lets a manager propose and all managers read.

        Returns whether it proposed.
        """
        proposal = self.managers[name].propose(now_ms)
        if proposal is not None:
            self.append(proposal)
        for other in self.managers:
            self.read(other, now_ms + READ_DELAY_MS)
        return proposal is not None

    def propose_and_read(self, name, now_ms):
        """Lets a manager propose and read alone."""
        proposal = self.managers[name].propose(now_ms)
        if proposal is not None:
            self.append(proposal)
        self.read(name, now_ms + READ_DELAY_MS)

    def holders(self, now_ms):
        """Returns the names of the managers that hold the lease."""
        return {
            name
            for name, manager in self.managers.items()
            if manager.fencing_number(now_ms) is not None
        }


class TestLease:
    """There is one holder at a time, and fencing numbers increase."""

    def test_first_waits_a_term(self):
        """The first proposal waits a term, as an unread lease may still run."""
        log = LeaseLog('a')
        assert not log.propose_and_read_all('a', LEASE_TERM_MS)
        assert log.propose_and_read_all('a', LEASE_TERM_MS + 100)
        assert log.holders(LEASE_TERM_MS + 200) == {'a'}

    def test_race_has_one_winner(self):
        """Of two concurrent appends the first in log order takes the lease."""
        log = LeaseLog('a', 'b')
        proposals = [
            log.managers[name].propose(2 * LEASE_TERM_MS) for name in ('a', 'b')
        ]
        for proposal in reversed(proposals):
            log.append(proposal)
        for name in ('a', 'b'):
            log.read(name, 2 * LEASE_TERM_MS + READ_DELAY_MS)
        assert log.holders(2 * LEASE_TERM_MS + READ_DELAY_MS) == {'b'}

    def test_renewal_keeps_number(self):
        """A holder keeps its fencing number as long as it renews."""
        log = LeaseLog('a', 'b')
        start_ms = 2 * LEASE_TERM_MS
        log.propose_and_read_all('a', start_ms)
        number = log.managers['a'].fencing_number(start_ms)
        for step in range(1, 10):
            now_ms = start_ms + step * LEASE_TERM_MS / 2
            assert log.propose_and_read_all('a', now_ms)
            assert not log.propose_and_read_all('b', now_ms)
        assert log.managers['a'].fencing_number(now_ms) == number

    def test_paused_holder_knows_that_its_term_ended(self):
        """A holder paused past its term has no number.

        The number of the next holder is higher.
        """
        log = LeaseLog('a', 'b')
        start_ms = 2 * LEASE_TERM_MS
        log.propose_and_read_all('a', start_ms)
        old = log.managers['a'].fencing_number(start_ms)
        woken_ms = start_ms + PAUSE_MS
        proposal = log.managers['b'].propose(woken_ms)
        log.append(proposal)
        log.read('b', woken_ms)
        assert log.managers['a'].fencing_number(woken_ms) is None
        assert log.managers['b'].fencing_number(woken_ms) > old

    def test_late_renewal_has_no_effect(self):
        """A renewal appended after another's record does not extend a term."""
        log = LeaseLog('a', 'b')
        start_ms = 2 * LEASE_TERM_MS
        log.propose_and_read_all('a', start_ms)
        late_ms = start_ms + 2 * LEASE_TERM_MS
        renewal = log.managers['a'].propose(late_ms)
        log.append(log.managers['b'].propose(late_ms))
        log.append(renewal)
        for name in ('a', 'b'):
            log.read(name, late_ms + READ_DELAY_MS)
        assert log.holders(late_ms + READ_DELAY_MS) == {'b'}

    def test_never_two_holders(self):
        """Two entries never hold the lease at once, whichever is paused."""
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
            holders = log.holders(now_ms + READ_DELAY_MS)
            assert len(holders) <= 1
            seen |= holders
        assert seen == {'a', 'b', 'c'}
