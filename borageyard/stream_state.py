"""State of one relayed stream across engines."""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator
from http import HTTPStatus

from .clock import MS_PER_S
from .engine_exchange import EngineExchange
from .event_framer import EventFramer
from .inbound import InboundRequest, SendError, SendFailure
from .request_context import RequestContext
from .roster import RosterRow
from .send_history import SendHistory


class Standby:
    """Another engine, asked while the present one is silent."""

    def __init__(self) -> None:
        """Creates a standby for which nothing was sent yet."""
        self.exchange: EngineExchange | None = None
        # Ends when the engine has begun its run.
        self.task: asyncio.Task[None] | None = None

    @property
    def sent(self) -> EngineExchange:
        """Returns the exchange with the engine.

        Raises:
            SendError: If nothing was sent yet.
        """
        if self.exchange is None:
            raise SendError(SendFailure.NOT_SENT, 'nothing was sent')
        return self.exchange

    @property
    def engine_ids(self) -> tuple[str, ...]:
        """Returns the id of its engine, if one was sent to."""
        if self.exchange is None:
            return ()
        return (self.exchange.engine.target_id,)

    def is_ready(self, *, present_failed: bool) -> bool:
        """Returns whether it can take over, or has failed.

        Args:
            present_failed: Whether there is no other engine to wait for.
        """
        if self.task is not None and self.task.done():
            return True
        return present_failed and self.exchange is not None

    def stop_waiting(self) -> None:
        """Leaves its exchange to the stream."""
        if self.task is not None:
            self.task.cancel()

    def find_error(self) -> BaseException | None:
        """Returns how it has failed; None if it has not."""
        if self.task is None or not self.task.done():
            return None
        if self.task.cancelled():
            return asyncio.CancelledError('cancelled by another task')
        return self.task.exception()

    def cancel(self) -> None:
        """Cancels its request."""
        if self.task is not None:
            self.task.cancel()
        if self.exchange is not None:
            self.exchange.cancel()

    async def close(self) -> None:
        """Cancels its request, and waits for its end."""
        self.cancel()
        if self.task is not None:
            await asyncio.gather(self.task, return_exceptions=True)
        if self.exchange is not None:
            await self.exchange.close()


@dataclasses.dataclass(slots=True)
class StreamState:
    """State of one streaming request across engines.

    Attributes:
        request: The caller's request.
        context: Route and deadline of the request.
        history: Updated with each send.
        framer: Splits the answers at event boundaries.
        failed_engine_ids: Ids of the engines that failed the request.
        software_version: Version that began the stream; None before that. Only
            engines of this version may go on with it.
        broken_engine_ids: Ids of the engines that broke the stream off.
        complete: Whether the last event was relayed.
        relaying: Whether the head of the answer was passed on.
        content_type: Content type that the caller was told.
        exchange: Exchange with the present engine.
        standby: Another engine, asked while the present one is silent.
        progress: Set when an exchange has something to read.
        silent_ms: Time waited since the last complete event.
        ask_again_after_ms: Silence before which no other engine is asked.
        resume_reason: Why the stream goes on at the present engine.
    """

    request: InboundRequest
    context: RequestContext
    history: SendHistory
    framer: EventFramer = dataclasses.field(default_factory=EventFramer)
    failed_engine_ids: set[str] = dataclasses.field(default_factory=set)
    software_version: str | None = None
    broken_engine_ids: set[str] = dataclasses.field(default_factory=set)
    complete: bool = False
    relaying: bool = False
    content_type: str = ''
    exchange: EngineExchange | None = None
    standby: Standby | None = None
    progress: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    silent_ms: float = 0
    ask_again_after_ms: float = 0
    resume_reason: str = ''

    @property
    def origin_id(self) -> str:
        """Returns the id of the request that brought the first event."""
        return self.request.resumed_request_id or self.request.request_id

    @property
    def last_event_id(self) -> str:
        """Returns the id of the last event that the caller has received."""
        return self.framer.last_id or self.request.last_event_id

    @property
    def present(self) -> EngineExchange:
        """Returns the exchange with the present engine.

        Raises:
            SendError: If nothing was sent yet.
        """
        if self.exchange is None:
            raise SendError(SendFailure.NOT_SENT, 'nothing was sent')
        return self.exchange

    def fits(self, engine: RosterRow) -> bool:
        """Returns whether an engine may go on with the stream."""
        return self.software_version in {None, engine.software_version}

    def require_whole(self, exchange: EngineExchange) -> None:
        """Checks an answer that has ended.

        Args:
            exchange: Exchange with the engine.

        Raises:
            SendError: If it has ended within an event, or may have ended
                before its first event because the engine crashed.
        """
        if self.framer.has_partial:
            raise SendError(SendFailure.UNKNOWN, 'answer ended within an event')
        head = exchange.relayed_head
        is_stream = head.status == HTTPStatus.OK
        has_events = self.framer.event_count or self.last_event_id
        if is_stream and not head.framed and not has_events:
            raise SendError(
                SendFailure.UNKNOWN, 'answer ended without an event'
            )

    def require_events(self) -> None:
        """Checks what the present engine has sent.

        Raises:
            SendError: If it is not the next events of the stream.
        """
        if self.framer.violation:
            raise SendError(SendFailure.UNKNOWN, self.framer.violation)

    def note_possible_run(self, exchange: EngineExchange) -> None:
        """Counts an exchange that may have run, though it goes on."""
        if not exchange.counted:
            exchange.counted = True
            self.history.possible_runs += 1

    def note_run_ended(
        self, exchange: EngineExchange, failure: SendFailure
    ) -> None:
        """Counts an exchange that is given up.

        Args:
            exchange: The exchange.
            failure: Whether it may have run.
        """
        if exchange.counted and failure is SendFailure.UNKNOWN:
            return
        if exchange.counted:
            self.history.possible_runs -= 1
        exchange.counted = True
        self.history.note_failure(failure)

    async def replace(self, exchange: EngineExchange) -> None:
        """Makes an exchange the present one; closes the former one."""
        former = self.exchange
        self.exchange = exchange
        exchange.on_progress = self.progress.set
        self.note_event()
        if former is not None:
            await former.close()

    def note_event(self) -> None:
        """Ends the silence."""
        self.silent_ms = 0
        self.ask_again_after_ms = 0

    async def wait(self, limit_ms: float) -> None:
        """Waits until there is something to read, at most for a time.

        Args:
            limit_ms: Longest wait. A suspension of the process beyond it does
                not count as silence of the engine.
        """
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_ms / MS_PER_S):
                await self.progress.wait()
        waited_ms = (loop.time() - started_s) * MS_PER_S
        self.silent_ms += min(waited_ms, limit_ms)

    async def read_rest(self) -> AsyncIterator[bytes]:
        """Yields the rest of the answer of the present engine."""
        while True:
            self.progress.clear()
            chunk = self.present.take()
            if chunk is None:
                await self.progress.wait()
            elif chunk:
                yield chunk
            else:
                return

    async def close(self) -> None:
        """Cancels all exchanges that are under way."""
        # All at once: a wait for one of them may be cancelled.
        if self.exchange is not None:
            self.exchange.cancel()
        if self.standby is not None:
            await self.standby.close()
        if self.exchange is not None:
            await self.exchange.close()
