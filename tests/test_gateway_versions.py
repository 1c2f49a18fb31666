"""Tests that a stream holds events of one software version only."""

import pytest

from borageyard.http_client import HttpCallError
from borageyard.standins.gateway_deployment import (
    FAILURE_DOMAINS,
    TARGET_PLANS,
)
from borageyard.standins.registered_target import TargetPlan
from tests.test_gateway import ALL_EVENTS, deployment, events, wait_until

VERSIONS = ('v1', 'v1.1')
# Two engines of each version.
PLANS = (
    *(plan for plan in TARGET_PLANS if plan.service != 'model'),
    *(
        TargetPlan(
            f'model-{number}',
            'model',
            FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)],
            'engine',
            software_version=VERSIONS[number // 2],
        )
        for number in range(4)
    ),
)
STREAMS = 3
EVENTS_BEFORE_BREAK = 2
# Time after which entries have read that a target is gone.
LEAVE_MS = 1100


def engines(callers, request_ids):
    """Returns the engines that ran some of the requests."""
    return [
        target
        for target in callers.targets('model')
        if set(target.runs) & set(request_ids)
    ]


def versions(callers, *request_ids):
    """Returns the versions of the engines that ran some of the requests."""
    return {
        target.plan.software_version for target in engines(callers, request_ids)
    }


async def leave(callers, target):
    """Withdraws a target and waits until all gateways know."""
    target.withdraw()
    rosters = [
        running.gateway.state.roster for running in callers.running.gateways
    ]
    await wait_until(
        lambda: (
            not any(roster.find(target.plan.target_id) for roster in rosters)
        ),
    )


async def begin(callers, gateway=0):
    """Runs a stream, whose caller gets two events; returns its id."""
    reply = await callers.stream('/brief/x', '', gateway=gateway)
    assert reply.status == 200
    return f'attempt-{callers.sent}'


async def break_next(callers):
    """Has the engine of the next stream break it off and leave."""
    (engine,) = engines(callers, [await begin(callers)])
    engine.faults.break_after = EVENTS_BEFORE_BREAK
    engine.faults.leave_ms = LEAVE_MS
    return engine


async def take_up(callers, began, gateway):
    """Goes on with a stream after its second event; returns the reply."""
    return await callers.stream(
        '/brief/x',
        '',
        gateway=gateway,
        resumes=began,
        last_event_id=str(EVENTS_BEFORE_BREAK),
    )


class TestOneAnswer:
    """Streams that go on at another engine within one answer."""

    async def test_stream_goes_on_at_the_version_that_began_it(self):
        """Incident ORDER: the next engine had another version."""
        async with deployment(plans=PLANS) as callers:
            for _ in range(STREAMS):
                engine = await break_next(callers)
                reply = await callers.stream('/brief/x', '')
                assert events(reply) == list(ALL_EVENTS)
                ran = f'attempt-{callers.sent}'
                assert len(engines(callers, [ran])) == 2
                assert len(versions(callers, ran)) == 1
                engine.announce('ready')

    async def test_stream_breaks_without_an_engine_of_its_version(self):
        """The caller sees that the stream is incomplete."""
        plans = [
            plan
            for plan in PLANS
            if plan.target_id not in {'model-1', 'model-3'}
        ]
        async with deployment(plans=plans) as callers:
            await break_next(callers)
            with pytest.raises(HttpCallError):
                await callers.stream('/brief/x', '')


class TestLaterRequests:
    """Streams that callers take up with another request."""

    @pytest.mark.parametrize('gateway', [0, 1])
    async def test_caller_goes_on_at_the_version_that_began(self, gateway):
        """At the same entry, and at one that knows nothing of the stream."""
        async with deployment(plans=PLANS) as callers:
            for _ in range(STREAMS):
                began = await begin(callers)
                (engine,) = engines(callers, [began])
                await leave(callers, engine)
                reply = await take_up(callers, began, gateway)
                assert events(reply) == [3, 4, 5]
                later = f'attempt-{callers.sent}'
                assert len(versions(callers, began, later)) == 1
                engine.announce('ready')
