"""Reads answers of targets that are held whole, within a memory budget."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Iterator

from .client_limits.memory_budget import (
    HeldMemory,
    HoldPhase,
    MemoryBudget,
    budget_bytes,
)
from .clock import MS_PER_S
from .inbound import SendError, SendFailure

# Largest answer that is held whole, and all of them together: a part of the
# memory of an entry, which is 128 MB at the planned size.
MAX_ANSWER_BYTES = 4_194_304
MAX_TOTAL_BYTES = 33_554_432
# Longest wait for clients to read other answers, and time between two looks.
ROOM_WAIT_S = 2
ROOM_POLL_S = 0.05


class AnswerReader:
    """Reads whole answers; those being read share a budget of memory."""

    def __init__(
        self,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
        max_total_bytes: int = MAX_TOTAL_BYTES,
        budget: MemoryBudget | None = None,
    ) -> None:
        """Creates a reader.

        Args:
            max_answer_bytes: Maximum size of an answer.
            max_total_bytes: Maximum size of all answers that are being read.
            budget: Memory that clients make the process hold; the reader has
                its own by default.
        """
        self._budget = budget or MemoryBudget(budget_bytes(None))
        self.max_total_bytes = max_total_bytes
        self._max_answer_bytes = max_answer_bytes
        self._total_bytes = 0

    async def read(
        self, chunks: AsyncIterator[bytes], first: bytes = b''
    ) -> bytes:
        """Returns a whole answer.

        Args:
            chunks: The answer.
            first: Bytes that were read before.

        Raises:
            SendError: If it is incomplete or exceeds a limit.
        """
        body = bytearray(first)
        with self._accounting(body) as held:
            async for chunk in chunks:
                self._require_room(len(body) + len(chunk), len(chunk))
                body += chunk
                self._total_bytes += len(chunk)
                await self._await_budget(held, len(chunk))
            return bytes(body)

    @contextlib.contextmanager
    def _accounting(self, body: bytearray) -> Iterator[HeldMemory]:
        """Counts an answer while it is being read."""
        held = self._budget.open()
        held.phase = HoldPhase.RUNNING
        held.hold(len(body))
        self._total_bytes += len(body)
        with contextlib.ExitStack() as stack:
            stack.callback(self._release, held, body)
            yield held

    def _release(self, held: HeldMemory, body: bytearray) -> None:
        held.close()
        self._total_bytes -= len(body)
        # The traceback of an error would keep it.
        body.clear()

    async def _await_budget(self, held: HeldMemory, more_bytes: int) -> None:
        """Counts more of an answer; waits while the budget is exceeded.

        Requests that are not complete give way, since nothing of them has run.

        Raises:
            SendError: If it is exceeded for too long.
        """
        loop = asyncio.get_running_loop()
        until_s = loop.time() + ROOM_WAIT_S
        held.add(more_bytes, loop.time() * MS_PER_S)
        while self._budget.is_exceeded(held):
            held.make_room(loop.time() * MS_PER_S)
            if loop.time() > until_s:
                raise SendError(
                    SendFailure.UNKNOWN, 'no memory for the whole answer'
                )
            await asyncio.sleep(ROOM_POLL_S)

    def _require_room(self, answer_bytes: int, more_bytes: int) -> None:
        if answer_bytes > self._max_answer_bytes:
            raise SendError(
                SendFailure.UNKNOWN, f'answer exceeds {self._max_answer_bytes}'
            )
        if self._total_bytes + more_bytes > self.max_total_bytes:
            raise SendError(
                SendFailure.UNKNOWN,
                f'answers being read exceed {self.max_total_bytes} bytes',
            )
