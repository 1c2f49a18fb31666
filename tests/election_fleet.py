"""Fleet of entries that elect schedulers, on an in-memory network."""

import asyncio
import contextlib
import functools

from borageyard.backing_services import ROLE_ENTRY, Instance
from borageyard.clock import MS_PER_S, LoopClock
from borageyard.election_service import ElectionService
from borageyard.membership import Membership
from borageyard.memory_peers import MemoryPeerNetwork
from borageyard.scheduler_election import SchedulerElection
from borageyard.standins.virtual_time import run_virtual

GROUP = 'model'


class Fleet:
    """Fleet state of a configuration with one group."""

    groups = {GROUP: GROUP}


class ElectingEntry:
    """One incarnation of an entry that takes part in elections."""

    def __init__(self, name, incarnation, fleet):
        """Joins the network; `start` starts its tasks."""
        self.name = name
        self.incarnation = incarnation
        self.ready = True
        self.log = []
        clock = LoopClock()
        self.link = fleet.network.join(name)
        membership = Membership(name, incarnation)
        membership.note_list(
            [
                Instance(listed, ROLE_ENTRY, '', 'a', incarnation=1)
                for listed in fleet.names
            ],
            clock.steady_ms(),
        )
        self.service = ElectionService(
            SchedulerElection(name, incarnation),
            Fleet(),
            membership,
            self.link,
            clock,
            lambda: self.ready,
        )
        self.service.add_listener(lambda: self.log.append(self.scheduler()))
        self._stack = contextlib.AsyncExitStack()

    async def start(self):
        """Starts its tasks."""
        await self._stack.enter_async_context(self.service.running())

    async def stop(self):
        """Stops its tasks without any notice to the others."""
        await self._stack.aclose()

    def scheduler(self):
        """Returns the id of the scheduler as this entry sees it."""
        return self.service.find(GROUP)


class ElectingFleet:
    """Entries that start within 0.3 s, and faults of them."""

    def __init__(self, size):
        """Creates a fleet that is not started."""
        self.names = [f'entry-{number}' for number in range(size)]
        self.network = MemoryPeerNetwork()
        self.entries = {}
        self._stack = contextlib.AsyncExitStack()

    @contextlib.asynccontextmanager
    async def running(self):
        """Runs all entries within the scope."""
        async with self._stack:
            for number, name in enumerate(self.names):
                await self.start(name, incarnation=1 + number)
                await asyncio.sleep(0.3 / len(self.names))
            yield self

    async def start(self, name, incarnation):
        """Starts an entry; the neighbours of an earlier one hear of it."""
        entry = ElectingEntry(name, incarnation, self)
        former = self.entries.get(name)
        self.entries[name] = entry
        if former is not None:
            for other in self.entries.values():
                if other is not entry and self.network.reaches(
                    name, other.name
                ):
                    other.service.note_incarnation(name, incarnation)
        self._stack.push_async_callback(entry.stop)
        await entry.start()
        return entry

    async def kill(self, name):
        """Ends an entry; nobody is told, as after a loss of power."""
        entry = self.entries.pop(name)
        self.network.leave(name)
        await entry.stop()
        return entry

    async def freeze(self, name, span_s):
        """Suspends an entry while the clocks go on."""
        entry = self.entries[name]
        await entry.stop()
        self.cut([name])
        await asyncio.sleep(span_s)
        self.network.heal()
        entry._stack = contextlib.AsyncExitStack()
        await entry.start()

    def cut(self, names):
        """Cuts some entries off from all others."""
        inside = set(names)
        for one in self.names:
            for other in self.names:
                if (one in inside) != (other in inside):
                    self.network.cut(one, other)

    def schedulers(self, names=None):
        """Returns the ids that the entries take for the scheduler."""
        return {
            entry.scheduler()
            for name, entry in self.entries.items()
            if names is None or name in names
        }

    def acting(self):
        """Returns the ids of the entries that take themselves for it."""
        return {
            name
            for name, entry in self.entries.items()
            if entry.scheduler() == name
        }

    async def run(self, span_s):
        """Waits; returns for how long more than one entry acted, in ms."""
        step_s = 0.05
        several_ms = 0
        for _ in range(round(span_s / step_s)):
            await asyncio.sleep(step_s)
            several_ms += step_s * MS_PER_S * (len(self.acting()) > 1)
        return several_ms

    def changes(self):
        """Returns the most selections that one entry has logged."""
        return max(len(entry.log) for entry in self.entries.values())


def in_virtual_time(test):
    """Runs an asynchronous test on a loop whose time only timers advance."""

    @functools.wraps(test)
    def decorator(*args, **kwargs):
        return run_virtual(test(*args, **kwargs))

    return decorator
