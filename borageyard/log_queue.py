"""Writes log lines to standard output without blocking on its reader."""

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
# Lines beyond this bound are dropped and counted.
MAX_QUEUED_LINES = 4096
# Average rate, and the burst that is allowed after a quiet period.
MAX_LINES_PER_S = 400
BURST_LINES = 2000
FLUSH_INTERVAL_MS = 200
_ENCODER = json.JSONEncoder(separators=(',', ':'), default=str)


class LogQueue:
    """Bounded queue between the event log and a file descriptor."""

    def __init__(self, descriptor: int = STANDARD_OUTPUT) -> None:
        """Creates an empty queue.

        Args:
            descriptor: File descriptor to which lines are written.
        """
        self.dropped = 0
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._line_tokens: float = BURST_LINES
        self._unwritten = b''

    def __call__(self, message: Mapping[str, Any]) -> None:
        """Queues an event; called by eliot as a destination.

        The event is dropped and counted if the queue is full or the rate
        limit is reached.
        """
        full = len(self._lines) >= MAX_QUEUED_LINES
        if full or self._line_tokens < 1:
            self.dropped += 1
            return
        self._line_tokens -= 1
        self._append(message)

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Writes the lines of all events until the context exits."""
        with contextlib.ExitStack() as stack:
            eliot.add_destinations(self)
            stack.callback(self.flush)
            stack.callback(eliot.remove_destination, self)
            async with running_tasks(self._flush_periodically):
                yield

    def flush(self) -> None:
        """Writes as many lines as the descriptor takes without blocking."""
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
            # The reader is gone; keeping the lines would only use up memory.
            written = len(self._unwritten)
        finally:
            os.set_blocking(self._descriptor, blocking)
        self._unwritten = self._unwritten[written:]

    def _append(self, line: Mapping[str, Any]) -> None:
        self._lines.append(b'%b\n' % _ENCODER.encode(line).encode())

    def _log_dropped(self) -> None:
        # The rate limit is used up at this point, so this line gets its own
        # token.
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
