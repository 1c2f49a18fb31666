"""Tests of answers whose bytes never end."""

import asyncio
import contextlib
import dataclasses
import tracemalloc
import types

import pytest

from borageyard.answer_body import AnswerReader
from borageyard.clock import SystemClock
from borageyard.http_client import (
    AnswerMatch,
    HttpCall,
    HttpCallError,
    HttpClient,
    HttpReply,
)
from borageyard.http_messages import encode_json
from borageyard.inbound import SendError
from borageyard.peer_codec import FrameError, read_payload
from borageyard.piece_runner import CallFailedError, PieceRequest
from borageyard.platform.answer_notices import AnswerNotices
from borageyard.platform.store import StoreTables
from borageyard.platform.targets import HttpPieceRunner
from borageyard.relayed_call import RelayedCall
from borageyard.roster import RosterRow, TargetPhase
from borageyard.shared_table import StoreError, Table
from borageyard.snapshot_pages import MAX_PAGES
from borageyard.target_departures import TargetDepartures
from borageyard.target_limits import TargetLimits
from tests.test_gateway import ALL_EVENTS, deployment, events

# More than the largest answer and all buffers on the way, far less than without
# a bound.
MAX_SENT_BYTES = 32_000_000
MAX_FRAME_BYTES = 65_536
SAFETY_TIMEOUT_S = 60
OK = b'HTTP/1.1 200 OK\r\n'
CHUNKED = OK + b'transfer-encoding: chunked\r\n\r\n'
PADDING = b'x' * 1000
# What comes once, and what is repeated until the caller closes.
ENDLESS = types.MappingProxyType(
    {
        'no head': (b'', PADDING),
        'header line': (OK + b'x-long: ', PADDING),
        'headers': (OK, b'x-more: a\r\n'),
        'informational': (b'', b'HTTP/1.1 102 Processing\r\n\r\n'),
        'foreign': (b'', OK + b'x-id: foreign\r\ncontent-length: 0\r\n\r\n'),
        'body': (OK + b'x-id: own\r\n\r\n', PADDING),
        'chunks': (CHUNKED, b'3e8\r\n%b\r\n' % PADDING),
        'tiny chunks': (CHUNKED, b'1\r\nx\r\n'),
        'chunk extensions': (CHUNKED, b'1;%b\r\nx\r\n' % PADDING),
        'chunk size': (CHUNKED, b'0' * 1000),
        'trailers': (CHUNKED + b'0\r\n', b'x-more: a\r\n'),
        'length': (OK + b'content-length: 999999999999\r\n\r\n', PADDING),
    }
)


class EndlessServer:
    """Sends bytes without end and counts them."""

    def __init__(self, kind):
        """Chooses what is sent."""
        self.sent_bytes = 0
        self.address = ''
        self._kind = kind

    @contextlib.asynccontextmanager
    async def running(self):
        """Listens until the context exits."""
        server = await asyncio.start_server(self._send, '127.0.0.1', 0)
        async with server:
            host, port = server.sockets[0].getsockname()
            self.address = f'{host}:{port}'
            yield self

    async def _send(self, reader, writer):
        start, repeated = ENDLESS[self._kind]
        block = repeated * (1 + 16_000 // len(repeated))
        with contextlib.suppress(OSError):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(start)
            while True:
                writer.write(block)
                await writer.drain()
                self.sent_bytes += len(block)
        writer.close()


def call_to(server):
    """Returns a call that does not time out within the test."""
    return HttpCall(
        server.address,
        'GET',
        '/',
        timeout_ms=10 * SAFETY_TIMEOUT_S * 1000,
        match_answer=lambda _, headers: AnswerMatch(headers.get('x-id', 'own')),
    )


async def read_stream(client, call):
    """Reads an answer as it arrives; returns its size."""
    async with client.stream(call) as (_, _, chunks):
        return sum([len(chunk) async for chunk in chunks])


async def read_whole(client, call, reader=None):
    """Reads an answer that is held whole."""
    async with client.stream(call) as (_, _, chunks):
        return await (reader or AnswerReader()).read(chunks)


@pytest.mark.parametrize('kind', ENDLESS)
class TestHttpClient:
    """Heads and bodies, by each way to read them."""

    @pytest.mark.parametrize(
        'read', [HttpClient.request, read_stream, read_whole]
    )
    async def test_bytes_are_bounded(self, kind, read):
        """The exchange fails after a bounded number of bytes."""
        async with (
            asyncio.timeout(SAFETY_TIMEOUT_S),
            EndlessServer(kind).running() as server,
            HttpClient() as client,
        ):
            with pytest.raises((HttpCallError, SendError)):
                await read(client, call_to(server))
            assert server.sent_bytes < MAX_SENT_BYTES

    async def test_time_is_bounded(self, kind):
        """The timeout of the call ends any exchange."""
        async with (
            asyncio.timeout(SAFETY_TIMEOUT_S),
            EndlessServer(kind).running() as server,
            HttpClient() as client,
        ):
            call = dataclasses.replace(call_to(server), timeout_ms=30)
            with pytest.raises(HttpCallError):
                await client.request(call)


class TestStreams:
    """Events that do not end."""

    async def test_stream_goes_on_at_another_engine(self):
        """The caller gets all events, as if the engine had failed."""
        async with deployment() as callers:
            await callers.stream('/brief/x', '')
            (engine,) = [one for one in callers.targets('model') if one.runs]
            engine.faults.endless_after = 2
            reply = await callers.stream('/brief/x', '')
            assert events(reply) == list(ALL_EVENTS)


class EndlessPages:
    """Store whose snapshot always has a further page."""

    def __init__(self):
        """Starts before the first page."""
        self.pages = 0

    async def request(self, call):
        """Returns a page with one record."""
        self.pages += 1
        record = {'key': f'target-{self.pages}', 'value': '', 'offset': 1}
        page = {'items': [record], 'hasMore': True, 'end': 1}
        return HttpReply(200, {}, encode_json(page))


class TestStore:
    """Snapshots of the store that do not end."""

    async def test_pages_are_bounded(self):
        """The read fails, and is tried again as after other failures."""
        store = EndlessPages()
        with pytest.raises(StoreError):
            await StoreTables(store, 'h:1').snapshot(Table.TARGETS)
        assert store.pages <= 1 + MAX_PAGES


class TestPeers:
    """Frames of peers that do not end."""

    @pytest.mark.parametrize('kind', ['no head', 'chunk size', 'body'])
    async def test_bytes_are_bounded(self, kind):
        """The stream fails at the first length or payload that is wrong."""
        async with (
            asyncio.timeout(SAFETY_TIMEOUT_S),
            EndlessServer(kind).running() as server,
        ):
            host, port = server.address.split(':')
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b'hello\r\n\r\n')
            with contextlib.ExitStack() as stack:
                stack.callback(writer.transport.abort)
                with pytest.raises(FrameError):
                    await read_payload(
                        reader, MAX_FRAME_BYTES, SAFETY_TIMEOUT_S * 1000
                    )
            assert server.sent_bytes < MAX_SENT_BYTES


@pytest.mark.parametrize('kind', ENDLESS)
class TestCallsOfGateways:
    """Calls with pieces, reports and reads of the store."""

    async def test_pieces_and_reports(self, kind):
        """Each fails after a bounded number of bytes."""
        async with (
            asyncio.timeout(SAFETY_TIMEOUT_S),
            EndlessServer(kind).running() as server,
            HttpClient() as client,
        ):
            clock = SystemClock()
            limits = TargetLimits(clock)
            notices = AnswerNotices(limits, TargetDepartures(clock))
            runner = HttpPieceRunner(client, notices)
            row = RosterRow('t', 's', server.address, 'a', TargetPhase.READY)
            with pytest.raises(CallFailedError):
                await runner.run(row, [PieceRequest('r', 0, 0, 900)], 5000)
            with pytest.raises(CallFailedError):
                await runner.query_free_bytes(row)
            assert server.sent_bytes < MAX_SENT_BYTES

    @pytest.mark.parametrize(
        'read',
        [
            lambda tables: tables.snapshot(Table.TARGETS),
            lambda tables: tables.read(Table.TARGETS, 0, 0),
        ],
        ids=['snapshot', 'history'],
    )
    async def test_store(self, kind, read):
        """A read of a table fails, and is tried again."""
        async with (
            asyncio.timeout(SAFETY_TIMEOUT_S),
            EndlessServer(kind).running() as server,
            HttpClient() as client,
        ):
            with pytest.raises(StoreError):
                await read(StoreTables(client, server.address))
            assert server.sent_bytes < MAX_SENT_BYTES


class TestRelayedCalls:
    """Answers to calls that are made for a peer."""

    @pytest.mark.parametrize('kind', ['body', 'chunks', 'tiny chunks'])
    async def test_bytes_that_the_peer_does_not_take(self, kind):
        """Only some parts are read ahead of the peer."""
        async with (
            EndlessServer(kind).running() as server,
            HttpClient() as client,
        ):
            relayed = RelayedCall(client, call_to(server))
            relayed.start()
            async with contextlib.AsyncExitStack() as stack:
                stack.push_async_callback(relayed.close)
                assert (await relayed.wait_head()).status == 200
                sent_bytes = -1
                while server.sent_bytes > sent_bytes:
                    sent_bytes = server.sent_bytes
                    await asyncio.sleep(0.3)
        assert sent_bytes < MAX_SENT_BYTES


class TestOtherWork:
    """What many endless answers cost the rest of the process."""

    @pytest.mark.parametrize('kind', ['chunk extensions', 'tiny chunks'])
    async def test_other_tasks_run_meanwhile(self, kind):
        """An exchange yields, however small the pieces of its bytes are."""
        async with (
            asyncio.timeout(SAFETY_TIMEOUT_S),
            EndlessServer(kind).running() as server,
            HttpClient() as client,
        ):
            exchange = asyncio.ensure_future(client.request(call_to(server)))
            turns = 0
            while not exchange.done():
                await asyncio.sleep(0)
                turns += 1
            assert isinstance(exchange.exception(), HttpCallError)
            assert turns > 10

    async def test_memory_of_many_answers_is_bounded(self):
        """Answers that are held whole share a budget."""
        reader = AnswerReader()
        async with (
            asyncio.timeout(SAFETY_TIMEOUT_S),
            EndlessServer('chunks').running() as server,
            HttpClient() as client,
        ):
            reads = [
                read_whole(client, call_to(server), reader) for _ in range(48)
            ]
            tracemalloc.start()
            with contextlib.ExitStack() as stack:
                stack.callback(tracemalloc.stop)
                outcomes = await asyncio.gather(*reads, return_exceptions=True)
                _, peak_bytes = tracemalloc.get_traced_memory()
        assert all(
            isinstance(outcome, (HttpCallError, SendError))
            for outcome in outcomes
        )
        assert peak_bytes < 2 * reader.max_total_bytes
