"""Snapshots of shared tables, whose pages the store encodes in JSON."""

import base64
import contextlib
import dataclasses
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

from pydantic import BaseModel, ConfigDict

from .document_validation import DocumentError, check_document
from .events import Event, log_event
from .field_checks import Count
from .shared_table import StoreError, TablePage, TableRecord

# Pages of a snapshot at most: three times the records of the planned size, at
# 500 a page.
MAX_PAGES = 32


class SnapshotItem(BaseModel):
    """Newest record of a key, as the store states it."""

    model_config = ConfigDict(strict=True)

    key: str
    # Base64-encoded content.
    value: str
    offset: Count


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotPage:
    """A page whose items are not decoded yet."""

    items: Sequence[Any]
    # Whether another page follows after the last key.
    more: bool
    end: int
    era: int


# Reads the page after a key; the first one if it is empty.
PageReader = Callable[[str], Awaitable[SnapshotPage]]


async def read_snapshot(source: str, read_page: PageReader) -> TablePage:
    """Reads all pages of a snapshot.

    Args:
        source: Name of the table in errors.
        read_page: Reads one page.

    Returns:
        The records by their offsets, the end of the table at the first page,
        and the era.

    Raises:
        StoreError: If a page can't be read, or the pages don't belong together.
    """
    page = await read_page('')
    end, era = page.end, page.era
    records = decode_items(source, page.items)
    for _ in range(MAX_PAGES):
        if not page.more or not page.items:
            break
        if not records:
            raise StoreError('no item to continue a snapshot after', era)
        page = await read_page(records[-1].key)
        _require_era(page, era)
        records.extend(decode_items(source, page.items))
    else:
        raise StoreError(f'snapshot of more than {MAX_PAGES} pages')
    records.sort(key=lambda record: record.offset)
    return TablePage(tuple(records), end, era)


def _require_era(page: SnapshotPage, era: int) -> None:
    if page.era != era:
        raise StoreError(
            f'era {page.era} within a snapshot of era {era}',
            max(era, page.era),
        )


def decode_items(source: str, items: Sequence[Any]) -> list[TableRecord]:
    """Returns the records of a page; an item that can't be read is none.

    Args:
        source: Name of the table in errors.
        items: Items of the page.
    """
    records = []
    for fields in items:
        try:
            item = check_document(SnapshotItem, fields, f'item of {source}')
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
