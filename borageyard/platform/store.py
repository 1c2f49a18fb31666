"""Client of the platform's store, whose topics are compacted by key."""

import base64
import contextlib
import types
from collections.abc import Mapping, Sequence
from http import HTTPStatus
from typing import Annotated, Any
from urllib.parse import urlencode

from pydantic import BaseModel, ConfigDict, Field

from ..document_validation import DocumentError, check_document, parse_json
from ..events import Event, log_event
from ..failure_domains.evacuations import is_evacuation
from ..field_checks import MAX_DIGITS, Count, parse_count
from ..http_client import HttpCall, HttpCallError, HttpClient, HttpReply
from ..record_history import decode_history, encode_record
from ..shared_table import (
    HistoryLostError,
    PartListener,
    StoreError,
    Table,
    TablePage,
    TableRecord,
)

TOPICS: Mapping[Table, str] = types.MappingProxyType(
    {
        Table.CONFIGURATION: 'keyed.op',
        Table.TARGETS: 'keyed.servers',
        Table.ENTRIES: 'keyed.status',
        Table.VERSIONS: 'keyed.versions',
        # Not compacted: records expire with the history of the store.
        Table.ORIGINS: 'origins',
    },
)
# Key of the operator's topic that holds the configuration.
CONFIGURATION_KEY = 'config'
PARTITION = 0
# Pages of a snapshot at most: three times the records of the planned size, at
# 500 a page.
MAX_PAGES = 32
# Several times the response time of a slow store (fifty times 4 ms). Bounds the
# time to the first part of a response's body, and between two parts: a document
# may be large, and the link of an entry slow.
CALL_TIMEOUT_MS = 700
# Rises by one whenever the store comes back from a copy.
ERA_HEADER = 'store-era'
CALL_HEADERS: Mapping[str, str] = types.MappingProxyType(
    {'accept-encoding': 'identity'},
)


class _Answer(BaseModel):
    model_config = ConfigDict(strict=True)


class _Item(_Answer):
    key: str
    # Base64-encoded value.
    value: str
    offset: Count


class _NewestPage(_Answer):
    # Decoded one by one, so that an odd one costs only itself.
    items: list[Any] = []
    more: Annotated[bool, Field(alias='hasMore')] = False
    end: Count


class _Bounds(_Answer):
    first: Count


class StoreTables:
    """Reads and writes the shared tables over HTTP."""

    def __init__(self, client: HttpClient, address: str) -> None:
        """Creates a client of one store.

        Args:
            client: HTTP client that sends the calls.
            address: Address of the store.
        """
        self._client = client
        self._address = address

    async def snapshot(
        self, table: Table, on_part: PartListener | None = None
    ) -> TablePage:
        """Reads the newest record of each key."""
        page, era = await self._newest(table, {}, on_part)
        end = page.end
        records = _decode_items(table, page)
        for _ in range(MAX_PAGES):
            if not page.more or not page.items:
                break
            page = await self._next_page(table, records, era, on_part)
            records.extend(_decode_items(table, page))
        else:
            raise StoreError(f'snapshot of more than {MAX_PAGES} pages')
        relevant = [one for one in records if _is_relevant(table, one.key)]
        relevant.sort(key=lambda record: record.offset)
        return TablePage(tuple(relevant), end, era)

    async def read(
        self,
        table: Table,
        offset: int,
        wait_ms: float,
        on_part: PartListener | None = None,
    ) -> TablePage:
        """Reads the history of a table from an offset on."""
        query = {
            'topic': TOPICS[table],
            'part': PARTITION,
            'from': offset,
            'waitMs': round(wait_ms),
        }
        reply = await self._call(
            HttpCall(
                self._address,
                'GET',
                f'/log-read?{urlencode(query)}',
                headers=CALL_HEADERS,
                timeout_ms=wait_ms + CALL_TIMEOUT_MS,
                max_gap_ms=CALL_TIMEOUT_MS,
                on_part=on_part,
            ),
        )
        era = _era_of(reply)
        if reply.status == HTTPStatus.GONE:
            first = _decode_first(reply.body)
            raise HistoryLostError(
                f'offset {offset} of {TOPICS[table]} is not in the store, '
                f'whose first one is {first}',
                era,
                restored=first <= offset,
                first=first,
            )
        _require_ok(reply)
        source = TOPICS[table]
        records, end = decode_history(source, offset, reply.body, era)
        relevant = [one for one in records if _is_relevant(table, one.key)]
        return TablePage(tuple(relevant), end, era)

    async def put(self, table: Table, key: str, content: bytes) -> int:
        """Appends a record, which becomes the newest one of its key."""
        query = {'topic': TOPICS[table], 'part': PARTITION}
        reply = await self._call(
            HttpCall(
                self._address,
                'POST',
                f'/log-append?{urlencode(query)}',
                encode_record(key, content),
                headers=CALL_HEADERS,
                timeout_ms=CALL_TIMEOUT_MS,
                repeatable=False,
            ),
        )
        _require_ok(reply)
        return _era_of(reply)

    async def _next_page(
        self,
        table: Table,
        records: Sequence[TableRecord],
        era: int,
        on_part: PartListener | None,
    ) -> _NewestPage:
        """Returns the page of a snapshot that follows some records.

        Raises:
            StoreError: If the store does not answer, or has changed its era.
        """
        if not records:
            raise StoreError('no item to continue a snapshot after', era)
        after = {'after': records[-1].key}
        page, page_era = await self._newest(table, after, on_part)
        if page_era != era:
            raise StoreError(
                f'era {page_era} within a snapshot of era {era}',
                max(era, page_era),
            )
        return page

    async def _newest(
        self,
        table: Table,
        extra_query: Mapping[str, str],
        on_part: PartListener | None,
    ) -> tuple[_NewestPage, int]:
        """Returns a page of a snapshot and the era of the store."""
        query = {'topic': TOPICS[table], 'part': PARTITION, **extra_query}
        reply = await self._call(
            HttpCall(
                self._address,
                'GET',
                f'/log-newest?{urlencode(query)}',
                headers=CALL_HEADERS,
                timeout_ms=CALL_TIMEOUT_MS,
                max_gap_ms=CALL_TIMEOUT_MS,
                on_part=on_part,
            ),
        )
        _require_ok(reply)
        source = TOPICS[table]
        try:
            document = parse_json(reply.body, source)
            newest = check_document(_NewestPage, document, source)
        except DocumentError as error:
            raise StoreError(str(error), _era_of(reply)) from error
        return newest, _era_of(reply)

    async def _call(self, call: HttpCall) -> HttpReply:
        try:
            return await self._client.request(call)
        except HttpCallError as error:
            reason = error.reason
            if error.received_bytes:
                reason = f'{reason} after {error.received_bytes} bytes'
            raise StoreError(reason) from error


def _require_ok(reply: HttpReply) -> None:
    if reply.status != HTTPStatus.OK:
        raise StoreError(
            f'store responded with status {reply.status}', _era_of(reply)
        )


def _era_of(reply: HttpReply) -> int:
    """Returns the era that a response states; 0 if it states none."""
    text = reply.headers.get(ERA_HEADER, '0')
    era = parse_count(text)
    if era is None:
        shown = text[:MAX_DIGITS]
        log_event(Event.PLATFORM_FAILED, reason=f'store states era {shown!r}')
        return 0
    return era


def _decode_items(table: Table, page: _NewestPage) -> list[TableRecord]:
    """Returns the records of a page; an item that can't be read is none."""
    source = f'item of {TOPICS[table]}'
    records = []
    for fields in page.items:
        try:
            item = check_document(_Item, fields, source)
        except DocumentError as error:
            log_event(Event.PLATFORM_FAILED, reason=str(error))
            continue
        content = _decode_value(item.value)
        records.append(TableRecord(item.offset, item.key, content))
    return records


def _decode_value(encoded: str) -> bytes | None:
    """Returns the content of an item; None if its key was removed.

    A value that is no base64 is returned as it is: the decoder of the record
    refuses it.
    """
    decoded = b''
    with contextlib.suppress(ValueError):
        decoded = base64.b64decode(encoded)
    return decoded or encoded.encode() or None


def _decode_first(body: bytes) -> int:
    """Returns the first retained offset of a topic."""
    source = 'bounds of a topic'
    try:
        return check_document(_Bounds, parse_json(body, source), source).first
    except DocumentError as error:
        log_event(Event.PLATFORM_FAILED, reason=str(error))
    return 0


def _is_relevant(table: Table, key: str) -> bool:
    is_configuration = key == CONFIGURATION_KEY or is_evacuation(key)
    return table is not Table.CONFIGURATION or is_configuration
