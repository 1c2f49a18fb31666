"""Encoding of claim records and their application to the fold."""

import itertools
from collections.abc import Sequence

from .backing_services import LogRecord, Record
from .claims import Claim, ClaimFold, RecordedOutcome
from .document_validation import DocumentError, check_document
from .events import Event, log_event
from .generated.log_claims import (
    CheckpointRecord,
    ClaimBatchRecord,
    ClaimRecord,
    OutcomeRecord,
    VoidRecord,
)

BatchItem = ClaimRecord | VoidRecord | OutcomeRecord | CheckpointRecord
# Offset field of a claim record outside of a checkpoint; the order of the claim
# is then the position of the record itself.
NEW_CLAIM_OFFSET = -1


def encode_batch(
    batch_id: str,
    parts: Sequence[Sequence[BatchItem]],
) -> Record:
    """Returns the log record of a batch.

    Args:
        batch_id: Id by which the writer recognises the batch when it is read
            back.
        parts: Items of the batch, grouped by queued item.
    """
    items = tuple(itertools.chain.from_iterable(parts))
    batch = ClaimBatchRecord(
        batch_id=batch_id,
        claims=[item for item in items if isinstance(item, ClaimRecord)],
        voids=[item for item in items if isinstance(item, VoidRecord)],
        outcomes=[item for item in items if isinstance(item, OutcomeRecord)],
        checkpoints=[
            item for item in items if isinstance(item, CheckpointRecord)
        ],
    )
    return batch.model_dump(mode='json', exclude_defaults=True)


def decode_batch(stored: LogRecord) -> ClaimBatchRecord | None:
    """Returns the batch of a log record, or None if it is malformed.

    Args:
        stored: Record of a claim stream.
    """
    try:
        return check_document(ClaimBatchRecord, stored.body, 'claim record')
    except DocumentError as error:
        log_event(
            Event.CLAIM_RECORD_INVALID,
            offset=stored.offset,
            reason=str(error),
        )
        return None


def fold_batch(fold: ClaimFold, offset: int, batch: ClaimBatchRecord) -> None:
    """Adds the records of a batch to a fold.

    Args:
        fold: Fold to change.
        offset: Offset of the batch in its stream.
        batch: Batch to add.
    """
    for index, record in enumerate(batch.claims):
        fold.add_claim(_decode_claim(record, offset, index))
    for void in batch.voids:
        fold.add_void(void.key, void.attempt_id)
    for ended in batch.outcomes:
        fold.add_outcome(decode_recorded_outcome(ended))


def affected_keys(batch: ClaimBatchRecord) -> set[str]:
    """Returns the keys of the claims, voids and outcomes of a batch."""
    claimed = {record.key for record in batch.claims}
    voided = {record.key for record in batch.voids}
    ended = {record.key for record in batch.outcomes}
    return claimed | voided | ended


def encode_claim(claim: Claim) -> ClaimRecord:
    """Returns a claim's record for a checkpoint, with its original order."""
    offset, index = claim.order
    return ClaimRecord(
        key=claim.key,
        attempt_id=claim.attempt_id,
        digest=claim.digest,
        holder=claim.holder,
        offset=offset,
        index=index,
    )


def encode_recorded_outcome(outcome: RecordedOutcome) -> OutcomeRecord:
    """Returns the log record of an outcome."""
    return OutcomeRecord(
        key=outcome.key,
        attempt_id=outcome.attempt_id,
        document=outcome.document,
        holders=list(outcome.holders),
    )


def decode_recorded_outcome(record: OutcomeRecord) -> RecordedOutcome:
    """Returns the outcome of a log record."""
    return RecordedOutcome(
        key=record.key,
        attempt_id=record.attempt_id,
        document=record.document,
        holders=tuple(record.holders),
    )


def _decode_claim(record: ClaimRecord, offset: int, index: int) -> Claim:
    order = (offset, index)
    if record.offset != NEW_CLAIM_OFFSET:
        order = (record.offset, record.index)
    return Claim(
        key=record.key,
        attempt_id=record.attempt_id,
        digest=record.digest,
        holder=record.holder,
        order=order,
    )
