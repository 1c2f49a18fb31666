"""Ports of an entry that stop with it, so that it can be paused or killed."""

import asyncio
import dataclasses
from collections.abc import Iterable, Sequence
from typing import TypeVar

import pydantic

from ..backing_services import (
    Instance,
    InstanceList,
    LogPage,
    LogService,
    Record,
)
from ..peers import GossipSection, PeerAddress, PeerHandler, PeerLink

ReplyT = TypeVar('ReplyT', bound=pydantic.BaseModel)


class Life:
    """Whether an entry runs, is paused or is dead."""

    def __init__(self) -> None:
        """Starts running."""
        self._resumed = asyncio.Event()
        self._resumed.set()
        self._dead = False

    def pause(self) -> None:
        """Stops all exchanges until resumed."""
        self._resumed.clear()

    def resume(self) -> None:
        """Lets exchanges go on, unless dead."""
        if not self._dead:
            self._resumed.set()

    def kill(self) -> None:
        """Stops all exchanges for good."""
        self._dead = True
        self._resumed.clear()

    async def live(self) -> None:
        """Waits while paused, for ever when dead."""
        await self._resumed.wait()


class LivingLog:
    """Log service of one entry, which stops with it."""

    def __init__(self, inner: LogService, life: Life) -> None:
        """Wraps a log service.

        Args:
            inner: What is wrapped.
            life: Whether the entry lives.
        """
        self._inner = inner
        self._life = life

    async def append(self, stream: str, body: Record) -> int:
        """Appends a record."""
        await self._life.live()
        offset = await self._inner.append(stream, body)
        await self._life.live()
        return offset

    async def read(
        self,
        stream: str,
        offset: int,
        wait_ms: float = 0,
    ) -> LogPage:
        """Reads records in order."""
        await self._life.live()
        page = await self._inner.read(stream, offset, wait_ms)
        await self._life.live()
        return page


class LivingInstances:
    """Instance list of one entry."""

    def __init__(self, inner: InstanceList, life: Life) -> None:
        """Wraps a list.

        Args:
            inner: What is wrapped.
            life: Whether the entry lives.
        """
        self._inner = inner
        self._life = life

    async def instances(self) -> Sequence[Instance]:
        """Returns the rows of the list."""
        await self._life.live()
        return await self._inner.instances()


class LivingPeers:
    """Peer link of one entry."""

    def __init__(self, inner: PeerLink, life: Life) -> None:
        """Wraps a link.

        Args:
            inner: What is wrapped.
            life: Whether the entry lives.
        """
        self._inner = inner
        self._life = life

    def update_peers(self, peers: Iterable[PeerAddress]) -> None:
        """Takes in all peers that are known now."""
        self._inner.update_peers(peers)

    def send_gossip(self) -> None:
        """Sends the gossip now."""
        self._inner.send_gossip()

    def peer_ids(self) -> Sequence[str]:
        """Returns the peers that can be tried."""
        return self._inner.peer_ids()

    def register(
        self,
        model: type[pydantic.BaseModel],
        handler: PeerHandler,
    ) -> None:
        """Names the handler of a kind of request."""
        self._inner.register(model, LivingHandler(handler, self._life).handle)

    def add_gossip_section(self, section: GossipSection) -> None:
        """Adds a section to the periodic gossip."""
        self._inner.add_gossip_section(section)

    async def request(
        self,
        peer_id: str,
        message: pydantic.BaseModel,
        reply_model: type[ReplyT],
        timeout_ms: float,
    ) -> ReplyT:
        """Sends a request and waits for the reply."""
        await self._life.live()
        reply = await self._inner.request(
            peer_id,
            message,
            reply_model,
            timeout_ms,
        )
        await self._life.live()
        return reply


@dataclasses.dataclass(frozen=True, slots=True)
class LivingHandler:
    """Answers peers only while the entry lives."""

    inner: PeerHandler
    life: Life

    async def handle(
        self,
        peer_id: str,
        message: pydantic.BaseModel,
    ) -> pydantic.BaseModel:
        """Answers one request."""
        await self.life.live()
        reply = await self.inner(peer_id, message)
        await self.life.live()
        return reply
