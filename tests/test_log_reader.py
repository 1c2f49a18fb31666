"""Tests of StreamReader."""

from borageyard.backing_services import MemoryLog
from borageyard.clock import ManualClock
from borageyard.log_reader import FIRST_BACKFILL_RECORDS, StreamReader
from borageyard.standins.memory_log import MemoryLogService

STREAM = 'claims-0'
RECORDS = 200
NOW_MS = 1_790_000_000_000


class LongStream:
    """Reader of a stream that was filled at one record a second."""

    def __init__(self):
        """Fills the stream and creates a reader that is not open."""
        self.clock = ManualClock(NOW_MS)
        self.log = MemoryLog(self.clock)
        self.consumed = []
        self.notified = 0
        self.fill(RECORDS)
        self.reader = StreamReader(
            MemoryLogService(self.log),
            STREAM,
            self.consumed.append,
            self.clock,
            self.note,
        )

    def fill(self, count):
        """Appends records one second apart."""
        for number in range(count):
            self.clock.advance(1000)
            self.log.append_now(STREAM, {'number': number})

    def note(self):
        """Counts a notification."""
        self.notified += 1

    def offsets(self):
        """Returns the offsets of the consumed records."""
        return {stored.offset for stored in self.consumed}


class TestReadBack:
    """Backfill from the head of the stream."""

    async def test_starts_with_the_newest_records(self):
        """The first page is small and the next twice as large."""
        stream = LongStream()
        await stream.reader.open()
        assert not stream.consumed
        await stream.reader.backfill_once()
        assert len(stream.consumed) == FIRST_BACKFILL_RECORDS
        await stream.reader.backfill_once()
        assert len(stream.consumed) == 3 * FIRST_BACKFILL_RECORDS
        assert stream.reader.coverage.first_offset == RECORDS - len(
            stream.consumed
        )

    async def test_ends_at_the_first_record(self):
        """A complete backfill consumes every record exactly once."""
        stream = LongStream()
        await stream.reader.open()
        while not stream.reader.coverage.is_exhausted:
            await stream.reader.backfill_once()
        assert stream.reader.coverage.is_complete
        assert stream.offsets() == set(range(RECORDS))
        assert len(stream.consumed) == RECORDS

    async def test_expired_records_are_not_covered(self):
        """The coverage excludes records that expired before they were read."""
        stream = LongStream()
        await stream.reader.open()
        stream.log.expire_before(STREAM, RECORDS - 10)
        while not stream.reader.coverage.is_exhausted:
            await stream.reader.backfill_once()
        assert not stream.reader.coverage.is_complete
        assert stream.reader.coverage.first_offset >= RECORDS - 10


class TestGap:
    """New records that expire before they are read."""

    async def test_is_noticed(self):
        """The gap is counted, and the coverage restarts at the head."""
        stream = LongStream()
        await stream.reader.open()
        stream.fill(50)
        stream.log.expire_before(STREAM, RECORDS + 20)
        await stream.reader.follow_once()
        assert stream.reader.gaps == 1
        assert stream.reader.coverage is None
        await stream.reader.follow_once()
        assert stream.reader.coverage.first_offset == RECORDS + 50
        assert not stream.reader.coverage.is_complete
