"""Copy of a table of the shared store, as far as it was read."""

from collections.abc import Sequence

from .shared_table import TablePage, TableRecord


class TableMirror:
    """Newest record of each key, in the order of offsets.

    Dropped keys are kept as records without content, so that a peer which
    could not read the store learns of them too.
    """

    def __init__(self) -> None:
        """Starts empty, before the first offset."""
        self.end = 0
        self._records: dict[str, TableRecord] = {}

    def apply(self, page: TablePage) -> Sequence[TableRecord]:
        """Takes in records of the history.

        Args:
            page: Records from the end of this copy on, or earlier.

        Returns:
            The records that were new.
        """
        fresh = [record for record in page.records if self._is_new(record)]
        for record in fresh:
            self._records[record.key] = record
        self.end = max(self.end, page.end)
        return fresh

    def replace(self, page: TablePage) -> Sequence[TableRecord]:
        """Takes in a snapshot; keys that it lacks were dropped before it.

        Args:
            page: The newest record of each key.

        Returns:
            The records that were new.
        """
        named = {record.key for record in page.records}
        dropped = [
            TableRecord(page.end - 1, key, None)
            for key, known in self._records.items()
            if key not in named
            and known.content is not None
            and known.offset < page.end
        ]
        return self.apply(TablePage((*dropped, *page.records), page.end))

    def since(self, offset: int) -> TablePage:
        """Returns what is new from an offset on.

        Args:
            offset: End of another copy.
        """
        newer = [
            record
            for record in self._records.values()
            if record.offset >= offset
        ]
        newer.sort(key=lambda record: record.offset)
        return TablePage(tuple(newer), self.end)

    def records(self) -> Sequence[TableRecord]:
        """Returns the newest record of each key that was not dropped."""
        return tuple(
            record
            for record in self._records.values()
            if record.content is not None
        )

    def _is_new(self, record: TableRecord) -> bool:
        known = self._records.get(record.key)
        return known is None or record.offset > known.offset
