"""Log lines to standard output without ever waiting for its reader."""

import asyncio
import collections
import contextlib
import json
import os
from collections.abc import AsyncIterator, Mapping
from typing import Any

import eliot

from .clock import MS_PER_S
from .events import Event, log_event
from .tasks import running_tasks

STANDARD_OUTPUT = 1
# Bounds of what waits to be written; later lines are dropped and counted.
MAX_QUEUED_LINES = 4096
# Lines a second on average, and as many at once after a quiet time.
MAX_LINES_PER_S = 400
BURST_LINES = 2000
FLUSH_INTERVAL_MS = 200
_ENCODER = json.JSONEncoder(separators=(',', ':'), default=str)


class LogQueue:
    """Bounded queue between the event log and a file descriptor."""

    def __init__(self, descriptor: int = STANDARD_OUTPUT) -> None:
        """Starts empty.

        Args:
            descriptor: Where lines are written.
        """
        self.dropped = 0
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._line_tokens: float = BURST_LINES
        self._unwritten = b''

    def __call__(self, message: Mapping[str, Any]) -> None:
        """Takes in one event, as a destination of eliot."""
        full = len(self._lines) >= MAX_QUEUED_LINES
        if full or self._line_tokens < 1:
            self.dropped += 1
            return
        self._line_tokens -= 1
        self._append(message)

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Writes the lines of all events while the scope lasts."""
        with contextlib.ExitStack() as stack:
            eliot.add_destinations(self)
            stack.callback(self.flush)
            stack.callback(eliot.remove_destination, self)
            async with running_tasks(self._flush_periodically()):
                yield

    def flush(self) -> None:
        """Writes what can be written without waiting."""
        if self.dropped:
            self._log_dropped()
        self._unwritten += b''.join(self._lines)
        self._lines.clear()
        if not self._unwritten:
            return
        blocking = os.get_blocking(self._descriptor)
        os.set_blocking(self._descriptor, False)
        try:
            written = os.write(self._descriptor, self._unwritten)
        except BlockingIOError:
            written = 0
        except OSError:
            # Nobody reads: keeping the lines would only fill the memory.
            written = len(self._unwritten)
        finally:
            os.set_blocking(self._descriptor, blocking)
        self._unwritten = self._unwritten[written:]

    def _append(self, line: Mapping[str, Any]) -> None:
        self._lines.append(b'%b\n' % _ENCODER.encode(line).encode())

    def _log_dropped(self) -> None:
        # The allowance is used up by now; this line has one of its own.
        self._line_tokens += 1
        dropped = self.dropped
        self.dropped = 0
        log_event(Event.EVENTS_DROPPED, lines=dropped)

    async def _flush_periodically(self) -> None:
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_MS / MS_PER_S)
            gained = MAX_LINES_PER_S * FLUSH_INTERVAL_MS / MS_PER_S
            self._line_tokens = min(self._line_tokens + gained, BURST_LINES)
            if len(self._unwritten) < MAX_QUEUED_LINES:
                self.flush()
