"""Codec of keyed records in the history of a shared table.

A history is its end and first offset, then records with their lengths; a
record is the length of its key, the key and the content.
"""

import struct
from collections.abc import Sequence

from .shared_table import HistoryLostError, StoreError, TableRecord

HISTORY_BOUNDS = struct.Struct('>QQ')
LENGTH_PREFIX = struct.Struct('>I')


def encode_record(key: str, content: bytes) -> bytes:
    """Returns a record with its length.

    Args:
        key: Key of the record.
        content: Its content; empty to remove the key.
    """
    name = key.encode()
    record = bytes((len(name),)) + name + content
    return LENGTH_PREFIX.pack(len(record)) + record


def decode_history(
    source: str, offset: int, body: bytes, era: int
) -> tuple[Sequence[TableRecord], int]:
    """Decodes the whole records of a history.

    Args:
        source: Name of the history in errors.
        offset: Offset of the first record.
        body: Encoded history.
        era: Era of the store.

    Returns:
        The records, and the offset after them.

    Raises:
        StoreError: If the body is malformed.
        HistoryLostError: If no record can be read from the offset on.
    """
    total_bytes = len(body)
    if total_bytes < HISTORY_BOUNDS.size:
        raise StoreError(
            f'history of {total_bytes} bytes, expected at least '
            f'{HISTORY_BOUNDS.size}',
            era,
        )
    end, _ = HISTORY_BOUNDS.unpack_from(body)
    if end < offset:
        raise HistoryLostError(
            f'{source} ends at {end}, before offset {offset}',
            era,
            restored=True,
        )
    records: list[TableRecord] = []
    position = HISTORY_BOUNDS.size
    while position + LENGTH_PREFIX.size <= total_bytes:
        size_bytes = LENGTH_PREFIX.unpack_from(body, position)[0]
        record_end = position + LENGTH_PREFIX.size + size_bytes
        if record_end > total_bytes:
            break
        raw = body[position + LENGTH_PREFIX.size : record_end]
        records.append(_decode_record(offset, raw))
        position = record_end
        offset += 1
    if not records and total_bytes > position:
        # A history that is cut within its first record is read as a snapshot.
        raise HistoryLostError(
            f'record {offset} of {source} is cut off',
            era,
            restored=False,
            first=offset,
        )
    return records, offset


def _decode_record(offset: int, raw: bytes) -> TableRecord:
    key_end = 1 + raw[0] if raw else 0
    key = raw[1:key_end].decode('utf-8', 'replace')
    return TableRecord(offset, key, raw[key_end:] or None)
