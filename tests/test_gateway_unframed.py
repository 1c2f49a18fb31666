"""Tests of answers of targets that have neither a length nor chunks."""

import contextlib

import pytest

from borageyard.http_client import HttpCallError
from tests.test_gateway import ALL_EVENTS, deployment, events

# Requests that are sent one after the other, over pooled connections.
REQUESTS = 4
CONNECTIONS = ('close', 'keep-alive')
RESUMABLE = '/brief/x'
NOT_RESUMABLE = '/reply/x'


@contextlib.asynccontextmanager
async def unframed(service, **faults):
    """Runs a deployment whose targets hold pooled connections.

    Args:
        service: Service whose answers are unframed from now on.
        faults: Further faults of its targets.
    """
    async with deployment() as callers:
        for _ in range(REQUESTS):
            if service == 'model':
                await callers.stream(NOT_RESUMABLE, '')
            else:
                await callers.call('/read/a')
        for target in callers.targets(service):
            target.runs.clear()
        callers.set_faults(service, unframed=True, **faults)
        yield callers


class TestPlain:
    """Answers that are not streamed."""

    @pytest.mark.parametrize('connection', CONNECTIONS)
    @pytest.mark.parametrize(
        ('method', 'path'), [('GET', '/read/a'), ('POST', '/book/a')]
    )
    async def test_answer_is_whole(self, method, path, connection):
        """Each request gets its own answer, with a length."""
        async with unframed('desk', unframed_connection=connection) as callers:
            for _ in range(REQUESTS):
                reply = await callers.call(path, method)
                body = f'{method} {path} attempt-{callers.sent}'
                assert reply.status == 200
                assert reply.body.decode() == body
                assert reply.headers['content-length'] == str(len(body))
                assert 'connection' not in reply.headers
            assert len(callers.runs('desk')) == REQUESTS

    @pytest.mark.parametrize('connection', CONNECTIONS)
    async def test_answers_with_a_length_follow(self, connection):
        """A connection that has ended is not used again."""
        async with unframed('desk', unframed_connection=connection) as callers:
            await callers.call('/book/a', 'POST')
            callers.set_faults('desk', unframed=False)
            replies = [
                await callers.call('/book/a', 'POST') for _ in range(REQUESTS)
            ]
            assert {reply.status for reply in replies} == {200}
            assert len(callers.runs('desk')) == REQUESTS + 1

    @pytest.mark.parametrize('connection', CONNECTIONS)
    async def test_failure_is_the_targets(self, connection):
        """A failure without a length has its status and body."""
        async with unframed('desk', unframed_connection=connection) as callers:
            callers.set_faults('desk', fail=REQUESTS)
            reply = await callers.call('/book/a', 'POST')
            assert (reply.status, reply.body) == (500, b'failed')

    async def test_rejection_is_sent_elsewhere(self):
        """A rejection without a length still says that nothing ran."""
        async with unframed('desk') as callers:
            callers.targets('desk')[0].faults.reject = 1
            replies = [
                await callers.call('/book/a', 'POST') for _ in range(REQUESTS)
            ]
            assert {reply.status for reply in replies} == {200}
            assert len(callers.runs('desk')) == REQUESTS

    async def test_reset_of_an_idempotent_request_is_repeated(self):
        """Half of an answer that is reset never reaches the caller."""
        async with unframed('desk') as callers:
            callers.targets('desk')[0].faults.reset_midway = 1
            for _ in range(REQUESTS):
                reply = await callers.call('/read/a')
                assert reply.status == 200
                assert reply.body.decode() == (
                    f'GET /read/a attempt-{callers.sent}'
                )
            assert len(callers.runs('desk')) == REQUESTS + 1

    async def test_reset_of_a_non_idempotent_request_fails(self):
        """It has run, so it is neither repeated nor refused as not run."""
        async with unframed('desk', reset_midway=1) as callers:
            reply = await callers.call('/book/a', 'POST')
            assert reply.status == 502
            assert len(callers.runs('desk')) == 1


class TestStreams:
    """Event streams that end with their connection."""

    @pytest.mark.parametrize('connection', CONNECTIONS)
    @pytest.mark.parametrize('path', [RESUMABLE, NOT_RESUMABLE])
    async def test_stream_is_whole(self, path, connection):
        """Each stream has all events and comes in chunks, from one run."""
        async with unframed('model', unframed_connection=connection) as callers:
            for _ in range(REQUESTS):
                reply = await callers.stream(path, '')
                assert events(reply) == list(ALL_EVENTS)
                assert reply.headers['transfer-encoding'] == 'chunked'
                assert 'connection' not in reply.headers
            assert len(callers.runs('model')) == REQUESTS

    @pytest.mark.parametrize('connection', CONNECTIONS)
    async def test_streams_in_chunks_follow(self, connection):
        """A connection that has ended is not used again."""
        async with unframed('model', unframed_connection=connection) as callers:
            await callers.stream(NOT_RESUMABLE, '')
            callers.set_faults('model', unframed=False)
            for _ in range(REQUESTS):
                reply = await callers.stream(NOT_RESUMABLE, '')
                assert events(reply) == list(ALL_EVENTS)
            assert len(callers.runs('model')) == REQUESTS + 1

    @pytest.mark.parametrize('reset_midway', [0, 1])
    @pytest.mark.parametrize('events_before', [0, 2, 4])
    @pytest.mark.parametrize('connection', CONNECTIONS)
    async def test_end_inside_an_event_is_resumed(
        self, reset_midway, events_before, connection
    ):
        """The stream goes on at the other engine, also after a plain close."""
        async with unframed('model', unframed_connection=connection) as callers:
            await callers.stream(RESUMABLE, '')
            (engine,) = [one for one in callers.targets('model') if one.runs]
            engine.faults.break_after = events_before
            engine.faults.reset_midway = reset_midway
            reply = await callers.stream(RESUMABLE, '')
            assert events(reply) == list(ALL_EVENTS)
            assert b'half' not in reply.body
            assert callers.runs('model').count('attempt-6') == 2

    @pytest.mark.parametrize('reset_midway', [0, 1])
    @pytest.mark.parametrize('connection', CONNECTIONS)
    async def test_end_inside_an_event_breaks(self, reset_midway, connection):
        """A stream that may not be resumed never looks complete."""
        async with unframed(
            'model',
            unframed_connection=connection,
            break_after=2,
            reset_midway=reset_midway,
        ) as callers:
            with pytest.raises(HttpCallError):
                await callers.stream(NOT_RESUMABLE, '')
            assert len(callers.runs('model')) == 1

    async def test_stream_that_all_engines_end_so_breaks(self):
        """It is whole or visibly cut, never short."""
        async with unframed('model') as callers:
            for number, target in enumerate(callers.targets('model')):
                target.faults.break_after = 2 + number
            with contextlib.suppress(HttpCallError):
                reply = await callers.stream(RESUMABLE, '')
                assert events(reply) == list(ALL_EVENTS)
