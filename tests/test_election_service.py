"""Tests of the part of one entry in the elections."""

import asyncio

import pytest

from borageyard.clock import LoopClock
from borageyard.election_service import DISCOVERY_MS
from borageyard.memory_peers import MemoryPeerNetwork
from borageyard.scheduler_election import SchedulerElection
from borageyard.standins.electing_fleet import GROUP, ElectingFleet
from borageyard.standins.virtual_time import in_virtual_time
from borageyard.term_exchange import TermExchange


class TestDiscovery:
    """The wait for the other entries after startup."""

    @pytest.mark.parametrize(
        ('span_s', 'expected'),
        [(DISCOVERY_MS / 2000, ''), (DISCOVERY_MS / 1000 + 0.3, 'entry-0')],
    )
    @in_virtual_time
    async def test_entry_without_peers(self, span_s, expected):
        """It waits for others, but not for ever."""
        async with ElectingFleet(1).running() as fleet:
            await asyncio.sleep(span_s)
            assert fleet.schedulers() == {expected}


class TestWaitFor:
    """Requests that wait for a scheduler."""

    async def wait(self, fleet, span_ms):
        """Waits at the first entry; returns the scheduler and the time."""
        service = fleet.entries['entry-0'].service
        started_s = asyncio.get_running_loop().time()
        scheduler_id = await service.wait_for(GROUP, started_s * 1000 + span_ms)
        waited_s = asyncio.get_running_loop().time() - started_s
        return scheduler_id, waited_s

    @in_virtual_time
    async def test_wait_ends_with_the_election(self):
        """The wait ends as soon as the entry knows the scheduler."""
        async with ElectingFleet(3).running() as fleet:
            scheduler_id, waited_s = await self.wait(fleet, 5000)
        assert scheduler_id
        assert waited_s < 1

    @in_virtual_time
    async def test_wait_is_bounded(self):
        """Without a ready entry there is no scheduler."""
        async with ElectingFleet(3).running() as fleet:
            for entry in fleet.entries.values():
                entry.ready = False
            scheduler_id, waited_s = await self.wait(fleet, 700)
        assert not scheduler_id
        assert waited_s == pytest.approx(0.7)


class TestGossip:
    """What entries send to each other while nothing changes."""

    @in_virtual_time
    async def test_terms_are_sent_only_with_news(self):
        """Regular rounds of gossip do not carry them."""
        async with ElectingFleet(3).running() as fleet:
            link = fleet.network.links['entry-0']
            assert [section.periodic for section in link.sections] == [False]

    @in_virtual_time
    async def test_renewal_reaches_each_entry_once_a_period(self):
        """Age of the last renewal stays far below the length of a term."""
        async with ElectingFleet(35).running() as fleet:
            await fleet.run(3)
            for _ in range(40):
                await asyncio.sleep(0.1)
                assert all(
                    entry.service.renewal_ages_ms[GROUP] < 1000
                    for entry in fleet.entries.values()
                )


class TestAnnouncement:
    """Passing news on to the neighbours."""

    @in_virtual_time
    async def test_pending_announcement_at_a_suspension(self):
        """Seeds 64 and 90 of the soak: a woken scheduler was never heard."""
        network = MemoryPeerNetwork()
        elections = [SchedulerElection(name, 1) for name in ('one', 'two')]
        exchange, _ = (
            TermExchange(election, network.join(name), LoopClock(), int)
            for name, election in zip(('one', 'two'), elections, strict=True)
        )
        elections[0].eligible = True
        elections[0].start_term(GROUP, 0, isolated=False)
        exchange.announce()
        exchange.close()
        exchange.announce()
        await asyncio.sleep(0.1)
        assert elections[1].find(GROUP, 100) == 'one'
