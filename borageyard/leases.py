"""Control lease in the log: who may give orders, under which number."""

import dataclasses

from .backing_services import LogPage, LogRecord
from .document_validation import DocumentError, check_document
from .events import Event, log_event
from .generated.log_leases import LeaseRecord
from .identifiers import new_identifier
from .permission import waiting_time_ms

LEASE_STREAM = 'leases'
TERM_MS = 3000
# Part of the term after which a holder renews.
RENEW_SHARE = 1 / 3
# Time between two tries of one entry.
TRY_PAUSE_MS = 500
NO_RECORD = -1


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """The lease as the records so far tell it."""

    holder: str
    number: int
    offset: int
    term_ms: int
    read_at_ms: float


class LeaseKeeper:
    """Folds lease records and decides when to append one.

    A record wins if it follows the last winning record, so that two entries
    that append at once can't both win. The fencing number is the offset of
    the record with which the holder took the lease; renewals keep it. The
    holder counts its term from before it sent the record, all others from
    when they read it.
    """

    def __init__(self, holder: str, term_ms: int = TERM_MS) -> None:
        """Starts without a lease.

        Args:
            holder: Name of this entry's incarnation.
            term_ms: Length of a term.
        """
        self.next_offset = 0
        self.lease: Lease | None = None
        self._holder = holder
        self._term_ms = term_ms
        self._sent_at_ms: dict[str, float] = {}
        self._last_try_ms = float('-inf')
        self._until_ms = float('-inf')
        self._since_ms = float('-inf')
        self._unread_ms: float | None = None

    def take(self, page: LogPage, now_ms: float) -> None:
        """Folds records in.

        Args:
            page: Records that follow those taken so far.
            now_ms: Steady time.
        """
        if self._unread_ms is None:
            self._unread_ms = now_ms
        for stored in page.records:
            self._take_record(stored, now_ms)
            self.next_offset = stored.offset + 1

    def skip_to(self, offset: int) -> None:
        """Goes on after records that expired unread."""
        self.next_offset = offset
        self._unread_ms = None
        self.lease = None

    def number(self, now_ms: float) -> int | None:
        """Returns the fencing number while this entry holds the lease."""
        lease = self.lease
        if lease is None or lease.holder != self._holder:
            return None
        return lease.number if now_ms < self._until_ms else None

    def held_since_ms(self) -> float:
        """Returns when this entry took the lease last."""
        return self._since_ms

    def propose(self, now_ms: float) -> LeaseRecord | None:
        """Returns a record to append now, or none.

        Args:
            now_ms: Steady time, just before the append is sent.
        """
        if now_ms < self._last_try_ms + TRY_PAUSE_MS or not self._is_due(
            now_ms
        ):
            return None
        self._last_try_ms = now_ms
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
        if self._unread_ms is None:
            return False
        lease = self.lease
        if lease is None:
            return now_ms >= self._unread_ms + waiting_time_ms(self._term_ms)
        if lease.holder == self._holder:
            renew_ms = self._until_ms - self._term_ms * (1 - RENEW_SHARE)
            return now_ms >= renew_ms
        return now_ms >= lease.read_at_ms + waiting_time_ms(lease.term_ms)

    def _take_record(self, stored: LogRecord, now_ms: float) -> None:
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
            self._note_own(record, now_ms, renewed=renewed)

    def _note_own(
        self,
        record: LeaseRecord,
        now_ms: float,
        *,
        renewed: bool,
    ) -> None:
        sent_at_ms = self._sent_at_ms.pop(record.append_id, None)
        if sent_at_ms is not None:
            self._until_ms = sent_at_ms + record.term_ms
        if not renewed:
            self._since_ms = now_ms
            log_event(Event.LEASE_TAKEN, holder=self._holder)
