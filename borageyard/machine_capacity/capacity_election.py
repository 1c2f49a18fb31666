"""Leaves the scheduling of a group to entries with more computing power."""

from collections.abc import Iterable, Sequence

from ..rendezvous import hash_weight
from ..scheduler_election import (
    CANDIDATE_DELAY_MS,
    MAX_RANK,
    SMALL_DELAY_MS,
    SchedulerElection,
)
from ..scheduler_terms import GroupElection, PollAnswer
from .entry_capacity import is_below

# Time for which a small entry leaves a vacancy to a larger one that answers:
# the last of the large candidates has acted and polled by then.
MAX_DEFERRAL_MS = MAX_RANK * CANDIDATE_DELAY_MS + SMALL_DELAY_MS
# Age of a term at which a small scheduler may hand it over, so that a larger
# entry that comes and goes moves the requests only every few seconds. The first
# term of a group may be handed over at once: few requests wait for it.
HANDOVER_AGE_MS = 3000
# Interval at which a small scheduler polls larger entries.
HANDOVER_POLL_MS = 500


class CapacityElection:
    """Decisions of an entry that is small beside others.

    The scheduler does by far the most work of all entries. A small entry that
    polls for a vacant group leaves it to a larger one that can schedule, for a
    while. A scheduler that is small beside a ready entry hands its term over.

    Load pattern: entries with a fifth of the processor time of others, most of
    a fleet, all of which start within a fraction of a second.
    """

    def __init__(self, election: SchedulerElection) -> None:
        """Creates the decisions for an election.

        Args:
            election: Terms as known to this entry.
        """
        self._election = election

    @property
    def schedules(self) -> bool:
        """Returns whether a group has a term of this entry."""
        return any(
            election.term is not None and self._election.is_own(election.term)
            for election in map(self._election.state_of, self._election.groups)
        )

    def defer(
        self,
        group: str,
        candidates: Iterable[str],
        answers: Iterable[PollAnswer],
        now_ms: float,
    ) -> float:
        """Leaves a vacancy to a larger entry, if a poll showed one.

        For the first term of a group the larger entry need not be ready:
        entries start together.

        Args:
            group: Name of the group.
            candidates: Ids of the other entries that may start a term.
            answers: Answers to the poll.
            now_ms: Monotonic time.

        Returns:
            The computing power of the larger entry; 0 if there is none or it
            had its time.
        """
        election = self._election.state_of(group)
        since_ms = election.vacant_since_ms
        if since_ms is None or now_ms - since_ms >= MAX_DEFERRAL_MS:
            return 0
        able_cores = [answer.able_cores for answer in answers]
        if election.term is None:
            able_cores.extend(answer.processor_cores for answer in answers)
            able_cores.append(self._election.capacity.largest(candidates))
        larger = max(able_cores, default=0)
        if not is_below(self._election.capacity.own_cores, larger):
            return 0
        election.poll_at_ms = now_ms + SMALL_DELAY_MS
        return larger

    def due_handovers(
        self, candidates: Iterable[str], now_ms: float
    ) -> Sequence[str]:
        """Returns the groups of this entry that a larger one may take over.

        The larger entries must be polled, because they may be gone.

        Args:
            candidates: Ids of the other entries that may start a term.
            now_ms: Monotonic time.
        """
        if not self._election.capacity.is_small(candidates):
            return []
        due = [
            group
            for group in sorted(self._election.groups)
            if self._may_hand_over(self._election.state_of(group), now_ms)
        ]
        for group in due:
            self._election.state_of(group).poll_at_ms = (
                now_ms + HANDOVER_POLL_MS
            )
        return due

    def choose_successor(
        self, group: str, answers: Iterable[PollAnswer], now_ms: float
    ) -> PollAnswer | None:
        """Returns the entry that a term of this entry is handed over to.

        Args:
            group: Name of the group.
            answers: Answers of larger entries to a poll.
            now_ms: Monotonic time.

        Returns:
            The first entry of the order of candidates, of those that are ready
            and beside which this entry is small.
        """
        election = self._election.state_of(group)
        term = election.term
        if term is None or not self._election.is_own(term):
            return None
        if not election.is_in_force(now_ms):
            return None
        ready = [answer for answer in answers if answer.ready]
        # An entry that is small itself would hand the term over again.
        own_cores = self._election.capacity.own_cores
        largest = max((one.processor_cores for one in ready), default=0)
        return max(
            (
                answer
                for answer in ready
                if is_below(own_cores, answer.processor_cores)
                and not is_below(answer.processor_cores, largest)
            ),
            key=lambda answer: hash_weight(group, answer.peer_id),
            default=None,
        )

    def _may_hand_over(self, election: GroupElection, now_ms: float) -> bool:
        term = election.term
        if term is None or not self._election.is_own(term):
            return False
        age_ms = now_ms - election.started_at_ms
        old_enough = term.number == 1 or age_ms >= HANDOVER_AGE_MS
        polled = now_ms < election.poll_at_ms
        return old_enough and not polled and election.is_in_force(now_ms)
