"""One send of a request to an engine, read by a task of its own."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

from .inbound import (
    SendError,
    SendFailure,
    TargetAnswer,
    TargetSend,
    TargetSender,
)
from .roster import RosterRow
from .send_trace import SendTrace

# Chunks that are read ahead of a slow caller.
MAX_CHUNKS_AHEAD = 2


class EngineExchange:
    """An exchange that can be waited for beside another one.

    A wait for a generator can't be given up and taken up again, so a task
    reads the answer and reports each chunk.
    """

    def __init__(
        self,
        sender: TargetSender,
        send: TargetSend,
        on_progress: Callable[[], None],
    ) -> None:
        """Creates an exchange that has not begun.

        Args:
            sender: Sends the request.
            send: Request and engine.
            on_progress: Called when there is something to read.
        """
        self.on_progress = on_progress
        # Monotonic time of the send; None if it says nothing about the time
        # of the engine.
        self.sent_at_ms: float | None = None
        # None until there is something to read.
        self.head: TargetAnswer | None = None
        # Whether its answer is relayed.
        self.accepted = False
        # Whether the history of the request counts it as a possible run.
        self.counted = False
        # Whether its failure was recorded.
        self.failed = False
        self._sender = sender
        self._send = send
        self._chunks: asyncio.Queue[bytes] = asyncio.Queue(MAX_CHUNKS_AHEAD)
        self._error: Exception | None = None
        self._ended = False
        self._task: asyncio.Task[None] | None = None
        self._cancelled = False

    @property
    def engine(self) -> RosterRow:
        """Returns the engine that the request is sent to."""
        return self._send.target

    @property
    def trace(self) -> SendTrace:
        """Returns the path of the send."""
        return self._send.trace

    @property
    def relayed_head(self) -> TargetAnswer:
        """Returns the head of an answer that has something to read.

        Raises:
            SendError: If there is none.
        """
        if self.head is None:
            raise SendError(SendFailure.UNKNOWN, 'no head')
        return self.head

    def start(self) -> None:
        """Sends the request."""
        self._task = asyncio.ensure_future(self._run())

    def take(self) -> bytes | None:
        """Returns the next chunk, empty at the end; None if there is none yet.

        Raises:
            SendError: If the answer is incomplete.
        """
        if not self._chunks.empty():
            return self._chunks.get_nowait()
        if self._error is not None:
            raise self._error
        return b'' if self._ended else None

    def has_head(self) -> bool:
        """Returns whether the head of the answer has arrived.

        Raises:
            SendError: If there will be none.
        """
        if self.head is None and self.take() is not None:
            raise SendError(SendFailure.UNKNOWN, 'no head')
        return self.head is not None

    def fail(self, error: SendError) -> None:
        """Makes an answer that can't be relayed an incomplete one.

        Args:
            error: Raised from now on.
        """
        self.failed = True
        self._error = error
        while not self._chunks.empty():
            self._chunks.get_nowait()

    def cancel(self) -> None:
        """Cancels the request if it is under way."""
        # A second one would interrupt the cleanup after the first.
        if self._task is not None and not self._cancelled:
            self._cancelled = True
            self._task.cancel()

    async def close(self) -> None:
        """Cancels the request, and waits for its end."""
        self.cancel()
        if self._task is not None:
            await asyncio.wait([self._task])

    async def _run(self) -> None:
        with contextlib.ExitStack() as stack:
            stack.callback(self._report)
            try:
                await self._exchange()
            except asyncio.CancelledError:
                # It must not look complete.
                self._error = SendError(SendFailure.UNKNOWN, 'cancelled')
                raise
            except Exception as error:
                self._error = error
            self._ended = True

    async def _exchange(self) -> None:
        async with self._sender.send(self._send) as answer:
            self.head = answer
            self._report()
            try:
                await self._read(answer.chunks)
            except SendError as error:
                self._error = error

    async def _read(self, chunks: AsyncIterator[bytes]) -> None:
        async for chunk in chunks:
            if chunk:
                await self._chunks.put(chunk)
                self._report()

    def _report(self) -> None:
        self.on_progress()
