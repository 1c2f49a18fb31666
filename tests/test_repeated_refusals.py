"""Tests of targets that write an earlier answer once more."""

import asyncio
import contextlib
import dataclasses
import re
import types

import pytest

from borageyard.call_relay import CallRelay
from borageyard.clock import SystemClock
from borageyard.fleet_state import FleetState
from borageyard.http_client import HttpClient
from borageyard.inbound import InboundRequest, SendError, TargetSend
from borageyard.memory_peers import MemoryPeerNetwork
from borageyard.path_witnesses import PathWitnesses
from borageyard.peer_calls import PeerCalls
from borageyard.piece_runner import (
    CallFailedError,
    PieceRequest,
    PieceStatus,
    TargetFullError,
)
from borageyard.platform.answer_match import answer_check
from borageyard.platform.answer_notices import AnswerNotices
from borageyard.platform.documents import DocumentDecoder
from borageyard.platform.status_client import HttpStatusClient
from borageyard.platform.targets import HttpPieceRunner, HttpTargetSender
from borageyard.roster import RosterRow, TargetPhase
from borageyard.sent_keys import MIN_PRUNED, SentKeys
from borageyard.target_departures import TargetDepartures
from borageyard.target_limits import TargetLimits
from borageyard.target_path_watch import TargetPathWatch
from borageyard.target_paths import TargetPaths

SAFETY_TIMEOUT_S = 5
REFUSALS = types.MappingProxyType(
    {
        'full': b'503 Full\r\nx-not-executed: 1',
        'other target': b'421 Other\r\nx-instance-id: t0',
    },
)
REFUSED = b'HTTP/1.1 %s\r\ncontent-length: 0\r\n\r\n'
NAMED_REFUSAL = (
    b'HTTP/1.1 503 Full\r\nx-not-executed: 1\r\nx-attempt-id: %s\r\n'
    b'content-length: 0\r\n\r\n'
)
RAN = (
    b'HTTP/1.1 200 OK\r\nx-server-stamp: s\r\nx-attempt-id: %s\r\n'
    b'content-length: %d\r\n\r\n%s'
)
PIECES_PATH = '/stage-run'


class RepeatingTarget:
    """Target that may write its latest refusal again at the next request.

    It refuses the first request on each path in ``refusing``, and runs all
    others. Refusals name the request only if ``names`` is set.
    """

    def __init__(self, refusing, refusal, *, waits):
        """Creates a target that does not listen yet.

        Args:
            refusing: Paths whose first request is refused.
            refusal: Status line and header of its refusals.
            waits: Whether the copy is written only once the next request has
                arrived.
        """
        self.runs = []
        self.connections = 0
        # Whether the answer to a request that ran is written once more.
        self.repeats_results = False
        self.names = False
        self.address = ''
        self._handlers = []
        self._refusing = set(refusing)
        self._refusal = REFUSED % refusal
        self._waits = waits

    @contextlib.asynccontextmanager
    async def running(self):
        """Listens within the scope."""
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        self.address = f'{host}:{port}'
        async with server, contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self._wait_closed)
            yield self

    async def _wait_closed(self):
        await asyncio.gather(*self._handlers)

    async def _serve(self, reader, writer):
        self.connections += 1
        self._handlers.append(asyncio.current_task())
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await self._answer_all(reader, writer)
        writer.close()
        with contextlib.suppress(OSError):
            await writer.wait_closed()

    async def _answer_all(self, reader, writer):
        copy = b''
        while True:
            head = await reader.readuntil(b'\r\n\r\n')
            size = re.search(rb'content-length: (\d+)', head)
            await reader.readexactly(int(size[1]))
            before = copy
            answer, copy = self._answer(head)
            writer.write(before + answer)
            if not self._waits:
                await asyncio.sleep(0)
                writer.write(copy)
                copy = b''

    def _answer(self, head):
        """Returns the answer to a request, and its copy if it writes one."""
        path = head.split(b' ')[1].decode()
        if path in self._refusing:
            self._refusing.discard(path)
            refusal = self._refusal
            if self.names:
                refusal = NAMED_REFUSAL % _request_id(head)
            return refusal, refusal
        ran = self._run(path, head)
        if self.repeats_results:
            return ran, ran
        return ran, b''

    def _run(self, path, head):
        """Returns the answer to a request that runs."""
        self.runs.append(path)
        body = b'ran'
        if path == PIECES_PATH:
            body = b'{"items": [{"handle": "h%d"}]}' % len(self.runs)
        return RAN % (_request_id(head), len(body), body)


def _request_id(head):
    """Returns the id that a request names, if any."""
    named = re.search(rb'x-attempt-id: (\S+)', head)
    return named[1] if named else b''


class Caller:
    """Makes each kind of call to one target over one client."""

    def __init__(self, client, address):
        """Stores the client and the target."""
        notices = AnswerNotices(
            TargetLimits(SystemClock()), TargetDepartures(SystemClock())
        )
        self._sender = HttpTargetSender(client, notices)
        self._runner = HttpPieceRunner(client, notices)
        self._status = HttpStatusClient(client)
        self._row = RosterRow('t1', 's', address, 'a', TargetPhase.READY)
        self._sent = 0

    async def send(self, request_id=''):
        """Sends a request; returns whether it was told as not run.

        Args:
            request_id: Id of a request that may have been sent before; a new
                one by default.
        """
        self._sent += 1
        request_id = request_id or f'request-{self._sent}'
        request = InboundRequest(
            request_id=request_id,
            host='h',
            method='POST',
            path='/book',
            request_target='/book',
            headers={'x-attempt-id': request_id},
            body=b'',
            received_at_ms=0,
            wait_ms=1000,
        )
        send = TargetSend(request, self._row, 1000, '', 0, repeatable=False)
        try:
            async with self._sender.send(send) as answer:
                body = b''.join([chunk async for chunk in answer.chunks])
                return 'not run' if answer.not_run else body.decode()
        except SendError as error:
            return error.failure.value

    async def run_piece(self):
        """Runs a piece; returns its handle, or how the call failed."""
        piece = PieceRequest('request', 0, 0, 1000, 'key', None)
        try:
            (outcome,) = await self._runner.run(self._row, [piece], 1000)
        except TargetFullError:
            return 'full'
        except CallFailedError:
            return 'failed'
        assert outcome.status is PieceStatus.MADE
        return outcome.handle

    async def free(self):
        """Frees a result."""
        with contextlib.suppress(CallFailedError):
            await self._runner.free('t1', self._row.address, ['h'])

    async def query(self):
        """Asks for the free memory."""
        with contextlib.suppress(CallFailedError):
            await self._runner.query_free_bytes(self._row)

    async def check(self):
        """Asks for the status."""
        await self._status.check_status('t1', self._row.address)


class PeerClient:
    """Makes all calls through a peer."""

    def __init__(self, client, *, names_sends):
        """Connects two entries; the other one has the client."""
        network = MemoryPeerNetwork()
        clock = SystemClock()
        self._names_sends = names_sends
        paths = TargetPaths('asker')
        self._calls = PeerCalls(paths, network.join('asker'), clock)
        state = FleetState(DocumentDecoder())
        watch = TargetPathWatch(
            TargetPaths('maker'), PathWitnesses(state, None), clock
        )
        self._relay = CallRelay(
            client, answer_check, state, watch, network.join('maker'), clock
        )

    @contextlib.asynccontextmanager
    async def stream(self, call):
        """Makes a call."""
        if not self._names_sends:
            call = dataclasses.replace(call, send_key='')
        async with self._relay.running(), contextlib.AsyncExitStack() as stack:
            yield await self._calls.open(call, stack)


@contextlib.asynccontextmanager
async def calling(target, *, relayed=False, names_sends=True):
    """Runs a target and yields a caller of it."""
    async with (
        asyncio.timeout(SAFETY_TIMEOUT_S),
        target.running(),
        HttpClient() as client,
    ):
        used = client
        if relayed:
            used = PeerClient(client, names_sends=names_sends)
        yield Caller(used, target.address)


FIRST_CALLS = types.MappingProxyType(
    {
        'request': (Caller.send, '/book'),
        'pieces': (Caller.run_piece, PIECES_PATH),
        'free': (Caller.free, '/stage-free'),
        'report': (Caller.query, '/report'),
        'status': (Caller.check, '/report'),
    },
)


@pytest.mark.parametrize('waits', [False, True])
@pytest.mark.parametrize('refusal', REFUSALS)
@pytest.mark.parametrize('first', FIRST_CALLS)
class TestRepeatedRefusal:
    """A refusal without an id says nothing of the next request."""

    async def test_next_request_is_told_as_not_run(self, first, refusal, waits):
        """It ran, whatever the first call was."""
        call, path = FIRST_CALLS[first]
        target = RepeatingTarget([path], REFUSALS[refusal], waits=waits)
        async with calling(target) as caller:
            await call(caller)
            assert await caller.send() == 'ran'
            assert target.runs == ['/book']

    async def test_next_call_with_pieces_is_told_as_not_run(
        self, first, refusal, waits
    ):
        """Its result is used, and the one after gets its own."""
        call, path = FIRST_CALLS[first]
        target = RepeatingTarget([path], REFUSALS[refusal], waits=waits)
        async with calling(target) as caller:
            await call(caller)
            handles = [await caller.run_piece(), await caller.run_piece()]
            assert handles == ['h1', 'h2']


class TestRepeatedResults:
    """An answer to a call with pieces, once more."""

    async def test_next_call_gets_results_of_the_one_before(self):
        """It fails, and the calls after it get their own results."""
        target = RepeatingTarget([], b'', waits=True)
        target.repeats_results = True
        async with calling(target) as caller:
            handles = [await caller.run_piece() for _ in range(4)]
            assert handles == ['h1', 'failed', 'h3', 'failed']


class TestKeptConnections:
    """Connections are dear, so only doubt costs one."""

    async def test_sound_answers_cost_no_connection(self):
        """All calls go over one connection."""
        target = RepeatingTarget([], b'', waits=True)
        async with calling(target) as caller:
            for _ in range(3):
                assert await caller.send() == 'ran'
                await caller.run_piece()
            assert target.connections == 1

    async def test_second_send_leaves_the_connection_to_others(self):
        """It is kept, and the next request goes over it."""
        target = RepeatingTarget(['/book'], b'', waits=True)
        target.names = True
        async with calling(target) as caller:
            assert await caller.send('one') == 'not run'
            assert await caller.send('one') == 'ran'
            for _ in range(3):
                assert await caller.send() == 'ran'
            assert target.connections == 2


@pytest.mark.parametrize('relayed', [False, True])
class TestSecondSend:
    """Guards against a request that runs twice, or ran though refused.

    A copy of the refusal of its first send names the request, so it could be
    taken for the answer to the second one.
    """

    @pytest.mark.parametrize('waits', [False, True])
    async def test_refusal_of_the_first_send_once_more(self, relayed, waits):
        """The second send is told as it went; the caller sends no third one."""
        target = RepeatingTarget(['/book'], b'', waits=waits)
        target.names = True
        async with calling(target, relayed=relayed) as caller:
            assert await caller.send('one') == 'not run'
            assert await caller.send('one') == 'ran'
            assert target.runs == ['/book']

    async def test_other_request_between_the_sends(self, relayed):
        """The connection that carried the first one isn't used again."""
        target = RepeatingTarget(['/book'], b'', waits=True)
        target.names = True
        async with calling(target, relayed=relayed) as caller:
            assert await caller.send('one') == 'not run'
            assert await caller.send('two') == 'ran'
            assert await caller.send('one') == 'ran'
            assert target.connections == 2


class TestEarlierBuilds:
    """Entries that do not say which request a relayed call sends."""

    async def test_their_calls_share_no_connection(self):
        """What they have sent before isn't known."""
        target = RepeatingTarget(['/book'], b'', waits=True)
        target.names = True
        async with calling(target, relayed=True, names_sends=False) as caller:
            assert await caller.send('one') == 'not run'
            assert await caller.send('one') == 'ran'
            assert target.connections == 2


class TestSentKeys:
    """Which requests a connection remembers."""

    def test_requests_that_are_over_are_forgotten(self):
        """Their number is bounded by those that may still be sent."""
        keys = SentKeys()
        for number in range(10 * MIN_PRUNED):
            keys.add(str(number), now_s=number, until_s=number + 5)
        assert keys.has(str(10 * MIN_PRUNED - 1))
        assert not keys.has('0')

    def test_call_that_is_made_once(self):
        """It has no key, and any connection will do."""
        keys = SentKeys()
        keys.add('', now_s=0, until_s=1)
        assert not keys.has('')
