"""Hands the tokens of a request over to its caller."""

import asyncio
from collections.abc import Iterator

from .http_messages import encode_event
from .pipeline_interfaces import Outcome
from .target_client import TokenEvent
from .wire import outcome_payload, token_payload

MAX_QUEUED_TOKENS = 64


class QueueSink:
    """Token sink that hands tokens over through a bounded queue."""

    def __init__(self) -> None:
        """Starts empty."""
        self.queue: asyncio.Queue[TokenEvent | None] = asyncio.Queue(
            MAX_QUEUED_TOKENS,
        )

    async def send(self, event: TokenEvent) -> None:
        """Queues a token, waiting while the queue is full."""
        await self.queue.put(event)

    def take_queued(self) -> Iterator[TokenEvent | None]:
        """Returns what is queued now; the end of the tokens is none."""
        while not self.queue.empty():
            yield self.queue.get_nowait()


class TokenRelay:
    """Body of a streamed answer: its tokens, then its outcome.

    Tokens that have queued up while the caller was slow go out together.
    Closing the relay stops the request, also before anything was sent.
    """

    def __init__(
        self,
        request_id: str,
        first: TokenEvent,
        sink: QueueSink,
        work: asyncio.Future[Outcome],
    ) -> None:
        """Wraps a running request.

        Args:
            request_id: Id of the request.
            first: Its first token.
            sink: Where the others come from.
            work: Ends with the outcome.
        """
        self._request_id = request_id
        self._pending: list[TokenEvent | None] = [first]
        self._sink = sink
        self._work = work
        self._ended = False

    def __aiter__(self) -> 'TokenRelay':
        """Returns the relay."""
        return self

    async def __anext__(self) -> bytes:
        """Returns the events that are there, waiting for at least one."""
        if self._ended:
            raise StopAsyncIteration
        if not self._pending:
            self._pending.append(await self._sink.queue.get())
        self._pending.extend(self._sink.take_queued())
        tokens = [event for event in self._pending if event is not None]
        self._ended = len(tokens) < len(self._pending)
        self._pending.clear()
        encoded = b''.join(
            encode_event(token_payload(event.token, event.offset))
            for event in tokens
        )
        if not self._ended:
            return encoded
        outcome = outcome_payload(self._request_id, await self._work)
        return encoded + encode_event(outcome)

    async def aclose(self) -> None:
        """Stops the request, if it still runs."""
        self._work.cancel()
