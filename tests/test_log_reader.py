"""Tests of the reader of a stream."""

from borageyard.backing_services import MemoryLog
from borageyard.clock import ManualClock
from borageyard.log_reader import FIRST_BACKFILL_RECORDS, StreamReader
from borageyard.standins.memory_log import MemoryLogService

STREAM = 'claims-0'
RECORDS = 200
NOW_MS = 1_790_000_000_000


class LongStream:
    """A reader before a stream that was filled one record a second."""

    def __init__(self):
        """Fills the stream."""
        self.clock = ManualClock(NOW_MS)
        self.log = MemoryLog(self.clock)
        self.taken = []
        self.notified = 0
        self.fill(RECORDS)
        self.reader = StreamReader(
            MemoryLogService(self.log),
            STREAM,
            self.taken.append,
            self.clock,
            self.note,
        )

    def fill(self, count):
        """Appends records."""
        for number in range(count):
            self.clock.advance(1000)
            self.log.append_now(STREAM, {'number': number})

    def note(self):
        """Counts notifications."""
        self.notified += 1

    def offsets(self):
        """Returns the offsets of the records taken in."""
        return {stored.offset for stored in self.taken}


class TestReadBack:
    """Reading from the head backwards."""

    async def test_starts_with_the_newest_records(self):
        """Few records are read first, then more at a time."""
        stream = LongStream()
        await stream.reader.open()
        assert not stream.taken
        await stream.reader.backfill_once()
        assert len(stream.taken) == FIRST_BACKFILL_RECORDS
        await stream.reader.backfill_once()
        assert len(stream.taken) == 3 * FIRST_BACKFILL_RECORDS
        assert stream.reader.coverage.first_offset == RECORDS - len(
            stream.taken
        )

    async def test_ends_at_the_first_record(self):
        """Every record is read once in the end."""
        stream = LongStream()
        await stream.reader.open()
        while not stream.reader.coverage.exhausted:
            await stream.reader.backfill_once()
        assert stream.reader.coverage.is_complete
        assert stream.offsets() == set(range(RECORDS))
        assert len(stream.taken) == RECORDS

    async def test_expired_records_are_not_covered(self):
        """What has expired unread stays outside of the coverage."""
        stream = LongStream()
        await stream.reader.open()
        stream.log.expire_before(STREAM, RECORDS - 10)
        while not stream.reader.coverage.exhausted:
            await stream.reader.backfill_once()
        assert not stream.reader.coverage.is_complete
        assert stream.reader.coverage.first_offset >= RECORDS - 10


class TestGap:
    """Records that expire before they are followed."""

    async def test_is_noticed(self):
        """The coverage starts again at the head."""
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
