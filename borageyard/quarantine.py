"""Quarantine of requests that crash the targets that run them."""

import dataclasses
import enum

CRASHES_TO_QUARANTINE = 2
SUSPECT_TTL_MS = 60_000
QUARANTINE_MS = 300_000
MAX_RECORDS = 4096


class QuarantineStatus(enum.Enum):
    """Quarantine status of a request digest."""

    CLEAR = 'clear'
    SUSPECT = 'suspect'
    QUARANTINED = 'quarantined'


@dataclasses.dataclass(slots=True)
class CrashRecord:
    """Crashes that count against one digest."""

    digest: str
    crashes: int
    expires_at_ms: float


class CrashQuarantine:
    """Quarantines digests of requests that crash targets.

    After a crash a digest is suspect and its requests run in isolation. Only
    a crash in isolation quarantines it, because otherwise several requests may
    run on the target and the one that caused the crash is unknown.
    """

    def __init__(self) -> None:
        """Starts without suspects."""
        self._records: dict[str, CrashRecord] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no digest is suspect or quarantined."""
        return not self._records

    def status(self, digest: str, now_ms: float) -> QuarantineStatus:
        """Returns the status of a digest, dropping an expired record.

        Args:
            digest: Digest of a request.
            now_ms: Monotonic time.
        """
        record = self._records.get(digest)
        if record is None:
            return QuarantineStatus.CLEAR
        if record.expires_at_ms <= now_ms:
            self._records.pop(digest)
            return QuarantineStatus.CLEAR
        if record.crashes < CRASHES_TO_QUARANTINE:
            return QuarantineStatus.SUSPECT
        return QuarantineStatus.QUARANTINED

    def remaining_ms(self, digest: str, now_ms: float) -> float:
        """Returns the time until a digest's record expires; 0 without one."""
        record = self._records.get(digest)
        return record.expires_at_ms - now_ms if record else 0

    def note_crash(self, digest: str, now_ms: float, *, isolated: bool) -> None:
        """Records that a target crashed while it ran a request.

        Args:
            digest: Digest of the request.
            now_ms: Monotonic time.
            isolated: Whether it ran there in isolation, as a suspect.
        """
        recorded = self._records.get(digest) is not None
        crashes = CRASHES_TO_QUARANTINE if recorded and isolated else 1
        self._record_crashes(digest, crashes, now_ms)

    def note_finished(self, digest: str) -> None:
        """Clears a suspect that ran to completion.

        Args:
            digest: Digest of the request.
        """
        record = self._records.get(digest)
        if record is not None and record.crashes < CRASHES_TO_QUARANTINE:
            self._records.pop(digest)

    def records(self, now_ms: float) -> list[CrashRecord]:
        """Returns the unexpired records, to be sent to peers.

        Args:
            now_ms: Monotonic time.
        """
        return [
            record
            for record in self._records.values()
            if record.expires_at_ms > now_ms
        ]

    def merge(
        self,
        digest: str,
        crashes: int,
        remaining_ms: float,
        now_ms: float,
    ) -> None:
        """Stores a peer's record if it counts more crashes than the local one.

        Args:
            digest: Digest of a request.
            crashes: Number of crashes that count against it.
            remaining_ms: Time until the peer's record expires, capped at
                ``QUARANTINE_MS``.
            now_ms: Monotonic time.
        """
        record = self._records.get(digest)
        if record is None or record.crashes < crashes:
            expires_at_ms = now_ms + min(remaining_ms, QUARANTINE_MS)
            self._store(CrashRecord(digest, crashes, expires_at_ms))

    def _record_crashes(self, digest: str, crashes: int, now_ms: float) -> None:
        record = self._records.get(digest)
        max_crashes = max(crashes, record.crashes if record else 0)
        ttl_ms = SUSPECT_TTL_MS
        if max_crashes >= CRASHES_TO_QUARANTINE:
            ttl_ms = QUARANTINE_MS
        self._store(CrashRecord(digest, max_crashes, now_ms + ttl_ms))

    def _store(self, record: CrashRecord) -> None:
        self._records.pop(record.digest, None)
        if len(self._records) >= MAX_RECORDS:
            oldest = next(iter(self._records))
            self._records.pop(oldest)
        self._records[record.digest] = record
