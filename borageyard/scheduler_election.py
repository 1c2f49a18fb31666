"""Election of the entry that schedules a group of services."""

import dataclasses
from collections.abc import Collection, Sequence

from .machine_capacity.entry_capacity import EntryCapacity
from .rendezvous import hash_weight
from .scheduler_terms import (
    ElectionReason,
    GroupElection,
    SchedulerTerm,
    TermReport,
)

# Interval at which a scheduler renews its term.
RENEWAL_MS = 600
# Delay between one candidate and the next, so that usually only one starts a
# term: time for a poll and for its announcement.
CANDIDATE_DELAY_MS = 150
# Candidates from this rank on act together.
MAX_RANK = 8
# Additional delay of entries that are small beside another candidate: the first
# of the large ones has polled and announced its term by then.
SMALL_DELAY_MS = 2 * CANDIDATE_DELAY_MS
# Interval between two polls of an entry that reaches no other one, and the
# time without a scheduler after which it schedules its own requests.
ISOLATED_POLL_MS = 400
ISOLATED_AFTER_MS = 800
# Age after which the term of a group that was removed is forgotten.
FORGET_MS = 60_000


class SchedulerElection:
    """Terms of the schedulers of all groups, as known to one entry.

    A scheduler keeps its group until it leaves or is lost, so an entry that
    starts or comes back changes nothing. When a term has ended or expired, the
    candidates act one after the other in the order of their rendezvous hashes,
    each after polling some peers. Terms that were started at the same time, or
    on both sides of a partition, are ordered by their precedence, so entries
    that have received the same reports agree.

    An entry that is small beside another candidate acts after the large ones
    (see `CapacityElection`).

    An entry that reaches no other one starts no term, because it would replace
    the scheduler of all others once they are reachable again.

    Load pattern: a burst on tens or hundreds of entries, each of which hears
    gossip from a few of the others, while schedulers die, freeze or leave.
    """

    def __init__(
        self,
        instance_id: str,
        incarnation: int,
        processor_cores: float | None = None,
    ) -> None:
        """Starts without terms.

        Args:
            instance_id: Id of this entry.
            incarnation: Its incarnation.
            processor_cores: Its computing power; None if not stated.
        """
        # Whether this entry can schedule.
        self.eligible = False
        self.capacity = EntryCapacity(processor_cores)
        # Groups of the configuration, which need a scheduler.
        self.groups: frozenset[str] = frozenset()
        self._instance_id = instance_id
        self._incarnation = incarnation
        self._elections: dict[str, GroupElection] = {}

    @property
    def isolated(self) -> bool:
        """Returns whether this entry schedules a group on its own."""
        return any(self.state_of(group).isolated for group in self.groups)

    def find(self, group: str, now_ms: float) -> str:
        """Returns the id of the scheduler of a group; empty without one.

        Args:
            group: Name of the group.
            now_ms: Monotonic time.
        """
        election = self.state_of(group)
        if election.term is not None and election.is_in_force(now_ms):
            return election.term.scheduler_id
        return self._instance_id if election.isolated else ''

    def state_of(self, group: str) -> GroupElection:
        """Returns what is known of a group, and from whom.

        Args:
            group: Name of the group.
        """
        return self._elections.setdefault(group, GroupElection())

    def reports(self, now_ms: float) -> Sequence[TermReport]:
        """Returns the terms to report to peers; forgets removed groups.

        Args:
            now_ms: Monotonic time.
        """
        self._elections = {
            group: election
            for group, election in self._elections.items()
            if group in self.groups
            or now_ms - election.renewed_at_ms < FORGET_MS
        }
        return [
            TermReport(election.term, now_ms - election.renewed_at_ms)
            for election in self._elections.values()
            if election.term is not None
        ]

    def merge(self, report: TermReport, source_id: str, now_ms: float) -> bool:
        """Merges what a peer reported.

        Args:
            report: The term, with the age of its last renewal.
            source_id: Id of the peer.
            now_ms: Monotonic time.

        Returns:
            Whether it was news, which is passed on to other peers.
        """
        election = self.state_of(report.term.group)
        if not election.merge(report, source_id, now_ms):
            return False
        # Terms of earlier incarnations of this entry.
        self.end_terms(self._instance_id, self._incarnation, self._instance_id)
        return True

    def note_contact(self) -> None:
        """Records that a peer was reached, which ends an isolation."""
        for election in self._elections.values():
            election.isolated = False

    def end_terms(
        self, instance_id: str, before_incarnation: float, source_id: str
    ) -> bool:
        """Ends the terms of incarnations of an entry that are gone.

        Args:
            instance_id: Id of the entry.
            before_incarnation: First incarnation that may still be running.
            source_id: Id of the entry that showed that they are gone.

        Returns:
            Whether a term was ended, which is passed on to peers.
        """
        ended = [
            election
            for election in self._elections.values()
            if election.term is not None
            and election.term.scheduler_id == instance_id
            and election.term.incarnation < before_incarnation
            and not election.term.ended
        ]
        for election in ended:
            election.end(source_id)
        return bool(ended)

    def leave(self) -> bool:
        """Ends the terms of this entry, which starts no more.

        Returns:
            Whether a term was ended, which is passed on to peers.
        """
        self.eligible = False
        return self.end_terms(
            self._instance_id, self._incarnation + 1, self._instance_id
        )

    def renew(self, now_ms: float) -> bool:
        """Renews the terms of this entry that are due.

        An expired term is not renewed: this entry was suspended, and another
        one may have started a term meanwhile.

        Args:
            now_ms: Monotonic time.

        Returns:
            Whether a term was renewed, which is passed on to peers.
        """
        renewed = False
        for election in self._elections.values():
            term = election.term
            if term is None or not self.is_own(term):
                continue
            due = now_ms - election.renewed_at_ms >= RENEWAL_MS
            if due and election.is_in_force(now_ms):
                renewal = term.renewal + 1
                election.term = dataclasses.replace(term, renewal=renewal)
                election.renewed_at_ms = now_ms
                renewed = True
        return renewed

    def vacancies(self, now_ms: float) -> Sequence[str]:
        """Returns the groups without a scheduler.

        Args:
            now_ms: Monotonic time.
        """
        return [
            group
            for group in sorted(self.groups)
            if self.state_of(group).update_vacancy(now_ms)
        ]

    def may_poll(
        self, group: str, candidates: Collection[str], now_ms: float
    ) -> bool:
        """Returns whether it is this entry's turn to poll for a vacant group.

        Args:
            group: Name of the group.
            candidates: Ids of the other entries that may start a term.
            now_ms: Monotonic time.
        """
        election = self.state_of(group)
        since_ms = election.vacant_since_ms
        if not self.eligible or since_ms is None:
            return False
        turn_ms = since_ms + self._delay_ms(group, candidates)
        return now_ms >= max(turn_ms, election.poll_at_ms)

    def take_over(self, group: str, former_id: str, now_ms: float) -> bool:
        """Starts a term in place of that of a peer, which asks for it.

        Args:
            group: Name of the group.
            former_id: Id of the peer.
            now_ms: Monotonic time.

        Returns:
            Whether a term was started, which is passed on to peers.
        """
        election = self.state_of(group)
        term = election.term
        if term is None or term.scheduler_id != former_id:
            return False
        if not self.eligible or not election.is_in_force(now_ms):
            return False
        election.source_id = former_id
        self._start(group, now_ms, ElectionReason.HANDED_OVER)
        return True

    def is_own(self, term: SchedulerTerm) -> bool:
        """Returns whether a term is one of this incarnation.

        Args:
            term: The term.
        """
        own = (self._instance_id, self._incarnation)
        return (term.scheduler_id, term.incarnation) == own

    def start_term(self, group: str, now_ms: float, *, isolated: bool) -> bool:
        """Starts a term after a poll, unless it showed a scheduler.

        Args:
            group: Name of the group.
            now_ms: Monotonic time.
            isolated: Whether none of the other entries answered the poll.

        Returns:
            Whether a term was started, which is passed on to peers.
        """
        election = self.state_of(group)
        if election.is_in_force(now_ms) or not self.eligible:
            return False
        election.source_id = self._instance_id
        if isolated:
            self._note_isolation(election, now_ms)
            return False
        self._start(group, now_ms, ElectionReason.STARTED)
        return True

    def _start(self, group: str, now_ms: float, reason: ElectionReason) -> None:
        election = self.state_of(group)
        election.isolated = False
        number = election.term.number + 1 if election.term else 1
        election.term = SchedulerTerm(
            group, number, self._instance_id, self._incarnation
        )
        election.renewed_at_ms = now_ms
        election.started_at_ms = now_ms
        election.reason = reason

    def _note_isolation(self, election: GroupElection, now_ms: float) -> None:
        election.poll_at_ms = now_ms + ISOLATED_POLL_MS
        since_ms = election.vacant_since_ms
        if since_ms is not None and now_ms - since_ms >= ISOLATED_AFTER_MS:
            election.isolated = True
            election.reason = ElectionReason.ISOLATED

    def _delay_ms(self, group: str, candidates: Collection[str]) -> float:
        """Returns how long this entry leaves a vacancy to other candidates."""
        term = self.state_of(group).term
        former_id = term.scheduler_id if term else ''
        others = [name for name in candidates if name != former_id]
        is_small = self.capacity.is_small(others)
        if former_id == self._instance_id and not is_small:
            return 0
        own_weight = hash_weight(group, self._instance_id)
        rank = sum(
            hash_weight(group, name) > own_weight
            for name in self.capacity.rivals(others)
        )
        delay_ms = min(rank, MAX_RANK) * CANDIDATE_DELAY_MS
        return delay_ms + SMALL_DELAY_MS if is_small else delay_ms
