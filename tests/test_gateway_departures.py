"""Tests that targets which say that they leave get no new work."""

import asyncio
import types

import pytest

from tests.test_gateway import deployment
from tests.test_gateway_limits import find_busiest, send

# Time in which all gateways have heard of a departure, well within the time
# in which a target must have drained.
SPREAD_S = 0.6
REQUESTS = 16
SERVICES = types.MappingProxyType({'desk': 1, 'model': 1, 'planner': 1})


async def leave(callers, service):
    """Lets the busiest target leave and gateways hear of it."""
    target = await find_busiest(callers, service)
    target.faults.leaving = True
    arrivals = len(target.arrivals_s)
    async with asyncio.timeout(10):
        while len(target.arrivals_s) == arrivals:
            await send(callers, service, 0)
    await asyncio.sleep(SPREAD_S)
    target.arrivals_s.clear()
    return target


@pytest.mark.parametrize('service', SERVICES)
class TestDepartures:
    """The record of the target stays ready."""

    async def test_target_that_leaves_gets_more_requests(self, service):
        """No gateway sends any once one of them was told."""
        async with deployment() as callers:
            target = await leave(callers, service)
            replies = [
                await send(callers, service, number)
                for number in range(REQUESTS)
            ]
            assert not target.arrivals_s
            assert {reply.status for reply in replies} == {200}

    async def test_store_is_away(self, service):
        """Gateways need no record for it."""
        async with deployment() as callers:
            for running in callers.running.gateways:
                running.store.faults.down = True
            target = await leave(callers, service)
            for number in range(REQUESTS):
                await send(callers, service, number)
            assert not target.arrivals_s

    async def test_successor_with_the_same_id(self, service):
        """Another incarnation gets work again."""
        async with deployment() as callers:
            target = await leave(callers, service)
            target.faults.leaving = False
            target.restart()
            async with asyncio.timeout(10):
                while not target.arrivals_s:
                    await send(callers, service, 0)
                    await send(callers, service, 1)
