"""Tests of going on with a request whose entry has died."""

import asyncio
import contextlib
import dataclasses
import pathlib

import pytest

from borageyard.commands.demo import load_plan
from borageyard.errors import Refusal
from borageyard.generated.peer_handover import (
    HandoverEndBody,
    HandoverSaveBody,
    HandoverStartBody,
    KeptStageBody,
)
from borageyard.handover_memory import GRACE_MS, HandoverMemory
from borageyard.handover_places import (
    choose_keeper,
    handover_key,
    possible_keepers,
)
from borageyard.identifiers import new_identifier
from borageyard.requests import Answer, PipelineRequest
from borageyard.standins.memory_deployment import MemoryDeployment

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
SETTLE_S = 2


@contextlib.asynccontextmanager
async def running():
    """Runs entries in memory that have heard each other."""
    plan = load_plan('hundaganga', EXAMPLES)
    stages = [
        {'name': 'book', 'service': 'bokun', 'operation': 'book'},
        {'name': 'generate', 'service': 'ganga-llm', 'inputs': ['book']},
    ]
    confirm = {'deadline_ms': 9000, 'stages': stages}
    pipelines = {**plan.document['pipelines'], 'confirm': confirm}
    document = {**plan.document, 'pipelines': pipelines}
    plan = dataclasses.replace(plan, document=document)
    async with MemoryDeployment(plan) as deployment:
        await asyncio.sleep(SETTLE_S)
        yield deployment


def request_for(core, pipeline='route-summary', **fields):
    """Returns a request that its caller can come back for."""
    request = PipelineRequest(
        request_id=new_identifier(),
        pipeline=pipeline,
        organisation='dispatch',
        body={'dog': 'Snati'},
        expires_at_ms=core.dependencies.clock.steady_ms() + 9000,
        idempotency_key=new_identifier(),
        **fields,
    )
    return dataclasses.replace(request, handover_key=handover_key(request))


def runs_of(deployment, request):
    """Returns the stages that targets ran for a request, in order."""
    runs = [
        run
        for target in deployment.targets.values()
        for run in target.executions
        if run.request_id == request.request_id
    ]
    return sorted(run.stage for run in runs)


def slow_down(deployment, prefix, factor):
    """Slows the targets of a service."""
    for name, target in deployment.targets.items():
        if name.startswith(prefix):
            target.faults.slow_factor = factor


class TokenList:
    """Token sink that keeps what it gets."""

    def __init__(self):
        """Starts empty."""
        self.events = []
        self.arrived = asyncio.Event()

    async def send(self, event):
        """Keeps a token."""
        self.events.append(event)
        if len(self.events) == 4:
            self.arrived.set()


async def run_and_kill(deployment, request, runs, sink=None):
    """Runs a request at the first entry and kills it on the way."""
    core = deployment.entries['entry-0'].core
    work = asyncio.ensure_future(core.run(request, sink))
    await runs
    await deployment.kill_entry('entry-0')
    work.cancel()
    await asyncio.gather(work, return_exceptions=True)


@pytest.mark.looptime
class TestEntryLoss:
    """A retry at another entry."""

    async def test_goes_on_from_the_last_finished_stage(self):
        """No finished stage runs again, at whichever entry."""
        for name in ('entry-1', 'entry-2', 'entry-3'):
            async with running() as deployment:
                slow_down(deployment, 'ganga-llm', 20)
                core = deployment.entries[name].core
                request = request_for(core)
                await run_and_kill(deployment, request, asyncio.sleep(0.8))
                before = runs_of(deployment, request)
                outcome = await core.run(request)
                after = runs_of(deployment, request)
            assert 'rerank' in before
            assert isinstance(outcome, Answer)
            assert len(outcome.stages) == 5
            assert [stage for stage in after if stage != 'generate'] == [
                stage for stage in before if stage != 'generate'
            ]

    async def test_stream_goes_on_at_the_next_token(self):
        """Tokens that were kept are not generated again."""
        async with running() as deployment:
            slow_down(deployment, 'ganga-llm', 10)
            core = deployment.entries['entry-1'].core
            request = request_for(core, stream=True)
            first, second = TokenList(), TokenList()
            await run_and_kill(
                deployment,
                request,
                _then_wait(first.arrived),
                first,
            )
            outcome = await core.run(request, second)
        assert isinstance(outcome, Answer)
        offsets = [event.offset for event in second.events]
        assert offsets == list(range(len(offsets)))
        texts = [event.token for event in second.events]
        kept = [event.token for event in first.events]
        assert texts[: len(kept)] == kept
        assert ''.join(texts) == outcome.output['text']
        resumed = core.keepers.counters.resumed
        assert resumed == 1

    async def test_refusal_after_resume_is_honest(self):
        """Stages that an earlier entry ran are not called not run."""
        async with running() as deployment:
            core = deployment.entries['entry-1'].core
            request = request_for(core, 'confirm')
            slow_down(deployment, 'ganga-llm', 50)
            await run_and_kill(deployment, request, asyncio.sleep(0.8))
            assert 'book' in runs_of(deployment, request)
            for target in deployment.targets.values():
                target.faults.refuse_next = 99
            outcome = await core.run(request)
        assert isinstance(outcome, Refusal)
        assert outcome.not_run is False
        assert outcome.stages_ran == ('book',)
        assert runs_of(deployment, request).count('book') == 1

    async def test_other_request_under_the_same_id_gets_nothing(self):
        """Kept stages belong to the request, not to its id alone."""
        async with running() as deployment:
            slow_down(deployment, 'ganga-llm', 20)
            core = deployment.entries['entry-1'].core
            request = request_for(core)
            await run_and_kill(deployment, request, asyncio.sleep(0.8))
            other = dataclasses.replace(request, body={'dog': 'Kolur'})
            key = handover_key(other)
            other = dataclasses.replace(other, handover_key=key)
            before = runs_of(deployment, request)
            await core.run(other)
            after = runs_of(deployment, request)
        assert after.count('encode') == before.count('encode') + 1


async def _then_wait(arrived):
    """Waits for some tokens and for their keeping."""
    await arrived.wait()
    await asyncio.sleep(0.2)


@pytest.mark.looptime
class TestTwoAtOnce:
    """The same request at several entries."""

    @pytest.mark.parametrize('delay_ms', [0, 1, 20])
    async def test_runs_once_while_all_live(self, delay_ms):
        """Both callers get the answer of one run."""
        async with running() as deployment:
            deployment.network.delay_ms = delay_ms
            cores = [entry.core for entry in deployment.entries.values()]
            request = request_for(cores[0])
            outcomes = await asyncio.gather(
                *(core.run(request) for core in (*cores, cores[0])),
            )
            stages = runs_of(deployment, request)
        assert len(stages) == 5
        assert {outcome.request_id for outcome in outcomes} == {
            request.request_id,
        }
        assert len({str(outcome.output) for outcome in outcomes}) == 1

    async def test_waiting_entry_takes_over(self):
        """The second entry goes on when the first one dies."""
        async with running() as deployment:
            slow_down(deployment, 'ganga-llm', 20)
            core = deployment.entries['entry-1'].core
            request = request_for(core)
            killed = asyncio.ensure_future(
                run_and_kill(deployment, request, asyncio.sleep(0.8)),
            )
            await asyncio.sleep(0.1)
            outcome = await core.run(request)
            await killed
            stages = runs_of(deployment, request)
        assert isinstance(outcome, Answer)
        assert stages.count('encode') == 1


def save(key='k', runner='a', version=1, **fields):
    """Returns a message that keeps a stage."""
    stage = KeptStageBody(
        stage='encode',
        target_id='t',
        output='x' * 1000,
        duration_ms=1,
    )
    return HandoverSaveBody(
        key=key,
        runner=runner,
        version=version,
        left_ms=1000,
        stages=[stage],
        **fields,
    )


def start(runner, key='k', replaces=''):
    """Returns a message that starts a run."""
    return HandoverStartBody(
        key=key,
        runner=runner,
        left_ms=1000,
        replaces=replaces,
    )


class TestMemory:
    """What a keeper holds."""

    def test_past_the_bound_nothing_is_kept(self):
        """Memory stays bounded and the overflow is counted."""
        memory = HandoverMemory(max_bytes=5000)
        kept = [memory.save(save(str(number)), 0) for number in range(10)]
        assert kept.count(True) == 4
        assert memory.overflows == 6
        assert memory.size_bytes <= 5000

    def test_expired_requests_make_room(self):
        """A request that nobody ended does not stay."""
        memory = HandoverMemory(max_bytes=1500)
        assert memory.save(save('old'), 0)
        assert not memory.save(save('new'), GRACE_MS)
        assert memory.save(save('new'), 1000 + GRACE_MS + 1)

    def test_end_frees_all(self):
        """An ended request leaves nothing behind."""
        memory = HandoverMemory(max_bytes=5000)
        memory.start(start('a'), 0)
        memory.save(save(), 0)
        memory.end(HandoverEndBody(key='k', runner='other'))
        assert len(memory) == 1
        memory.end(HandoverEndBody(key='k', runner='a'))
        assert not memory.size_bytes
        assert not len(memory)

    def test_one_runner_at_a_time(self):
        """Of two that replace a dead runner, one gets the request."""
        memory = HandoverMemory(max_bytes=5000)
        assert memory.start(start('a'), 0).runner == 'a'
        assert memory.start(start('b'), 0).runner == 'a'
        assert memory.start(start('b', replaces='a'), 0).runner == 'b'
        assert memory.start(start('c', replaces='a'), 0).runner == 'b'
        assert not memory.save(save(runner='a'), 0)

    def test_stages_of_another_configuration_are_dropped(self):
        """Results of two configurations are not mixed."""
        memory = HandoverMemory(max_bytes=50_000)
        memory.start(start('a'), 0)
        memory.save(save(tokens=['one'], offset=0), 0)
        memory.save(save(version=2), 0)
        started = memory.start(start('b', replaces='a'), 0)
        assert started.version == 2
        assert started.tokens == []

    def test_gap_in_tokens_is_not_closed(self):
        """Tokens after lost ones are not kept."""
        memory = HandoverMemory(max_bytes=50_000)
        memory.save(save(tokens=['one', 'two'], offset=0), 0)
        memory.save(save(tokens=['four'], offset=3), 0)
        memory.save(save(), 0)
        started = memory.start(start('a'), 0)
        assert started.tokens == ['one', 'two']


class TestPlaces:
    """Where results are kept."""

    def test_retry_finds_the_keeper_of_any_runner(self):
        """Whoever ran the request, its keeper is asked."""
        domains = {str(number): 'abc'[number % 3] for number in range(9)}
        for key in map(str, range(50)):
            asked = possible_keepers(key, domains)
            for runner, domain in domains.items():
                keeper = choose_keeper(key, runner, domain, domains)
                assert keeper in asked
                assert domains[keeper] != domain
