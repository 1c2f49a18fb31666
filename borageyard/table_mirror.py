"""Local copy of a table of the shared store, as far as it was read."""

import dataclasses
import math
from collections.abc import Callable, Collection, Sequence

from .shared_table import UNPLACED, TablePage, TableRecord

# Returns what orders the contents of a key over eras: its writer raises it
# with each content. Empty if the content is malformed.
RevisionOf = Callable[[TableRecord], tuple[int, ...]]


class TableMirror:
    """The newest record of each key.

    Removed keys are kept as records without content (tombstones), so that a
    peer that could not read the store learns of the removals too.

    Designed for a store that is restored from a copy some seconds old: offsets
    order the records of one era only, so what is known from an earlier one is
    kept and gives way to a higher revision.
    """

    def __init__(
        self,
        revision_of: RevisionOf | None = None,
        *,
        is_ordered_by_revision: Callable[[str], bool] | None = None,
        is_ordered_by_offset: Callable[[str], bool] | None = None,
    ) -> None:
        """Initializes an empty copy that ends before the first offset.

        Args:
            revision_of: Returns the revision of a record with content; by
                default no record of another era replaces a known one.
            is_ordered_by_revision: Tells by the key whether a record with a
                lower revision never replaces one with a higher one, not even
                in one era: a write may be carried out late, after those that
                follow it.
            is_ordered_by_offset: Tells by the key whether records have no
                revisions. Any record of the present era replaces one that is
                known from an earlier era only.
        """
        self._is_ordered_by_revision = is_ordered_by_revision or _is_never
        self._is_ordered_by_offset = is_ordered_by_offset or _is_never
        self.era = 0
        self.end = 0
        # Monotonic time at which the last read of the store began.
        self.read_at_ms: float = -math.inf
        self._revision_of = revision_of or _without_revision
        self._records: dict[str, TableRecord] = {}
        # Last records with content of the keys that were removed.
        self._removed: dict[str, TableRecord] = {}

    def restart(self, era: int) -> None:
        """Starts over in another era; all records stay known.

        Args:
            era: Present era of the store.
        """
        self.era = era
        self.end = 0
        self._records = {
            key: dataclasses.replace(record, offset=UNPLACED)
            for key, record in self._records.items()
        }

    def apply(self, page: TablePage) -> Sequence[TableRecord]:
        """Applies records of the history.

        Args:
            page: Records from the end of this copy on, or from an earlier
                offset. Offsets of an earlier era are disregarded.

        Returns:
            The records that were new.
        """
        if page.era > self.era:
            self.restart(page.era)
        records: Sequence[TableRecord] = page.records
        if page.era < self.era:
            records = [
                dataclasses.replace(record, offset=UNPLACED)
                for record in records
            ]
        else:
            self.end = max(self.end, page.end)
        return [record for record in records if self._adopt(record)]

    def replace(self, page: TablePage) -> Sequence[TableRecord]:
        """Applies a snapshot; keys that it lacks were removed before it.

        Keys known from an earlier era only are kept: the store may have lost
        them.

        Args:
            page: The newest record of each key.

        Returns:
            The records that were new.
        """
        if page.era > self.era:
            self.restart(page.era)
        present_keys = {record.key for record in page.records}
        dropped = [
            TableRecord(page.end - 1, key, None)
            for key, existing in self._records.items()
            if key not in present_keys
            and existing.content is not None
            and UNPLACED < existing.offset < page.end
        ]
        return self.apply(
            TablePage((*dropped, *page.records), page.end, page.era)
        )

    def unplaced_keys(self) -> Collection[str]:
        """Returns the keys whose records are known from earlier eras only."""
        return [
            key
            for key, record in self._records.items()
            if record.content is not None and record.offset == UNPLACED
        ]

    def drop(self, keys: Collection[str]) -> Sequence[TableRecord]:
        """Drops keys that were not written again.

        Args:
            keys: Keys to drop; those written again meanwhile are kept.

        Returns:
            The tombstones.
        """
        unplaced = frozenset(self.unplaced_keys())
        offset = max(self.end - 1, 0)
        dropped = tuple(
            TableRecord(offset, key, None) for key in keys if key in unplaced
        )
        return self.apply(TablePage(dropped, self.end, self.era))

    def since(self, offset: int, era: int = 0) -> TablePage:
        """Returns the newest records from an offset on, tombstones included.

        Args:
            offset: End of another copy; 0 for all records.
            era: Era of the other copy; all records are returned if it is
                another one.
        """
        everything = not offset or era != self.era
        newer = [
            record
            for record in self._records.values()
            if everything or record.offset >= offset
        ]
        newer.sort(key=lambda record: record.offset)
        return TablePage(tuple(newer), self.end, self.era)

    def records(self) -> Sequence[TableRecord]:
        """Returns the newest record of each key that was not removed."""
        return tuple(
            record
            for record in self._records.values()
            if record.content is not None
        )

    def _adopt(self, record: TableRecord) -> bool:
        """Adopts a record if it is new; returns whether it is."""
        existing = self._records.get(record.key)
        if existing is not None and not self._is_new(record, existing):
            if record.offset > existing.offset and self._is_same(
                record, existing
            ):
                self._records[record.key] = dataclasses.replace(
                    existing, offset=record.offset
                )
            return False
        if record.content is not None:
            self._removed.pop(record.key, None)
        elif existing is not None and existing.content is not None:
            self._removed[record.key] = existing
        self._records[record.key] = record
        return True

    def _is_new(self, record: TableRecord, existing: TableRecord) -> bool:
        placed = UNPLACED not in {record.offset, existing.offset}
        if placed and not self._is_revision_decisive(record, existing):
            return record.offset > existing.offset
        if record.content is None or self._is_ordered_by_offset(record.key):
            # Only a record of the present era is certain to be the later one.
            return record.offset > existing.offset
        last = self._removed.get(record.key, existing)
        if last.content is None:
            return True
        return self._revision_of(record) > self._revision_of(last)

    def _is_revision_decisive(
        self, record: TableRecord, existing: TableRecord
    ) -> bool:
        """Returns whether revisions, not offsets, order two records."""
        removal = record.content is None or existing.content is None
        return not removal and self._is_ordered_by_revision(record.key)

    def _is_same(self, record: TableRecord, existing: TableRecord) -> bool:
        """Returns whether a record states what an earlier era did."""
        if record.content is None or existing.content is None:
            return False
        return self._revision_of(record) == self._revision_of(existing)


def _without_revision(record: TableRecord) -> tuple[int, ...]:
    return ()


def _is_never(key: str) -> bool:
    return False
