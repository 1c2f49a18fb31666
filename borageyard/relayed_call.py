"""A call to a target that this entry makes for a peer."""

import asyncio
from collections.abc import AsyncIterator

from .events import Event, log_event
from .generated.peer_calls import RelayedHeadBody, RelayedPartBody
from .http_client import CallClient, HttpCall, HttpCallError

# Parts that are read ahead, and the size from which parts are not joined.
MAX_PARTS_AHEAD = 8
JOINED_BYTES = 65_536
# Reason of a call that the peer has no use for any more.
ENDED = 'ended'


class RelayedCall:
    """Reads the answer in a task of its own; the peer takes it in parts."""

    def __init__(self, client: CallClient, call: HttpCall) -> None:
        """Creates a call that is not started.

        Args:
            client: Makes the call.
            call: The call.
        """
        self._client = client
        self._call = call
        self._head: asyncio.Future[RelayedHeadBody] = (
            asyncio.get_running_loop().create_future()
        )
        self._parts: asyncio.Queue[RelayedPartBody] = asyncio.Queue(
            MAX_PARTS_AHEAD
        )
        self._last: RelayedPartBody | None = None
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts the call."""
        self._task = asyncio.ensure_future(self._run())

    async def wait_head(self) -> RelayedHeadBody:
        """Returns the head of the answer, or why there is none."""
        return await asyncio.shield(self._head)

    async def read(self) -> RelayedPartBody:
        """Returns the next part of the body; several are joined."""
        if self._last is not None:
            return self._last
        content = bytearray()
        part = await self._parts.get()
        while part.content:
            content += part.content
            if self._parts.empty() or len(content) >= JOINED_BYTES:
                return RelayedPartBody(content=bytes(content))
            part = self._parts.get_nowait()
        self._last = part
        return RelayedPartBody(content=bytes(content)) if content else part

    def cancel(self) -> None:
        """Ends the exchange with the target."""
        if self._task is not None:
            self._task.cancel()
        self._fail(ENDED)

    async def close(self) -> None:
        """Ends the exchange and waits until its connection is closed."""
        self.cancel()
        if self._task is not None:
            await asyncio.wait([self._task])

    async def _run(self) -> None:
        end = RelayedPartBody(content=b'')
        try:
            await self._exchange()
        except HttpCallError as error:
            self._fail(error.reason, sent=error.sent)
            end = RelayedPartBody(content=b'', failure=error.reason)
        except Exception as error:
            log_event(
                Event.RELAYED_CALL_FAILED,
                peer_id='',
                address=self._call.address,
                sent=True,
                reason=repr(error),
            )
            self._fail(repr(error))
            end = RelayedPartBody(content=b'', failure=repr(error))
        await self._parts.put(end)

    async def _exchange(self) -> None:
        async with self._client.stream(self._call) as reply:
            status, headers, chunks = reply
            self._head.set_result(
                RelayedHeadBody(
                    status=status,
                    headers=dict(headers),
                    keeps_sends_apart=True,
                )
            )
            await self._queue(chunks)

    def _fail(self, reason: str, *, sent: bool = True) -> None:
        """Ends the wait for a head."""
        if not self._head.done():
            self._head.set_result(RelayedHeadBody(failure=reason, sent=sent))

    async def _queue(self, chunks: AsyncIterator[bytes]) -> None:
        async for chunk in chunks:
            await self._parts.put(RelayedPartBody(content=bytes(chunk)))
