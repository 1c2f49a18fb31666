"""What all listeners of a process share against clients above the limits."""

import asyncio
import contextlib

from ..clock import MS_PER_S
from ..events import Event, log_event
from .limit_reports import LimitReason, LimitReports
from .memory_budget import MemoryBudget, budget_bytes

# Longest pause between the turns of connections with tiny pieces, and the part
# for each one that waits. Parsing a turn of 64 pieces takes about 1 ms on the
# reference machine, so many such connections use a fifth of the processor.
MAX_TURN_PAUSE_S = 0.005
TURN_PAUSE_S = 0.001


class ClientGuard:
    """Memory budget, turns for tiny pieces and reports of one process."""

    def __init__(self, memory_bytes: float | None = None) -> None:
        """Starts without connections.

        Args:
            memory_bytes: Memory of the machine; None if unknown.
        """
        self.budget = MemoryBudget(budget_bytes(memory_bytes))
        self.reports = LimitReports()
        self._turn = asyncio.Lock()
        self._waiting = 0

    def now_ms(self) -> float:
        """Returns the time of the event loop."""
        return asyncio.get_running_loop().time() * MS_PER_S

    def report(self, reason: LimitReason) -> None:
        """Counts a client that met a limit and may log it.

        Args:
            reason: The limit.
        """
        count = self.reports.note(reason, self.now_ms())
        if count:
            log_event(
                Event.CLIENT_LIMITED,
                reason=reason.value,
                count=count,
                held_bytes=self.budget.held_bytes,
            )

    async def wait_turn(self) -> None:
        """Lets one connection with tiny pieces go on at a time.

        A single one only lets other tasks run.
        """
        with contextlib.ExitStack() as stack:
            self._waiting += 1
            stack.callback(self._end_wait)
            async with self._turn:
                pause_s = (self._waiting - 1) * TURN_PAUSE_S
                await asyncio.sleep(min(pause_s, MAX_TURN_PAUSE_S))

    def _end_wait(self) -> None:
        self._waiting -= 1
