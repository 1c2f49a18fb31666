"""Greeting, framing and send queue of both ends of a peer stream."""

import asyncio
import collections
import dataclasses
import hmac
import ssl
from collections.abc import Awaitable, Callable

from opentelemetry import trace

from .client_limits.client_guard import ClientGuard
from .generated.peer_frames import PeerFrameBody, PeerGreetingBody
from .generated.settings import PeerSettings
from .peer_codec import (
    PROTOCOL_VERSION,
    FrameError,
    decode_frame,
    encode_frame,
    read_payload,
)
from .peers import PeerError

# Called on contact with a peer, with its instance id and incarnation.
ContactListener = Callable[[str, int], None]
# Called with instance id, incarnation and listening address of a peer that
# opened a stream.
AddressListener = Callable[[str, int, str], None]
# Called with the id of a peer at whose address another instance answers, or
# whose stream has ended.
ReplacementListener = Callable[[str], None]

# Opens a connection, given an IP address, a port and a TLS context or None.
PeerConnect = Callable[
    [str, int, ssl.SSLContext | None],
    Awaitable[tuple[asyncio.StreamReader, asyncio.StreamWriter]],
]

FRAME_PING = 'ping'
FRAME_PONG = 'pong'
FRAME_NEWS = 'news'
FRAME_REQUEST = 'request'
FRAME_REPLY = 'reply'
FRAME_FAILURE = 'failure'
# Reason of a failure after the handler of a request was called.
HANDLER_FAILED = 'handler failed'
# A greeting has an id, a token and an address. Anybody may send one, so the
# limit on frames does not bound what strangers make an entry hold.
MAX_GREETING_BYTES = 16_384


@dataclasses.dataclass(slots=True)
class PeerCounters:
    """Totals of traffic and losses on the streams of an entry."""

    sent_bytes: int = 0
    received_bytes: int = 0
    news_bytes: int = 0
    bulk_sent: int = 0
    news_dropped: int = 0
    news_unknown: int = 0
    requests_refused: int = 0
    late_replies: int = 0
    broken_frames: int = 0
    connects: int = 0
    disconnects: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PeerIdentity:
    """Identity that an entry sends in its greeting."""

    instance_id: str
    incarnation: int
    token: str = ''
    # For peers that do not get the address from the instance list.
    peer_address: str = ''


async def open_peer_stream(
    host: str, port: int, tls: ssl.SSLContext | None
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Opens a connection to a peer.

    Raises:
        OSError: If the connection can't be opened.
    """
    return await asyncio.open_connection(host, port, ssl=tls)


@dataclasses.dataclass(frozen=True, slots=True)
class PeerContext:
    """Identity, settings, counters and callbacks of an entry's streams."""

    identity: PeerIdentity
    settings: PeerSettings
    counters: PeerCounters
    on_contact: ContactListener
    on_replaced: ReplacementListener
    on_address: AddressListener | None = None
    # Called with the id of a peer when a stream that it opened ends.
    on_stream_ended: ReplacementListener | None = None
    # Called when the process of a peer that was connected is gone.
    on_refused: ContactListener | None = None
    client_tls: ssl.SSLContext | None = None
    server_tls: ssl.SSLContext | None = None
    tracer: trace.Tracer | None = None
    # Accounts for frames of peers that are being received.
    guard: ClientGuard | None = None
    connect: PeerConnect = open_peer_stream


class FrameOutbox:
    """Bounded send queue of a stream.

    Of gossip only the newest message of each urgency and topic is kept.
    """

    def __init__(self, context: PeerContext) -> None:
        """Creates an empty queue.

        Args:
            context: Limits and counters.
        """
        self._context = context
        self._frames: collections.deque[bytes] = collections.deque()
        self._gossip: dict[tuple[bool, str], bytes] = {}
        self._ready = asyncio.Event()

    def put(self, frame: PeerFrameBody) -> bool:
        """Queues a frame whose loss the caller has to handle.

        Args:
            frame: The frame to send.

        Returns:
            Whether there was room in the queue.

        Raises:
            FrameError: If the frame exceeds the size limit.
        """
        settings = self._context.settings
        if len(self._frames) >= settings.max_queued_frames:
            return False
        self._frames.append(encode_frame(frame, settings.max_frame_bytes))
        self._ready.set()
        return True

    def put_gossip(
        self, encoded: bytes, *, urgent: bool, topic: str = ''
    ) -> None:
        """Queues gossip, replacing unsent gossip of the same kind.

        Args:
            encoded: The encoded frame with its length prefix.
            urgent: Whether to send it before other gossip.
            topic: Section that is sent on its own; empty for a round.
        """
        kind = (urgent, topic)
        if kind in self._gossip:
            self._context.counters.news_dropped += 1
        self._gossip[kind] = encoded
        self._ready.set()

    async def drain_to(self, writer: asyncio.StreamWriter) -> None:
        """Writes queued frames until cancelled or the stream breaks.

        The stream is closed then.

        Args:
            writer: Stream to write to.
        """
        while True:
            await self._ready.wait()
            encoded = self._next_frame()
            if encoded is None:
                self._ready.clear()
                continue
            writer.write(encoded)
            self._context.counters.sent_bytes += len(encoded)
            try:
                await writer.drain()
            except OSError:
                # The reader of the stream reports its end.
                writer.transport.abort()
                return

    def _next_frame(self) -> bytes | None:
        if self._frames:
            return self._frames.popleft()
        if not self._gossip:
            return None
        urgent, topic = max(self._gossip)
        gossip = self._gossip.pop((urgent, topic))
        self._context.counters.news_bytes += len(gossip)
        self._context.counters.bulk_sent += int(not urgent)
        return gossip


async def receive_frame(
    reader: asyncio.StreamReader,
    context: PeerContext,
    on_part: Callable[[int], None] | None = None,
) -> PeerFrameBody:
    """Reads the next frame.

    Args:
        reader: Stream to read from.
        context: Limits and counters.
        on_part: Called with the size of each part that arrives.

    Raises:
        FrameError: If the frame is malformed or too large.
        EOFError: If the stream ends.
        TimeoutError: If the peer is silent for longer than `silence_ms`.
    """
    settings = context.settings
    payload = await read_payload(
        reader, settings.max_frame_bytes, settings.silence_ms, on_part
    )
    context.counters.received_bytes += len(payload)
    return decode_frame(PeerFrameBody, payload)


async def send_greeting(
    writer: asyncio.StreamWriter,
    context: PeerContext,
) -> None:
    """Sends the greeting of this entry."""
    identity = context.identity
    greeting = PeerGreetingBody(
        protocol_version=PROTOCOL_VERSION,
        instance_id=identity.instance_id,
        incarnation=identity.incarnation,
        token=identity.token,
        peer_address=identity.peer_address,
    )
    writer.write(encode_frame(greeting, context.settings.max_frame_bytes))
    await writer.drain()


async def receive_greeting(
    reader: asyncio.StreamReader,
    context: PeerContext,
) -> PeerGreetingBody:
    """Reads the peer's greeting.

    Args:
        reader: Stream to read from.
        context: Expected token, limits and counters.

    Returns:
        The validated greeting.

    Raises:
        PeerError: If the protocol version or the token doesn't match.
        FrameError: If the greeting is malformed or too large.
        EOFError: If the stream ends.
        TimeoutError: If the peer is silent for longer than `silence_ms`.
    """
    settings = context.settings
    payload = await read_payload(
        reader,
        min(settings.max_frame_bytes, MAX_GREETING_BYTES),
        settings.silence_ms,
    )
    greeting = decode_frame(PeerGreetingBody, payload)
    if greeting.protocol_version != PROTOCOL_VERSION:
        raise PeerError(
            f'protocol version {greeting.protocol_version}, '
            f'expected {PROTOCOL_VERSION}',
        )
    token = context.identity.token
    if not hmac.compare_digest(greeting.token.encode(), token.encode()):
        raise PeerError('token of the greeting does not match')
    return greeting


STREAM_ERRORS = (OSError, EOFError, TimeoutError, FrameError, PeerError)
