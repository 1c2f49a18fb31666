"""Stand-in of the platform store: topics with the newest record per key."""

import asyncio
import base64
import dataclasses
import json
import struct
from http import HTTPStatus

from ..clock import MS_PER_S
from ..http_messages import HttpRequest, HttpResponse, json_response

HISTORY_BOUNDS = struct.Struct('>QQ')
LENGTH_PREFIX = struct.Struct('>I')
OPERATOR_TOPIC = 'keyed.op'
TARGETS_TOPIC = 'keyed.servers'
ENTRIES_TOPIC = 'keyed.status'
OPERATOR_KEY = 'config'


@dataclasses.dataclass(slots=True)
class StoreFaults:
    """Injected faults of the store."""

    down: bool = False
    delay_ms: float = 0
    # Number of further appends that take effect but are never answered.
    lost_append_answers: int = 0
    # Whether a read at the end of a topic waits for its full wait time and
    # then returns no records, even if some were appended meanwhile.
    withhold_records: bool = False
    # Number of bytes that are missing at the end of each read.
    cut_bytes: int = 0


@dataclasses.dataclass(slots=True)
class _Topic:
    records: list[bytes] = dataclasses.field(default_factory=list)
    first: int = 0

    def retains(self, offset: int) -> bool:
        """Returns whether a read may start at an offset."""
        return self.first <= offset <= len(self.records)


class KeyedStore:
    """In-memory topics.

    Several handlers may serve the same store, each with its own faults.
    """

    def __init__(self) -> None:
        """Initializes a store without topics."""
        # Stated in all responses if it is not 0.
        self.era = 0
        self._topics: dict[str, _Topic] = {}
        self._changed = asyncio.Event()

    def put(self, topic: str, key: str, document: object) -> int:
        """Writes a JSON document under a key.

        Args:
            topic: Name of the topic.
            key: Key of the record.
            document: Value to encode; ``None`` deletes the key.

        Returns:
            The offset of the record.
        """
        content = b'' if document is None else json.dumps(document).encode()
        return self.append(topic, _encode_key(key) + content)

    def bounds(self, topic: str) -> bytes:
        """Returns the encoded bounds of a topic, without records."""
        stored = self._topic(topic)
        return HISTORY_BOUNDS.pack(len(stored.records), stored.first)

    def append(self, topic: str, record: bytes) -> int:
        """Appends an encoded record and returns its offset."""
        records = self._topic(topic).records
        records.append(record)
        self._changed.set()
        self._changed = asyncio.Event()
        return len(records) - 1

    def truncate_history(self, topic: str) -> None:
        """Truncates the history of a topic.

        The newest record of each key remains available from ``newest``.
        """
        stored = self._topic(topic)
        stored.first = len(stored.records)

    def ends(self) -> dict[str, int]:
        """Returns the end of each topic, as a copy made now would hold."""
        return {
            topic: len(stored.records) for topic, stored in self._topics.items()
        }

    def restore(self, ends: dict[str, int]) -> None:
        """Continues in a new era from a copy.

        Args:
            ends: End of each topic in the copy.
        """
        self.era += 1
        for topic, stored in self._topics.items():
            stored.records = stored.records[: ends.get(topic, 0)]
            stored.first = min(stored.first, len(stored.records))
        self._changed.set()
        self._changed = asyncio.Event()

    def newest(self, topic: str) -> dict[str, tuple[int, bytes]]:
        """Returns the offset and content of the newest record of each key.

        Deleted keys are left out.
        """
        found: dict[str, tuple[int, bytes]] = {}
        for offset, record in enumerate(self._topic(topic).records):
            key, content = _decode_record(record)
            found.pop(key, None)
            if content:
                found[key] = (offset, content)
        return found

    async def read(self, topic: str, offset: int, wait_s: float) -> bytes:
        """Returns the encoded bounds of a topic and its records.

        Args:
            topic: Name of the topic.
            offset: First offset to return.
            wait_s: Seconds to wait for an append if there is no record yet.
        """
        stored = self._topic(topic)
        if offset >= len(stored.records):
            await self._wait(wait_s)
        records = stored.records[offset:]
        framed = [
            LENGTH_PREFIX.pack(len(record)) + record for record in records
        ]
        return self.bounds(topic) + b''.join(framed)

    def retains(self, topic: str, offset: int) -> bool:
        """Returns whether a read of a topic may start at an offset."""
        return self._topic(topic).retains(offset)

    def first(self, topic: str) -> int:
        """Returns the oldest offset in the history of a topic."""
        return self._topic(topic).first

    def end(self, topic: str) -> int:
        """Returns the offset that the next record of a topic will get."""
        return len(self._topic(topic).records)

    def _topic(self, topic: str) -> _Topic:
        return self._topics.setdefault(topic, _Topic())

    async def _wait(self, wait_s: float) -> None:
        try:
            async with asyncio.timeout(wait_s):
                await self._changed.wait()
        except TimeoutError:
            return


class KeyedStoreHandler:
    """HTTP handler of the store, with its own faults."""

    def __init__(self, store: KeyedStore) -> None:
        """Initializes a handler without faults.

        Args:
            store: Store that holds the records.
        """
        self.faults = StoreFaults()
        # Topic and wait time in ms of each read whose records were withheld.
        self.withheld_reads: list[tuple[str, int]] = []
        self._store = store

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handles one request."""
        response = await self._handle(request)
        if not self._store.era:
            return response
        headers = {**response.headers, 'store-era': str(self._store.era)}
        return dataclasses.replace(response, headers=headers)

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        await asyncio.sleep(self.faults.delay_ms / MS_PER_S)
        if self.faults.down:
            return json_response({}, HTTPStatus.SERVICE_UNAVAILABLE)
        if request.path == '/log-newest':
            return self._newest(request)
        if request.path == '/log-read':
            return await self._read(request)
        if request.path == '/log-append':
            return await self._append(request)
        return json_response({}, HTTPStatus.NOT_FOUND)

    def _newest(self, request: HttpRequest) -> HttpResponse:
        topic = request.query['topic']
        items = [
            {
                'key': key,
                'value': base64.b64encode(content).decode(),
                'offset': offset,
            }
            for key, (offset, content) in self._store.newest(topic).items()
        ]
        page = {
            'items': items,
            'hasMore': False,
            'end': self._store.end(topic),
        }
        return json_response(page)

    async def _read(self, request: HttpRequest) -> HttpResponse:
        topic = request.query['topic']
        offset = int(request.query['from'])
        if not self._store.retains(topic, offset):
            return self._gone(topic)
        wait_s = int(request.query.get('waitMs', '0')) / MS_PER_S
        if self.faults.withhold_records and offset >= self._store.end(topic):
            self.withheld_reads.append((topic, round(wait_s * MS_PER_S)))
            await asyncio.sleep(wait_s)
            return HttpResponse(HTTPStatus.OK, self._store.bounds(topic))
        body = await self._store.read(topic, offset, wait_s)
        if not self._store.retains(topic, offset):
            return self._gone(topic)
        if self.faults.down:
            return json_response({}, HTTPStatus.SERVICE_UNAVAILABLE)
        whole_bytes = len(body) - self.faults.cut_bytes
        return HttpResponse(HTTPStatus.OK, body[:whole_bytes])

    def _gone(self, topic: str) -> HttpResponse:
        first = {'first': self._store.first(topic)}
        return json_response(first, HTTPStatus.GONE)

    async def _append(self, request: HttpRequest) -> HttpResponse:
        topic = request.query['topic']
        if topic in {OPERATOR_TOPIC, TARGETS_TOPIC}:
            return json_response({}, HTTPStatus.FORBIDDEN)
        offset = self._store.append(topic, request.body[LENGTH_PREFIX.size :])
        if self.faults.lost_append_answers:
            self.faults.lost_append_answers -= 1
            await asyncio.Event().wait()
        return json_response({'offset': offset, 'end': offset + 1})


def _encode_key(key: str) -> bytes:
    name = key.encode()
    return bytes((len(name),)) + name


def _decode_record(record: bytes) -> tuple[str, bytes]:
    key_end = 1 + record[0]
    return record[1:key_end].decode(), record[key_end:]
