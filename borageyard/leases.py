"""Control lease in the log: who may send orders, with a fencing number."""

import dataclasses

from .backing_services import LogPage, LogRecord
from .document_validation import DocumentError, check_document
from .events import Event, log_event
from .generated.log_leases import LeaseRecord
from .identifiers import new_identifier
from .permission import drift_safe_wait_ms

LEASE_STREAM = 'leases'
TERM_MS = 3000
# Share of the term after which the holder renews the lease.
RENEW_AFTER_SHARE = 1 / 3
# Least time between two proposals of one entry.
MIN_PROPOSAL_INTERVAL_MS = 500
NO_RECORD = -1


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """The lease after the records folded so far."""

    holder: str
    number: int
    offset: int
    term_ms: int
    read_at_ms: float


class LeaseManager:
    """Folds lease records and decides when to append one.

    A record takes effect if its ``follows`` is the offset of the last record
    that took effect, so that only one of two concurrent appends does. The
    fencing number is the offset of the record with which the holder acquired
    the lease; renewals keep it. The holder measures its term from before it
    sent the record, all others from when they read it, so it stops relying on
    the lease before another entry may acquire it.
    """

    def __init__(self, holder: str, term_ms: int = TERM_MS) -> None:
        """Creates the state before the first record.

        Args:
            holder: Name of this entry's incarnation.
            term_ms: Length of a lease term.
        """
        self.next_offset = 0
        self.lease: Lease | None = None
        self._holder = holder
        self._term_ms = term_ms
        self._sent_at_ms: dict[str, float] = {}
        self._last_proposal_ms = float('-inf')
        self._expires_at_ms = float('-inf')
        self._held_since_ms = float('-inf')
        self._reading_since_ms: float | None = None

    def fold_page(self, page: LogPage, now_ms: float) -> None:
        """Folds a page of records.

        Args:
            page: Records that follow those folded so far.
            now_ms: Monotonic time.
        """
        if self._reading_since_ms is None:
            self._reading_since_ms = now_ms
        for stored in page.records:
            self._fold_record(stored, now_ms)
            self.next_offset = stored.offset + 1

    def skip_to(self, offset: int) -> None:
        """Continues after records that expired before they were read.

        The lease is unknown then, and a full term has to pass before this
        entry proposes one.

        Args:
            offset: Offset of the oldest record that the log still holds.
        """
        self.next_offset = offset
        self._reading_since_ms = None
        self.lease = None

    def fencing_number(self, now_ms: float) -> int | None:
        """Returns the fencing number, or none unless the lease is held here."""
        lease = self.lease
        if lease is None or lease.holder != self._holder:
            return None
        return lease.number if now_ms < self._expires_at_ms else None

    def held_since_ms(self) -> float:
        """Returns when this entry last acquired the lease."""
        return self._held_since_ms

    def propose(self, now_ms: float) -> LeaseRecord | None:
        """Returns a record to append now, or none if none is due.

        Args:
            now_ms: Monotonic time just before the append is sent; the term
                of this entry runs from it.
        """
        if (
            now_ms < self._last_proposal_ms + MIN_PROPOSAL_INTERVAL_MS
            or not self._is_due(now_ms)
        ):
            return None
        self._last_proposal_ms = now_ms
        append_id = new_identifier()
        self._sent_at_ms = {append_id: now_ms}
        return LeaseRecord(
            type='lease',
            holder=self._holder,
            append_id=append_id,
            follows=self.lease.offset if self.lease else NO_RECORD,
            term_ms=self._term_ms,
        )

    def _is_due(self, now_ms: float) -> bool:
        if self._reading_since_ms is None:
            return False
        lease = self.lease
        if lease is None:
            return now_ms >= self._reading_since_ms + drift_safe_wait_ms(
                self._term_ms
            )
        if lease.holder == self._holder:
            renew_ms = self._expires_at_ms - self._term_ms * (
                1 - RENEW_AFTER_SHARE
            )
            return now_ms >= renew_ms
        return now_ms >= lease.read_at_ms + drift_safe_wait_ms(lease.term_ms)

    def _fold_record(self, stored: LogRecord, now_ms: float) -> None:
        try:
            record = check_document(LeaseRecord, dict(stored.body), 'lease')
        except DocumentError as error:
            log_event(Event.LEASE_MALFORMED, reason=str(error))
            return
        lease = self.lease
        if lease is not None and record.follows != lease.offset:
            return
        renewed = lease is not None and lease.holder == record.holder
        self.lease = Lease(
            holder=record.holder,
            number=lease.number if lease and renewed else stored.offset,
            offset=stored.offset,
            term_ms=record.term_ms,
            read_at_ms=now_ms,
        )
        if record.holder == self._holder:
            self._note_own_record(record, now_ms, renewed=renewed)

    def _note_own_record(
        self,
        record: LeaseRecord,
        now_ms: float,
        *,
        renewed: bool,
    ) -> None:
        sent_at_ms = self._sent_at_ms.pop(record.append_id, None)
        if sent_at_ms is not None:
            self._expires_at_ms = sent_at_ms + record.term_ms
        if not renewed:
            self._held_since_ms = now_ms
            log_event(Event.LEASE_TAKEN, holder=self._holder)
