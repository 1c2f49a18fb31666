"""In-memory fleet of entries that elect schedulers, with faults."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Collection, Mapping

from ..backing_services import ROLE_ENTRY, Instance
from ..clock import MS_PER_S, LoopClock
from ..election_service import ElectionService
from ..fleet_state import FleetState
from ..membership import Membership
from ..memory_peers import MemoryPeerNetwork
from ..platform.documents import DocumentDecoder
from ..scheduler_election import SchedulerElection
from ..tasks import running_tasks

GROUP = 'model'
# Entries of a deployment start within this time.
START_SPREAD_S = 0.3
SAMPLE_S = 0.05
# Time until the shared store lists an entry that has started, and interval at
# which entries read the list.
LISTING_DELAY_S = 0.3
LISTING_INTERVAL_S = 0.25


class ElectingEntry:
    """One incarnation of an entry that takes part in elections."""

    def __init__(
        self,
        name: str,
        incarnation: int,
        listed: Collection[str],
        network: MemoryPeerNetwork,
        processor_cores: float | None = None,
    ) -> None:
        """Joins the network; ``start`` starts its tasks.

        Args:
            name: Instance id.
            incarnation: Its incarnation.
            listed: Ids of all entries of the instance list.
            network: Network to the other entries.
            processor_cores: Computing power; None if not stated.
        """
        self.name = name
        self.incarnation = incarnation
        self.ready = True
        # Schedulers in the order in which this entry selected them.
        self.selections: list[str] = []
        self.state = FleetState(DocumentDecoder())
        self.state.groups = {GROUP: GROUP}
        self.link = network.join(name)
        clock = LoopClock()
        self.membership = Membership(name, incarnation)
        self.membership.note_list(
            [Instance(other, ROLE_ENTRY, '', '') for other in listed],
            clock.steady_ms(),
        )
        self.service = ElectionService(
            SchedulerElection(name, incarnation, processor_cores),
            self.state,
            self.membership,
            self.link,
            clock,
            self._is_ready,
        )
        self.service.add_listener(self._record_selection)
        self._stack = contextlib.AsyncExitStack()

    @property
    def scheduler_id(self) -> str:
        """Returns the id of the scheduler as this entry sees it."""
        return self.service.find(GROUP)

    async def start(self) -> None:
        """Starts its tasks."""
        await self._stack.enter_async_context(self.service.running())

    async def stop(self) -> None:
        """Stops its tasks without notice to the others."""
        await self._stack.aclose()

    def leave(self) -> None:
        """Begins to drain."""
        self.ready = False
        self.service.leave()

    def _is_ready(self) -> bool:
        return self.ready

    def _record_selection(self) -> None:
        self.selections.append(self.scheduler_id)


class ElectingFleet:
    """Entries that gossip to their neighbours only."""

    def __init__(
        self,
        size: int,
        entry_type: Callable[..., ElectingEntry] = ElectingEntry,
        cores: Mapping[str, float] | None = None,
    ) -> None:
        """Creates a fleet that is not started.

        Args:
            size: Number of entries.
            entry_type: Class of the entries.
            cores: Computing power of the entries that state it. If it is
                given, entries learn of others some time after those have
                started, as from the shared store; otherwise all are listed
                from the start.
        """
        self._entry_type = entry_type
        self._cores = cores
        # Time at which each entry first started.
        self._listed_at_s: dict[str, float] = {}
        self.names = [f'entry-{number}' for number in range(size)]
        self.network = MemoryPeerNetwork()
        self.entries: dict[str, ElectingEntry] = {}
        self._incarnation = 0
        self._stack = contextlib.AsyncExitStack()

    @property
    def acting(self) -> Collection[str]:
        """Returns the ids of the entries that schedule the group."""
        return [
            name
            for name, entry in self.entries.items()
            if entry.scheduler_id == name
        ]

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator['ElectingFleet']:
        """Runs all entries within the scope."""
        async with self._stack:
            if self._cores is not None:
                await self._stack.enter_async_context(
                    running_tasks(self._list_entries)
                )
            for name in self.names:
                await self.start(name)
                await asyncio.sleep(START_SPREAD_S / len(self.names))
            yield self

    async def start(self, name: str) -> None:
        """Starts an entry; those that it reaches notice its incarnation.

        Args:
            name: Instance id of the entry, which does not run.
        """
        self._incarnation += 1
        restarted = name in self._listed_at_s
        entry = self._create(name)
        for other in self.entries.values():
            if self.network.reaches(name, other.name):
                other.service.note_incarnation(name, entry.incarnation)
                if restarted:
                    other.membership.note_contact(
                        name,
                        entry.incarnation,
                        asyncio.get_running_loop().time() * MS_PER_S,
                    )
        self.entries[name] = entry
        self._stack.push_async_callback(entry.stop)
        await entry.start()

    async def kill(self, name: str, *, refused: bool = False) -> None:
        """Ends an entry without notice.

        Args:
            name: Instance id of the entry.
            refused: Whether its machine stays up and refuses connections.
        """
        entry = self.entries.pop(name)
        self.network.leave(name)
        await entry.stop()
        if not refused:
            return
        for other in self.entries.values():
            other.service.note_gone(name, entry.incarnation + 1)

    async def freeze(self, name: str, span_s: float) -> None:
        """Suspends an entry while the clocks go on.

        Args:
            name: Instance id of the entry.
            span_s: Length of the suspension in seconds.
        """
        entry = self.entries[name]
        await entry.stop()
        self.cut([name])
        await asyncio.sleep(span_s)
        self.network.heal()
        await entry.start()

    def cut(self, names: Collection[str]) -> None:
        """Cuts some entries off from all others.

        Args:
            names: Instance ids of these entries.
        """
        inside = frozenset(names)
        for one in self.names:
            for other in self.names:
                if (one in inside) != (other in inside):
                    self.network.cut(one, other)

    def schedulers(self, names: Collection[str] | None = None) -> set[str]:
        """Returns the distinct ids that entries take for the scheduler.

        Args:
            names: Entries to ask; all that run by default.
        """
        return {
            entry.scheduler_id
            for name, entry in self.entries.items()
            if names is None or name in names
        }

    async def run(self, span_s: float) -> float:
        """Waits; returns for how long several entries scheduled, in ms.

        Args:
            span_s: Time to wait in seconds.
        """
        several_ms: float = 0
        for _ in range(round(span_s / SAMPLE_S)):
            await asyncio.sleep(SAMPLE_S)
            if len(self.acting) > 1:
                several_ms += SAMPLE_S * MS_PER_S
        return several_ms

    async def wait_until_agreed(self, span_s: float) -> float:
        """Waits until all entries know the same scheduler.

        Args:
            span_s: Longest time to wait in seconds.

        Returns:
            The time in milliseconds until then; infinite if they do not agree.
        """
        for step in range(round(span_s / SAMPLE_S)):
            known = self.schedulers()
            if len(known) == 1 and known <= self.entries.keys():
                return step * SAMPLE_S * MS_PER_S
            await asyncio.sleep(SAMPLE_S)
        return float('inf')

    def most_selections(self) -> int:
        """Returns how often the entry that changed most did so."""
        return max(len(entry.selections) for entry in self.entries.values())

    def _create(self, name: str) -> ElectingEntry:
        if self._cores is None:
            return self._entry_type(
                name, self._incarnation, self.names, self.network
            )
        now_s = asyncio.get_running_loop().time()
        self._listed_at_s.setdefault(name, now_s + LISTING_DELAY_S)
        return self._entry_type(
            name, self._incarnation, [], self.network, self._cores.get(name)
        )

    async def _list_entries(self) -> None:
        """Lets the entries read the instance list."""
        cores = self._cores or {}
        while True:
            now_s = asyncio.get_running_loop().time()
            rows = [
                Instance(
                    name, ROLE_ENTRY, '', '', processor_cores=cores.get(name, 0)
                )
                for name, listed_at_s in self._listed_at_s.items()
                if now_s >= listed_at_s
            ]
            for entry in self.entries.values():
                entry.membership.note_list(rows, now_s * MS_PER_S)
            await asyncio.sleep(LISTING_INTERVAL_S)
