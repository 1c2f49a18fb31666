"""Tests of the reconciler and the order planner in virtual time."""

import asyncio
import contextlib
import copy
import dataclasses
import pathlib

import pytest

from borageyard.commands.demo import load_plan
from borageyard.configuration import parse_configuration
from borageyard.generated.http_configuration import ProposalBody
from borageyard.generated.log_leases import OrderBody
from borageyard.identifiers import new_identifier
from borageyard.orders import ObservedTarget, OrderPlanner
from borageyard.requests import Answer, PipelineRequest
from borageyard.standins.memory_deployment import MemoryDeployment
from borageyard.standins.orders import StaleOrderError

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
SIZE_BYTES = 1_000_000_000
RATE = 1e9


def next_document(plan, version='4', also_load=()):
    """Returns a document with the given versions of the model."""
    document = copy.deepcopy(dict(plan.document))
    document['models']['ganga']['version'] = version
    document['models']['ganga']['also_load'] = list(also_load)
    document['models']['ganga']['size_bytes'] = SIZE_BYTES
    return document


@contextlib.asynccontextmanager
async def running():
    """Runs entries until one of them holds the control lease."""
    plan = load_plan('hundaganga', EXAMPLES)
    plan = dataclasses.replace(
        plan,
        document=next_document(plan, '3'),
        targets_per_service={'ganga-llm': 3},
        default_targets=1,
        entries=2,
    )
    async with MemoryDeployment(plan) as deployment:
        await asyncio.sleep(8)
        yield deployment


def holders(deployment):
    """Returns the names of the entries that may send orders."""
    return [
        name
        for name, entry in deployment.entries.items()
        if entry.core._reconciler.may_send_orders()
    ]


async def apply_version(deployment, version='4', also_load=()):
    """Applies a configuration with the given versions of the model."""
    core = next(iter(deployment.entries.values())).core
    return await core.configuration.changes.apply(
        ProposalBody(
            change_id=f'version-{version}-{also_load}',
            base_version=core.fold.version,
            author='ada',
            document=next_document(deployment.plan, version, also_load),
        ),
    )


def engines(deployment):
    """Returns the stand-ins of the model engines."""
    return [
        target
        for target in deployment.targets.values()
        if target.profile.service == 'ganga-llm'
    ]


def request_for(core, deadline_ms=9000):
    """Returns a request that needs an engine."""
    return PipelineRequest(
        request_id=new_identifier(),
        pipeline='owner-assistant',
        organisation='dispatch',
        body={'dog': 'Snati'},
        expires_at_ms=core.dependencies.clock.steady_ms() + deadline_ms,
    )


@pytest.mark.looptime
class TestReconciler:
    """Model version changes through all targets."""

    async def test_one_entry_gives_orders(self):
        """Only the holder of the lease may send orders."""
        async with running() as deployment:
            assert len(holders(deployment)) == 1

    async def test_version_change_reaches_all_and_drops_the_old(self):
        """All engines load the new version and later unload the old one."""
        async with running() as deployment:
            await apply_version(deployment)
            await asyncio.sleep(30)
            loaded = {target.models['ganga'] for target in engines(deployment)}
        assert loaded == {('4',)}

    async def test_version_change_leaves_capacity(self):
        """At most one engine loads at a time and no request fails."""
        async with running() as deployment:
            core = deployment.entries['entry-1'].core
            most = 0
            outcomes = []
            for step in range(260):
                if step == 0:
                    await apply_version(deployment, '3', ('4',))
                if step == 100:
                    await apply_version(deployment, '4')
                await asyncio.sleep(0.1)
                loading = [bool(item.loading) for item in engines(deployment)]
                most = max(most, sum(loading))
                outcomes.append(
                    asyncio.ensure_future(core.run(request_for(core)))
                )
            outcomes = await asyncio.gather(*outcomes)
            loaded = {target.models['ganga'] for target in engines(deployment)}
        assert loaded == {('4',)}
        assert most == 1
        refused = [row for row in outcomes if not isinstance(row, Answer)]
        assert not refused

    async def test_old_version_stays_for_pinned_requests(self):
        """The old version stays until the longest deadline has passed."""
        async with running() as deployment:
            report = await apply_version(deployment)
            await asyncio.sleep(8)
            kept = {target.models['ganga'] for target in engines(deployment)}
        assert report.version == 2
        assert all('3' in versions for versions in kept)

    async def test_dead_holder_is_replaced(self):
        """Another entry completes the change after the holder died."""
        async with running() as deployment:
            await apply_version(deployment)
            await deployment.kill_entry(holders(deployment)[0])
            await asyncio.sleep(30)
            loaded = {target.models['ganga'] for target in engines(deployment)}
        assert loaded == {('4',)}

    async def test_late_order_is_refused_with_fencing(self):
        """An engine with fencing refuses an order with an outdated number."""
        async with running() as deployment:
            await apply_version(deployment)
            await deployment.kill_entry(holders(deployment)[0])
            await asyncio.sleep(30)
            book = deployment.orders['ganga-llm-0']
            old = OrderBody(
                number=0,
                action='unload',
                model='ganga',
                version='4',
            )
            assert book.newest_number > 0
            with pytest.raises(StaleOrderError):
                book.accept(old)

    async def test_late_order_is_repaired_without_fencing(self):
        """Without fencing, the effect of an outdated order is corrected.

        The order comes from a former holder that was paused past its term.
        """
        async with running() as deployment:
            await apply_version(deployment)
            await asyncio.sleep(30)
            book = deployment.orders['ganga-llm-0']
            book.fencing = False
            book.accept(
                OrderBody(
                    number=0,
                    action='load',
                    model='ganga',
                    version='2',
                    size_bytes=SIZE_BYTES,
                ),
            )
            book.accept(
                OrderBody(
                    number=0,
                    action='unload',
                    model='ganga',
                    version='4',
                ),
            )
            await asyncio.sleep(20)
            loaded = book.target.models['ganga']
        assert loaded == ('4',)


def observed(index, busy_slots, version='3'):
    """Returns an observed engine with eight slots."""
    loaded = {'ganga': (version,), 'ganga/dispatch-notes': (version,)}
    return ObservedTarget(
        target_id=f'ganga-llm-{index}',
        service='ganga-llm',
        loaded=loaded if version else {},
        busy_slots=busy_slots,
        slots=8,
    )


class TestPlanner:
    """Orders that the planner chooses or holds back."""

    def plan(self, targets, now_ms=0, planner=None):
        """Returns the orders for a configuration with version 4."""
        plan = load_plan('hundaganga', EXAMPLES)
        configuration = parse_configuration(next_document(plan), 2)
        planner = planner or OrderPlanner()
        return planner.plan(
            configuration,
            targets,
            RATE,
            now_ms,
            may_unload=False,
        )

    def test_busy_engines_are_not_reloaded(self):
        """No engine loads if the others can't carry the load."""
        assert not self.plan([observed(0, 7), observed(1, 7)])

    def test_idle_engines_are_reloaded_one_by_one(self):
        """One engine at a time loads if the others can carry the load."""
        orders = self.plan([observed(0, 1), observed(1, 1)])
        assert {order.target_id for order in orders} == {'ganga-llm-0'}

    def test_last_engine_is_never_reloaded(self):
        """The only engine of a service keeps serving."""
        assert not self.plan([observed(0, 0)])

    def test_empty_engine_loads_at_once(self):
        """An engine without the model loads even if the others are busy."""
        orders = self.plan([observed(0, 7), observed(1, 0, version='')])
        assert {order.target_id for order in orders} == {'ganga-llm-1'}

    def test_order_is_not_repeated_while_it_may_run(self):
        """An order is repeated only after twice its expected time.

        Repeated earlier, it might overlap with one that is still running.
        """
        planner = OrderPlanner()
        targets = [observed(0, 1), observed(1, 1)]
        first = self.plan(targets, planner=planner)
        soon = self.plan(targets, now_ms=1000, planner=planner)
        later = self.plan(targets, now_ms=5000, planner=planner)
        assert first
        assert not soon
        assert later
