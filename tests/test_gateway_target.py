"""Tests of the stand-in targets of the gateway."""

import asyncio
import contextlib

from borageyard.http_client import HttpCall, HttpClient
from borageyard.standins.gateway_target import GatewayTarget, TargetPlan
from borageyard.standins.keyed_store import KeyedStore


@contextlib.asynccontextmanager
async def engine(**fields):
    """Runs a stand-in engine and yields it with an HTTP client."""
    plan = TargetPlan('e1', 'model', 'a', 'engine', **fields)
    target = GatewayTarget(plan, KeyedStore(), {})
    async with target.running(), HttpClient() as client:
        yield target, client


def prompt(target, number=0, parts='aa:60,bb:40'):
    """Returns a call to an engine with the given prompt parts."""
    return HttpCall(
        target.address,
        'POST',
        '/reply',
        headers={
            'x-attempt-id': f'attempt-{number}',
            'x-prefix-hash': parts,
        },
        repeatable=False,
    )


class TestEngine:
    """Slots and prefix cache of an engine."""

    async def test_parts_are_prefilled_once(self):
        """Cached prompt parts are not prefilled again."""
        async with engine() as (target, client):
            await client.request(prompt(target))
            await client.request(prompt(target, parts='aa:60,cc:10'))
            assert target.prefilled_tokens == 110

    async def test_full_engine_rejects(self):
        """A full engine rejects a call and states that it ran nothing."""
        async with engine(slots=1, work_ms=50) as (target, client):
            replies = await asyncio.gather(
                *(
                    client.request(prompt(target, number))
                    for number in range(2)
                ),
            )
            assert sorted(reply.status for reply in replies) == [200, 503]
            assert len(target.runs) == 1
            (full,) = [reply for reply in replies if reply.status == 503]
            assert full.headers['x-not-executed']
