"""Tests of the caller's client."""

import asyncio
import contextlib
import math
import pathlib

import pytest

from borageyard.address_book import FAILURE_PENALTY_MS, AddressBook
from borageyard.client import CallerRequest, EntryClient
from borageyard.client_retries import (
    MAX_ATTEMPTS,
    RequestAttempts,
    RetryAfter,
)
from borageyard.client_stream import StreamRestart
from borageyard.commands.demo import load_plan
from borageyard.errors import ErrorKind, Refusal, RunStatus
from borageyard.http_messages import HttpResponse, encode_event
from borageyard.http_server import HttpServer
from borageyard.requests import Answer
from borageyard.standins.deployment import Deployment
from borageyard.target_client import TokenEvent
from borageyard.wire import encode_outcome, outcome_payload

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
ANSWER = Answer('r', 'p', 1, {'text': 'abc'}, ())
DEAD = '127.0.0.1:1'


def request_for(pipeline='route-summary'):
    """Returns a request to a pipeline."""
    return CallerRequest(pipeline, 'dispatch', {'dog': 'Snati'})


class ScriptedEntry:
    """An entry that returns predefined answers."""

    def __init__(self, *answers):
        """Stores the answers; the last one is repeated."""
        self.answers = list(answers)
        self.requests = []

    async def handle(self, request):
        """Returns the next answer; bytes are sent as a stream."""
        if request.path.startswith('/v1/entries'):
            return HttpResponse(503)
        if request.path == '/healthz':
            return HttpResponse(200, b'{}')
        self.requests.append(request)
        answer = self.answers.pop(0)
        if not self.answers:
            self.answers.append(answer)
        if isinstance(answer, bytes):
            return HttpResponse(200, chunks=_chunks(answer))
        return encode_outcome('r', answer)


async def _chunks(text):
    yield text


def stream_of(*tokens, end=None):
    """Returns the bytes of a stream; it is truncated without ``end``."""
    events = [
        {'type': 'token', 'offset': offset, 'token': token}
        for offset, token in enumerate(tokens)
    ]
    if end is not None:
        events.append(outcome_payload('r', end))
    return b''.join(map(encode_event, events))


@contextlib.asynccontextmanager
async def running_entries(*scripts):
    """Runs scripted entries and a client with their addresses."""
    async with contextlib.AsyncExitStack() as stack:
        seeds = []
        for script in scripts:
            server = HttpServer(script.handle)
            await stack.enter_async_context(server)
            await server.start('127.0.0.1:0')
            seeds.append(server.address)
        yield await stack.enter_async_context(EntryClient(seeds))


class PausedEntry(ScriptedEntry):
    """An entry that accepts requests and never responds."""

    async def handle(self, request):
        """Records the request and never returns."""
        self.requests.append(request)
        await asyncio.Event().wait()


class TestCalls:
    """Requests over real sockets."""

    async def test_one_dead_and_one_live_address(self):
        """A call succeeds although the first seed address is unreachable."""
        plan = load_plan('hundaganga', EXAMPLES)
        async with Deployment(plan) as deployment:
            live = deployment.all_entries()[0].address
            async with EntryClient((DEAD, live)) as client:
                outcome = await client.call(request_for())
                known = client.book.ordered(0)
        assert isinstance(outcome, Answer)
        assert live in known

    async def test_retry_keeps_its_ids(self):
        """All attempts carry the same request id and idempotency key."""
        script = ScriptedEntry(Refusal(ErrorKind.OVERLOADED), ANSWER)
        async with running_entries(script) as client:
            outcome = await client.call(request_for())
        headers = [
            (seen.header('x-borage-request-id'), seen.header('idempotency-key'))
            for seen in script.requests
        ]
        assert isinstance(outcome, Answer)
        assert len(headers) == 2
        assert len(set(headers)) == 1

    async def test_paused_entry_is_left(self):
        """Liveness checks detect a paused entry well before the deadline.

        The request is then answered by another entry.
        """
        paused, live = PausedEntry(), ScriptedEntry(ANSWER)
        async with running_entries(paused, live) as client:
            client.book.note_entries(client.book.ordered(0), math.inf, 0)
            outcome = await client.call(request_for())
        assert isinstance(outcome, Answer)
        assert paused.requests
        assert len(live.requests) == 1

    async def test_unknown_outcome_is_final(self):
        """A request whose outcome is unknown is not sent again."""
        unknown = Refusal(ErrorKind.OUTCOME_UNKNOWN, ran=RunStatus.UNKNOWN)
        script = ScriptedEntry(unknown, ANSWER)
        async with running_entries(script) as client:
            outcome = await client.call(request_for())
        assert outcome.ran is RunStatus.UNKNOWN
        assert len(script.requests) == 1

    async def test_stream_goes_on_at_another_entry(self):
        """A stream that breaks continues at another entry, without repeats."""
        broken = ScriptedEntry(stream_of('a', 'b'))
        whole = ScriptedEntry(stream_of('a', 'b', 'c', end=ANSWER))
        async with running_entries(broken, whole) as client:
            events = [event async for event in client.stream(request_for())]
        tokens = [event for event in events if isinstance(event, TokenEvent)]
        assert [event.offset for event in tokens] == [0, 1, 2]
        assert isinstance(events[-1], Answer)

    async def test_stream_that_differs_starts_over(self):
        """A retry with other tokens restarts the stream from offset 0.

        Guards against joining tokens of two different runs.
        """
        broken = ScriptedEntry(stream_of('a', 'b'))
        other = ScriptedEntry(stream_of('a', 'x', 'y', end=ANSWER))
        async with running_entries(broken, other) as client:
            events = [event async for event in client.stream(request_for())]
        restart = events.index(StreamRestart())
        tokens = [event.token for event in events[restart + 1 : -1]]
        assert tokens == ['a', 'x', 'y']


class TestRetries:
    """Retry decisions after each attempt."""

    def test_waits_as_told(self):
        """The ``retry_after_ms`` of a refusal is the delay."""
        attempts = RequestAttempts(9000, 1)
        refusal = Refusal(ErrorKind.LIMIT_EXCEEDED, retry_after_ms=700)
        assert attempts.note_outcome(refusal, 0) == RetryAfter(700)

    def test_does_not_wait_past_the_deadline(self):
        """A delay that would end after the deadline is not started."""
        attempts = RequestAttempts(500, 1)
        refusal = Refusal(ErrorKind.LIMIT_EXCEEDED, retry_after_ms=700)
        assert attempts.note_outcome(refusal, 0) == refusal

    def test_stopping_entry_costs_no_wait(self):
        """Only the first retry after a draining entry is immediate."""
        attempts = RequestAttempts(9000, 1)
        refusal = Refusal(ErrorKind.DRAINING)
        assert attempts.note_outcome(refusal, 0) == RetryAfter(0)
        assert attempts.note_outcome(refusal, 0).wait_ms > 0

    def test_lost_attempt_makes_a_later_not_run_unknown(self):
        """A "not run" is unknown if an earlier attempt may have run.

        Guards against a caller running a non-idempotent request twice.
        """
        attempts = RequestAttempts(9000, 1)
        attempts.note_no_response('reset', 0, sent=True)
        outcome = attempts.note_outcome(Refusal(ErrorKind.NOT_FOUND), 0)
        assert outcome.ran is RunStatus.UNKNOWN

    def test_connection_that_never_opened_is_not_run(self):
        """Attempts that sent nothing end as not run."""
        attempts = RequestAttempts(9000, 1)
        outcome = RetryAfter(0)
        while isinstance(outcome, RetryAfter):
            outcome = attempts.note_no_response('refused', 0, sent=False)
        assert attempts.count == MAX_ATTEMPTS
        assert outcome.ran is RunStatus.NOT_RUN

    def test_lost_attempts_are_unknown(self):
        """A request that was sent without a response has an unknown outcome."""
        attempts = RequestAttempts(10, 1)
        outcome = attempts.note_no_response('reset', 11, sent=True)
        assert outcome.kind is ErrorKind.OUTCOME_UNKNOWN
        assert outcome.ran is RunStatus.UNKNOWN


class TestAddressBook:
    """The entry addresses that a client caches."""

    def test_failed_address_comes_last_for_a_while(self):
        """A failed address is moved to the end for ``FAILURE_PENALTY_MS``."""
        book = AddressBook(('a', 'b'))
        book.note_failure('a', 0)
        assert book.choose((), 1) == 'b'
        assert book.choose((), FAILURE_PENALTY_MS + 1) == 'a'

    def test_empty_answer_changes_nothing(self):
        """An empty address list does not replace the cached addresses."""
        book = AddressBook(('seed',))
        book.note_entries(('a', 'b'), 100, 0)
        book.note_entries((), 100, 50)
        assert book.ordered(50) == ['a', 'b', 'seed']
        assert book.is_stale(100)
        assert not book.is_stale(99)

    @pytest.mark.parametrize(
        ('tried', 'expected'),
        [((), 'a'), (('a',), 'b'), (('a', 'b', 'seed'), 'a')],
    )
    def test_untried_first(self, tried, expected):
        """Each address is tried once before one is tried again."""
        book = AddressBook(('seed',))
        book.note_entries(('a', 'b'), 100, 0)
        assert book.choose(tried, 0) == expected
