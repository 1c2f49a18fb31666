"""Tests of the policy under faults, in virtual time."""

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
CRASH_TEXT = 'crash me'


@contextlib.asynccontextmanager
async def running_deployment():
    """Runs an in-memory deployment, yielded 1 s after its start."""
    plan = load_plan('hundaganga', EXAMPLES)
    async with MemoryDeployment(plan) as deployment:
        await asyncio.sleep(1)
        yield deployment


def request_for(deployment, pipeline='owner-assistant', **fields):
    """Returns a request whose deadline is 6 s from now."""
    now_ms = deployment.clock.steady_ms()
    return PipelineRequest(
        **{
            'request_id': new_identifier(),
            'pipeline': pipeline,
            'organisation': 'dispatch',
            'body': {'dog': 'Snati', 'n': new_identifier()},
            'expires_at_ms': now_ms + 6000,
            'idempotency_key': new_identifier(),
            **fields,
        }
    )


def engines(deployment):
    """Returns the simulated targets of the engine service."""
    return [
        target
        for name, target in deployment.targets.items()
        if name.startswith('ganga-llm')
    ]


class RecordingSink:
    """Token sink that records the offsets of the tokens it is sent."""

    def __init__(self):
        """Creates a sink without tokens."""
        self.offsets = []

    async def send(self, event):
        """Records the offset of a token."""
        self.offsets.append(event.offset)


@pytest.mark.looptime
class TestCrashingRequest:
    """Tests that a request that crashes targets is quarantined."""

    async def test_two_crashes_at_most(self):
        """A request sent 20 times to all entries crashes just two targets."""
        async with running_deployment() as deployment:
            for target in engines(deployment):
                target.faults.crash_on_text = CRASH_TEXT
            cores = [entry.core for entry in deployment.entries.values()]
            kinds = []
            for index in range(20):
                bad = request_for(deployment, body={'text': CRASH_TEXT})
                outcome = await cores[index % len(cores)].run(bad)
                kinds.append(outcome.kind)
            dead = [item for item in engines(deployment) if not item.alive]
        assert len(dead) == 2
        assert set(kinds) == {ErrorKind.QUARANTINED}

    async def test_other_requests_are_not_quarantined(self):
        """Requests that ran on a crashed target are not quarantined."""
        async with running_deployment() as deployment:
            for target in engines(deployment):
                target.faults.crash_on_text = CRASH_TEXT
            core = deployment.entries['entry-0'].core
            requests = [request_for(deployment) for _ in range(20)]
            requests.append(request_for(deployment, body={'text': CRASH_TEXT}))
            outcomes = await asyncio.gather(*map(core.run, requests))
            again = [request_for(deployment, body=requests[0].body)]
            outcomes.pop()
            outcomes.extend(await asyncio.gather(*map(core.run, again)))
        kinds = [
            outcome.kind
            for outcome in outcomes
            if not isinstance(outcome, Answer)
        ]
        assert ErrorKind.QUARANTINED not in kinds


@pytest.mark.looptime
class TestStreams:
    """Tests that a broken stream continues at the next token."""

    async def test_resumes_without_gap_or_repeat(self):
        """A truncated stream continues on another target."""
        async with running_deployment() as deployment:
            for target in engines(deployment):
                target.faults.truncate_next = 1
            engines(deployment)[0].faults.truncate_next = 0
            sink = RecordingSink()
            core = deployment.entries['entry-0'].core
            outcome = await core.run(request_for(deployment), sink)
        assert sink.offsets == list(range(len(sink.offsets)))
        if isinstance(outcome, Answer):
            assert len(sink.offsets) == 16


@pytest.mark.looptime
class TestFailingTargets:
    """Tests that hung and dead targets do not fail requests."""

    async def test_hedge_beats_a_hung_target(self):
        """A hedge answers a request whose first call hangs."""
        async with running_deployment() as deployment:
            core = deployment.entries['entry-0'].core
            for _ in range(30):
                await core.run(request_for(deployment))
            for target in engines(deployment)[:2]:
                target.faults.hang_next = 1
            outcomes = [
                await core.run(request_for(deployment)) for _ in range(12)
            ]
        assert all(isinstance(outcome, Answer) for outcome in outcomes)
        assert core.policy.retries.accounts['ganga-llm'].hedges

    async def test_dead_target_is_ejected(self):
        """After its first failure a dead target is ejected for a while."""
        async with running_deployment() as deployment:
            core = deployment.entries['entry-0'].core
            engines(deployment)[0].crash()
            outcomes = await asyncio.gather(
                *(core.run(request_for(deployment)) for _ in range(20)),
            )
            now_ms = deployment.clock.steady_ms()
            ejected = core.policy.outliers.is_ejected('ganga-llm-0', now_ms)
        assert all(isinstance(outcome, Answer) for outcome in outcomes)
        assert ejected


@pytest.mark.looptime
class TestDeadline:
    """Tests that requests that can't meet their deadline are refused."""

    async def test_unreachable_deadline_is_refused_at_once(self):
        """No stage runs, and the refusal states when to retry."""
        async with running_deployment() as deployment:
            core = deployment.entries['entry-0'].core
            now_ms = deployment.clock.steady_ms()
            unreachable = request_for(deployment, expires_at_ms=now_ms + 50)
            outcome = await core.run(unreachable)
            ended_ms = deployment.clock.steady_ms()
        assert outcome.kind is ErrorKind.DEADLINE_UNREACHABLE
        assert outcome.not_run is True
        assert outcome.retry_after_ms > 0
        assert ended_ms == now_ms

    async def test_late_request_is_stopped_between_stages(self):
        """A request that gets late is refused with the stages that ran."""
        async with running_deployment() as deployment:
            core = deployment.entries['entry-0'].core
            for name, target in deployment.targets.items():
                if name.startswith('retriever'):
                    target.faults.slow_factor = 150
            outcome = await core.run(
                request_for(
                    deployment,
                    expires_at_ms=deployment.clock.steady_ms() + 1500,
                ),
            )
        assert 'encode' in outcome.stages_ran
        assert 'generate' not in outcome.stages_ran
