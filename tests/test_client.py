"""Tests of the client that callers use."""

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
    """Returns a request."""
    return CallerRequest(pipeline, 'dispatch', {'dog': 'Snati'})


class Script:
    """An entry whose answers are written down beforehand."""

    def __init__(self, *answers):
        """Keeps answers; the last one is given again and again."""
        self.answers = list(answers)
        self.requests = []

    async def handle(self, request):
        """Answers one request."""
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
    """Returns the bytes of a stream, cut off when it has no end."""
    events = [
        {'type': 'token', 'offset': offset, 'token': token}
        for offset, token in enumerate(tokens)
    ]
    if end is not None:
        events.append(outcome_payload('r', end))
    return b''.join(map(encode_event, events))


@contextlib.asynccontextmanager
async def scripted(*scripts):
    """Runs scripted entries and a client that knows them."""
    async with contextlib.AsyncExitStack() as stack:
        seeds = []
        for script in scripts:
            server = HttpServer(script.handle)
            await stack.enter_async_context(server)
            await server.start('127.0.0.1:0')
            seeds.append(server.address)
        yield await stack.enter_async_context(EntryClient(seeds))


class Paused(Script):
    """An entry that takes requests and never answers."""

    async def handle(self, request):
        """Waits for ever."""
        self.requests.append(request)
        await asyncio.Event().wait()


class TestCalls:
    """Requests over real sockets."""

    async def test_one_dead_and_one_live_address(self):
        """The caller succeeds and learns the other addresses."""
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
        script = Script(Refusal(ErrorKind.OVERLOADED), ANSWER)
        async with scripted(script) as client:
            outcome = await client.call(request_for())
        headers = [
            (seen.header('x-borage-request-id'), seen.header('idempotency-key'))
            for seen in script.requests
        ]
        assert isinstance(outcome, Answer)
        assert len(headers) == 2
        assert len(set(headers)) == 1

    async def test_paused_entry_is_left(self):
        """An entry that stops answering costs seconds, not the deadline."""
        paused, live = Paused(), Script(ANSWER)
        async with scripted(paused, live) as client:
            client.book.note_entries(client.book.ordered(0), math.inf, 0)
            outcome = await client.call(request_for())
        assert isinstance(outcome, Answer)
        assert paused.requests
        assert len(live.requests) == 1

    async def test_unknown_outcome_is_final(self):
        """A request that may have run is not sent again."""
        unknown = Refusal(ErrorKind.OUTCOME_UNKNOWN, ran=RunStatus.UNKNOWN)
        script = Script(unknown, ANSWER)
        async with scripted(script) as client:
            outcome = await client.call(request_for())
        assert outcome.ran is RunStatus.UNKNOWN
        assert len(script.requests) == 1

    async def test_stream_goes_on_at_another_entry(self):
        """Tokens come once each, whichever entry sends them."""
        broken = Script(stream_of('a', 'b'))
        whole = Script(stream_of('a', 'b', 'c', end=ANSWER))
        async with scripted(broken, whole) as client:
            events = [event async for event in client.stream(request_for())]
        tokens = [event for event in events if isinstance(event, TokenEvent)]
        assert [event.offset for event in tokens] == [0, 1, 2]
        assert isinstance(events[-1], Answer)

    async def test_stream_that_differs_starts_over(self):
        """Another text is never glued to the first tokens."""
        broken = Script(stream_of('a', 'b'))
        other = Script(stream_of('a', 'x', 'y', end=ANSWER))
        async with scripted(broken, other) as client:
            events = [event async for event in client.stream(request_for())]
        restart = events.index(StreamRestart())
        tokens = [event.token for event in events[restart + 1 : -1]]
        assert tokens == ['a', 'x', 'y']


class TestRetries:
    """Decisions after each attempt."""

    def test_waits_as_told(self):
        """A refusal's time to come back is kept."""
        attempts = RequestAttempts(9000, 1)
        refusal = Refusal(ErrorKind.LIMIT_EXCEEDED, retry_after_ms=700)
        assert attempts.note_outcome(refusal, 0) == RetryAfter(700)

    def test_does_not_wait_past_the_deadline(self):
        """A pause that ends too late is not begun."""
        attempts = RequestAttempts(500, 1)
        refusal = Refusal(ErrorKind.LIMIT_EXCEEDED, retry_after_ms=700)
        assert attempts.note_outcome(refusal, 0) == refusal

    def test_stopping_entry_costs_no_wait(self):
        """Another entry is tried at once, then with pauses."""
        attempts = RequestAttempts(9000, 1)
        refusal = Refusal(ErrorKind.DRAINING)
        assert attempts.note_outcome(refusal, 0) == RetryAfter(0)
        assert attempts.note_outcome(refusal, 0).wait_ms > 0

    def test_lost_attempt_makes_a_later_not_run_unknown(self):
        """Nobody is told "not run" when an attempt may have run."""
        attempts = RequestAttempts(9000, 1)
        attempts.note_lost('reset', 0, sent=True)
        outcome = attempts.note_outcome(Refusal(ErrorKind.NOT_FOUND), 0)
        assert outcome.ran is RunStatus.UNKNOWN

    def test_connection_that_never_opened_is_not_run(self):
        """Attempts that sent nothing leave the truth simple."""
        attempts = RequestAttempts(9000, 1)
        outcome = RetryAfter(0)
        while isinstance(outcome, RetryAfter):
            outcome = attempts.note_lost('refused', 0, sent=False)
        assert attempts.count == MAX_ATTEMPTS
        assert outcome.ran is RunStatus.NOT_RUN

    def test_lost_attempts_are_unknown(self):
        """Without any word the outcome is unknown."""
        attempts = RequestAttempts(10, 1)
        outcome = attempts.note_lost('reset', 11, sent=True)
        assert outcome.kind is ErrorKind.OUTCOME_UNKNOWN
        assert outcome.ran is RunStatus.UNKNOWN


class TestAddressBook:
    """Addresses that a caller keeps."""

    def test_failed_address_comes_last_for_a_while(self):
        """A failure is forgotten after its time."""
        book = AddressBook(('a', 'b'))
        book.note_failure('a', 0)
        assert book.choose((), 1) == 'b'
        assert book.choose((), FAILURE_PENALTY_MS + 1) == 'a'

    def test_empty_answer_changes_nothing(self):
        """An entry without peers does not take the addresses away."""
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
        """A request tries each address before it repeats one."""
        book = AddressBook(('seed',))
        book.note_entries(('a', 'b'), 100, 0)
        assert book.choose(tried, 0) == expected
