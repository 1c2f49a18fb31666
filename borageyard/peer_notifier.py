"""Notifications to peers whose sender does not wait for a reply."""

import asyncio

import pydantic

from .events import Event, log_event
from .peers import PeerError, PeerLink

# Time limit for a receipt; callers recover from lost notifications later.
NOTIFY_TIMEOUT_MS = 1000


class PeerNotifier:
    """Sends messages to peers in the background."""

    def __init__(self, peers: PeerLink) -> None:
        """Starts without pending messages.

        Args:
            peers: Link to the other entries.
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
        """Starts to send a message; logs an event if no receipt comes.

        Args:
            peer_id: Instance id of the peer.
            message: Message to send.
            reply_model: Model of the receipt.
            request_id: Id of the request concerned, if there is just one.
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
