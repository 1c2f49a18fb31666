"""Entries that the shared store lists."""

from collections.abc import Sequence

from .document_validation import check_document, parse_json
from .field_checks import (
    MAX_INTEGER,
    field_error,
    require_address,
    require_name,
    require_token,
)
from .generated.peer_fleet import EntryPresenceBody
from .refused_records import RefusedRecords
from .shared_table import Table, TableRecord
from .table_mirror import TableMirror


class EntryPresences:
    """Decodes each record of the entries once."""

    def __init__(self, mirror: TableMirror, refused: RefusedRecords) -> None:
        """Starts without a record.

        Args:
            mirror: Copy of the table of entries.
            refused: Told of records that can't be used.
        """
        self._mirror = mirror
        self._refused = refused
        # None for a record that can't be used.
        self._known: dict[TableRecord, EntryPresenceBody | None] = {}

    def listed(self) -> Sequence[EntryPresenceBody]:
        """Returns the entries of the present records."""
        known = self._known
        self._known = {
            record: known[record] if record in known else self._decode(record)
            for record in self._mirror.records()
        }
        return [found for found in self._known.values() if found]

    def _decode(self, record: TableRecord) -> EntryPresenceBody | None:
        with self._refused.skipping(Table.ENTRIES, record):
            return decode_presence(record)
        return None


def decode_presence(record: TableRecord) -> EntryPresenceBody:
    """Returns the entry that a record of the entries describes.

    Args:
        record: Record with content.

    Raises:
        DocumentError: If the record is malformed.
    """
    document = parse_json(record.content or b'', record.key)
    presence = check_document(EntryPresenceBody, document, record.key)
    try:
        _require_sound(presence)
    except ValueError as error:
        raise field_error(record.key, 'presence', error) from error
    return presence


def _require_sound(presence: EntryPresenceBody) -> None:
    """Raises ValueError if a field can't be used or passed on."""
    require_token(presence.instance_id)
    require_name(presence.failure_domain)
    require_address(presence.peer_address)
    if presence.incarnation > MAX_INTEGER:
        raise ValueError(f'incarnation {presence.incarnation} is too large')
