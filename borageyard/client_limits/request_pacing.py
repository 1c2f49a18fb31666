"""Paces the receipt of a request: deadlines, turns and room in memory."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from ..clock import MS_PER_S
from ..errors import ErrorKind, Refusal
from ..http_messages import HttpLimits
from .client_guard import ClientGuard
from .limit_reports import LimitReason
from .memory_budget import HeldMemory

# Bytes of a body that must arrive within the receive timeout. 2,000 callers
# that share a link of 5 Mbit/s get three times as much.
MIN_PROGRESS_BYTES = 1024
# Part of the receive timeout in which its deadline is moved at most once.
RESTART_SHARE = 0.1
# Pieces of a body after which other connections get their turn, and the mean
# size below which parsing them takes longer than it is worth.
PIECES_PER_TURN = 64
TINY_PIECE_BYTES = 64
# Time between two looks whether there is room for a body again.
ROOM_POLL_S = 0.25
# Time to read bytes that arrived while a busy process missed the deadline.
LATE_S = 0.1
# Time after which a caller may send a request again that found no room.
LIMIT_RETRY_AFTER_MS = 1000


class RefusedRequestError(Exception):
    """A request was refused before it reached a handler."""

    def __init__(self, refusal: Refusal, request_id: str = '') -> None:
        """Creates the error.

        Args:
            refusal: Refusal to send to the caller.
            request_id: Id from the caller, if it was read.
        """
        super().__init__(refusal.kind.value)
        self.refusal = refusal
        self.request_id = request_id


class RequestPacing:
    """Bounds the time and the memory for one request after another."""

    def __init__(
        self, limits: HttpLimits, guard: ClientGuard, held: HeldMemory
    ) -> None:
        """Creates the pacing of one connection.

        Args:
            limits: Limits on time.
            guard: Shared by all connections.
            held: Memory held for this connection.
        """
        self.in_body = False
        self._limits = limits
        self._guard = guard
        self._held = held
        self._deadline: asyncio.Timeout | None = None
        self._pieces = 0
        # Bytes of the body at the start of this turn, and at its last progress.
        self._turn_bytes = 0
        self._progress_bytes = 0
        self._restarted_at_ms: float = 0

    @contextlib.asynccontextmanager
    async def receiving(self) -> AsyncIterator[None]:
        """Bounds the time for the head, then that without progress.

        Raises:
            RefusedRequestError: If it has passed, or the connection is evicted.
        """
        limits = self._limits
        timeout_ms = min(limits.head_timeout_ms, limits.receive_timeout_ms)
        self.in_body = False
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_S) as deadline:
                with contextlib.ExitStack() as stack:
                    self._deadline = deadline
                    stack.callback(setattr, self, '_deadline', None)
                    yield
        except TimeoutError as error:
            raise RefusedRequestError(self._timeout_refusal()) from error

    def evict(self) -> None:
        """Ends ``receiving`` with a refusal, if the request is incomplete."""
        if self._deadline is not None and not self._deadline.expired():
            self._deadline.reschedule(asyncio.get_running_loop().time())

    def note_arrival(self, now_ms: float) -> None:
        """Postpones a deadline if bytes arrived before it was handled.

        Args:
            now_ms: Time of the event loop.
        """
        when_s = self._deadline.when() if self._deadline else None
        if when_s is not None and now_ms / MS_PER_S >= when_s:
            self._set_deadline(now_ms / MS_PER_S + LATE_S)

    def start_body(self) -> None:
        """Restarts the deadline for the body of a request."""
        self.in_body = True
        self._pieces = 0
        self._turn_bytes = 0
        self._progress_bytes = 0
        self._restart_deadline()

    def note_progress(self, body_bytes: int) -> None:
        """Extends the deadline once enough of a body has arrived.

        Args:
            body_bytes: Bytes of the body so far.
        """
        if body_bytes - self._progress_bytes < MIN_PROGRESS_BYTES:
            return
        # Moving a timer takes longer than parsing a piece.
        now_ms = self._guard.now_ms()
        wait_ms = self._limits.receive_timeout_ms * RESTART_SHARE
        if now_ms - self._restarted_at_ms >= wait_ms:
            self._progress_bytes = body_bytes
            self._restart_deadline()

    async def note_piece(self, body_bytes: int) -> None:
        """Counts a piece; lets other connections go on after some.

        Args:
            body_bytes: Bytes of the body so far.
        """
        self._pieces += 1
        if self._pieces % PIECES_PER_TURN:
            return
        gained_bytes = body_bytes - self._turn_bytes
        self._turn_bytes = body_bytes
        if gained_bytes < PIECES_PER_TURN * TINY_PIECE_BYTES:
            async with self._paused():
                await self._guard.wait_turn()
        else:
            await asyncio.sleep(0)

    async def await_room(self) -> None:
        """Waits until there is room for more bytes.

        Raises:
            RefusedRequestError: If there is none within the receive timeout.
        """
        if self._held.make_room(self._guard.now_ms()):
            return
        until_ms = self._guard.now_ms() + self._limits.receive_timeout_ms
        self._held.waiting = True
        async with self._paused():
            while not self._held.make_room(self._guard.now_ms()):
                if self._guard.now_ms() > until_ms:
                    raise RefusedRequestError(self._memory_refusal())
                await asyncio.sleep(ROOM_POLL_S)
        self._held.waiting = False

    def require_memory(self) -> None:
        """Refuses a request whose connection was evicted.

        More bytes may have arrived together with the eviction.

        Raises:
            RefusedRequestError: If it was evicted.
        """
        if self._held.evicted:
            raise RefusedRequestError(self._memory_refusal())

    @contextlib.asynccontextmanager
    async def _paused(self) -> AsyncIterator[None]:
        """Stops the deadline while the server itself does not read."""
        loop = asyncio.get_running_loop()
        when_s = self._deadline.when() if self._deadline else None
        left_s = (when_s or loop.time()) - loop.time()
        self._set_deadline(None)
        yield
        self._set_deadline(loop.time() + left_s)

    def _restart_deadline(self) -> None:
        timeout_ms = self._limits.receive_timeout_ms
        self._restarted_at_ms = self._guard.now_ms()
        self._set_deadline((self._restarted_at_ms + timeout_ms) / MS_PER_S)

    def _set_deadline(self, when_s: float | None) -> None:
        """Moves the deadline, unless it has passed or is now."""
        deadline = self._deadline
        if deadline is None or self._held.evicted or deadline.expired():
            return
        deadline.reschedule(when_s)

    def _timeout_refusal(self) -> Refusal:
        if self._held.evicted:
            return self._memory_refusal()
        self._guard.report(
            LimitReason.SLOW_BODY if self.in_body else LimitReason.SLOW_HEAD
        )
        return Refusal(
            ErrorKind.REQUEST_TIMEOUT, retry_after_ms=LIMIT_RETRY_AFTER_MS
        )

    def _memory_refusal(self) -> Refusal:
        self._guard.report(LimitReason.MEMORY)
        return Refusal(
            ErrorKind.OVERLOADED,
            detail='no room for the request',
            retry_after_ms=LIMIT_RETRY_AFTER_MS,
        )
