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


class EntryLifecycle:
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

    async def wait_until_running(self) -> None:
        """Waits while paused, for ever when dead."""
        await self._resumed.wait()


class PausableLog:
    """Log service of one entry, which stops with it."""

    def __init__(self, inner: LogService, lifecycle: EntryLifecycle) -> None:
        """Wraps a log service.

        Args:
            inner: What is wrapped.
            life: Whether the entry lives.
        """
        self._inner = inner
        self._lifecycle = lifecycle

    async def append(self, stream: str, body: Record) -> int:
        """Appends a record."""
        await self._lifecycle.wait_until_running()
        offset = await self._inner.append(stream, body)
        await self._lifecycle.wait_until_running()
        return offset

    async def read(
        self,
        stream: str,
        offset: int,
        wait_ms: float = 0,
    ) -> LogPage:
        """Reads records in order."""
        await self._lifecycle.wait_until_running()
        page = await self._inner.read(stream, offset, wait_ms)
        await self._lifecycle.wait_until_running()
        return page


class PausableInstances:
    """Instance list of one entry."""

    def __init__(self, inner: InstanceList, lifecycle: EntryLifecycle) -> None:
        """Wraps a list.

        Args:
            inner: What is wrapped.
            life: Whether the entry lives.
        """
        self._inner = inner
        self._lifecycle = lifecycle

    async def instances(self) -> Sequence[Instance]:
        """Returns the rows of the list."""
        await self._lifecycle.wait_until_running()
        return await self._inner.instances()


class PausablePeers:
    """Peer link of one entry."""

    def __init__(self, inner: PeerLink, lifecycle: EntryLifecycle) -> None:
        """Wraps a link.

        Args:
            inner: What is wrapped.
            life: Whether the entry lives.
        """
        self._inner = inner
        self._lifecycle = lifecycle

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
        self._inner.register(
            model, PausableHandler(handler, self._lifecycle).handle
        )

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
        await self._lifecycle.wait_until_running()
        reply = await self._inner.request(
            peer_id,
            message,
            reply_model,
            timeout_ms,
        )
        await self._lifecycle.wait_until_running()
        return reply


@dataclasses.dataclass(frozen=True, slots=True)
class PausableHandler:
    """Answers peers only while the entry lives."""

    inner: PeerHandler
    lifecycle: EntryLifecycle

    async def handle(
        self,
        peer_id: str,
        message: pydantic.BaseModel,
    ) -> pydantic.BaseModel:
        """Answers one request."""
        await self.lifecycle.wait_until_running()
        reply = await self.inner(peer_id, message)
        await self.lifecycle.wait_until_running()
        return reply
