"""Pages of a table in pieces, for entries whose links are slow or shared."""

import hashlib
import math

from .generated.peer_fleet import (
    TableRecordBody,
    TableReplyBody,
    TableRequestBody,
)
from .shared_table import UNPLACED, Table, TablePage, TableRecord

DIGEST_BYTES = 16
# Largest content that is put together: no store of the users takes more in one
# call.
MAX_CONTENT_BYTES = 8_388_608
# Records beside the configuration that are never cut or left out.
SMALL_BYTES = 64


class PieceError(Exception):
    """Parts of a content do not belong together."""


def content_digest(content: bytes) -> str:
    """Returns the digest that parts of a content carry."""
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).hexdigest()


def cut_page(page: TablePage, request: TableRequestBody) -> TableReplyBody:
    """Returns as much of a page as a peer asked for.

    Args:
        page: Records by offset, those without one first.
        request: Size limit, and which content has arrived in part.
    """
    cutter = _PageCutter(request)
    for record in page.records:
        if not cutter.add(record):
            return TableReplyBody(
                records=cutter.bodies,
                end=max(record.offset, 0),
                era=page.era,
                more=True,
            )
    return TableReplyBody(records=cutter.bodies, end=page.end, era=page.era)


class _PageCutter:
    """Adds records to a reply until its size is reached."""

    def __init__(self, request: TableRequestBody) -> None:
        self.bodies: list[TableRecordBody] = []
        self._request = request
        self._left_bytes: float = request.max_bytes or math.inf
        # The configuration is asked for from the start until its document is
        # whole, so other records must not keep that from being cut.
        is_configuration = request.table == Table.CONFIGURATION.value
        self._restarts = is_configuration and not request.offset

    def add(self, record: TableRecord) -> bool:
        """Returns whether all of a record that the peer lacks was added."""
        size_bytes = len(record.content or b'')
        if size_bytes <= self._left_bytes or self._is_indivisible(record):
            self._left_bytes -= size_bytes
            self.bodies.append(_whole_record(record))
            return True
        if self.bodies and not self._may_cut_next():
            return False
        part = _cut_record(record, self._request)
        self.bodies.append(part)
        self._left_bytes = 0
        return part.start + len(part.content) == size_bytes

    def _is_indivisible(self, record: TableRecord) -> bool:
        if self._restarts:
            return len(record.content or b'') <= SMALL_BYTES
        # Records without an offset can't be asked for separately.
        return bool(self.bodies) and record.offset == UNPLACED

    def _may_cut_next(self) -> bool:
        """Returns whether a part may follow: a reply contains one at most."""
        return self._restarts and not any(body.digest for body in self.bodies)


class PieceAssembly:
    """Puts the parts of one content together, whoever sends them."""

    def __init__(self) -> None:
        """Starts without a part."""
        # Digest of the content; empty while no part has arrived.
        self.digest = ''
        self._content = bytearray()

    @property
    def received_bytes(self) -> int:
        """Position from which the content is missing."""
        return len(self._content)

    def add(self, body: TableRecordBody) -> TableRecord | None:
        """Adds a record or a part of one.

        Args:
            body: What a peer sent.

        Returns:
            The record, or None while parts are missing.

        Raises:
            PieceError: If the part does not fit those before; all are dropped.
        """
        if not body.digest:
            content = None if body.dropped else body.content
            return TableRecord(body.offset, body.key, content)
        if body.digest != self.digest:
            self.clear()
            self.digest = body.digest
        self._require_next(body)
        self._content += body.content
        if len(self._content) < body.size_bytes:
            return None
        whole = bytes(self._content)
        self.clear()
        if content_digest(whole) != body.digest:
            raise PieceError(f'record {body.key} has another digest')
        return TableRecord(body.offset, body.key, whole)

    def clear(self) -> None:
        """Drops all parts."""
        self.digest = ''
        self._content.clear()

    def _require_next(self, body: TableRecordBody) -> None:
        position = len(self._content)
        end = body.start + len(body.content)
        follows = body.start == position and body.content
        if not follows or not end <= body.size_bytes <= MAX_CONTENT_BYTES:
            self.clear()
            raise PieceError(
                f'bytes {body.start} to {end} of {body.size_bytes} of record '
                f'{body.key} after {position}'
            )


def _whole_record(record: TableRecord) -> TableRecordBody:
    return TableRecordBody(
        offset=record.offset,
        key=record.key,
        content=record.content or b'',
        dropped=record.content is None,
    )


def _cut_record(
    record: TableRecord, request: TableRequestBody
) -> TableRecordBody:
    """Returns the part that the peer lacks, or the first one."""
    content = record.content or b''
    digest = content_digest(content)
    start = request.start if request.digest == digest else 0
    return TableRecordBody(
        offset=record.offset,
        key=record.key,
        content=content[start : start + request.max_bytes],
        digest=digest,
        start=start,
        size_bytes=len(content),
    )
