"""Tests of answers of targets that are none in the protocol."""

import asyncio
import functools

import pytest

from borageyard.clock import SystemClock
from borageyard.http_client import HttpCall, HttpCallError, HttpClient
from borageyard.piece_runner import CallFailedError, PieceRequest
from borageyard.platform.answer_notices import AnswerNotices
from borageyard.platform.store import StoreTables
from borageyard.platform.targets import HttpPieceRunner
from borageyard.roster import RosterRow, TargetPhase
from borageyard.shared_table import StoreError, Table
from borageyard.target_departures import TargetDepartures
from borageyard.target_limits import TargetLimits
from tests.odd_target import OddTarget, replacing, sending
from tests.test_gateway import ALL_EVENTS, deployment, events

# Fields of a success up to its signature.
SIGNED = b'x-attempt-id: {id}\r\nx-server-stamp: s\r\n'
OK = b'HTTP/1.1 200 OK\r\n%b' % SIGNED
BODY = b'content-length: 2\r\n\r\nok'
FOLDED = b'HTTP/1.1 200 OK\r\nx: 1\r\n y: 2\r\n%b' % BODY
# Heads of answers, by what is wrong with them.
STATUS_LINES = (
    b'HTTP/1.1 000 \r\n',
    b'HTTP/1.1 000 OK\r\n',
    b'HTTP/1.1 099 OK\r\n',
    b'HTTP/1.1 +20 OK\r\n',
    b'HTTP/1.1 2000 OK\r\n',
    b'HTTP/1.1 20 OK\r\n',
    b'HTTP/1.1 2 0 OK\r\n',
)
FIELD_LINES = (
    b'x odd: 1\r\n',
    b'x-odd : 1\r\n',
    b'x\x01odd: 1\r\n',
    b'x\x7fodd: 1\r\n',
    b'x\x00odd: 1\r\n',
    b'x\x0bodd: 1\r\n',
    b'x\rodd: 1\r\n',
    b'x\xe9odd: 1\r\n',
    b': 1\r\n',
    b'x-odd\r\n',
    b'content-length: 1\r\n',
)
FOLDED_LINES = (
    b' x-odd: 1\r\n',
    b'\tx-odd: 1\r\n',
    b' \r\n',
    b' content-length: 5\r\n',
    b' transfer-encoding: chunked\r\n',
    b' x\x01odd: 1\r\n',
)


def answers():
    """Yields odd answers that must not be passed on."""
    for status_line in STATUS_LINES:
        yield b'%b%b%b' % (status_line, SIGNED, BODY)
    for line in (*FIELD_LINES, *FOLDED_LINES):
        yield b'%b%b%b' % (OK, line, BODY)
    for folded in FOLDED_LINES:
        # All bytes up to the close would be the body.
        yield b'%b%b\r\nok' % (OK, folded)


async def send_in_parts(split, reader, writer, request_id):
    """Sends a folded head with a pause after some bytes."""
    writer.write(FOLDED[:split])
    await writer.drain()
    await asyncio.sleep(0.001)
    writer.write(FOLDED[split:])


class TestCallers:
    """What callers get of such answers."""

    @pytest.mark.parametrize(
        ('service', 'path'), [('desk', '/book/a'), ('model', '/reply/a')]
    )
    async def test_request_that_may_not_be_repeated_fails(self, service, path):
        """No answer is passed on, whole or in part, and nothing is repeated."""
        statuses = {}
        async with deployment(1) as callers:
            async with replacing(callers, service, None) as target:
                for content in answers():
                    target.answer = sending(content)
                    reply = await callers.stream(path, '')
                    statuses[content] = reply.status
        assert statuses == dict.fromkeys(answers(), 502)
        assert target.requests == len(statuses)


class TestHttpClient:
    """Each way to read an answer, of whomever."""

    @pytest.mark.parametrize('content', list(answers()))
    async def test_answer_is_refused(self, content):
        """It may have been carried out, and its connection is not kept."""
        async with (
            OddTarget(sending(content)).running() as target,
            HttpClient() as client,
        ):
            call = HttpCall(target.address, 'GET', '/', timeout_ms=2000)
            with pytest.raises(HttpCallError) as raised:
                await client.request(call)
            assert raised.value.sent
            with pytest.raises(HttpCallError):
                async with client.stream(call) as (_, _, chunks):
                    await anext(chunks)
            assert target.requests == 2

    @pytest.mark.parametrize('split', range(1, len(FOLDED)))
    async def test_line_that_arrives_in_parts(self, split):
        """A line is seen to begin with whitespace wherever it was cut."""
        await self.require_refused(functools.partial(send_in_parts, split))

    @pytest.mark.parametrize(
        'before',
        [
            b'HTTP/1.1 102 Processing\r\n\r\n',
            b'HTTP/1.1 102 Processing\r\nx-more: 1\r\n\r\n',
            b'HTTP/1.1 102 Processing\r\n x-odd: 1\r\n\r\n',
        ],
    )
    async def test_line_after_an_interim_answer(self, before):
        """The head of each answer is checked."""
        await self.require_refused(sending(before + FOLDED))

    @pytest.mark.parametrize(
        'body', [b'\n odd', b'\r\n odd', b'\r\n\r\n\tx: 1\r\n\r\n']
    )
    async def test_body_may_have_such_lines(self, body):
        """Only the head is checked."""
        content = b'HTTP/1.1 200 OK\r\n\r\n%b' % body
        async with (
            OddTarget(sending(content)).running() as target,
            HttpClient() as client,
        ):
            reply = await client.request(HttpCall(target.address, 'GET', '/'))
        assert reply.body == body

    async def require_refused(self, answer):
        """Asserts that an answer fails its call."""
        async with (
            OddTarget(answer).running() as target,
            HttpClient() as client,
        ):
            with pytest.raises(HttpCallError):
                await client.request(HttpCall(target.address, 'GET', '/'))


class TestCalls:
    """Calls of the gateway itself, whose answers are read in the same way."""

    async def test_pieces_and_reports(self):
        """The call fails, and its pieces are placed again."""
        async with (
            OddTarget(sending(FOLDED)).running() as target,
            HttpClient() as client,
        ):
            clock = SystemClock()
            notices = AnswerNotices(
                TargetLimits(clock), TargetDepartures(clock)
            )
            runner = HttpPieceRunner(client, notices)
            row = RosterRow('t', 's', target.address, 'a', TargetPhase.READY)
            with pytest.raises(CallFailedError):
                await runner.run(row, [PieceRequest('r', 0, 0, 900)], 1000)
            with pytest.raises(CallFailedError):
                await runner.query_free_bytes(row)

    async def test_store(self):
        """The read fails, and is tried again as after other failures."""
        async with (
            OddTarget(sending(FOLDED)).running() as store,
            HttpClient() as client,
        ):
            tables = StoreTables(client, store.address)
            with pytest.raises(StoreError, match='whitespace'):
                await tables.snapshot(Table.TARGETS)
            with pytest.raises(StoreError, match='whitespace'):
                await tables.read(Table.TARGETS, 0, 0)


class TestNotices:
    """Numbers in headers in which targets tell of themselves."""

    @pytest.mark.parametrize('number', ['1e308', '1e400', '9' * 400, 'nan'])
    async def test_rejection_is_sent_elsewhere(self, number):
        """A pause of any length is no reason to fail the request."""
        async with deployment(1) as callers:
            callers.set_faults('desk', retry_after=number)
            callers.targets('desk')[0].faults.reject = 1
            replies = [await callers.call('/read/a') for _ in range(4)]
            assert {reply.status for reply in replies} == {200}

    @pytest.mark.parametrize('number', ['1e308', '1e300', '1e9'])
    async def test_rejected_calls_with_pieces(self, number):
        """While all targets pause, prompts are refused as not run."""
        async with deployment(1) as callers:
            callers.set_faults('planner', retry_after=number, reject=1)
            replies = [await callers.stream('/brief/x') for _ in range(4)]
            assert {reply.status for reply in replies} == {503}
            assert all('retry-after' in reply.headers for reply in replies)

    @pytest.mark.parametrize('number', ['1e308', '1e400', '9' * 400, 'nan'])
    @pytest.mark.parametrize(
        'header', ['server-limit', 'x-cold-ms', 'x-instance-load', 'keep-alive']
    )
    async def test_answers_are_delivered(self, header, number):
        """Plain answers and streams go on, and requests are still sent."""
        text = {
            'x-instance-load': f'{number},{number},{number},{number}',
            'keep-alive': f'timeout={number}',
        }.get(header, number)
        async with deployment(1) as callers:
            for service in ('desk', 'model', 'planner'):
                callers.set_faults(service, headers={header: text})
            for _ in range(4):
                assert (await callers.call('/read/a')).status == 200
                reply = await callers.stream('/brief/x')
                assert events(reply) == list(ALL_EVENTS)
