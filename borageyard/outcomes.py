"""Encoding of outcomes as JSON documents, and a memory for large ones."""

import collections
import json

from .document_validation import check_document, parse_json
from .errors import ErrorKind, Refusal, RunStatus
from .generated.log_claims import (
    AnswerOutcomeRecord,
    OutcomeDocumentRecord,
    RefusalOutcomeRecord,
    StageOutcomeRecord,
)
from .pipeline_interfaces import Outcome
from .requests import Answer, StageResult

# Name of the document in validation errors.
SOURCE = 'outcome'


def encode_document(outcome: Outcome) -> str:
    """Returns an outcome as JSON text, without the outputs of its stages.

    Args:
        outcome: Outcome of a request.
    """
    if isinstance(outcome, Refusal):
        document = OutcomeDocumentRecord(refusal=_encode_refusal(outcome))
    else:
        document = OutcomeDocumentRecord(answer=_encode_answer(outcome))
    return json.dumps(document.model_dump(mode='json'), separators=(',', ':'))


def decode_document(text: str) -> Outcome:
    """Decodes an outcome document.

    Args:
        text: JSON text of an outcome document.

    Returns:
        The answer, without the outputs of its stages, or the refusal;
        ``ErrorKind.OUTCOME_UNKNOWN`` if the document contains neither.

    Raises:
        DocumentError: If the text is not a valid outcome document.
    """
    document = check_document(
        OutcomeDocumentRecord,
        parse_json(text, SOURCE),
        SOURCE,
    )
    if document.answer is not None:
        return _decode_answer(document.answer)
    if document.refusal is not None:
        return _decode_refusal(document.refusal)
    return Refusal(ErrorKind.OUTCOME_UNKNOWN, ran=RunStatus.UNKNOWN)


class OutcomeHolder:
    """Outcome documents held in memory; the oldest are evicted first."""

    def __init__(self, capacity_bytes: int) -> None:
        """Creates an empty holder.

        Args:
            capacity_bytes: Maximum total length of the documents, which are
                ASCII.
        """
        self._capacity_bytes = capacity_bytes
        self._documents: collections.OrderedDict[str, str] = (
            collections.OrderedDict()
        )
        self.held_bytes = 0

    def hold(self, attempt_id: str, document: str) -> bool:
        """Stores a document, unless it is larger than the capacity.

        Older documents are evicted when the capacity is exceeded.

        Args:
            attempt_id: Id of the attempt that has the outcome.
            document: JSON text of the outcome.

        Returns:
            Whether the document is stored.
        """
        if len(document) > self._capacity_bytes:
            return False
        self._drop(attempt_id)
        self._documents[attempt_id] = document
        self.held_bytes += len(document)
        while self.held_bytes > self._capacity_bytes:
            self._drop(next(iter(self._documents)))
        return True

    def find(self, attempt_id: str) -> str:
        """Returns the document of an attempt, or '' if none is held."""
        return self._documents.get(attempt_id, '')

    def _drop(self, attempt_id: str) -> None:
        dropped = self._documents.pop(attempt_id, '')
        self.held_bytes -= len(dropped)


def _encode_answer(answer: Answer) -> AnswerOutcomeRecord:
    stages = [
        StageOutcomeRecord(
            stage=result.stage,
            target_id=result.target_id,
            duration_ms=result.duration_ms,
            attempts=result.attempts,
            tokens=result.tokens,
            cached_tokens=result.cached_tokens,
        )
        for result in answer.stages
    ]
    return AnswerOutcomeRecord(
        request_id=answer.request_id,
        pipeline=answer.pipeline,
        configuration_version=answer.configuration_version,
        output=answer.output,
        stages=stages,
    )


def _encode_refusal(refusal: Refusal) -> RefusalOutcomeRecord:
    return RefusalOutcomeRecord(
        kind=refusal.kind.value,
        ran=refusal.ran.value,
        detail=refusal.detail,
        retry_after_ms=refusal.retry_after_ms,
        stages_ran=list(refusal.stages_ran),
    )


def _decode_answer(record: AnswerOutcomeRecord) -> Answer:
    stages = tuple(
        StageResult(output=None, **stage.model_dump())
        for stage in record.stages
    )
    return Answer(
        request_id=record.request_id,
        pipeline=record.pipeline,
        configuration_version=record.configuration_version,
        output=record.output,
        stages=stages,
    )


def _decode_refusal(record: RefusalOutcomeRecord) -> Refusal:
    return Refusal(
        kind=ErrorKind(record.kind),
        ran=RunStatus(record.ran),
        detail=record.detail,
        retry_after_ms=record.retry_after_ms,
        stages_ran=tuple(record.stages_ran),
    )
