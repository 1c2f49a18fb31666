"""Client of the platform's store, whose topics are compacted by key."""

import dataclasses
import functools
import types
from collections.abc import Mapping
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
)
from ..snapshot_pages import SnapshotPage, read_snapshot

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


class _NewestPage(_Answer):
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
        read_page = functools.partial(self._read_page, table, on_part)
        page = await read_snapshot(TOPICS[table], read_page)
        relevant = [one for one in page.records if _is_relevant(table, one.key)]
        return dataclasses.replace(page, records=tuple(relevant))

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

    async def _read_page(
        self, table: Table, on_part: PartListener | None, after: str
    ) -> SnapshotPage:
        """Returns the page of a snapshot that follows a key."""
        query = {'topic': TOPICS[table], 'part': PARTITION}
        if after:
            query['after'] = after
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
        era = _era_of(reply)
        try:
            document = parse_json(reply.body, source)
            newest = check_document(_NewestPage, document, source)
        except DocumentError as error:
            raise StoreError(str(error), era) from error
        return SnapshotPage(newest.items, newest.more, newest.end, era)

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
