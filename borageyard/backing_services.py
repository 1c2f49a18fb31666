"""Protocols of the platform's services, with in-memory implementations."""

import asyncio
import dataclasses
from collections.abc import Mapping, Sequence
from typing import Any, Protocol

from .clock import MS_PER_S, Clock

Record = Mapping[str, Any]

ROLE_ENTRY = 'entry'
ROLE_TARGET = 'target'
STATE_LIVE = 'live'
STATE_LEAVING = 'leaving'
DEFAULT_RETENTION_MS = 3_600_000
DEFAULT_APPENDS_PER_S = 300
DEFAULT_PAGE_RECORDS = 1000
# Time until a call to a service in an outage fails.
OUTAGE_DELAY_MS = 50


class PlatformError(Exception):
    """The platform did not answer."""


class AppendRefusedError(PlatformError):
    """An append failed and certainly had no effect."""


class AppendUnknownError(PlatformError):
    """The answer to an append was lost; it may have taken effect."""


class OffsetExpiredError(PlatformError):
    """A read started at an offset that is no longer retained."""

    def __init__(self, start: int, head: int) -> None:
        """Initializes the error with the bounds of the stream.

        Args:
            start: Oldest offset that is retained.
            head: Offset that the next append will get.
        """
        super().__init__(
            f'offset expired: oldest retained is {start}, head is {head}',
        )
        self.start = start
        self.head = head


@dataclasses.dataclass(frozen=True, slots=True)
class LogRecord:
    """A record and its offset in a stream."""

    offset: int
    appended_at_ms: float
    body: Record


@dataclasses.dataclass(frozen=True, slots=True)
class LogPage:
    """Records of a stream and the bounds of the stream.

    ``start`` is the oldest retained offset, ``head`` the offset that the next
    append will get.
    """

    start: int
    head: int
    records: tuple[LogRecord, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """A row of the instance list."""

    instance_id: str
    role: str
    address: str
    failure_domain: str
    service: str = ''
    peer_address: str = ''
    incarnation: int = 0
    state: str = STATE_LIVE
    # Computing power in cores of the reference machine; 0 if not stated.
    processor_cores: float = 0


class LogService(Protocol):
    """The append-only log with offsets."""

    async def append(self, stream: str, body: Record) -> int:
        """Appends a record.

        Args:
            stream: Name of the stream.
            body: JSON object.

        Returns:
            The offset of the record.

        Raises:
            AppendRefusedError: If it certainly had no effect.
            AppendUnknownError: If it may have taken effect.
        """

    async def read(
        self,
        stream: str,
        offset: int,
        wait_ms: float = 0,
    ) -> LogPage:
        """Reads records in order.

        Args:
            stream: Name of the stream.
            offset: First offset to return.
            wait_ms: Milliseconds to wait for a record if there is none yet.

        Returns:
            Records from the offset on, and the bounds of the stream.

        Raises:
            OffsetExpiredError: If the offset is no longer retained.
            PlatformError: If the service does not answer.
        """


class InstanceList(Protocol):
    """List of live and leaving instances; it may lag behind."""

    async def instances(self) -> Sequence[Instance]:
        """Returns the rows of the list.

        Raises:
            PlatformError: If the service does not answer.
        """


class WeightStore(Protocol):
    """The rate-limited store of model weights."""

    async def rate_bytes_per_s(self) -> float:
        """Returns the rate in bytes per second that all loads share.

        Raises:
            PlatformError: If the service does not answer.
        """


@dataclasses.dataclass(slots=True)
class LogFaults:
    """Faults that can be switched on in an in-memory log."""

    outage: bool = False
    lose_next_answers: int = 0
    outage_after_loss: bool = False
    delay_ms: float = 0


class MemoryLog:
    """In-memory log service with limits and faults."""

    def __init__(
        self,
        clock: Clock,
        retention_ms: float = DEFAULT_RETENTION_MS,
        appends_per_s: float = DEFAULT_APPENDS_PER_S,
    ) -> None:
        """Initializes a log without streams.

        Args:
            clock: Source of time for retention and rate limit.
            retention_ms: Milliseconds for which a record is retained.
            appends_per_s: Rate above which appends are refused.
        """
        self._clock = clock
        self._retention_ms = retention_ms
        self._appends_per_s = appends_per_s
        self._tokens = appends_per_s
        self._refilled_at_ms = clock.steady_ms()
        self._streams: dict[str, list[LogRecord]] = {}
        self._starts: dict[str, int] = {}
        self.faults = LogFaults()
        self.appends = 0
        self.appended = asyncio.Event()

    def append_now(self, stream: str, body: Record) -> int:
        """Appends a record without waiting.

        Args:
            stream: Name of the stream.
            body: JSON object.

        Returns:
            The offset of the record.

        Raises:
            AppendRefusedError: In an outage or above the rate limit.
            AppendUnknownError: If a lost answer is simulated; the record was
                appended.
        """
        if self.faults.outage:
            raise AppendRefusedError('simulated outage of the log')
        if not self._take_token():
            raise AppendRefusedError('append rate limit exceeded')
        records = self._streams.setdefault(stream, [])
        offset = self._starts.get(stream, 0) + len(records)
        records.append(LogRecord(offset, self._clock.wall_ms(), dict(body)))
        self.appends += 1
        self.appended.set()
        self.appended = asyncio.Event()
        if self.faults.lose_next_answers:
            self.faults.lose_next_answers -= 1
            self.faults.outage |= self.faults.outage_after_loss
            raise AppendUnknownError('answer to the append was lost')
        return offset

    def read_now(self, stream: str, offset: int) -> LogPage:
        """Reads a page of records without waiting.

        Args:
            stream: Name of the stream.
            offset: First offset to return.

        Raises:
            OffsetExpiredError: If the offset is no longer retained.
            PlatformError: In an outage.
        """
        if self.faults.outage:
            raise PlatformError('simulated outage of the log')
        self._expire(stream)
        records = self._streams.get(stream, [])
        start = self._starts.get(stream, 0)
        head = start + len(records)
        if offset < start:
            raise OffsetExpiredError(start, head)
        first = offset - start
        page = records[first : first + DEFAULT_PAGE_RECORDS]
        return LogPage(start, head, tuple(page))

    def expire_before(self, stream: str, offset: int) -> None:
        """Drops the records before an offset, as retention does.

        Args:
            stream: Name of the stream.
            offset: First offset to retain.
        """
        start = self._starts.get(stream, 0)
        records = self._streams.get(stream, [])
        drop = min(max(offset - start, 0), len(records))
        self._streams[stream] = records[drop:]
        self._starts[stream] = start + drop

    def _expire(self, stream: str) -> None:
        oldest_ms = self._clock.wall_ms() - self._retention_ms
        records = self._streams.get(stream, [])
        expired = 0
        while (
            expired < len(records)
            and records[expired].appended_at_ms < oldest_ms
        ):
            expired += 1
        self.expire_before(stream, self._starts.get(stream, 0) + expired)

    def _take_token(self) -> bool:
        now_ms = self._clock.steady_ms()
        elapsed_s = (now_ms - self._refilled_at_ms) / MS_PER_S
        self._refilled_at_ms = now_ms
        self._tokens = min(
            self._appends_per_s,
            self._tokens + elapsed_s * self._appends_per_s,
        )
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


@dataclasses.dataclass(slots=True)
class MemoryInstances:
    """In-memory instance list."""

    rows: list[Instance] = dataclasses.field(default_factory=list)
    outage: bool = False

    async def instances(self) -> Sequence[Instance]:
        """Returns the rows of the list.

        Raises:
            PlatformError: In an outage.
        """
        if self.outage:
            raise PlatformError('simulated outage of the instance list')
        return tuple(self.rows)
