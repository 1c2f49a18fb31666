"""Tests that targets which say that they leave get no new work."""

import asyncio
import types

import pytest

from tests.test_gateway import deployment
from tests.test_gateway_limits import send

# Time in which all gateways have heard of a departure, well within the time
# in which a target must have drained.
SPREAD_S = 0.6
REQUESTS = 16
FEW_REQUESTS = 4
SERVICES = types.MappingProxyType({'desk': 1, 'model': 1, 'planner': 1})


async def leave(callers, service):
    """Lets a target that gets calls leave, and gateways hear of it."""
    async with asyncio.timeout(10):
        while True:
            target = await find_called(callers, service)
            target.faults.leaving = True
            if await is_called(callers, service, target):
                break
            # No answer of it has said that it leaves.
            target.faults.leaving = False
    await asyncio.sleep(SPREAD_S)
    target.arrivals_s.clear()
    return target


async def find_called(callers, service):
    """Returns the target that gets most of the next requests."""
    targets = callers.targets(service)
    before = {target: len(target.arrivals_s) for target in targets}
    for _ in range(FEW_REQUESTS):
        await send(callers, service, 0)
    return max(
        targets, key=lambda target: len(target.arrivals_s) - before[target]
    )


async def is_called(callers, service, target):
    """Returns whether a target gets one of the next requests."""
    arrivals = len(target.arrivals_s)
    for _ in range(FEW_REQUESTS):
        await send(callers, service, 0)
        if len(target.arrivals_s) > arrivals:
            return True
    return False


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
