"""Tests of entry cores on in-memory stand-ins, in virtual time."""

import asyncio
import contextlib
import pathlib

import pytest

from borageyard.commands.demo import load_plan
from borageyard.errors import ErrorKind
from borageyard.identifiers import new_identifier
from borageyard.requests import Answer, PipelineRequest
from borageyard.standins.memory_deployment import MemoryDeployment

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'


@contextlib.asynccontextmanager
async def running():
    """Runs an in-memory deployment; yields it and its first entry core."""
    plan = load_plan('hundaganga', EXAMPLES)
    async with MemoryDeployment(plan) as deployment:
        yield deployment, deployment.entries['entry-0'].core


def request_for(core, pipeline, deadline_ms=9000):
    """Returns a request that starts now."""
    return PipelineRequest(
        request_id=new_identifier(),
        pipeline=pipeline,
        organisation='dispatch',
        body={'dog': 'Snati'},
        expires_at_ms=core.dependencies.clock.steady_ms() + deadline_ms,
        idempotency_key=new_identifier(),
    )


@pytest.mark.looptime
class TestCore:
    """An entry without sockets."""

    async def test_answers(self):
        """A request gets a complete answer."""
        async with running() as (_, core):
            outcome = await core.run(request_for(core, 'booking'))
        assert isinstance(outcome, Answer)

    async def test_crash_of_non_idempotent_call_is_unknown(self):
        """A booking whose target died is not retried; it may have run."""
        async with running() as (deployment, core):
            for name, bokun in deployment.targets.items():
                bokun.faults.lose_answer_next = int(name.startswith('bokun'))
            outcome = await core.run(request_for(core, 'booking'))
            runs = [
                run
                for target in deployment.targets.values()
                for run in target.executions
                if run.stage == 'book'
            ]
        assert outcome.kind is ErrorKind.OUTCOME_UNKNOWN
        assert outcome.not_run == 'unknown'
        assert len(runs) == 1

    async def test_many_requests_keep_their_answers(self):
        """Concurrent requests get their own answers."""
        async with running() as (_, core):
            requests = [request_for(core, 'route-summary') for _ in range(40)]
            outcomes = await asyncio.gather(*map(core.run, requests))
        for request, outcome in zip(requests, outcomes, strict=True):
            assert isinstance(outcome, Answer)
            assert outcome.request_id == request.request_id
