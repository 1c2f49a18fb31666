"""Tests of the stand-in targets of the gateway."""

import asyncio
import contextlib
import itertools
import time

import pytest

from borageyard.http_client import HttpCall, HttpCallError, HttpClient
from borageyard.standins.gateway_target import GatewayTarget
from borageyard.standins.keyed_store import TARGETS_TOPIC, KeyedStore
from borageyard.standins.registered_target import CrashPlan, TargetPlan

# Longest gap between events of a stream without silence.
MAX_GAP_S = 0.15
FIRST_EVENT = b'id: 1\ndata: attempt-0/1\n\n'


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


def stored(target):
    """Returns the ids of the targets in the store."""
    return list(target.store.newest(TARGETS_TOPIC))


async def gaps_s(target, client, call):
    """Returns the times before the head and each chunk of a stream."""
    times_s = [time.monotonic()]
    async with client.stream(call) as (_, _, chunks):
        times_s.append(time.monotonic())
        async for _ in chunks:
            times_s.append(time.monotonic())
    return [later - before for before, later in itertools.pairwise(times_s)]


async def collect(chunks, received):
    """Appends the chunks to a list, until they end or break off."""
    async for chunk in chunks:
        received.append(chunk)


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


class TestSilence:
    """Streams in which a sound engine is silent for a while."""

    @pytest.mark.parametrize('events', [0, 1, 3, 5])
    async def test_stream_goes_on(self, events):
        """Each stream is silent once, and no event is missing."""
        async with engine() as (target, client):
            target.faults.silent_after = events
            target.faults.silence_ms = 200
            for number in range(2):
                call = prompt(target, number)
                reply = await client.request(call)
                assert reply.body.count(b'id: ') == 5
                assert reply.body.endswith(b'/5\n\n')

    @pytest.mark.parametrize('events', [0, 2])
    async def test_silence_follows_the_events(self, events):
        """The head and the events before the silence are not held back."""
        async with engine() as (target, client):
            target.faults.silent_after = events
            target.faults.silence_ms = 200
            _, *gaps = await gaps_s(target, client, prompt(target))
            long_gaps = [
                number for number, gap_s in enumerate(gaps) if gap_s > MAX_GAP_S
            ]
            assert long_gaps == [events]


class TestCrashingPart:
    """Engines that crash under a part of a prompt."""

    async def crash(self, target, client, parts='bad:60,bb:40'):
        """Sends a request under whose first part the engine crashes."""
        call = prompt(target, parts=parts)
        async with client.stream(call) as (status, _, chunks):
            assert status == 200
            received = []
            with pytest.raises(HttpCallError):
                await collect(chunks, received)
        return b''.join(received)

    @pytest.mark.parametrize(
        ('events', 'received'), [(0, b''), (1, FIRST_EVENT)]
    )
    async def test_crash_follows_the_head(self, events, received):
        """The engine crashes after the head and as many events as set."""
        async with engine() as (target, client):
            target.faults.crashing_part = 'bad'
            target.faults.crash = CrashPlan(after_events=events)
            assert await self.crash(target, client) == received
            assert target.runs == ['attempt-0']
            assert target.crashed_ids == ['e1']
            assert target.part_arrivals == {'bad': 1}

    async def test_last_part_does_not_crash(self):
        """The last part belongs to the request itself."""
        async with engine() as (target, client):
            target.faults.crashing_part = 'bad'
            reply = await client.request(prompt(target, parts='aa:60,bad:40'))
            assert reply.status == 200
            assert not target.crashed_ids

    async def test_other_requests_are_lost(self):
        """All connections break, also of requests that began before."""
        async with engine() as (target, client):
            target.faults.crashing_part = 'bad'
            target.faults.silent_after = 1
            async with client.stream(prompt(target, 1)) as (_, _, chunks):
                assert await anext(chunks) == FIRST_EVENT.replace(b'-0', b'-1')
                await self.crash(target, client)
                with pytest.raises(HttpCallError):
                    await anext(chunks)

    async def test_new_connections_are_refused(self):
        """A crashed engine has neither a listener nor a record."""
        async with engine() as (target, client):
            target.faults.crashing_part = 'bad'
            target.faults.crash = CrashPlan(restart_ms=None)
            await self.crash(target, client)
            with pytest.raises(HttpCallError):
                await client.request(prompt(target))
            assert not stored(target)

    @pytest.mark.parametrize('keeps_address', [False, True])
    @pytest.mark.parametrize(('keeps_id', 'id_after'), [(0, 'e1.2'), (1, 'e1')])
    async def test_engine_comes_back(self, keeps_address, keeps_id, id_after):
        """It serves again, as a new incarnation with an empty cache."""
        async with engine() as (target, client):
            address = target.address
            target.faults.crashing_part = 'bad'
            target.faults.crash = CrashPlan(
                restart_ms=100,
                keeps_id=bool(keeps_id),
                keeps_address=keeps_address,
            )
            await self.crash(target, client)
            await asyncio.sleep(0.05)
            assert not stored(target)
            await asyncio.sleep(0.2)
            assert stored(target) == [id_after]
            assert (target.address == address) == keeps_address
            reply = await client.request(prompt(target, parts='aa:60,bb:40'))
            assert reply.body.count(b'id: ') == 5
            assert target.cached_parts == {'aa', 'bb'}

    @pytest.mark.parametrize(
        ('keeps_id', 'between', 'after'),
        [(False, ['e1', 'e1.2'], ['e1.2']), (True, ['e1'], ['e1'])],
    )
    async def test_record_may_expire_later(self, keeps_id, between, after):
        """Only the record of the crashed incarnation expires."""
        async with engine() as (target, client):
            target.faults.crashing_part = 'bad'
            target.faults.crash = CrashPlan(
                restart_ms=50, expire_ms=250, keeps_id=keeps_id
            )
            await self.crash(target, client)
            await asyncio.sleep(0.15)
            assert sorted(stored(target)) == between
            await asyncio.sleep(0.2)
            assert stored(target) == after


class TestUnframed:
    """Answers with neither a length nor chunks."""

    @pytest.mark.parametrize('connection', ['close', 'keep-alive'])
    async def test_answer_ends_with_its_connection(self, connection):
        """Whole answers and streams end with a close."""
        async with engine() as (target, client):
            target.faults.unframed = True
            target.faults.unframed_connection = connection
            for number in range(2):
                reply = await client.request(prompt(target, number))
                assert reply.headers['connection'] == connection
                assert 'content-length' not in reply.headers
                assert 'transfer-encoding' not in reply.headers
                assert reply.body.count(b'\n\n') == 5

    async def test_stream_ends_inside_an_event(self):
        """A break closes the connection, which looks like an end."""
        async with engine() as (target, client):
            target.faults.unframed = True
            target.faults.break_after = 1
            reply = await client.request(prompt(target))
            assert reply.body == b'%bid: 2\ndata: half' % FIRST_EVENT

    async def test_stream_is_reset(self):
        """A reset can be told from an end."""
        async with engine() as (target, client):
            target.faults.unframed = True
            target.faults.break_after = 1
            target.faults.reset_midway = 1
            with pytest.raises(HttpCallError):
                await client.request(prompt(target))

    async def test_plain_answer(self):
        """A plain answer is whole, or is reset after half of its body."""
        plan = TargetPlan('d1', 'desk', 'a')
        target = GatewayTarget(plan, KeyedStore(), {})
        async with target.running(), HttpClient() as client:
            target.faults.unframed = True
            reply = await client.request(prompt(target))
            assert reply.body == b'POST /reply attempt-0'
            assert 'content-length' not in reply.headers
            target.faults.reset_midway = 1
            with pytest.raises(HttpCallError):
                await client.request(prompt(target))
