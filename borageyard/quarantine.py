"""Quarantine of requests that crash the targets that run them."""

import dataclasses
import enum

CRASHES_TO_QUARANTINE = 2
SUSPECT_MS = 60_000
QUARANTINE_MS = 300_000
MAX_RECORDS = 4096


class QuarantineStatus(enum.Enum):
    """What is thought of a request's digest."""

    CLEAR = 'clear'
    SUSPECT = 'suspect'
    QUARANTINED = 'quarantined'


@dataclasses.dataclass(slots=True)
class CrashRecord:
    """Crashes under one digest."""

    digest: str
    crashes: int
    expires_at_ms: float


class CrashQuarantine:
    """Suspects run alone; only a crash while alone tells on a digest."""

    def __init__(self) -> None:
        """Starts without suspects."""
        self._records: dict[str, CrashRecord] = {}

    @property
    def is_empty(self) -> bool:
        """Tells whether no digest is suspect."""
        return not self._records

    def status(self, digest: str, now_ms: float) -> QuarantineStatus:
        """Returns what is thought of a digest.

        Args:
            digest: Digest of a request.
            now_ms: Steady time.
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
        """Returns how long the standing of a digest lasts."""
        record = self._records.get(digest)
        return record.expires_at_ms - now_ms if record else 0

    def note_crash(self, digest: str, now_ms: float, *, alone: bool) -> None:
        """Takes in that a target died while it ran a request.

        Args:
            digest: Digest of the request.
            now_ms: Steady time.
            alone: Whether it ran there alone, as a suspect.
        """
        known = self._records.get(digest) is not None
        crashes = CRASHES_TO_QUARANTINE if known and alone else 1
        self._raise_crashes(digest, crashes, now_ms)

    def note_finished(self, digest: str) -> None:
        """Clears a suspect that ran to its end.

        Args:
            digest: Digest of the request.
        """
        record = self._records.get(digest)
        if record is not None and record.crashes < CRASHES_TO_QUARANTINE:
            self._records.pop(digest)

    def records(self, now_ms: float) -> list[CrashRecord]:
        """Returns what peers should know.

        Args:
            now_ms: Steady time.
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
        left_ms: float,
        now_ms: float,
    ) -> None:
        """Takes in what a peer knows.

        Args:
            digest: Digest of a request.
            crashes: How many crashes count against it.
            left_ms: How long that lasts.
            now_ms: Steady time.
        """
        record = self._records.get(digest)
        if record is None or record.crashes < crashes:
            expires_at_ms = now_ms + min(left_ms, QUARANTINE_MS)
            self._store(CrashRecord(digest, crashes, expires_at_ms))

    def _raise_crashes(self, digest: str, crashes: int, now_ms: float) -> None:
        record = self._records.get(digest)
        max_crashes = max(crashes, record.crashes if record else 0)
        ttl_ms = SUSPECT_MS
        if max_crashes >= CRASHES_TO_QUARANTINE:
            ttl_ms = QUARANTINE_MS
        self._store(CrashRecord(digest, max_crashes, now_ms + ttl_ms))

    def _store(self, record: CrashRecord) -> None:
        self._records.pop(record.digest, None)
        if len(self._records) >= MAX_RECORDS:
            oldest = next(iter(self._records))
            self._records.pop(oldest)
        self._records[record.digest] = record
