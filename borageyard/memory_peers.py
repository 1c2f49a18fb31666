"""In-memory link between the entries of one process."""

import asyncio
import math
from collections.abc import Iterable, Sequence
from typing import TypeVar

import pydantic

from .clock import MS_PER_S
from .gossip_fanout import GossipFanout
from .peers import GossipSection, PeerAddress, PeerError, PeerHandler

ReplyT = TypeVar('ReplyT', bound=pydantic.BaseModel)

# Neighbours that get gossip from an entry; as many as over TCP by default.
MAX_NEIGHBOURS = 8


class MemoryPeerNetwork:
    """In-process network whose links can be cut and delayed."""

    def __init__(self) -> None:
        """Creates a network without entries."""
        self.links: dict[str, MemoryPeerLink] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.delay_ms: float = 0

    def join(self, instance_id: str) -> 'MemoryPeerLink':
        """Adds an entry and returns its link."""
        link = MemoryPeerLink(self, instance_id)
        self.links[instance_id] = link
        return link

    def leave(self, instance_id: str) -> None:
        """Removes an entry from the network."""
        self.links.pop(instance_id, None)

    def cut(self, sender: str, receiver: str) -> None:
        """Drops messages of one direction between two entries."""
        self.cuts.add((sender, receiver))

    def heal(self) -> None:
        """Restores all links that were cut."""
        self.cuts.clear()

    def reaches(self, sender: str, receiver: str) -> bool:
        """Returns whether messages of one entry reach another."""
        return receiver in self.links and (sender, receiver) not in self.cuts


class MemoryPeerLink:
    """In-memory peer link of one entry."""

    def __init__(self, network: MemoryPeerNetwork, instance_id: str) -> None:
        """Creates a link on a network.

        Args:
            network: Network that carries the messages.
            instance_id: Id of this entry.
        """
        self.instance_id = instance_id
        self.handlers: dict[type[pydantic.BaseModel], PeerHandler] = {}
        self.sections: list[GossipSection] = []
        self._network = network
        self._fanout = GossipFanout(instance_id, MAX_NEIGHBOURS, math.inf)

    def update_peers(self, peers: Iterable[PeerAddress]) -> None:
        """Does nothing: peers are looked up in the network."""

    def peer_ids(self) -> Sequence[str]:
        """Returns the ids of all other entries of the network."""
        return tuple(
            name for name in self._network.links if name != self.instance_id
        )

    def register(
        self,
        model: type[pydantic.BaseModel],
        handler: PeerHandler,
    ) -> None:
        """Sets the handler of a kind of request."""
        self.handlers[model] = handler

    def add_gossip_section(self, section: GossipSection) -> None:
        """Adds a section to the gossip."""
        self.sections.append(section)

    async def request(
        self,
        peer_id: str,
        message: pydantic.BaseModel,
        reply_model: type[ReplyT],
        timeout_ms: float,
    ) -> ReplyT:
        """Sends a request and waits for the reply.

        Raises:
            PeerError: If there is no reply in time, or if the peer is not on
                the network or has no handler for the request.
        """
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                reply = await self._exchange(peer_id, message)
        except TimeoutError as error:
            raise PeerError(f'request to {peer_id} timed out') from error
        return reply_model.model_validate(reply.model_dump())

    def connected_ids(self) -> Sequence[str]:
        """Returns the ids of the entries that can be reached."""
        return tuple(
            name
            for name in self.peer_ids()
            if self._network.reaches(self.instance_id, name)
        )

    def send_gossip(self) -> None:
        """Sends one round of gossip to the reachable neighbours."""
        self._send([section for section in self.sections if section.periodic])

    def send_section(self, model: type[pydantic.BaseModel]) -> None:
        """Sends one section of the gossip to the reachable neighbours."""
        self._send(
            [section for section in self.sections if section.model is model]
        )

    async def _exchange(
        self,
        peer_id: str,
        message: pydantic.BaseModel,
    ) -> pydantic.BaseModel:
        await self._simulate_transit(self.instance_id, peer_id)
        handler = self._network.links[peer_id].handlers.get(type(message))
        if handler is None:
            raise PeerError(
                f'{peer_id} has no handler for {type(message).__name__}'
            )
        copied = type(message).model_validate(message.model_dump())
        reply = await handler(self.instance_id, copied)
        await self._simulate_transit(peer_id, self.instance_id)
        return reply

    async def _simulate_transit(self, sender: str, receiver: str) -> None:
        await asyncio.sleep(self._network.delay_ms / MS_PER_S)
        if receiver not in self._network.links:
            raise PeerError(f'{receiver} is not on the network')
        if not self._network.reaches(sender, receiver):
            await asyncio.Event().wait()

    def _send(self, sections: Sequence[GossipSection]) -> None:
        self._fanout.update(
            PeerAddress(peer_id, peer_id) for peer_id in self.peer_ids()
        )
        for neighbour in self._fanout.neighbours:
            if self._network.reaches(self.instance_id, neighbour):
                self._send_to(self._network.links[neighbour], sections)

    def _send_to(
        self,
        receiver: 'MemoryPeerLink',
        sections: Sequence[GossipSection],
    ) -> None:
        consumers = {
            section.model: section.consume for section in receiver.sections
        }
        for section in sections:
            gossip = section.provide()
            consume = consumers.get(section.model)
            if gossip is not None and consume is not None:
                copied = section.model.model_validate(gossip.model_dump())
                consume(self.instance_id, copied)
