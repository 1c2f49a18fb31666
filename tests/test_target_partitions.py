"""Tests of gateways that are partitioned from all targets."""

import asyncio
import contextlib
import dataclasses
import itertools

import pytest

from borageyard.http_client import HttpCall, HttpCallError
from borageyard.standins.gateway_deployment import poll_periodically
from borageyard.standins.target_partition import PartitionMode

from .test_gateway import deployment

GATEWAYS = 4
# Time from the start of a partition to the first requests that the users
# count, and the span of these requests.
STABLE_WINDOW_S = 3
COUNTED_S = 3
REQUESTS_PER_S = 10
# The share of those at the other gateways that is served at least.
MIN_RATIO = 2 / 3
# The share that gateways serve which are not partitioned.
MIN_SHARE = 0.95


class Traffic:
    """Sends requests of all kinds to each gateway."""

    def __init__(self, callers):
        """Starts without requests."""
        self.callers = callers
        # Statuses by gateway; None for a connection that was cut.
        self.statuses = {number: [] for number in range(GATEWAYS)}

    async def send_for(self, span_s):
        """Sends requests in turn for a time and waits for the answers."""
        sends = itertools.cycle((self.read, self.book, self.reply, self.brief))
        async with asyncio.TaskGroup() as group:
            for _ in range(round(span_s * REQUESTS_PER_S)):
                send = next(sends)
                for number in range(GATEWAYS):
                    group.create_task(self._send(send, number))
                await asyncio.sleep(1 / REQUESTS_PER_S)

    async def read(self, number):
        """Sends a plain request that may be repeated."""
        return await self.callers.call('/read/a', gateway=number)

    async def book(self, number):
        """Sends a plain request that may run once."""
        return await self.callers.call('/book/a', 'POST', gateway=number)

    async def reply(self, number):
        """Sends a prompt without stages."""
        return await self.callers.stream('/reply/x', '', gateway=number)

    async def brief(self, number):
        """Sends a prompt with stages."""
        return await self.callers.stream(gateway=number)

    def share(self, numbers):
        """Returns the share of requests that some gateways served."""
        statuses = [
            status for number in numbers for status in self.statuses[number]
        ]
        return statuses.count(200) / len(statuses)

    async def _send(self, send, number):
        try:
            status = (await send(number)).status
        except HttpCallError:
            status = None
        self.statuses[number].append(status)


async def scheduler_first(callers):
    """Returns the numbers of the gateways, the scheduler's first."""
    gateways = [running.gateway for running in callers.running.gateways]
    (scheduler_id,) = set(gateways[0].elections.schedulers.values())
    return sorted(
        range(GATEWAYS),
        key=lambda number: (
            gateways[number].settings.instance_id != scheduler_id
        ),
    )


class TestPartition:
    """Incident RECOVER: gateways without connections to any target."""

    @pytest.mark.parametrize('mode', list(PartitionMode)[1:])
    @pytest.mark.parametrize(
        'cut', [[0], [-1], [0, 1, 2]], ids=['scheduler', 'other', 'most']
    )
    async def test_callers_are_not_served(self, mode, cut):
        """They are served as often as those of the other gateways."""
        async with deployment(GATEWAYS) as callers:
            traffic = Traffic(callers)
            await traffic.send_for(1)
            numbers = await scheduler_first(callers)
            cut_numbers = [numbers[index] for index in cut]
            for number in cut_numbers:
                callers.running.gateways[number].partition.begin(mode)
            await traffic.send_for(STABLE_WINDOW_S)
            counted = Traffic(callers)
            await counted.send_for(COUNTED_S)
            others = set(numbers).difference(cut_numbers)
            assert counted.share(others) > MIN_SHARE
            assert counted.share(cut_numbers) >= MIN_RATIO

    async def test_metric(self):
        """Operators see which gateways call targets through peers."""
        async with deployment() as callers:
            running = callers.running.gateways[0]
            running.partition.begin(PartitionMode.RESET)
            await callers.call('/read/a')
            address = running.gateway.settings.metrics_address
            call = HttpCall(address, 'GET', '/metrics')
            text = (await callers.client.request(call)).body.decode()
            assert 'borageyard_partitioned_from_targets 1' in text


def long_answers(callers):
    """Lets each engine be silent for a time after the head of an answer."""
    for engine in callers.targets('model'):
        engine.faults.silent_after = 0
        engine.faults.silence_ms = 3000


def open_runs(callers):
    """Returns the number of runs that are open at engines."""
    engines = callers.targets('model')
    return sum(len(engine.open_runs._open_ids) for engine in engines)


async def wait_for_runs(callers, count):
    """Waits until so many runs are open."""
    async for _ in poll_periodically():
        if open_runs(callers) == count:
            return


class TestRules:
    """What callers of a partitioned gateway are told, and what runs."""

    @contextlib.asynccontextmanager
    async def partitioned(self):
        """Runs gateways, of which the first is partitioned."""
        async with deployment(GATEWAYS) as callers:
            callers.running.gateways[0].partition.begin(PartitionMode.RESET)
            await callers.call('/read/a')
            yield callers

    async def test_caller_that_has_left_is_worked_for(self):
        """The engine's run ends well within half a second."""
        async with self.partitioned() as callers:
            long_answers(callers)
            sending = asyncio.ensure_future(callers.stream('/reply/x', ''))
            await wait_for_runs(callers, 1)
            sending.cancel()
            async with asyncio.timeout(0.5):
                await wait_for_runs(callers, 0)

    async def test_work_goes_on_after_the_deadline(self):
        """The caller is told so, and the run ends."""
        async with self.partitioned() as callers:
            long_answers(callers)
            reply = await callers.stream('/reply/x', '', x_deadline_ms='600')
            assert reply.status == 504
            async with asyncio.timeout(0.5):
                await wait_for_runs(callers, 0)

    async def test_lost_peer_makes_a_request_run_twice(self):
        """It may run once only, and its caller is not told that it did not."""
        async with self.partitioned() as callers:
            sending = await self.begin_booking(callers)
            for running in callers.running.gateways[1:]:
                await running.kill()
            assert (await sending).status == 502
            assert self.bookings(callers) == 1

    async def test_request_under_way_at_the_cut_is_refused_as_not_run(self):
        """It may have run, so its caller gets 502, not 503."""
        async with deployment(GATEWAYS) as callers:
            sending = await self.begin_booking(callers)
            callers.running.gateways[0].partition.begin(PartitionMode.RESET)
            assert (await sending).status == 502
            assert self.bookings(callers) == 1

    async def begin_booking(self, callers):
        """Sends a request that may run once, and waits until it runs."""
        for desk in callers.targets('desk'):
            desk.runs.clear()
            desk.plan = dataclasses.replace(desk.plan, work_ms=800)
        sending = asyncio.ensure_future(callers.call('/book/a', 'POST'))
        async for _ in poll_periodically():
            if self.bookings(callers):
                break
        return sending

    def bookings(self, callers):
        """Returns how often requests ran."""
        return sum(len(desk.runs) for desk in callers.targets('desk'))


class TestBeliefs:
    """What a partitioned gateway makes the others believe."""

    async def test_engines_are_backed_off_for_all(self):
        """Its broken streams say nothing of the engines."""
        async with deployment(GATEWAYS) as callers:
            numbers = await scheduler_first(callers)
            cut = callers.running.gateways[numbers[-1]]
            scheduler = callers.running.gateways[numbers[0]].gateway.service
            long_answers(callers)
            sends = [
                asyncio.ensure_future(
                    callers.stream('/reply/x', '', gateway=numbers[-1])
                )
                for _ in range(4)
            ]
            await wait_for_runs(callers, 4)
            cut.partition.begin(PartitionMode.RESET)
            await asyncio.sleep(0.5)
            engines = scheduler.scheduler.placer._engines.values()
            now_ms = cut.gateway.dependencies.clock.steady_ms()
            assert max(one.avoid_until_ms for one in engines) <= now_ms
            await asyncio.gather(*sends, return_exceptions=True)
