"""Dependencies of an entry that block while it is paused or killed.

Each wrapper waits before and after an exchange, so that a paused or killed
entry neither starts an exchange nor sees the result of one.
"""

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
    """Tracks whether an entry is running, paused or killed."""

    def __init__(self) -> None:
        """Creates the lifecycle of a running entry."""
        self._resumed = asyncio.Event()
        self._resumed.set()
        self._killed = False

    def pause(self) -> None:
        """Blocks all exchanges until ``resume`` is called."""
        self._resumed.clear()

    def resume(self) -> None:
        """Unblocks exchanges unless the entry was killed."""
        if not self._killed:
            self._resumed.set()

    def kill(self) -> None:
        """Blocks all exchanges permanently."""
        self._killed = True
        self._resumed.clear()

    async def wait_until_running(self) -> None:
        """Waits while the entry is paused; never returns if it was killed."""
        await self._resumed.wait()


class PausableLog:
    """Log service that blocks while its entry does not run."""

    def __init__(self, inner: LogService, lifecycle: EntryLifecycle) -> None:
        """Wraps a log service.

        Args:
            inner: Log service to delegate to.
            lifecycle: Lifecycle of the entry.
        """
        self._inner = inner
        self._lifecycle = lifecycle

    async def append(self, stream: str, body: Record) -> int:
        """Appends a record and returns its offset."""
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
        """Returns the records of a stream from an offset on, in order."""
        await self._lifecycle.wait_until_running()
        page = await self._inner.read(stream, offset, wait_ms)
        await self._lifecycle.wait_until_running()
        return page


class PausableInstances:
    """Instance list that blocks while its entry does not run."""

    def __init__(self, inner: InstanceList, lifecycle: EntryLifecycle) -> None:
        """Wraps an instance list.

        Args:
            inner: Instance list to delegate to.
            lifecycle: Lifecycle of the entry.
        """
        self._inner = inner
        self._lifecycle = lifecycle

    async def instances(self) -> Sequence[Instance]:
        """Returns the listed instances."""
        await self._lifecycle.wait_until_running()
        return await self._inner.instances()


class PausablePeers:
    """Peer link whose requests block while its entry does not run."""

    def __init__(self, inner: PeerLink, lifecycle: EntryLifecycle) -> None:
        """Wraps a peer link.

        Args:
            inner: Peer link to delegate to.
            lifecycle: Lifecycle of the entry.
        """
        self._inner = inner
        self._lifecycle = lifecycle

    def update_peers(self, peers: Iterable[PeerAddress]) -> None:
        """Replaces the set of known peers."""
        self._inner.update_peers(peers)

    def send_gossip(self) -> None:
        """Sends gossip now, in addition to the regular rounds."""
        self._inner.send_gossip()

    def send_section(self, model: type[pydantic.BaseModel]) -> None:
        """Sends one section of the gossip to all neighbours now."""
        self._inner.send_section(model)

    def connected_ids(self) -> Sequence[str]:
        """Returns the ids of the peers to which a stream is open."""
        return self._inner.connected_ids()

    def peer_ids(self) -> Sequence[str]:
        """Returns the instance ids of the known peers."""
        return self._inner.peer_ids()

    def register(
        self,
        model: type[pydantic.BaseModel],
        handler: PeerHandler,
    ) -> None:
        """Sets the handler of a kind of request."""
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
        """Sends a request to a peer and waits for the reply."""
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
    """Request handler that blocks while its entry does not run."""

    inner: PeerHandler
    lifecycle: EntryLifecycle

    async def handle(
        self,
        peer_id: str,
        message: pydantic.BaseModel,
    ) -> pydantic.BaseModel:
        """Returns the reply to a request from a peer."""
        await self.lifecycle.wait_until_running()
        reply = await self.inner(peer_id, message)
        await self.lifecycle.wait_until_running()
        return reply
