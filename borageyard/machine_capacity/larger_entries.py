"""Moves the scheduling of groups from small entries to larger ones."""

import asyncio
from collections.abc import Callable, Collection, Iterable, Sequence

from ..clock import Clock
from ..events import Event, log_event
from ..membership import Membership
from ..scheduler_election import SchedulerElection
from ..scheduler_terms import PollAnswer
from ..term_exchange import TermExchange
from .capacity_election import HANDOVER_POLL_MS, CapacityElection


class LargerEntries:
    """Entries beside which one entry is small, as far as it knows them."""

    def __init__(
        self,
        election: SchedulerElection,
        membership: Membership,
        exchange: TermExchange,
        clock: Clock,
    ) -> None:
        """Has the exchange report which entries are ready.

        Args:
            election: Terms as known to this entry.
            membership: The other entries and their computing power.
            exchange: Polls the peers.
            clock: Source of monotonic time.
        """
        self._election = election
        self._rules = CapacityElection(election)
        self._membership = membership
        self._exchange = exchange
        self._clock = clock
        # A scheduler is busy, so it looks for larger entries now and then only.
        self._next_check_at_ms: float = 0
        exchange.ready_cores = self._ready_cores

    def refresh(self) -> None:
        """Takes the computing power of the other entries."""
        self._election.capacity.others = self._membership.capacities()

    def sort(self, candidates: Iterable[str]) -> Sequence[str]:
        """Returns the candidates beside which this entry is small.

        Those that were in contact last come first: they are probably alive.

        Args:
            candidates: Ids of the other entries that may start a term.
        """
        contacts_ms = {
            member.instance_id: member.contact_at_ms or 0
            for member in self._membership.members()
        }
        larger = self._election.capacity.larger(candidates)
        return sorted(larger, key=lambda name: -contacts_ms.get(name, 0))

    def defer(
        self,
        groups: Iterable[str],
        candidates: Collection[str],
        answers: Collection[PollAnswer],
        now_ms: float,
    ) -> Sequence[str]:
        """Returns the vacant groups that are not left to larger entries.

        Args:
            groups: The vacant groups.
            candidates: Ids of the other entries that may start a term.
            answers: Answers to a poll.
            now_ms: Monotonic time.
        """
        self._note_capacities(answers)
        kept: list[str] = []
        for group in groups:
            cores = self._rules.defer(group, candidates, answers, now_ms)
            election = self._election.state_of(group)
            if not cores:
                kept.append(group)
            elif not election.deferred:
                # Logged once for each vacancy.
                election.deferred = True
                self._log_declined(group, cores, 'deferred')
        return kept

    def start_handovers(
        self, candidates: Callable[[], Collection[str]], now_ms: float
    ) -> asyncio.Task[None] | None:
        """Starts to hand over the terms that a larger entry may take over.

        Args:
            candidates: Returns the ids of the other entries that may start a
                term.
            now_ms: Monotonic time.
        """
        if not self._rules.schedules:
            self._next_check_at_ms = 0
            return None
        if now_ms < self._next_check_at_ms:
            return None
        self._next_check_at_ms = now_ms + HANDOVER_POLL_MS
        self.refresh()
        names = candidates()
        due = self._rules.due_handovers(names, now_ms)
        if not due:
            return None
        return asyncio.ensure_future(self._hand_over(due, self.sort(names)))

    async def _hand_over(
        self, groups: Sequence[str], larger: Sequence[str]
    ) -> None:
        """Asks a larger entry that is ready to take over terms of this one."""
        answers = await self._exchange.poll(groups, larger)
        now_ms = self._clock.steady_ms()
        self._note_capacities(answers)
        for group in groups:
            chosen = self._rules.choose_successor(group, answers, now_ms)
            if chosen is not None:
                self._log_declined(group, chosen.processor_cores, 'handed_over')
                await self._exchange.hand_over(chosen.peer_id, [group])

    def _note_capacities(self, answers: Iterable[PollAnswer]) -> None:
        for answer in answers:
            self._membership.note_capacity(
                answer.peer_id, answer.processor_cores
            )

    def _ready_cores(self) -> float:
        """Returns the largest power of an entry that is known to be ready."""
        return max(
            (
                member.processor_cores or 0
                for member in self._membership.alive(self._clock.steady_ms())
                if member.address
            ),
            default=0,
        )

    def _log_declined(self, group: str, cores: float, reason: str) -> None:
        log_event(
            Event.SCHEDULING_DECLINED,
            instance_id=self._membership.instance_id,
            group=group,
            reason=reason,
            own_cores=self._election.capacity.own_cores,
            larger_cores=cores,
        )
