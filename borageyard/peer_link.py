"""Link between entries over TCP streams."""

import asyncio
import contextlib
from collections.abc import Iterable, Sequence
from typing import TypeVar

import pydantic

from .clock import MS_PER_S, Clock
from .generated.peer_frames import PeerFrameBody
from .gossip_fanout import GossipFanout
from .peer_codec import encode_frame
from .peer_connection import PeerConnection
from .peer_server import PeerDispatcher, PeerServer
from .peer_stream import FRAME_NEWS, PeerContext
from .peers import GossipSection, PeerAddress, PeerError, PeerHandler
from .tasks import run_again, running_tasks

ReplyT = TypeVar('ReplyT', bound=pydantic.BaseModel)

# Streams to peers that get no gossip are closed after this time without use.
IDLE_TIMEOUT_MS = 30_000


class TcpPeerLink:
    """Peer link over TCP: the streams to and from the peers of an entry."""

    def __init__(self, context: PeerContext, clock: Clock) -> None:
        """Creates a link that is not open yet.

        Args:
            context: Identity, limits and counters.
            clock: Clock for the gossip budget and idle timeouts.
        """
        self.context = context
        self._clock = clock
        self._dispatcher = PeerDispatcher(context.tracer)
        self.server = PeerServer(self._dispatcher, context)
        self._addresses: dict[str, PeerAddress] = {}
        self._used_at_ms: dict[str, float] = {}
        self._connections: dict[str, PeerConnection] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self.fanout = GossipFanout(
            context.identity.instance_id,
            context.settings.news_peers,
            context.settings.news_bytes_per_s,
        )

    async def start(
        self,
        address: str,
        stack: contextlib.AsyncExitStack,
    ) -> None:
        """Listens for peers and gossips until the stack is closed.

        Args:
            address: IP address and port; port 0 selects a free one.
            stack: Closes the link and its streams on exit.
        """
        stack.push_async_callback(self._close)
        await self.server.start(address)
        await stack.enter_async_context(running_tasks(self._run_gossip))

    def update_peers(self, peers: Iterable[PeerAddress]) -> None:
        """Replaces the known peers; opens and closes streams to match.

        Streams to peers that are gone or have moved are closed, and so are
        idle ones to peers that get no gossip.

        Args:
            peers: All known peers; this entry and peers without an address
                are ignored.
        """
        own_id = self.context.identity.instance_id
        self._addresses = {
            peer.instance_id: peer
            for peer in peers
            if peer.instance_id != own_id and peer.address
        }
        self.fanout.update(self._addresses.values())
        neighbours = frozenset(self.fanout.neighbours)
        now_ms = self._clock.steady_ms()
        for name, connection in tuple(self._connections.items()):
            moved = self._addresses.get(name) != connection.peer
            idle = now_ms - self._used_at_ms.get(name, now_ms) > IDLE_TIMEOUT_MS
            if moved or (idle and name not in neighbours):
                self._drop(name)
        for name in neighbours:
            self._connect(name)

    def peer_ids(self) -> Sequence[str]:
        """Returns the instance ids of the known peers."""
        return tuple(self._addresses)

    def connected_ids(self) -> Sequence[str]:
        """Returns the ids of the peers to which a stream is open."""
        return tuple(
            name
            for name, connection in self._connections.items()
            if connection.connected
        )

    def register(
        self,
        model: type[pydantic.BaseModel],
        handler: PeerHandler,
    ) -> None:
        """Sets the handler of a kind of request."""
        self._dispatcher.handlers[model.__name__] = (model, handler)

    def add_gossip_section(self, section: GossipSection) -> None:
        """Adds a section to the gossip."""
        self._dispatcher.sections[section.model.__name__] = section

    async def request(
        self,
        peer_id: str,
        message: pydantic.BaseModel,
        reply_model: type[ReplyT],
        timeout_ms: float,
    ) -> ReplyT:
        """Sends a request and waits for the reply.

        Raises:
            PeerError: If the peer is unknown or there is no valid reply in
                time; the peer may have handled the request nevertheless.
        """
        if peer_id not in self._addresses:
            raise PeerError(f'unknown peer {peer_id}', sent=False)
        self._used_at_ms[peer_id] = self._clock.steady_ms()
        connection = self._connect(peer_id)
        return await connection.request(message, reply_model, timeout_ms)

    def send_gossip(self) -> None:
        """Sends urgent gossip to all neighbours, the rest within the budget."""
        urgent = self._encode_gossip(urgent=True)
        if urgent is not None:
            for neighbour in self.fanout.neighbours:
                self._send_to(neighbour, urgent, urgent=True)
                self.fanout.spend(len(urgent))
        bulk = self._encode_gossip(urgent=False)
        if bulk is None:
            return
        now_ms = self._clock.steady_ms()
        for receiver in self.fanout.choose(len(bulk), now_ms):
            self._send_to(receiver, bulk, urgent=False)

    def send_section(self, model: type[pydantic.BaseModel]) -> None:
        """Sends one urgent section to all neighbours now."""
        topic = model.__name__
        message = self._dispatcher.sections[topic].provide()
        encoded = self._encode_messages([message] if message else [])
        if encoded is None:
            return
        for neighbour in self.fanout.neighbours:
            self._send_to(neighbour, encoded, urgent=True, topic=topic)
            self.fanout.spend(len(encoded))

    def gossip_messages(self, *, urgent: bool) -> Sequence[pydantic.BaseModel]:
        """Returns the current gossip messages.

        Sections without anything to send are omitted.

        Args:
            urgent: Whether to return the urgent ones or the others.
        """
        provided = [
            section.provide()
            for section in self._dispatcher.sections.values()
            if section.urgent is urgent and section.periodic
        ]
        return [message for message in provided if message is not None]

    def _send_to(
        self, peer_id: str, encoded: bytes, *, urgent: bool, topic: str = ''
    ) -> None:
        connection = self._connections.get(peer_id)
        if connection is not None:
            connection.send_gossip(encoded, urgent=urgent, topic=topic)

    def _encode_gossip(self, *, urgent: bool) -> bytes | None:
        return self._encode_messages(self.gossip_messages(urgent=urgent))

    def _encode_messages(
        self, messages: Sequence[pydantic.BaseModel]
    ) -> bytes | None:
        sections = {
            type(message).__name__: message.model_dump(exclude_defaults=True)
            for message in messages
        }
        if not sections:
            return None
        frame = PeerFrameBody(type=FRAME_NEWS, body=sections)
        return encode_frame(frame, self.context.settings.max_frame_bytes)

    async def _run_gossip(self) -> None:
        while True:
            self.send_gossip()
            interval_ms = self.context.settings.news_interval_ms
            await asyncio.sleep(interval_ms / MS_PER_S)

    def _connect(self, peer_id: str) -> PeerConnection:
        """Returns the connection to a known peer; creates it if missing."""
        connection = self._connections.get(peer_id)
        if connection is None:
            connection = PeerConnection(self._addresses[peer_id], self.context)
            self._connections[peer_id] = connection
            task = asyncio.ensure_future(run_again(connection.run))
            self._tasks[peer_id] = task
        return connection

    def _drop(self, peer_id: str) -> None:
        self._used_at_ms.pop(peer_id, None)
        self._connections.pop(peer_id).close()
        self._tasks.pop(peer_id).cancel()

    async def _close(self) -> None:
        tasks = tuple(self._tasks.values())
        for peer_id in tuple(self._connections):
            self._drop(peer_id)
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.server.close()
