"""Checkpoints, which copy claims to the head before retention ends."""

import dataclasses

from .claim_records import (
    BatchItem,
    encode_claim,
    encode_recorded_outcome,
)
from .claims import ClaimFold, KeyState
from .generated.log_claims import CheckpointRecord, VoidRecord

MAX_PART_ITEMS = 256
KEPT_CHECKPOINTS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class CheckpointSpan:
    """Keys and records that a complete checkpoint covers.

    It holds every key created since `keys_from_ms`, with what the records
    before `through_offset` say about it.
    """

    checkpoint_id: str
    through_offset: int
    keys_from_ms: float


def build_checkpoint(
    span: CheckpointSpan,
    fold: ClaimFold,
) -> list[list[BatchItem]]:
    """Returns the parts of a checkpoint, each for one append.

    Args:
        span: Keys and records to cover; the fold must include all of them.
        fold: State of the keys.
    """
    items: list[BatchItem] = []
    for key, state in fold.keys_from(span.keys_from_ms).items():
        items.extend(_key_records(key, state))
    starts = range(0, max(len(items), 1), MAX_PART_ITEMS)
    return [
        [
            *items[start : start + MAX_PART_ITEMS],
            CheckpointRecord(
                checkpoint_id=span.checkpoint_id,
                part=part,
                parts=len(starts),
                through_offset=span.through_offset,
                keys_from_ms=span.keys_from_ms,
            ),
        ]
        for part, start in enumerate(starts)
    ]


class CheckpointTracker:
    """Tracks which checkpoints have been read completely."""

    def __init__(self) -> None:
        """Creates a tracker without checkpoints."""
        self._parts: dict[str, set[int]] = {}
        self._complete: list[CheckpointSpan] = []
        self.latest_at_ms: float = 0

    def add_part(self, record: CheckpointRecord, appended_at_ms: float) -> None:
        """Adds a part of a checkpoint.

        Args:
            record: Part that has been read.
            appended_at_ms: Time of its append by the log's clock, in
                milliseconds.
        """
        parts = self._parts.setdefault(record.checkpoint_id, set())
        if record.part in parts:
            return
        parts.add(record.part)
        if len(parts) < record.parts:
            return
        span = CheckpointSpan(
            checkpoint_id=record.checkpoint_id,
            through_offset=record.through_offset,
            keys_from_ms=record.keys_from_ms,
        )
        self._complete.append(span)
        self._complete.sort(key=_through_offset)
        for dropped in self._complete[:-KEPT_CHECKPOINTS]:
            self._parts.pop(dropped.checkpoint_id, None)
        self._complete = self._complete[-KEPT_CHECKPOINTS:]
        self.latest_at_ms = max(self.latest_at_ms, appended_at_ms)

    def keys_from_ms(self, first_offset: int) -> float | None:
        """Returns the creation time from which checkpoints cover all keys.

        Args:
            first_offset: Offset from which on all records have been read.

        Returns:
            The time in milliseconds, or None if no complete checkpoint
            reaches up to `first_offset`.
        """
        times = (
            span.keys_from_ms
            for span in self._complete
            if span.through_offset >= first_offset
        )
        return min(times, default=None)


def _key_records(key: str, state: KeyState) -> list[BatchItem]:
    claims = [encode_claim(claim) for claim in state.claims.values()]
    voids = [
        VoidRecord(key=key, attempt_id=attempt_id)
        for attempt_id in state.voided
    ]
    outcomes = [
        encode_recorded_outcome(outcome) for outcome in state.outcomes.values()
    ]
    return [*claims, *voids, *outcomes]


def _through_offset(span: CheckpointSpan) -> int:
    return span.through_offset
