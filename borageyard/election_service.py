"""Runs the election of the schedulers at one entry."""

import asyncio
import contextlib
from collections.abc import (
    AsyncIterator,
    Callable,
    Collection,
    Mapping,
    Sequence,
)

from .clock import MS_PER_S, Clock
from .events import Event, log_event
from .fleet_state import FleetState
from .machine_capacity.larger_entries import LargerEntries
from .membership import Membership, MemberState
from .peers import PeerLink
from .scheduler_election import SchedulerElection
from .tasks import running_tasks
from .term_exchange import TermExchange

TICK_MS = 100
# Time after startup in which the other entries usually become known.
DISCOVERY_MS = 1000

# Called after the scheduler of a group or the isolation of this entry changed.
ElectionListener = Callable[[], None]


class ElectionService:
    """Takes part in the election and publishes who schedules each group."""

    def __init__(
        self,
        election: SchedulerElection,
        state: FleetState,
        membership: Membership,
        link: PeerLink,
        clock: Clock,
        is_ready: Callable[[], bool],
    ) -> None:
        """Registers its messages on the link; starts no task.

        Args:
            election: Decisions of this entry.
            state: Configuration, which names the groups.
            membership: The other entries.
            link: Link to the peers.
            clock: Source of monotonic time.
            is_ready: Returns whether this entry can schedule.
        """
        # Whether this entry schedules because it reaches no other one.
        self.isolated = False
        self._election = election
        self._state = state
        self._membership = membership
        self._clock = clock
        self._is_ready = is_ready
        self._exchange = TermExchange(election, link, clock, self._publish)
        self._larger = LargerEntries(
            election, membership, self._exchange, clock
        )
        self._listeners: list[ElectionListener] = []
        self._started_at_ms = clock.steady_ms()
        self._published: Mapping[str, str] = {}
        self._changed = asyncio.Event()
        self._poll: asyncio.Task[None] | None = None

    @property
    def schedulers(self) -> Mapping[str, str]:
        """Returns the id of the scheduler by group; empty without one."""
        return self._published

    @property
    def renewal_ages_ms(self) -> Mapping[str, float]:
        """Returns the age of the last known renewal by group."""
        now_ms = self._clock.steady_ms()
        return {
            group: now_ms - self._election.state_of(group).renewed_at_ms
            for group in self._election.groups
        }

    def add_listener(self, listener: ElectionListener) -> None:
        """Registers a callback that runs after a scheduler changed."""
        self._listeners.append(listener)

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Renews terms and fills vacancies within the scope."""
        async with contextlib.AsyncExitStack() as stack:
            stack.callback(self._exchange.close)
            stack.callback(self._cancel_poll)
            await stack.enter_async_context(running_tasks(self._run))
            yield

    def find(self, service: str) -> str:
        """Returns the id of the scheduler of a service; empty without one.

        Args:
            service: Name of a service.
        """
        group = self._state.groups.get(service, service)
        return self._election.find(group, self._clock.steady_ms())

    def candidates(self) -> Collection[str]:
        """Returns the other entries that are neither lost nor leaving."""
        now_ms = self._clock.steady_ms()
        membership = self._membership
        return [
            member.instance_id
            for member in membership.members()
            if membership.state(member.instance_id, now_ms)
            is not MemberState.LOST
            and not membership.is_leaving(member.instance_id)
        ]

    async def wait_for(self, service: str, until_ms: float) -> str:
        """Waits until a service has a scheduler.

        Args:
            service: Name of a service.
            until_ms: Monotonic time at which to stop waiting.

        Returns:
            Id of the scheduler; empty if there is none.
        """
        while True:
            scheduler_id = self.find(service)
            left_ms = until_ms - self._clock.steady_ms()
            if scheduler_id or left_ms <= 0:
                return scheduler_id
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_ms / MS_PER_S):
                    await self._changed.wait()

    def update(self) -> None:
        """Renews the terms of this entry and polls for vacant groups."""
        now_ms = self._clock.steady_ms()
        election = self._election
        election.groups = frozenset(self._state.groups.values())
        election.eligible = self._is_ready()
        if election.renew(now_ms):
            self._exchange.announce()
        vacancies = election.vacancies(now_ms)
        polling = self._poll is not None and not self._poll.done()
        if vacancies and not polling and self._is_discovery_over():
            candidates = self.candidates()
            self._larger.refresh()
            due = [
                group
                for group in vacancies
                if election.may_poll(group, candidates, now_ms)
            ]
            if due:
                self._poll = asyncio.ensure_future(self._fill(due, candidates))
        elif not polling and election.eligible:
            self._poll = self._larger.start_handovers(self.candidates, now_ms)
        self._publish()

    def leave(self) -> None:
        """Ends the terms of this entry, which starts no more."""
        if self._election.leave():
            self._exchange.announce()
        self._publish()

    def note_incarnation(self, peer_id: str, incarnation: int) -> None:
        """Records contact with a peer; ends terms of its earlier incarnations.

        Args:
            peer_id: Id of the peer.
            incarnation: Its incarnation.
        """
        self._election.note_contact()
        self.note_gone(peer_id, incarnation)

    def note_gone(self, peer_id: str, before_incarnation: float) -> None:
        """Ends the terms of incarnations of a peer that are gone.

        Args:
            peer_id: Id of the peer.
            before_incarnation: First incarnation that may still be running.
        """
        if self._election.end_terms(peer_id, before_incarnation, peer_id):
            self._exchange.announce()
            self._publish()

    async def _run(self) -> None:
        while True:
            self.update()
            await asyncio.sleep(TICK_MS / MS_PER_S)

    def _cancel_poll(self) -> None:
        if self._poll is not None:
            self._poll.cancel()

    def _is_discovery_over(self) -> bool:
        """Returns whether the other entries had time to become known."""
        now_ms = self._clock.steady_ms()
        waited = now_ms - self._started_at_ms > DISCOVERY_MS
        return waited or bool(self._membership.members())

    async def _fill(
        self, groups: Sequence[str], candidates: Collection[str]
    ) -> None:
        """Polls peers and starts a term for the groups that stay vacant."""
        election = self._election
        larger = self._larger.sort(candidates)
        answers = await self._exchange.poll(groups, larger)
        now_ms = self._clock.steady_ms()
        isolated = bool(candidates) and not answers
        if not isolated:
            groups = self._larger.defer(groups, candidates, answers, now_ms)
        started = [
            election.start_term(group, now_ms, isolated=isolated)
            for group in groups
        ]
        if any(started):
            self._exchange.announce()
        self._publish()

    def _publish(self) -> None:
        """Logs changed schedulers and wakes those that wait for them."""
        now_ms = self._clock.steady_ms()
        found = {
            group: self._election.find(group, now_ms)
            for group in self._election.groups
        }
        changed = [
            group
            for group, scheduler_id in found.items()
            if self._published.get(group, '') != scheduler_id
        ]
        self._published = found
        was_isolated = self.isolated
        self.isolated = self._election.isolated
        if not changed and self.isolated == was_isolated:
            return
        for group in changed:
            self._log_change(group, now_ms)
        self._changed.set()
        self._changed = asyncio.Event()
        for listener in self._listeners:
            listener()

    def _log_change(self, group: str, now_ms: float) -> None:
        election = self._election.state_of(group)
        log_event(
            Event.SCHEDULER_CHOSEN,
            instance_id=self._membership.instance_id,
            group=group,
            scheduler_id=self._published[group],
            term=election.term.number if election.term else 0,
            reason=election.reason.value,
            source_id=election.source_id,
            age_ms=round(now_ms - election.renewed_at_ms),
        )
