"""Outgoing stream to a peer, for requests and gossip."""

import asyncio
import contextlib
import functools
import random
from typing import TypeVar

import pydantic

from .clock import MS_PER_S
from .events import Event, log_event
from .generated.peer_frames import PeerFrameBody
from .http_messages import split_address
from .peer_codec import FrameError
from .peer_stream import (
    FRAME_PING,
    FRAME_REPLY,
    FRAME_REQUEST,
    HANDLER_FAILED,
    STREAM_ERRORS,
    FrameOutbox,
    PeerContext,
    receive_frame,
    receive_greeting,
    send_greeting,
)
from .peers import PeerAddress, PeerError
from .tasks import running_tasks
from .trace_context import current_trace_parent

ReplyT = TypeVar('ReplyT', bound=pydantic.BaseModel)

BACKOFF_MIN_MS = 50
BACKOFF_MAX_MS = 2000


class Backoff:
    """Exponential backoff with jitter between connection attempts."""

    def __init__(self, seed: str) -> None:
        """Starts with the shortest delay.

        Args:
            seed: Seed of the random number generator.
        """
        self._random = random.Random(seed)
        self._limit_ms = BACKOFF_MIN_MS

    def reset(self) -> None:
        """Returns to the shortest delay after a successful connection."""
        self._limit_ms = BACKOFF_MIN_MS

    def next_ms(self) -> float:
        """Returns the next delay and doubles the limit, up to BACKOFF_MAX_MS.

        Returns:
            Random delay in milliseconds between half of the limit and the
            limit.
        """
        limit_ms = self._limit_ms
        self._limit_ms = min(limit_ms * 2, BACKOFF_MAX_MS)
        return self._random.uniform(limit_ms / 2, limit_ms)


class PeerConnection:
    """Keeps a stream to one peer open and sends requests over it."""

    def __init__(self, peer: PeerAddress, context: PeerContext) -> None:
        """Creates a connection that is not open yet.

        Args:
            peer: Address of the peer.
            context: Identity, limits and counters of this entry.
        """
        self.peer = peer
        self._peer_id = peer.instance_id
        self._context = context
        seed = '/'.join((context.identity.instance_id, peer.instance_id))
        self._backoff = Backoff(seed)
        self._outbox: FrameOutbox | None = None
        self._pending: dict[int, asyncio.Future[PeerFrameBody]] = {}
        self._last_id = 0
        self._first_attempt = asyncio.Event()
        # Incarnation that greeted last on this connection.
        self._incarnation = 0

    @property
    def connected(self) -> bool:
        """Returns whether the stream is open."""
        return self._outbox is not None

    async def run(self) -> None:
        """Connects, and reconnects after errors, until cancelled."""
        while True:
            try:
                await self._session()
            except STREAM_ERRORS as error:
                self._handle_disconnect(error)
                self._report_refusal(error)
            await asyncio.sleep(self._backoff.next_ms() / MS_PER_S)

    def send_gossip(
        self, encoded: bytes, *, urgent: bool, topic: str = ''
    ) -> bool:
        """Queues a gossip message if the stream is open.

        Args:
            encoded: The encoded frame with its length prefix.
            urgent: Whether to send it before other gossip.
            topic: Section that is sent on its own; empty for a round.

        Returns:
            Whether it was queued.
        """
        if self._outbox is None:
            return False
        self._outbox.put_gossip(encoded, urgent=urgent, topic=topic)
        return True

    async def request(
        self,
        message: pydantic.BaseModel,
        reply_model: type[ReplyT],
        timeout_ms: float,
    ) -> ReplyT:
        """Sends a request and waits for its reply.

        Args:
            message: The request.
            reply_model: Model of the reply.
            timeout_ms: Time limit for the reply in milliseconds.

        Returns:
            The reply.

        Raises:
            PeerError: If there is no valid reply in time.
        """
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                reply = await self._exchange(message)
        except TimeoutError as error:
            raise PeerError(f'request to {self._peer_id} timed out') from error
        if reply.type != FRAME_REPLY:
            raise PeerError(
                f'{self._peer_id}: {reply.reason}',
                sent=reply.reason == HANDLER_FAILED,
            )
        try:
            return reply_model.model_validate(reply.body)
        except pydantic.ValidationError as error:
            raise PeerError(
                f'malformed reply of {self._peer_id}: {error}',
            ) from error

    def close(self) -> None:
        """Fails pending requests; the stream itself ends with its task."""
        self._handle_disconnect(PeerError('closed'))

    async def _exchange(self, message: pydantic.BaseModel) -> PeerFrameBody:
        # Waits for the first connection attempt, so that a request to a new
        # peer does not fail before the peer could answer.
        await self._first_attempt.wait()
        self._last_id += 1
        frame = PeerFrameBody(
            type=FRAME_REQUEST,
            id=self._last_id,
            kind=type(message).__name__,
            body=message.model_dump(exclude_defaults=True),
            trace_parent=current_trace_parent(),
        )
        self._enqueue(frame)
        loop = asyncio.get_running_loop()
        reply_future: asyncio.Future[PeerFrameBody] = loop.create_future()
        with contextlib.ExitStack() as stack:
            self._pending[frame.id] = reply_future
            stack.callback(self._pending.pop, frame.id, None)
            return await reply_future

    def _enqueue(self, frame: PeerFrameBody) -> None:
        if self._outbox is None:
            raise PeerError(f'{self._peer_id} is not connected', sent=False)
        try:
            queued = self._outbox.put(frame)
        except FrameError as error:
            raise PeerError(str(error), sent=False) from error
        if not queued:
            self._context.counters.requests_refused += 1
            raise PeerError(
                f'send queue to {self._peer_id} is full', sent=False
            )

    async def _session(self) -> None:
        reader, writer = await self._open()
        with contextlib.ExitStack() as stack:
            stack.callback(writer.transport.abort)
            await send_greeting(writer, self._context)
            greeting = await receive_greeting(reader, self._context)
            if greeting.instance_id != self.peer.instance_id:
                self._context.on_replaced(self.peer.instance_id)
                raise PeerError(
                    f'{greeting.instance_id} answered at the address of '
                    f'{self._peer_id}',
                )
            self._incarnation = greeting.incarnation
            self._context.on_contact(
                greeting.instance_id,
                greeting.incarnation,
            )
            await self._exchange_frames(reader, writer)

    async def _exchange_frames(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        outbox = FrameOutbox(self._context)
        self._outbox = outbox
        self._context.counters.connects += 1
        self._backoff.reset()
        self._first_attempt.set()
        log_event(
            Event.PEER_CONNECTED,
            instance_id=self._context.identity.instance_id,
            peer_id=self.peer.instance_id,
        )
        async with running_tasks(
            functools.partial(outbox.drain_to, writer),
            functools.partial(self._send_heartbeats, outbox),
        ):
            while True:
                self._resolve_reply(await receive_frame(reader, self._context))

    async def _open(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        timeout_ms = self._context.settings.connect_timeout_ms
        try:
            host, port = split_address(self.peer.address)
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                return await self._context.connect(
                    host, port, self._context.client_tls
                )
        except (ValueError, OverflowError) as error:
            raise PeerError(
                f'address of {self._peer_id} is invalid: {error}', sent=False
            ) from error

    async def _send_heartbeats(self, outbox: FrameOutbox) -> None:
        while True:
            outbox.put(PeerFrameBody(type=FRAME_PING))
            await asyncio.sleep(
                self._context.settings.heartbeat_ms / MS_PER_S,
            )

    def _resolve_reply(self, frame: PeerFrameBody) -> None:
        if not frame.id:
            return
        reply_future = self._pending.pop(frame.id, None)
        if reply_future is None or reply_future.done():
            self._context.counters.late_replies += 1
            return
        reply_future.set_result(frame)

    def _report_refusal(self, error: Exception) -> None:
        """Reports that the process of a peer that was connected is gone.

        A machine refuses a connection only while no process listens.
        """
        listener = self._context.on_refused
        refused = isinstance(error, ConnectionRefusedError)
        if refused and self._incarnation and listener is not None:
            listener(self._peer_id, self._incarnation)

    def _handle_disconnect(self, error: Exception) -> None:
        was_open = self._outbox is not None
        self._outbox = None
        self._first_attempt.set()
        if isinstance(error, FrameError):
            self._context.counters.broken_frames += 1
        for reply_future in self._pending.values():
            if not reply_future.done():
                reply_future.set_exception(PeerError(f'stream lost: {error!r}'))
        self._pending.clear()
        if was_open:
            self._context.counters.disconnects += 1
            log_event(
                Event.PEER_LOST,
                instance_id=self._context.identity.instance_id,
                peer_id=self.peer.instance_id,
                reason=repr(error),
            )
