"""Records of the shared store that can't be used."""

import collections
import contextlib
from collections.abc import Iterator

from .document_validation import DocumentError, failure_of_decoder
from .events import Event, log_event
from .shared_table import Table, TableRecord


class RefusedRecords:
    """Counts the records that can't be used, and logs each of them once.

    Designed for records of other writers, which stay in the store: each read
    may meet them again.
    """

    def __init__(self) -> None:
        """Starts without a record."""
        # Number of records by table.
        self.counts: collections.Counter[str] = collections.Counter()
        # Hash of the last refused content of each key.
        self._contents: dict[tuple[Table, str], int] = {}

    @contextlib.contextmanager
    def skipping(self, table: Table, record: TableRecord) -> Iterator[None]:
        """Ends the decoding of a record that can't be used, without an error.

        Args:
            table: Table of the record.
            record: Record that is decoded within the context.
        """
        try:
            yield
        except Exception as error:
            self.note(table, record, error)

    def note(self, table: Table, record: TableRecord, error: Exception) -> None:
        """Counts and logs a record, unless it was noted before.

        Args:
            table: Table of the record.
            record: Record that can't be used.
            error: Any error of its decoder.
        """
        key = (table, record.key)
        content_hash = hash(record.content)
        if self._contents.get(key) == content_hash:
            return
        self._contents[key] = content_hash
        self.counts[table.value] += 1
        if not isinstance(error, DocumentError):
            source = f'record {record.key} of {table.value}'
            error = failure_of_decoder(source, error)
        reason = str(error)
        if table is Table.CONFIGURATION:
            log_event(Event.CONFIGURATION_REJECTED, reason=reason)
        elif table is Table.TARGETS:
            log_event(
                Event.TARGET_RECORD_INVALID,
                target_id=record.key,
                reason=reason,
            )
        else:
            log_event(Event.PLATFORM_FAILED, reason=reason)
