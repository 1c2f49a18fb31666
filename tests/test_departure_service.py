"""Tests that departures of targets reach entries that were away."""

import asyncio
import contextlib

import pytest

from borageyard.clock import LoopClock
from borageyard.departure_service import DepartureService
from borageyard.fleet_state import FleetState
from borageyard.memory_peers import MemoryPeerNetwork
from borageyard.platform.documents import DocumentDecoder
from borageyard.roster import RosterChange, RosterRow, TargetPhase
from borageyard.standins.virtual_time import in_virtual_time
from borageyard.target_departures import RETENTION_MS, TargetDepartures
from borageyard.tasks import running_tasks

TARGET = RosterRow('t1', 'model', 't:1', 'a', TargetPhase.READY, incarnation=1)
DRAINING = RosterRow(
    't1', 'model', 't:1', 'a', TargetPhase.DRAINING, incarnation=1
)
SUCCESSOR = RosterRow(
    't1', 'model', 't:1', 'a', TargetPhase.READY, incarnation=2
)
GOSSIP_INTERVAL_S = 0.3
# Time in which gossip reaches all entries, over several hops.
SPREAD_S = 1.5


class Entry:
    """Entry that has read the target's record."""

    def __init__(self, name, network):
        """Joins the network."""
        self.name = name
        self.state = FleetState(DocumentDecoder())
        self.link = network.join(name)
        self.departures = TargetDepartures(LoopClock())
        DepartureService(self.departures, self.state, self.link)
        self.read(1, TARGET)

    def read(self, offset, row):
        """Reads a record of the target."""
        change = RosterChange(offset, TARGET.target_id, row)
        self.state.roster.apply([change], offset + 1)

    @property
    def is_ready(self):
        """Whether the target gets new work from this entry."""
        return bool(self.state.roster.ready('model'))

    async def gossip(self):
        """Sends gossip until cancelled."""
        while True:
            self.link.send_gossip()
            await asyncio.sleep(GOSSIP_INTERVAL_S)


class Fleet:
    """Entries that gossip."""

    def __init__(self, size):
        """Creates entries that have read the target's record."""
        self.network = MemoryPeerNetwork()
        self.entries = [
            Entry(f'entry-{number}', self.network) for number in range(size)
        ]
        self._stack = contextlib.AsyncExitStack()

    @contextlib.asynccontextmanager
    async def running(self):
        """Runs the entries within the scope."""
        async with self._stack:
            for entry in self.entries:
                await self._run(entry)
            yield self

    async def restart(self, number):
        """Starts an entry again; its memory is gone."""
        entry = Entry(f'entry-{number}', self.network)
        self.entries[number] = entry
        await self._run(entry)
        return entry

    async def _run(self, entry):
        await self._stack.enter_async_context(running_tasks(entry.gossip))


@pytest.mark.parametrize('size', [4, 27])
class TestAway:
    """Guards against departures that are told once, as news."""

    @in_virtual_time
    async def test_entry_that_starts_later(self, size):
        """The store does not take the report of the target meanwhile."""
        async with Fleet(size).running() as fleet:
            fleet.entries[0].departures.note_leaving(TARGET)
            await asyncio.sleep(SPREAD_S)
            assert not any(entry.is_ready for entry in fleet.entries)
            for number in range(1, size):
                await fleet.restart(number)
            await asyncio.sleep(SPREAD_S)
            assert not any(entry.is_ready for entry in fleet.entries)

    @in_virtual_time
    async def test_entry_that_was_cut_off(self, size):
        """It hears of the departure once it reaches a peer again."""
        async with Fleet(size).running() as fleet:
            alone = fleet.entries[-1]
            for entry in fleet.entries[:-1]:
                fleet.network.cut(entry.name, alone.name)
                fleet.network.cut(alone.name, entry.name)
            fleet.entries[0].departures.note_leaving(TARGET)
            await asyncio.sleep(5)
            assert alone.is_ready
            fleet.network.heal()
            await asyncio.sleep(SPREAD_S)
            assert not alone.is_ready

    @in_virtual_time
    async def test_outage_that_outlasts_the_memory(self, size):
        """A departure is kept for as long as the record does not state it."""
        async with Fleet(size).running() as fleet:
            fleet.entries[0].departures.note_leaving(TARGET)
            await asyncio.sleep(2 * RETENTION_MS / 1000)
            entry = await fleet.restart(1)
            await asyncio.sleep(SPREAD_S)
            assert not entry.is_ready


class TestEnd:
    """Departures that records state are not passed on any more."""

    @pytest.mark.parametrize('row', [DRAINING, SUCCESSOR, None])
    @in_virtual_time
    async def test_record_settles_it(self, row):
        """It states the departure, is of a successor, or is gone."""
        async with Fleet(2).running() as fleet:
            fleet.entries[0].departures.note_leaving(TARGET)
            await asyncio.sleep(SPREAD_S)
            for entry in fleet.entries:
                assert entry.state.roster.unannounced_departures()
                entry.read(2, row)
                assert not entry.state.roster.unannounced_departures()
                assert entry.is_ready == (row is SUCCESSOR)
