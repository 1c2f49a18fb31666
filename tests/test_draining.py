"""Tests of stopping entries and leaving targets."""

import asyncio
import contextlib
import pathlib

import pytest

from borageyard.commands.demo import load_plan
from borageyard.draining import PROPAGATION_MS, DrainPhase, DrainPlan
from borageyard.errors import ErrorKind
from borageyard.identifiers import new_identifier
from borageyard.requests import Answer, PipelineRequest
from borageyard.standins.memory_deployment import MemoryDeployment

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
DISCOVERY_S = 2


@contextlib.asynccontextmanager
async def running():
    """Runs in-memory entries that have discovered each other."""
    plan = load_plan('hundaganga', EXAMPLES)
    async with MemoryDeployment(plan) as deployment:
        await asyncio.sleep(DISCOVERY_S)
        yield deployment


def request_for(core):
    """Returns a request that starts now."""
    return PipelineRequest(
        request_id=new_identifier(),
        pipeline='route-summary',
        organisation='dispatch',
        body={'dog': 'Snati'},
        expires_at_ms=core.dependencies.clock.steady_ms() + 9000,
        idempotency_key=new_identifier(),
    )


def advertised_entries(core):
    """Returns the ids of the entries that an entry gives to callers."""
    return sorted(entry.instance_id for entry in core.entry_addresses(''))


class TestDrainPlan:
    """Phases of a drain."""

    def test_serves_until_callers_have_other_addresses(self):
        """A short drain time does not cut off callers with cached addresses."""
        plan = DrainPlan(drain_ms=0, address_ttl_ms=5000)
        assert plan.phase(0) is DrainPhase.SERVING
        plan.start(0)
        plan.start(4000)
        assert plan.phase(5000) is DrainPhase.LEAVING
        assert plan.phase(5000 + PROPAGATION_MS) is DrainPhase.REFUSING
        assert plan.remaining_ms(5000) == PROPAGATION_MS


@pytest.mark.looptime
class TestEntry:
    """An entry that stops."""

    async def test_unlisted_then_serves_then_refuses(self):
        """It is no longer given out, then serves, then refuses."""
        async with running() as deployment:
            cores = [entry.core for entry in deployment.entries.values()]
            stopping = cores[0]
            work = asyncio.ensure_future(stopping.drain())
            await asyncio.sleep(0)
            addresses = [advertised_entries(core) for core in cores]
            served = await stopping.run(request_for(stopping))
            await work
            refused = await stopping.run(request_for(stopping))
        assert all('entry-0' not in names for names in addresses)
        assert all(len(names) == 3 for names in addresses)
        assert isinstance(served, Answer)
        assert refused.kind is ErrorKind.DRAINING
        assert refused.not_run is True

    async def test_ends_after_its_last_request(self):
        """A request that is running when refusals begin is completed."""
        async with running() as deployment:
            core = deployment.entries['entry-0'].core
            for target in deployment.targets.values():
                target.faults.slow_factor = 20
            drained = asyncio.ensure_future(core.drain())
            # The request starts just before refusals begin.
            await asyncio.sleep(core.drain_plan.min_serving_ms / 1000 - 0.1)
            last = asyncio.ensure_future(core.run(request_for(core)))
            await asyncio.sleep(0.2)
            assert not drained.done()
            assert isinstance(await last, Answer)
            await drained

    async def test_dead_entry_is_not_given_out(self):
        """An entry that is listed but silent is not given to callers."""
        async with running() as deployment:
            await deployment.kill_entry('entry-1')
            await asyncio.sleep(DISCOVERY_S)
            core = deployment.entries['entry-0'].core
            assert advertised_entries(core) == ['entry-0', 'entry-2', 'entry-3']


@pytest.mark.looptime
class TestTarget:
    """A target that leaves."""

    async def test_mark_at_one_entry_reaches_all(self):
        """No entry gives it new work after three seconds."""
        async with running() as deployment:
            target = deployment.targets['ganga-llm-0']
            first = deployment.entries['entry-0'].core
            first.directory.mark_leaving('ganga-llm-0')
            await asyncio.sleep(3)
            before = len(target.executions)
            for entry in deployment.entries.values():
                for _ in range(10):
                    await entry.core.run(request_for(entry.core))
            assert len(target.executions) == before

    async def test_mark_spreads_around_a_cut_link(self):
        """Gossip takes a way around a cut link through other entries."""
        async with running() as deployment:
            deployment.network.cut('entry-0', 'entry-1')
            first = deployment.entries['entry-0'].core
            first.directory.mark_leaving('ganga-llm-0')
            await asyncio.sleep(3)
            other = deployment.entries['entry-1'].core
            names = [
                state.target_id
                for state in other.directory.candidates('ganga-llm')
            ]
            assert 'ganga-llm-0' not in names
