"""Converts between HTTP messages and requests, answers and refusals."""

import dataclasses
import types
from collections.abc import Mapping
from typing import Any

from .clock import Clock
from .document_validation import DocumentError, check_document, parse_json
from .errors import ErrorKind, Refusal, RefusalError, RunStatus
from .generated.http_bodies import AnswerBody, RefusalBody, StageReportBody
from .handover_placement import handover_key
from .http_messages import (
    EVENT_STREAM_TYPE,
    HttpRequest,
    HttpResponse,
    json_response,
)
from .identifiers import new_identifier
from .requests import Answer, PipelineRequest, StageResult

DEFAULT_DEADLINE_MS = 9000
ORGANISATION_HEADER = 'x-borage-organisation'
DEADLINE_HEADER = 'x-borage-deadline-ms'
PRIORITY_HEADER = 'x-borage-priority'
CACHE_PREFIX_HEADER = 'x-borage-cache-prefix'
REQUEST_ID_HEADER = 'x-borage-request-id'
IDEMPOTENCY_KEY_HEADER = 'idempotency-key'
ANSWER_EVENT_TYPE = 'answer'
REFUSAL_EVENT_TYPE = 'refusal'
# Run status by the ``not_run`` field of a refusal body.
RUN_STATUS_BY_NOT_RUN: Mapping[bool | str, RunStatus] = types.MappingProxyType(
    {
        True: RunStatus.NOT_RUN,
        False: RunStatus.RAN,
        RunStatus.UNKNOWN.value: RunStatus.UNKNOWN,
    }
)
MAX_ID_CHARS = 128
STAGE_FIELDS = tuple(StageReportBody.model_fields)
MAX_DEADLINE_MS = 86_400_000


def request_id_of(headers: Mapping[str, str]) -> str:
    """Returns the request id that the caller chose, or a new one.

    An empty id or one above ``MAX_ID_CHARS`` is replaced by a new one.

    Args:
        headers: Headers of the request.
    """
    caller_id = headers.get(REQUEST_ID_HEADER, '')
    if caller_id and len(caller_id) <= MAX_ID_CHARS:
        return caller_id
    return new_identifier()


def decode_request(
    request: HttpRequest,
    pipeline: str,
    clock: Clock,
) -> PipelineRequest:
    """Decodes a pipeline request from HTTP.

    Args:
        request: The HTTP request.
        pipeline: Name of the pipeline, from the path.
        clock: Time source for the deadline.

    Returns:
        The decoded request.

    Raises:
        RefusalError: If a header or the body is malformed.
    """
    if len(request.header(REQUEST_ID_HEADER)) > MAX_ID_CHARS:
        detail = f'{REQUEST_ID_HEADER}: at most {MAX_ID_CHARS} characters'
        raise RefusalError(Refusal(ErrorKind.BAD_REQUEST, detail=detail))
    try:
        body = parse_json(request.body or b'null', 'body')
    except DocumentError as error:
        refusal = Refusal(ErrorKind.BAD_REQUEST, detail=str(error))
        raise RefusalError(refusal) from error
    deadline_ms = _read_int(request, DEADLINE_HEADER, DEFAULT_DEADLINE_MS)
    if not 0 < deadline_ms <= MAX_DEADLINE_MS:
        detail = f'{DEADLINE_HEADER}: expected 1 to {MAX_DEADLINE_MS}'
        raise RefusalError(Refusal(ErrorKind.BAD_REQUEST, detail=detail))
    decoded = PipelineRequest(
        request_id=request_id_of(request.headers),
        pipeline=pipeline,
        organisation=request.header(ORGANISATION_HEADER),
        body=body,
        expires_at_ms=clock.steady_ms() + deadline_ms,
        idempotency_key=request.header(IDEMPOTENCY_KEY_HEADER),
        priority=_read_int(request, PRIORITY_HEADER, 0),
        cache_prefix=request.header(CACHE_PREFIX_HEADER),
        stream=EVENT_STREAM_TYPE in request.header('accept'),
        trace_parent=request.header('traceparent'),
    )
    if decoded.request_id != request.header(REQUEST_ID_HEADER):
        return decoded
    # Only a caller that chose the request id can resume the request.
    return dataclasses.replace(decoded, handover_key=handover_key(decoded))


def encode_outcome(
    request_id: str,
    outcome: Answer | Refusal,
) -> HttpResponse:
    """Returns the HTTP response for an outcome.

    Args:
        request_id: Id of the request.
        outcome: Outcome of the request.
    """
    if isinstance(outcome, Refusal):
        return encode_refusal(request_id, outcome)
    return json_response(answer_body(outcome))


def encode_refusal(request_id: str, refusal: Refusal) -> HttpResponse:
    """Returns the HTTP response for a refusal.

    Args:
        request_id: Id of the request; a new one is used if empty.
        refusal: Reason why the request has no answer.
    """
    body = refusal_body(request_id or new_identifier(), refusal)
    response = json_response(body, refusal.answer.status)
    if refusal.retry_after_ms:
        seconds = -(-refusal.retry_after_ms // 1000)
        headers = {'retry-after': str(seconds)}
        return dataclasses.replace(response, headers=headers)
    return response


def answer_body(answer: Answer) -> dict[str, Any]:
    """Returns the body of an answer, which matches ``AnswerBody``."""
    return {
        'request_id': answer.request_id,
        'pipeline': answer.pipeline,
        'configuration_version': answer.configuration_version,
        'output': answer.output,
        'stages': [
            {name: getattr(stage, name) for name in STAGE_FIELDS}
            for stage in answer.stages
        ],
    }


def refusal_body(request_id: str, refusal: Refusal) -> dict[str, Any]:
    """Returns the body of a refusal, which matches ``RefusalBody``."""
    return {
        'request_id': request_id,
        'kind': refusal.kind.value,
        'not_run': refusal.not_run,
        'may_retry': refusal.answer.may_retry,
        'retry_after_ms': refusal.retry_after_ms,
        'stages_ran': list(refusal.stages_ran),
        'message': refusal.answer.message,
        'detail': refusal.detail,
    }


def decode_outcome(document: object) -> Answer | Refusal:
    """Decodes the outcome from the last event of a streamed answer.

    Args:
        document: Payload as encoded by :func:`outcome_payload`.

    Returns:
        The answer, without the outputs of its stages, or the refusal. An
        unknown kind of refusal becomes ``ErrorKind.INTERNAL``.

    Raises:
        DocumentError: If the document is not an outcome.
    """
    fields = dict(document) if isinstance(document, dict) else {}
    if fields.pop('type', None) == ANSWER_EVENT_TYPE:
        body = check_document(AnswerBody, fields, 'outcome')
        stages = tuple(
            StageResult(output=None, **stage.model_dump())
            for stage in body.stages
        )
        return Answer(
            request_id=body.request_id,
            pipeline=body.pipeline,
            configuration_version=body.configuration_version,
            output=body.output,
            stages=stages,
        )
    refusal = check_document(RefusalBody, fields, 'outcome')
    try:
        error_kind = ErrorKind(refusal.kind)
    except ValueError:
        error_kind = ErrorKind.INTERNAL
    return Refusal(
        kind=error_kind,
        ran=RUN_STATUS_BY_NOT_RUN[refusal.not_run],
        detail=refusal.detail,
        retry_after_ms=refusal.retry_after_ms,
        stages_ran=tuple(refusal.stages_ran),
    )


def token_payload(token: str, offset: int) -> dict[str, Any]:
    """Returns the payload of the event for one token of a streamed answer.

    Args:
        token: Text of the token.
        offset: Number of tokens of the answer before it.
    """
    return {'type': 'token', 'offset': offset, 'token': token}


def outcome_payload(
    request_id: str,
    outcome: Answer | Refusal,
) -> dict[str, Any]:
    """Returns the payload of the last event of a streamed answer."""
    if isinstance(outcome, Refusal):
        return {'type': REFUSAL_EVENT_TYPE, **refusal_body(request_id, outcome)}
    return {'type': ANSWER_EVENT_TYPE, **answer_body(outcome)}


def _read_int(request: HttpRequest, name: str, default: int) -> int:
    text = request.header(name)
    if not text:
        return default
    try:
        return int(text)
    except ValueError as error:
        detail = f'{name}: found {text}; expected a whole number'
        refusal = Refusal(ErrorKind.BAD_REQUEST, detail=detail)
        raise RefusalError(refusal) from error
