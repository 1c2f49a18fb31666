"""Relays the tokens of a streamed request to its caller."""

import asyncio
from collections.abc import Iterator

from .http_messages import encode_event
from .pipeline_interfaces import Outcome
from .target_client import TokenEvent
from .wire import outcome_payload, token_payload

MAX_QUEUED_TOKENS = 64


class QueueSink:
    """Token sink that buffers up to ``MAX_QUEUED_TOKENS`` tokens."""

    def __init__(self) -> None:
        """Creates an empty queue."""
        self.queue: asyncio.Queue[TokenEvent | None] = asyncio.Queue(
            MAX_QUEUED_TOKENS,
        )

    async def send(self, event: TokenEvent) -> None:
        """Queues a token; waits while the queue is full."""
        await self.queue.put(event)

    def take_queued(self) -> Iterator[TokenEvent | None]:
        """Removes and yields all queued events; None ends the tokens."""
        while not self.queue.empty():
            yield self.queue.get_nowait()


class TokenRelay:
    """Body of a streamed answer: its tokens, then its outcome.

    Tokens that queued up while the caller was slow are sent in one chunk.
    Closing the relay cancels the request, even before anything was sent.
    """

    def __init__(
        self,
        request_id: str,
        first: TokenEvent,
        sink: QueueSink,
        outcome_task: asyncio.Future[Outcome],
    ) -> None:
        """Wraps a running request.

        Args:
            request_id: Id of the request.
            first: Its first token.
            sink: Source of the following tokens.
            outcome_task: Runs the request and returns its outcome.
        """
        self._request_id = request_id
        self._pending: list[TokenEvent | None] = [first]
        self._sink = sink
        self._outcome_task = outcome_task
        self._ended = False

    def __aiter__(self) -> 'TokenRelay':
        """Returns the relay."""
        return self

    async def __anext__(self) -> bytes:
        """Returns all pending events; waits until there is at least one."""
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
        outcome = outcome_payload(self._request_id, await self._outcome_task)
        return encoded + encode_event(outcome)

    async def aclose(self) -> None:
        """Cancels the request if it is still running."""
        self._outcome_task.cancel()
