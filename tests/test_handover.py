"""Tests of resuming a request whose entry has died."""

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
from borageyard.handover_memory import EXPIRY_GRACE_MS, HandoverMemory
from borageyard.handover_placement import (
    choose_backup,
    handover_key,
    possible_backups,
)
from borageyard.identifiers import new_identifier
from borageyard.requests import Answer, PipelineRequest
from borageyard.standins.memory_deployment import MemoryDeployment

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
DISCOVERY_S = 2


@contextlib.asynccontextmanager
async def running():
    """Runs in-memory entries that have discovered each other."""
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
        await asyncio.sleep(DISCOVERY_S)
        yield deployment


def request_for(core, pipeline='route-summary', **fields):
    """Returns a request that its caller can retry at another entry."""
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
    """Returns the sorted stages that targets ran for a request."""
    runs = [
        run
        for target in deployment.targets.values()
        for run in target.executions
        if run.request_id == request.request_id
    ]
    return sorted(run.stage for run in runs)


def slow_down(deployment, prefix, factor):
    """Slows down the targets whose name has a prefix."""
    for name, target in deployment.targets.items():
        if name.startswith(prefix):
            target.faults.slow_factor = factor


class TokenList:
    """Token sink that collects tokens."""

    def __init__(self):
        """Initializes an empty list."""
        self.events = []
        self.arrived = asyncio.Event()

    async def send(self, event):
        """Appends a token; signals once there are four."""
        self.events.append(event)
        if len(self.events) == 4:
            self.arrived.set()


async def run_and_kill(deployment, request, runs, sink=None):
    """Runs a request at the first entry and kills that entry meanwhile."""
    core = deployment.entries['entry-0'].core
    work = asyncio.ensure_future(core.run(request, sink))
    await runs
    await deployment.kill_entry('entry-0')
    work.cancel()
    await asyncio.gather(work, return_exceptions=True)


@pytest.mark.looptime
class TestEntryLoss:
    """Retry at another entry after the first one died."""

    async def test_resumes_after_the_last_finished_stage(self):
        """No finished stage runs again, at whichever entry the retry is."""
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

    async def test_stream_resumes_at_the_next_token(self):
        """Saved tokens are replayed, not generated again."""
        async with running() as deployment:
            slow_down(deployment, 'ganga-llm', 10)
            core = deployment.entries['entry-1'].core
            request = request_for(core, stream=True)
            first, second = TokenList(), TokenList()
            await run_and_kill(
                deployment,
                request,
                _wait_until_saved(first.arrived),
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
        resumed = core.handover_backups.counters.resumed
        assert resumed == 1

    async def test_refusal_after_resume_names_stages_ran(self):
        """A refusal counts the stages that an earlier entry ran as run."""
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
        """Saved stages are not given to another request with the same id."""
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


async def _wait_until_saved(arrived):
    """Waits for some tokens, and until they are saved."""
    await arrived.wait()
    await asyncio.sleep(0.2)


@pytest.mark.looptime
class TestTwoAtOnce:
    """The same request at several entries at once."""

    @pytest.mark.parametrize('delay_ms', [0, 1, 20])
    async def test_runs_once_while_all_live(self, delay_ms):
        """All callers get the answer of one run."""
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
        """A second entry that waits resumes when the first one dies."""
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
    """Returns a message that saves a stage."""
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
    """Returns a message that registers a runner."""
    return HandoverStartBody(
        key=key,
        runner=runner,
        left_ms=1000,
        replaces=replaces,
    )


class TestMemory:
    """Memory of a backup."""

    def test_past_the_bound_nothing_is_kept(self):
        """Saves above the bound are rejected and counted as overflows."""
        memory = HandoverMemory(max_bytes=5000)
        kept = [memory.save(save(str(number)), 0) for number in range(10)]
        assert kept.count(True) == 4
        assert memory.overflows == 6
        assert memory.size_bytes <= 5000

    def test_expired_requests_make_room(self):
        """A request that was never ended is dropped after its deadline."""
        memory = HandoverMemory(max_bytes=1500)
        assert memory.save(save('old'), 0)
        assert not memory.save(save('new'), EXPIRY_GRACE_MS)
        assert memory.save(save('new'), 1000 + EXPIRY_GRACE_MS + 1)

    def test_end_frees_all(self):
        """The end of a run frees its memory; other entries cannot end it."""
        memory = HandoverMemory(max_bytes=5000)
        memory.start(start('a'), 0)
        memory.save(save(), 0)
        memory.end(HandoverEndBody(key='k', runner='other'))
        assert len(memory) == 1
        memory.end(HandoverEndBody(key='k', runner='a'))
        assert not memory.size_bytes
        assert not len(memory)

    def test_one_runner_at_a_time(self):
        """Of two entries that replace a dead runner, only one runs it."""
        memory = HandoverMemory(max_bytes=5000)
        assert memory.start(start('a'), 0).runner == 'a'
        assert memory.start(start('b'), 0).runner == 'a'
        assert memory.start(start('b', replaces='a'), 0).runner == 'b'
        assert memory.start(start('c', replaces='a'), 0).runner == 'b'
        assert not memory.save(save(runner='a'), 0)

    def test_stages_of_another_configuration_are_dropped(self):
        """Results of two configurations are never mixed."""
        memory = HandoverMemory(max_bytes=50_000)
        memory.start(start('a'), 0)
        memory.save(save(tokens=['one'], offset=0), 0)
        memory.save(save(version=2), 0)
        started = memory.start(start('b', replaces='a'), 0)
        assert started.version == 2
        assert started.tokens == []

    def test_gap_in_tokens_is_not_closed(self):
        """Tokens after a gap are not saved."""
        memory = HandoverMemory(max_bytes=50_000)
        memory.save(save(tokens=['one', 'two'], offset=0), 0)
        memory.save(save(tokens=['four'], offset=3), 0)
        memory.save(save(), 0)
        started = memory.start(start('a'), 0)
        assert started.tokens == ['one', 'two']


class TestPlacement:
    """Placement of saved results."""

    def test_candidates_include_the_backup_of_any_runner(self):
        """The possible backups include the backup of any runner."""
        domains = {str(number): 'abc'[number % 3] for number in range(9)}
        for key in map(str, range(50)):
            backups = possible_backups(key, domains)
            for runner, domain in domains.items():
                backup = choose_backup(key, runner, domain, domains)
                assert backup in backups
                assert domains[backup] != domain
