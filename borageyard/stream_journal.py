"""Keeps in the shared store which version began each stream."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Collection, Sequence

from .backoff import retry_delays
from .clock import MS_PER_S, Clock
from .document_validation import check_document, parse_json
from .election_service import ElectionService
from .events import Event, log_event
from .generated.peer_streams import StreamOriginBody, StreamOriginsBody
from .refused_records import RefusedRecords
from .shared_table import (
    HistoryLostError,
    SharedTables,
    StoreError,
    Table,
    TablePage,
)
from .stream_origins import MAX_STREAMS, StreamOrigin, StreamOrigins
from .tasks import running_tasks

# Time in which origins are gathered for one write.
BATCH_MS = 100
MAX_BATCH = 200
# Reads of the origins at most for one stream; each returns up to a megabyte.
MAX_READS = 8


class StreamJournal:
    """Writes origins of streams to the shared store, and reads them.

    Designed for the loss of all entries at once. Origins are written in
    batches, and only while streams may be of more than one version.
    """

    def __init__(
        self,
        instance_id: str,
        elections: ElectionService,
        tables: SharedTables,
        clock: Clock,
        refused: RefusedRecords,
    ) -> None:
        """Creates a journal that has read nothing.

        Args:
            instance_id: Id of this entry.
            elections: Elects the schedulers.
            tables: The shared store.
            clock: Source of monotonic time.
            refused: Told of records that can't be used.
        """
        self._refused = refused
        self.origins = StreamOrigins()
        self._instance_id = instance_id
        self._elections = elections
        self._tables = tables
        self._clock = clock
        self._queue: list[StreamOrigin] = []
        self._queued = asyncio.Event()
        self._next_offset = 0
        self._offset_era = 0
        self._reading: asyncio.Future[None] | None = None

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Writes origins within the scope."""
        async with running_tasks(self._write_origins):
            yield

    def keeps(self, service: str) -> bool:
        """Returns whether this entry writes the origins of a service."""
        return self._elections.find(service) in {'', self._instance_id}

    def record(self, origins: Collection[StreamOrigin]) -> None:
        """Writes origins of streams to the store, soon.

        Args:
            origins: The origins.
        """
        self._queue = [*self._queue, *origins][-MAX_STREAMS:]
        if self._queue:
            self._queued.set()

    async def read_origins(self) -> None:
        """Reads the origins that were written since the last read."""
        if self._reading is None or self._reading.done():
            self._reading = asyncio.ensure_future(self._read_new_origins())
        # A caller that leaves must not end the read of the others.
        await asyncio.shield(self._reading)

    async def _write_origins(self) -> None:
        delays = retry_delays()
        while True:
            await self._queued.wait()
            await asyncio.sleep(BATCH_MS / MS_PER_S)
            batch = self._queue[:MAX_BATCH]
            try:
                await self._tables.put(
                    Table.ORIGINS, '', self._encode_origins(batch)
                )
            except StoreError as error:
                log_event(Event.PLATFORM_FAILED, reason=str(error))
                await asyncio.sleep(next(delays) / MS_PER_S)
                continue
            delays = retry_delays()
            written = set(batch)
            self._queue = [one for one in self._queue if one not in written]
            if not self._queue:
                self._queued.clear()

    def _encode_origins(self, origins: Sequence[StreamOrigin]) -> bytes:
        now_ms = self._clock.steady_ms()
        bodies = [encode_origin(origin, now_ms) for origin in origins]
        return StreamOriginsBody(origins=bodies).model_dump_json().encode()

    async def _read_new_origins(self) -> None:
        for _ in range(MAX_READS):
            try:
                page = await self._tables.read(
                    Table.ORIGINS, self._next_offset, 0
                )
            except HistoryLostError as error:
                self._next_offset = error.first
                self._offset_era = error.era
                continue
            except StoreError as error:
                log_event(Event.PLATFORM_FAILED, reason=str(error))
                return
            if page.era != self._offset_era:
                # The offset was that of another record before a restore.
                self._offset_era = page.era
                self._next_offset = 0
                continue
            self._next_offset = page.end
            if not page.records:
                return
            self._add_origins(page)

    def _add_origins(self, page: TablePage) -> None:
        now_ms = self._clock.steady_ms()
        source = Table.ORIGINS.value
        for record in page.records:
            with self._refused.skipping(Table.ORIGINS, record):
                document = parse_json(record.content or b'', source)
                stored = check_document(StreamOriginsBody, document, source)
                for body in stored.origins:
                    self.origins.add(decode_origin(body, now_ms), shared=True)


def encode_origin(origin: StreamOrigin, now_ms: float) -> StreamOriginBody:
    """Returns the message about an origin.

    Args:
        origin: The origin.
        now_ms: Monotonic time.
    """
    return StreamOriginBody(
        request_id=origin.request_id,
        service=origin.service,
        software_version=origin.software_version,
        left_ms=max(origin.expires_at_ms - now_ms, 0),
    )


def decode_origin(body: StreamOriginBody, now_ms: float) -> StreamOrigin:
    """Returns the origin that a message tells of.

    Args:
        body: The message.
        now_ms: Monotonic time.
    """
    return StreamOrigin(
        body.request_id,
        body.service,
        body.software_version,
        now_ms + body.left_ms,
    )
