"""Reader of a log stream that follows the head and backfills from it."""

import asyncio
import dataclasses
from collections.abc import Callable, Sequence

from .backing_services import (
    LogPage,
    LogRecord,
    LogService,
    OffsetExpiredError,
    PlatformError,
)
from .clock import MS_PER_S, Clock
from .events import Event, log_event

READ_WAIT_MS = 500
READ_RETRY_MS = 50
# Records per backfill read. The first reads are small, so that the records of
# recent keys are read early.
FIRST_BACKFILL_RECORDS = 16
MAX_BACKFILL_RECORDS = 1000
# Records consumed before the reader yields to other tasks.
RECORDS_PER_YIELD = 5
# Streams of up to this many records are read completely when opened.
MAX_OPEN_RECORDS = 20

RecordConsumer = Callable[[LogRecord], None]
CoverageListener = Callable[[], None]


@dataclasses.dataclass(slots=True)
class StreamCoverage:
    """Range of offsets of a stream that has been read without a gap.

    ``start`` is the oldest offset that the log retained at the last read.
    """

    first_offset: int
    next_offset: int
    first_time_ms: float
    start: int = 0
    backfill_records: int = FIRST_BACKFILL_RECORDS

    @property
    def is_complete(self) -> bool:
        """Returns whether the range starts at the stream's first record."""
        return self.first_offset == 0

    @property
    def is_exhausted(self) -> bool:
        """Returns whether the log retains no records before the range."""
        return self.first_offset <= self.start


class StreamReader:
    """Reads one stream without skipping records.

    The reader finds the head first, follows new records from there and
    backfills older ones page by page. When records expire before they are
    read, the coverage starts again at the head: records consumed before stay
    consumed, but the coverage no longer includes them.
    """

    def __init__(
        self,
        log: LogService,
        stream: str,
        consume: RecordConsumer,
        clock: Clock,
        notify: CoverageListener,
    ) -> None:
        """Creates a reader that has not found the head.

        Args:
            log: Log service.
            stream: Name of the stream.
            consume: Called with each record, possibly more than once.
            clock: Source of time.
            notify: Called when the health changes, and when the coverage
                changes other than by new records.
        """
        self.stream = stream
        self.coverage: StreamCoverage | None = None
        self.healthy = False
        self.gaps = 0
        self._log = log
        self._consume = consume
        self._clock = clock
        self._notify = notify

    async def open(self) -> None:
        """Finds the head and reads a short stream completely.

        Raises:
            PlatformError: If the log does not answer.
        """
        try:
            page = await self._log.read(self.stream, 0)
        except OffsetExpiredError as error:
            page = LogPage(error.start, error.head)
        coverage = StreamCoverage(
            first_offset=page.head,
            next_offset=page.head,
            first_time_ms=self._clock.wall_ms(),
            start=page.start,
        )
        if page.head <= MAX_OPEN_RECORDS and len(page.records) == page.head:
            await self._consume_all(page.records)
            coverage.first_offset = 0
        self.coverage = coverage
        self.healthy = True
        self._notify()

    async def follow_once(self, wait_ms: float = 0) -> None:
        """Reads the next page of new records.

        Args:
            wait_ms: Longest wait for a new record, in milliseconds.

        Raises:
            PlatformError: If the log does not answer.
        """
        if self.coverage is None:
            await self.open()
            return
        coverage = self.coverage
        try:
            page = await self._log.read(
                self.stream,
                coverage.next_offset,
                wait_ms,
            )
        except OffsetExpiredError as error:
            self._note_gap(coverage.next_offset, error)
            return
        coverage.start = page.start
        await self._consume_all(page.records)
        if page.records:
            coverage.next_offset = page.records[-1].offset + 1
        self._note_health(healthy=True)

    async def follow(self) -> None:
        """Reads new records until cancelled; retries when the log fails."""
        while True:
            try:
                await self.follow_once(READ_WAIT_MS)
            except PlatformError as error:
                self._note_failure(error)
                await asyncio.sleep(READ_RETRY_MS / MS_PER_S)

    async def backfill_once(self) -> None:
        """Reads the page of records before the covered range.

        Raises:
            PlatformError: If the log does not answer or returns no records.
        """
        coverage = self.coverage
        if coverage is None or coverage.is_exhausted:
            return
        first = max(
            coverage.start, coverage.first_offset - coverage.backfill_records
        )
        try:
            records = await self._read_range(first, coverage.first_offset)
        except OffsetExpiredError as error:
            coverage.start = max(coverage.start, error.start)
            return
        if not records:
            raise PlatformError(f'empty page in a backfill from offset {first}')
        await self._consume_all(records)
        coverage.first_offset = first
        coverage.backfill_records = min(
            coverage.backfill_records * 2,
            MAX_BACKFILL_RECORDS,
        )
        coverage.first_time_ms = records[0].appended_at_ms
        self._notify()

    async def _read_range(self, first: int, end: int) -> list[LogRecord]:
        records: list[LogRecord] = []
        while first < end:
            page = await self._log.read(self.stream, first)
            if not page.records:
                return []
            records.extend(row for row in page.records if row.offset < end)
            first = page.records[-1].offset + 1
        return records

    async def _consume_all(self, records: Sequence[LogRecord]) -> None:
        """Consumes records, yielding regularly to other tasks."""
        for index, stored in enumerate(records):
            self._consume(stored)
            if index % RECORDS_PER_YIELD == RECORDS_PER_YIELD - 1:
                await asyncio.sleep(0)

    def _note_gap(self, offset: int, error: OffsetExpiredError) -> None:
        self.gaps += 1
        self.coverage = None
        log_event(
            Event.LOG_GAP,
            stream=self.stream,
            offset=offset,
            start=error.start,
            head=error.head,
        )
        self._notify()

    def _note_failure(self, error: PlatformError) -> None:
        if self.healthy:
            reason = f'{self.stream}: {error}'
            log_event(Event.PLATFORM_FAILED, reason=reason)
        self._note_health(healthy=False)

    def _note_health(self, *, healthy: bool) -> None:
        changed = healthy is not self.healthy
        self.healthy = healthy
        if changed:
            self._notify()
