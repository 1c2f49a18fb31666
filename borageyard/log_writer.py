"""Writer of a log stream that appends records in batches."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Callable, Sequence
from typing import Any

from .append_budget import AppendBudget
from .append_queue import AppendBackoff, AppendQueue, QueuedItem
from .backing_services import (
    AppendRefusedError,
    LogService,
    PlatformError,
    Record,
)
from .clock import MS_PER_S, Clock
from .events import Event, log_event
from .identifiers import new_identifier

MAX_APPENDS_IN_FLIGHT = 4
# Time for the reader to return a batch whose append was not answered.
READ_BACK_TIMEOUT_MS = 250


BatchEncoder = Callable[[str, Sequence[Sequence[Any]]], Record]


@dataclasses.dataclass(frozen=True, slots=True)
class WriterSettings:
    """Stream and batching of a writer."""

    stream: str
    commit_window_ms: float
    batch_items: int


class BatchWriter:
    """Appends records in batches within a rate limit.

    If an append is not answered, the writer waits for the reader to return the
    batch, which it recognises by the batch id. Only if the batch is not read
    back in time are its records appended again; readers count a record that is
    in the log twice only once.
    """

    def __init__(
        self,
        log: LogService,
        encode: BatchEncoder,
        budget: AppendBudget,
        clock: Clock,
        settings: WriterSettings,
    ) -> None:
        """Creates a writer with an empty queue.

        Args:
            log: Log service.
            encode: Returns the record for a batch id and items.
            budget: Append rate limit.
            clock: Source of time.
            settings: Stream and batching.
        """
        self.queue = AppendQueue()
        self.appends = 0
        self.lost_answers = 0
        self._log = log
        self._encode = encode
        self._budget = budget
        self._clock = clock
        self._settings = settings
        self._slots = asyncio.Semaphore(MAX_APPENDS_IN_FLIGHT)
        self._unconfirmed: dict[str, asyncio.Event] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._backoff = AppendBackoff(settings.stream)

    def retry_after_ms(self) -> float:
        """Returns the milliseconds until the next append; 0 if not down."""
        if not self._backoff.is_down:
            return 0
        return self._backoff.wait_ms(self._clock.steady_ms())

    def note_batch_read(self, batch_id: str) -> None:
        """Confirms a batch that has been read back."""
        event = self._unconfirmed.get(batch_id)
        if event is not None:
            event.set()

    async def run(self) -> None:
        """Appends queued records until cancelled."""
        with contextlib.ExitStack() as stack:
            stack.callback(self._cancel_tasks)
            while True:
                await self.queue.not_empty.wait()
                await _sleep(self._settings.commit_window_ms)
                await self._write_next()

    async def _write_next(self) -> None:
        await _sleep(self._backoff.wait_ms(self._clock.steady_ms()))
        await self._slots.acquire()
        wait_ms = self._budget.take(self._clock.steady_ms())
        while wait_ms:
            await _sleep(wait_ms)
            wait_ms = self._budget.take(self._clock.steady_ms())
        batch = self.queue.take_batch(self._settings.batch_items)
        task = asyncio.ensure_future(self._append(batch))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _append(self, batch: list[QueuedItem]) -> None:
        with contextlib.ExitStack() as stack:
            stack.callback(self._slots.release)
            if not batch:
                return
            batch_id = new_identifier()
            stack.callback(self._unconfirmed.pop, batch_id, None)
            self._unconfirmed[batch_id] = asyncio.Event()
            record = self._encode(batch_id, [item.body for item in batch])
            self._count_sent(batch, 1)
            try:
                await self._log.append(self._settings.stream, record)
            except AppendRefusedError as error:
                self._note_refused(batch, error)
            except PlatformError as error:
                await self._wait_for_read_back(batch_id, batch, error)
            else:
                self._backoff.note_success()

    async def _wait_for_read_back(
        self,
        batch_id: str,
        batch: list[QueuedItem],
        error: PlatformError,
    ) -> None:
        """Waits for a batch whose append was not answered to be read back.

        Requeues the batch if it is not read back in time.
        """
        self.lost_answers += 1
        log_event(
            Event.APPEND_UNKNOWN,
            stream=self._settings.stream,
            batch_id=batch_id,
            reason=str(error),
        )
        read_back = self._unconfirmed[batch_id]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(READ_BACK_TIMEOUT_MS / MS_PER_S):
                await read_back.wait()
        if read_back.is_set():
            self._backoff.note_success()
            return
        self._backoff.note_failure(self._clock.steady_ms())
        self.queue.requeue(batch)

    def _note_refused(
        self,
        batch: list[QueuedItem],
        error: PlatformError,
    ) -> None:
        self._count_sent(batch, -1)
        self._backoff.note_failure(self._clock.steady_ms())
        if self._backoff.is_down:
            stream = self._settings.stream
            reason = f'{stream}: {error}'
            log_event(Event.PLATFORM_FAILED, reason=reason)
            self.queue.refuse_optional(batch)
        self.queue.requeue(batch)

    def _count_sent(self, batch: list[QueuedItem], delta: int) -> None:
        self.appends += max(delta, 0)
        for item in batch:
            item.unconfirmed_appends += delta

    def _cancel_tasks(self) -> None:
        for task in self._tasks:
            task.cancel()


async def _sleep(duration_ms: float) -> None:
    if duration_ms > 0:
        await asyncio.sleep(duration_ms / MS_PER_S)
