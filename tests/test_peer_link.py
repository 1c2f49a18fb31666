"""Tests of peer streams on real sockets."""

import asyncio
import contextlib
import ssl
import types

import msgpack
import pytest
import trustme
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import SimpleSpanProcessor
from opentelemetry.sdk.trace.export.in_memory_span_exporter import (
    InMemorySpanExporter,
)

from borageyard import peer_server
from borageyard.client_limits.client_guard import ClientGuard
from borageyard.client_limits.limit_reports import LimitReason
from borageyard.client_limits.memory_budget import MemoryBudget
from borageyard.clock import SystemClock
from borageyard.generated.peer_elections import SchedulerNewsBody
from borageyard.generated.peer_frames import PeerFrameBody
from borageyard.generated.peer_membership import (
    PeerMembershipBody,
    PeerProbeBody,
    PeerProbeReplyBody,
)
from borageyard.generated.settings import PeerSettings
from borageyard.peer_codec import LENGTH_PREFIX, FrameError, encode_frame
from borageyard.peer_link import TcpPeerLink
from borageyard.peer_stream import (
    MAX_GREETING_BYTES,
    PeerContext,
    PeerCounters,
    PeerIdentity,
)
from borageyard.peers import GossipSection, PeerAddress, PeerError
from borageyard.standins.gateway_deployment import poll_periodically
from tests.relay import Relay

ANY_PORT = '127.0.0.1:0'
SHORT_INTERVALS = types.MappingProxyType(
    {
        'news_interval_ms': 10,
        'heartbeat_ms': 20,
        'silence_ms': 200,
        'news_bytes_per_s': 100_000,
    }
)


class BlockingHandler:
    """Request handlers that block until released."""

    def __init__(self):
        """Starts without requests."""
        self.requested = asyncio.Event()
        self.released = asyncio.Event()
        self.count = 0

    async def delay_first(self, peer_id, message):
        """Replies with the request number; delays the first reply."""
        self.count += 1
        number = self.count
        if number == 1:
            await self.released.wait()
        self.released.set()
        return PeerProbeReplyBody(incarnation=number)

    async def cancelled(self, peer_id, message):
        """Awaits what another task has cancelled."""
        future = asyncio.get_running_loop().create_future()
        future.cancel()
        await future

    async def block(self, peer_id, message):
        """Replies once released."""
        self.requested.set()
        await self.released.wait()
        return PeerProbeReplyBody(incarnation=1)

    async def fail(self, peer_id, message):
        """Raises an error."""
        raise ValueError(peer_id)


class LinkedEntry:
    """Peer link of one entry that records contacts and gossip."""

    def __init__(
        self,
        name,
        token='',
        incarnation=1,
        tls=(None, None),
        tracer=None,
        guard=None,
        **settings,
    ):
        """Creates a link that answers probes."""
        self.contacts = []
        self.contacted = asyncio.Event()
        self.replaced = []
        self.refused = asyncio.Queue()
        self.gossip = asyncio.Queue()
        context = PeerContext(
            identity=PeerIdentity(name, incarnation, token),
            settings=PeerSettings(**{**SHORT_INTERVALS, **settings}),
            counters=PeerCounters(),
            on_contact=self.note_contact,
            on_replaced=self.replaced.append,
            on_refused=lambda *gone: self.refused.put_nowait(gone),
            client_tls=tls[0],
            server_tls=tls[1],
            tracer=tracer,
            guard=guard,
        )
        self.name = name
        self.counters = context.counters
        self.link = TcpPeerLink(context, SystemClock())
        self.link.register(PeerProbeBody, self.answer)
        self.link.add_gossip_section(
            GossipSection(
                PeerMembershipBody,
                lambda: PeerMembershipBody(incarnation=incarnation),
                lambda *received: self.gossip.put_nowait(received),
                urgent=True,
            )
        )

    async def answer(self, peer_id, message):
        """Answers a probe."""
        return PeerProbeReplyBody(incarnation=7)

    def set_peers(self, *others, via=None):
        """Sets the known peers of the link."""
        self.link.update_peers(
            PeerAddress(other.name, via or other.link.server.address)
            for other in others
        )

    async def probe(self, other, timeout_ms=2000):
        """Probes another entry; returns the incarnation in its reply."""
        reply = await self.link.request(
            other.name,
            PeerProbeBody(),
            PeerProbeReplyBody,
            timeout_ms,
        )
        return reply.incarnation

    async def until_connected(self, other):
        """Waits until the stream to another entry is open."""
        while other.name not in self.link.connected_ids():
            self.contacted.clear()
            await self.contacted.wait()

    async def until_contact(self, *contact):
        """Waits until contact with an incarnation of a peer."""
        while contact not in self.contacts:
            self.contacted.clear()
            await self.contacted.wait()

    def note_contact(self, peer_id, incarnation):
        """Records contact with a peer."""
        self.contacts.append((peer_id, incarnation))
        self.contacted.set()


@contextlib.asynccontextmanager
async def started(*sides):
    """Runs the links of entries."""
    async with contextlib.AsyncExitStack() as stack:
        for side in sides:
            await side.link.start(ANY_PORT, stack)
        yield sides


async def raw_stream(side, name='raw', incarnation=1):
    """Opens a stream on a plain socket and sends a greeting."""
    host, _, port = side.link.server.address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    send_raw(
        writer,
        {
            'protocol_version': 1,
            'instance_id': name,
            'incarnation': incarnation,
        },
    )
    return reader, writer


def send_raw(writer, document):
    """Writes one frame with its length prefix."""
    payload = msgpack.packb(document)
    writer.write(LENGTH_PREFIX.pack(len(payload)) + payload)


async def read_raw(reader):
    """Reads and decodes one frame."""
    size = LENGTH_PREFIX.unpack(await reader.readexactly(4))[0]
    return msgpack.unpackb(await reader.readexactly(size))


def fail_to_consume(peer_id, message):
    """Fails on any gossip."""
    raise ZeroDivisionError(peer_id, message)


async def wait_held(guard, held_bytes):
    """Waits until so many bytes are held."""
    async with asyncio.timeout(10):
        async for _ in poll_periodically():
            if guard.budget.held_bytes == held_bytes:
                return


def tls_contexts(authority):
    """Returns TLS contexts of a client and of a server."""
    client = ssl.create_default_context()
    authority.configure_trust(client)
    server = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    authority.issue_cert('127.0.0.1').configure_cert(server)
    return client, server


class TestTls:
    """Streams with TLS."""

    async def test_same_authority(self):
        """Entries with certificates of one authority connect."""
        tls = tls_contexts(trustme.CA())
        one, two = LinkedEntry('a', tls=tls), LinkedEntry('b', tls=tls)
        async with started(one, two):
            one.set_peers(two)
            assert await one.probe(two) == 7

    async def test_other_authority(self):
        """A certificate of another authority is refused."""
        one = LinkedEntry('a', tls=tls_contexts(trustme.CA()))
        two = LinkedEntry('b', tls=tls_contexts(trustme.CA()))
        async with started(one, two):
            one.set_peers(two)
            with pytest.raises(PeerError):
                await one.probe(two, timeout_ms=500)

    async def test_plain_stream(self):
        """A stream without TLS is refused by a TLS server."""
        one = LinkedEntry('a')
        two = LinkedEntry('b', tls=tls_contexts(trustme.CA()))
        async with started(one, two):
            one.set_peers(two)
            with pytest.raises(PeerError):
                await one.probe(two, timeout_ms=500)


class TestTrace:
    """Propagation of the trace context in requests."""

    async def test_span_of_the_peer_is_a_child(self):
        """The span of the peer is a child of the caller's span."""
        exporter = InMemorySpanExporter()
        provider = TracerProvider()
        provider.add_span_processor(SimpleSpanProcessor(exporter))
        tracer = provider.get_tracer('test')
        one, two = (
            LinkedEntry('a', tracer=tracer),
            LinkedEntry('b', tracer=tracer),
        )
        async with started(one, two):
            one.set_peers(two)
            with tracer.start_as_current_span('asks') as asks:
                assert await one.probe(two) == 7
        spans = {span.name: span for span in exporter.get_finished_spans()}
        parent_context = spans['PeerProbeBody'].parent
        assert parent_context.span_id == asks.get_span_context().span_id


class TestRequests:
    """Requests and their replies."""

    async def test_reply_and_gossip(self):
        """A request gets its reply, gossip arrives, and bytes are counted."""
        async with started(LinkedEntry('a'), LinkedEntry('b')) as (one, two):
            one.set_peers(two)
            assert await one.probe(two) == 7
            peer_id, gossip = await asyncio.wait_for(two.gossip.get(), 5)
        assert peer_id == 'a'
        assert gossip.incarnation == 1
        assert one.counters.news_bytes > 0
        assert ('b', 1) in one.contacts

    async def test_replies_by_id(self):
        """Replies that arrive out of order are matched to their requests."""
        async with started(LinkedEntry('a'), LinkedEntry('b')) as (one, two):
            two.link.register(PeerProbeBody, BlockingHandler().delay_first)
            one.set_peers(two)
            replies = await asyncio.gather(one.probe(two), one.probe(two))
        assert replies == [1, 2]

    async def test_unknown_kind_fails_the_request(self):
        """A request without a handler fails immediately."""
        async with started(LinkedEntry('a'), LinkedEntry('b')) as (one, two):
            one.set_peers(two)
            with pytest.raises(PeerError, match='unknown kind'):
                await one.link.request(
                    'b',
                    PeerMembershipBody(incarnation=1),
                    PeerProbeReplyBody,
                    2000,
                )

    async def test_failing_handler_fails_the_request(self):
        """A handler that raises fails the request, not the stream."""
        async with started(LinkedEntry('a'), LinkedEntry('b')) as (one, two):
            two.link.register(PeerProbeBody, BlockingHandler().fail)
            one.set_peers(two)
            with pytest.raises(PeerError, match='handler failed'):
                await one.probe(two)
            two.link.register(PeerProbeBody, two.answer)
            assert await one.probe(two) == 7

    async def test_wait_that_another_task_cancels_fails_the_request(self):
        """Incident LOST: the sender waited for its whole timeout."""
        async with started(LinkedEntry('a'), LinkedEntry('b')) as (one, two):
            two.link.register(PeerProbeBody, BlockingHandler().cancelled)
            one.set_peers(two)
            with pytest.raises(PeerError, match='handler failed'):
                await one.probe(two)

    async def test_frame_that_takes_long_is_no_silence(self):
        """A stream lives while the bytes of a large frame arrive."""
        async with started(LinkedEntry('a', silence_ms=1500)) as (one,):
            reader, writer = await raw_stream(one)
            frame = PeerFrameBody(type='request', id=1, kind='PeerProbeBody')
            encoded = encode_frame(frame, 1000)
            for start in range(0, len(encoded), len(encoded) // 3):
                writer.write(encoded[start : start + len(encoded) // 3])
                await asyncio.sleep(0.7)
            replies = []
            while 'reply' not in replies:
                replies.append((await read_raw(reader)).get('type'))
            writer.close()

    async def test_slow_peer_times_out(self):
        """A reply after the timeout is dropped and counted."""
        async with started(LinkedEntry('a'), LinkedEntry('b')) as (one, two):
            answers = BlockingHandler()
            two.link.register(PeerProbeBody, answers.block)
            one.set_peers(two)
            await one.until_connected(two)
            with pytest.raises(PeerError, match='timed out'):
                await one.probe(two, timeout_ms=30)
            answers.released.set()
            two.link.register(PeerProbeBody, two.answer)
            assert await one.probe(two) == 7
        assert one.counters.late_replies == 1

    async def test_too_many_requests_are_refused(self):
        """Requests beyond the limit are refused, never dropped."""
        sides = LinkedEntry('a'), LinkedEntry('b', max_requests=1)
        async with started(*sides) as (one, two):
            answers = BlockingHandler()
            two.link.register(PeerProbeBody, answers.block)
            one.set_peers(two)
            first = asyncio.ensure_future(one.probe(two))
            await answers.requested.wait()
            with pytest.raises(PeerError, match='too many'):
                await one.probe(two)
            answers.released.set()
            await first


class TestFailures:
    """Broken streams, frames and peers."""

    async def test_dead_peer_fails_pending_requests(self):
        """A pending request fails when its peer dies."""
        one, two = LinkedEntry('a'), LinkedEntry('b')
        async with started(one):
            async with started(two):
                answers = BlockingHandler()
                two.link.register(PeerProbeBody, answers.block)
                one.set_peers(two)
                waiting = asyncio.ensure_future(one.probe(two, 60_000))
                await answers.requested.wait()
            with pytest.raises(PeerError, match='stream lost'):
                await waiting

    async def test_reconnects_to_a_replaced_incarnation(self):
        """A peer that restarts at its address is connected again."""
        one, two = LinkedEntry('a'), LinkedEntry('b')
        async with started(one):
            async with started(two):
                address = two.link.server.address
                one.set_peers(two)
                assert await one.probe(two) == 7
            newer = LinkedEntry('b', incarnation=2)
            async with contextlib.AsyncExitStack() as stack:
                await newer.link.start(address, stack)
                await one.until_contact(newer.name, 2)
                assert await one.probe(newer) == 7
        assert one.contacts[-1] == ('b', 2)

    async def test_process_that_is_gone_is_reported(self):
        """Its machine refuses new connections."""
        one, two = LinkedEntry('a'), LinkedEntry('b', incarnation=3)
        async with started(one):
            async with started(two):
                one.set_peers(two)
                await one.probe(two)
            async with asyncio.timeout(5):
                assert await one.refused.get() == ('b', 3)

    async def test_process_that_has_not_started_is_not_reported(self):
        """An entry may be listed before it listens."""
        one, two = LinkedEntry('a'), LinkedEntry('b')
        async with started(two):
            address = two.link.server.address
        async with started(one):
            one.set_peers(two, via=address)
            for _ in range(2):
                with pytest.raises(PeerError):
                    await one.probe(two)
            assert one.refused.empty()

    async def test_another_instance_at_the_address(self):
        """A stream is closed if another instance took the peer's address."""
        async with started(LinkedEntry('a'), LinkedEntry('c')) as (one, other):
            other.name = 'b'
            one.set_peers(other)
            with pytest.raises(PeerError):
                await one.probe(other)
        assert one.replaced[0] == 'b'

    async def test_older_incarnation_is_refused(self):
        """A greeting of an older incarnation is refused."""
        async with started(LinkedEntry('b')) as sides:
            two = sides[0]
            newer, _ = await raw_stream(two, 'raw', incarnation=5)
            assert (await read_raw(newer))['instance_id'] == 'b'
            older, _ = await raw_stream(two, 'raw', incarnation=4)
            assert await older.read() == b''

    @pytest.mark.parametrize('direction', ['forward', 'backward'])
    async def test_one_way_link_is_detected(self, direction):
        """A stream is closed when one direction stops delivering."""
        async with started(LinkedEntry('a'), LinkedEntry('b')) as (one, two):
            async with Relay(two.link.server.address).running() as relay:
                one.set_peers(two, via=relay.address)
                assert await one.probe(two) == 7
                getattr(relay, direction).clear()
                with pytest.raises(PeerError, match='stream lost'):
                    await one.probe(two, 60_000)
                getattr(relay, direction).set()
                await one.until_connected(two)
                assert await one.probe(two) == 7
        assert one.counters.disconnects >= 1

    async def test_wrong_token_is_refused(self):
        """Entries with different tokens refuse each other."""
        sides = LinkedEntry('a', token='one'), LinkedEntry('b', token='two')
        async with started(*sides) as (one, two):
            one.set_peers(two)
            with pytest.raises(PeerError):
                await one.probe(two)

    @pytest.mark.parametrize(
        'payload',
        [b'\xff\xff\xff\xff', b'\0\0\0\3\xc1\xc1\xc1'],
        ids=['too long', 'no msgpack'],
    )
    async def test_broken_frame_closes_the_stream(self, payload):
        """A malformed frame closes only its own stream."""
        async with started(LinkedEntry('a'), LinkedEntry('b')) as (one, two):
            reader, writer = await raw_stream(two)
            await read_raw(reader)
            writer.write(payload)
            assert await reader.read() == b''
            one.set_peers(two)
            assert await one.probe(two) == 7
        assert two.counters.broken_frames == 1

    async def test_long_greeting_is_refused_at_its_length(self):
        """Guards against strangers that make an entry hold a large frame."""
        async with started(LinkedEntry('b')) as sides:
            host, _, port = sides[0].link.server.address.rpartition(':')
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(LENGTH_PREFIX.pack(MAX_GREETING_BYTES + 1))
            assert await reader.read() == b''
            writer.close()
        assert sides[0].counters.broken_frames == 1

    async def test_frame_that_stalls_gives_way(self):
        """Guards against peers whose large frames never end."""
        guard = ClientGuard()
        guard.budget = MemoryBudget(4_000_000)
        entry = LinkedEntry('b', guard=guard, silence_ms=60_000)
        async with started(entry) as (side,):
            reader, writer = await raw_stream(side)
            await read_raw(reader)
            writer.write(LENGTH_PREFIX.pack(5_000_000) + bytes(3_000_000))
            await wait_held(guard, 3_000_000)
            guard.budget.open().add(2_000_000, 0)
            assert await reader.read() == b''
        assert guard.budget.held_bytes == 2_000_000
        assert guard.reports.counts[LimitReason.PEER_STREAM] == 1

    async def test_strangers_above_the_limit_are_closed(self, monkeypatch):
        """Guards against streams without a greeting that take descriptors."""
        monkeypatch.setattr(peer_server, 'MAX_STRANGERS', 1)
        async with started(LinkedEntry('b', silence_ms=60_000)) as sides:
            host, _, port = sides[0].link.server.address.rpartition(':')
            _, waiting = await asyncio.open_connection(host, int(port))
            reader, writer = await asyncio.open_connection(host, int(port))
            assert await reader.read() == b''
            waiting.close()
            writer.close()

    async def test_unknown_frames_and_sections_are_ignored(self):
        """Frames and sections of a later version are ignored."""
        async with started(LinkedEntry('b')) as sides:
            two = sides[0]
            reader, writer = await raw_stream(two)
            await read_raw(reader)
            send_raw(writer, {'type': 'later', 'more': 1})
            send_raw(writer, {'type': 'news', 'body': {'Later': {}}})
            send_raw(writer, {'type': 'ping'})
            assert (await read_raw(reader))['type'] == 'pong'
        assert two.counters.news_unknown == 1

    async def test_section_on_which_its_consumer_fails(self, logged_events):
        """Other sections and the stream go on; the first failure is logged."""
        two = LinkedEntry('b')
        two.link.add_gossip_section(
            GossipSection(PeerProbeBody, PeerProbeBody, fail_to_consume)
        )
        membership = {'PeerMembershipBody': {'incarnation': 5}}
        async with started(two):
            reader, writer = await raw_stream(two)
            await read_raw(reader)
            for _ in range(3):
                body = {'PeerProbeBody': {}, **membership}
                send_raw(writer, {'type': 'news', 'body': body})
            send_raw(writer, {'type': 'ping'})
            assert (await read_raw(reader))['type'] == 'pong'
        assert two.gossip.qsize() == 3
        assert two.counters.news_unknown == 3
        (failure,) = logged_events('peer_handler_failed')
        assert failure['kind'] == 'PeerProbeBody'

    @pytest.mark.parametrize('number', [2**64 - 1, 2**53, -1])
    async def test_term_beyond_all_numbers(self, number):
        """It is not taken over: the next one could not be sent to peers."""
        terms = []
        two = LinkedEntry('b')
        two.link.add_gossip_section(
            GossipSection(
                SchedulerNewsBody,
                SchedulerNewsBody,
                lambda _, news: terms.extend(news.terms),
            )
        )
        sound = {
            'group': 'g',
            'number': 1,
            'scheduler_id': 'e',
            'incarnation': 1,
        }
        async with started(two):
            reader, writer = await raw_stream(two)
            await read_raw(reader)
            for field in ('number', 'incarnation', 'renewal', 'age_ms'):
                news = {'terms': [{**sound, field: number}]}
                body = {'SchedulerNewsBody': news}
                send_raw(writer, {'type': 'news', 'body': body})
            send_raw(writer, {'type': 'ping'})
            assert (await read_raw(reader))['type'] == 'pong'
        assert not terms

    def test_frame_that_cannot_be_encoded(self):
        """It is refused like one that is too large."""
        frame = PeerFrameBody.model_construct(type='news', id=2**64)
        with pytest.raises(FrameError, match='encoded'):
            encode_frame(frame, 1000)

    async def test_older_gossip_is_dropped_for_a_blocked_peer(self):
        """Only the newest gossip is queued for a blocked peer."""
        sides = (
            LinkedEntry('a', silence_ms=60_000),
            LinkedEntry('b', silence_ms=60_000),
        )
        async with started(*sides) as (one, two):
            one.link.add_gossip_section(
                GossipSection(
                    PeerProbeBody,
                    PeerProbeBody,
                    lambda *received: None,
                )
            )
            one.set_peers(two)
            await one.until_connected(two)
            one.link.send_gossip()
            one.link.send_gossip()
        assert one.counters.news_dropped >= 1

    async def test_urgent_gossip_does_not_wait_for_the_budget(self):
        """Urgent gossip is sent in each round, even without budget left."""
        sides = LinkedEntry('a', news_bytes_per_s=100), LinkedEntry('b')
        async with started(*sides) as (one, two):
            bulk = PeerProbeReplyBody(incarnation=1)
            received = asyncio.Queue()
            section = GossipSection(
                PeerProbeReplyBody,
                lambda: bulk,
                lambda *_: received.put_nowait(1),
            )
            one.link.add_gossip_section(section)
            two.link.add_gossip_section(section)
            one.set_peers(two)
            for _ in range(30):
                await asyncio.wait_for(two.gossip.get(), 5)
        assert received.qsize() <= 3
