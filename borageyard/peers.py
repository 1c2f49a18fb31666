"""Interface of the link between entries."""

import dataclasses
from collections.abc import Awaitable, Callable, Iterable, Sequence
from typing import Any, Protocol, TypeVar

import pydantic

MessageT = TypeVar('MessageT', bound=pydantic.BaseModel)
ReplyT = TypeVar('ReplyT', bound=pydantic.BaseModel)

# Handles a request of a peer, given the peer's instance id.
PeerHandler = Callable[[str, Any], Awaitable[pydantic.BaseModel]]
# Returns the section of the next gossip message, or None if there is nothing
# to send.
GossipProvider = Callable[[], pydantic.BaseModel | None]
# Handles a section of a peer's gossip, given the peer's instance id.
GossipConsumer = Callable[[str, Any], None]


class PeerError(Exception):
    """A request to a peer failed, or a stream was refused."""

    def __init__(self, reason: str, *, sent: bool = True) -> None:
        """Creates an error.

        Args:
            reason: Description of the error.
            sent: Whether the peer may have handled the request.
        """
        super().__init__(reason)
        self.sent = sent


@dataclasses.dataclass(frozen=True, slots=True)
class GossipSection:
    """One kind of message that entries gossip to each other.

    Urgent sections are small and are sent in each round; the others wait
    while the byte budget is exhausted. Sections that are not periodic are sent
    on demand only.
    """

    model: type[pydantic.BaseModel]
    provide: GossipProvider
    consume: GossipConsumer
    urgent: bool = False
    periodic: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class PeerAddress:
    """Address on which a peer listens."""

    instance_id: str
    address: str
    failure_domain: str = ''


class PeerLink(Protocol):
    """Link from one entry to the others.

    Messages are generated models; the class name is the message kind.
    """

    def update_peers(self, peers: Iterable[PeerAddress]) -> None:
        """Replaces the set of known peers."""

    def send_gossip(self) -> None:
        """Sends gossip now, in addition to the regular rounds."""

    def send_section(self, model: type[pydantic.BaseModel]) -> None:
        """Sends one urgent section of the gossip to all neighbours now.

        Args:
            model: Model of the section.
        """

    def peer_ids(self) -> Sequence[str]:
        """Returns the instance ids of the known peers."""

    def connected_ids(self) -> Sequence[str]:
        """Returns the ids of the peers to which a stream is open."""

    def register(
        self,
        model: type[pydantic.BaseModel],
        handler: PeerHandler,
    ) -> None:
        """Sets the handler of a kind of request.

        Args:
            model: Model of the request.
            handler: Returns the reply.
        """

    def add_gossip_section(self, section: GossipSection) -> None:
        """Adds a section to the gossip; gossip messages may be lost.

        Args:
            section: Provides and consumes one kind of message.
        """

    async def request(
        self,
        peer_id: str,
        message: pydantic.BaseModel,
        reply_model: type[ReplyT],
        timeout_ms: float,
    ) -> ReplyT:
        """Sends a request and waits for the reply.

        Args:
            peer_id: Instance id of the peer.
            message: The request.
            reply_model: Model of the reply.
            timeout_ms: Time limit for the reply in milliseconds.

        Returns:
            The reply.

        Raises:
            PeerError: If there is no reply in time; the peer may have
                handled the request nevertheless.
        """
