"""Tells peers what they need not answer in time."""

import asyncio

import pydantic

from .events import Event, log_event
from .peers import PeerError, PeerLink

# Time in which a peer takes something in; what is lost is made good later.
NOTIFY_TIMEOUT_MS = 1000


class PeerNotifier:
    """Sends messages whose sender does not wait for them."""

    def __init__(self, peers: PeerLink) -> None:
        """Starts with nothing told.

        Args:
            peers: The streams to the other entries.
        """
        self._peers = peers
        self._tasks: set[asyncio.Task[None]] = set()

    def notify(
        self,
        peer_id: str,
        message: pydantic.BaseModel,
        reply_model: type[pydantic.BaseModel],
        request_id: str = '',
    ) -> None:
        """Sends a message; a peer that does not take it in is logged.

        Args:
            peer_id: The peer.
            message: What it is told.
            reply_model: Model of its receipt.
            request_id: The request that it is about, if there is just one.
        """
        sending = self._send(peer_id, message, reply_model, request_id)
        task = asyncio.ensure_future(sending)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send(
        self,
        peer_id: str,
        message: pydantic.BaseModel,
        reply_model: type[pydantic.BaseModel],
        request_id: str,
    ) -> None:
        try:
            await self._peers.request(
                peer_id,
                message,
                reply_model,
                NOTIFY_TIMEOUT_MS,
            )
        except PeerError as error:
            log_event(
                Event.PEER_UNANSWERED,
                peer_id=peer_id,
                request_id=request_id,
                reason=str(error),
            )
