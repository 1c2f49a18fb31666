"""Tests of calls to a stand-in target that injects faults."""

import asyncio
import contextlib

import pytest

from borageyard.clock import SystemClock
from borageyard.http_client import HttpClient
from borageyard.http_target import HttpTargetClient
from borageyard.standins.target import StandinTarget, TargetProfile
from borageyard.standins.target_http import TargetServer
from borageyard.target_client import FailureKind, TargetCall, TargetError

TOKENS = 4


def call_for(*, stream=False, deadline_ms=2000):
    """Returns a call of a generate stage."""
    return TargetCall(
        attempt_id='attempt-1',
        request_id='request-1',
        stage='generate',
        inputs={'request': {'dog': 'Snati'}},
        deadline_ms=deadline_ms,
        stream=stream,
    )


@contextlib.asynccontextmanager
async def running(**faults):
    """Runs a stand-in target with faults and a client for it."""
    profile = TargetProfile(
        'engine-0',
        'llm',
        'engine',
        base_ms=1,
        per_output_token_ms=1,
        output_tokens=TOKENS,
    )
    target = StandinTarget(profile, SystemClock())
    for name, setting in faults.items():
        setattr(target.faults, name, setting)
    server = TargetServer(target)
    async with server, HttpClient() as client:
        await server.start('127.0.0.1:0')
        yield server, HttpTargetClient(client)


async def collect(events, tokens):
    """Appends the tokens of a stream as they arrive."""
    async for event in events:
        tokens.append(event.token)


async def wait_until_running(server, count):
    """Waits until a target runs ``count`` calls."""
    for _ in range(2000):
        if server.target.load().running == count:
            return
        await asyncio.sleep(0.001)
    pytest.fail(f'not {count} calls running')


class TestWholeAnswers:
    """Incomplete answers and those to other attempts are not returned."""

    @pytest.mark.parametrize(
        ('fault', 'kind'),
        [
            ('cross_next', FailureKind.CROSSED),
            ('lose_answer_next', FailureKind.CRASH),
            ('truncate_next', FailureKind.CRASH),
            ('reset_next', FailureKind.CRASH),
            ('pad_next', FailureKind.CRASH),
            ('hang_next', FailureKind.TIMEOUT),
            ('trickle_next', FailureKind.TIMEOUT),
            ('refuse_next', FailureKind.REFUSED),
        ],
    )
    async def test_fault_is_a_failure(self, fault, kind):
        """A fault raises an error of its kind; the next call succeeds."""
        async with running(**{fault: 1}) as (server, client):
            with pytest.raises(TargetError) as caught:
                await client.call(server.address, call_for(deadline_ms=200))
            answer = await client.call(server.address, call_for())
            expected = server.target.expected_output(call_for())
        assert caught.value.kind is kind
        assert caught.value.not_run is (fault == 'refuse_next')
        assert answer.output == expected

    async def test_late_answer_goes_to_nobody(self):
        """An answer after a timeout is not returned to the next call."""
        async with running(slow_factor=60) as (server, client):
            with pytest.raises(TargetError, match='timed out'):
                await client.call(server.address, call_for(deadline_ms=50))
            server.target.faults.slow_factor = 1
            answer = await client.call(server.address, call_for())
            expected = server.target.expected_output(call_for())
        assert answer.output == expected


class TestStreams:
    """Tokens arrive once each, in order, and only from this attempt."""

    @pytest.mark.parametrize(
        ('fault', 'kind'),
        [
            ('cross_event_next', FailureKind.CROSSED),
            ('double_event_next', FailureKind.MALFORMED),
            ('skip_event_next', FailureKind.MALFORMED),
            ('truncate_next', FailureKind.CRASH),
            ('reset_next', FailureKind.CRASH),
            ('hang_next', FailureKind.TIMEOUT),
        ],
    )
    async def test_fault_ends_the_stream(self, fault, kind):
        """The tokens yielded before a fault are a prefix of the full text."""
        tokens = []
        async with running(**{fault: 1}) as (server, client):
            call = call_for(stream=True, deadline_ms=300)
            with pytest.raises(TargetError) as caught:
                await collect(client.stream(server.address, call), tokens)
            whole = server.target.expected_output(call)['text']
        assert caught.value.kind is kind
        assert whole.startswith(''.join(tokens))
        assert len(tokens) < TOKENS

    async def test_cancelled_stream_stops_the_target(self):
        """A target detects that its caller disconnected and frees its slot."""
        async with running(slow_factor=1000) as (server, client):
            call = call_for(stream=True, deadline_ms=60_000)
            events = client.stream(server.address, call)
            task = asyncio.ensure_future(anext(events))
            await wait_until_running(server, 1)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            await wait_until_running(server, 0)
            assert not server.target.load().running
