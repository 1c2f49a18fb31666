"""HTTP client for targets."""

import contextlib
from collections.abc import AsyncGenerator, AsyncIterator, Sequence
from typing import TypeVar

import pydantic

from .document_validation import DocumentError, check_document, parse_json
from .event_payloads import read_events
from .generated.cache_events import CacheEventsBody
from .generated.http_bodies import (
    LoadReportBody,
    TargetCallBody,
    TargetRefusalBody,
)
from .http_client import HttpCall, HttpCallError, HttpClient
from .http_messages import (
    EVENT_STREAM_TYPE,
    JSON_TYPE,
    encode_json,
)
from .target_client import (
    CacheEvent,
    FailureKind,
    LoadReport,
    TargetAnswer,
    TargetCall,
    TargetError,
    TokenEvent,
)
from .target_fields import (
    ANSWER_FIELD_TYPES,
    TOKEN_EVENT_FIELD_TYPES,
    parse_fields,
)
from .tracing import TRACE_PARENT_HEADER, AttemptTracer

ModelT = TypeVar('ModelT', bound=pydantic.BaseModel)

STATUS_READ_TIMEOUT_MS = 500
STATUS_OK = 200
# Fields of a call that are sent in the request body.
CALL_FIELDS = tuple(TargetCallBody.model_fields)


class HttpTargetClient:
    """Calls targets over HTTP; checks that answers match their attempts."""

    def __init__(
        self,
        client: HttpClient,
        attempts: AttemptTracer | None = None,
    ) -> None:
        """Creates the target client.

        Args:
            client: HTTP client that sends the calls.
            attempts: Opens a span for each attempt; no spans by default.
        """
        self._client = client
        self._attempts = attempts or AttemptTracer()

    async def call(self, address: str, call: TargetCall) -> TargetAnswer:
        """Runs a stage and returns its complete answer.

        Args:
            address: Address of the target.
            call: The attempt.

        Raises:
            TargetError: If the call failed, or the answer is malformed or
                belongs to another attempt.
        """
        with self._attempts.span(call) as trace_parent:
            http_call = _build_http_call(address, call, trace_parent)
            return await _request_answer(self._client, http_call, call)

    async def stream(
        self,
        address: str,
        call: TargetCall,
    ) -> AsyncGenerator[TokenEvent, None]:
        """Runs a stage and yields its tokens; the last event is ``done``.

        Args:
            address: Address of the target.
            call: The attempt.

        Raises:
            TargetError: If the call failed, or an event is malformed, out of
                order or belongs to another attempt.
        """
        with self._attempts.span(call) as trace_parent:
            http_call = _build_http_call(address, call, trace_parent)
            stream = _stream_events(self._client, http_call, call)
            async with contextlib.aclosing(stream) as events:
                async for event in events:
                    yield event

    async def load(self, address: str) -> LoadReport:
        """Returns the load report of a target.

        Args:
            address: Address of the target.

        Raises:
            TargetError: If the call failed or the report is malformed.
        """
        call = HttpCall(
            address=address,
            method='GET',
            path='/v1/load',
            timeout_ms=STATUS_READ_TIMEOUT_MS,
        )
        try:
            reply = await self._client.request(call)
        except HttpCallError as error:
            raise _call_failure(error) from error
        report = _decode(LoadReportBody, reply.body)
        fields = report.model_dump(exclude={'models'})
        models = {
            model: tuple(versions) for model, versions in report.models.items()
        }
        return LoadReport(**fields, models=models)

    async def cache_events(
        self,
        address: str,
        after: int,
    ) -> Sequence[CacheEvent]:
        """Returns changes of a target's prompt cache.

        Args:
            address: Address of the target.
            after: First sequence number to return (inclusive).

        Raises:
            TargetError: If the call failed or the reply is malformed.
        """
        call = HttpCall(
            address=address,
            method='GET',
            path=f'/v1/cache-events?after={after}',
            timeout_ms=STATUS_READ_TIMEOUT_MS,
        )
        try:
            reply = await self._client.request(call)
        except HttpCallError as error:
            raise _call_failure(error) from error
        changes = _decode(CacheEventsBody, reply.body)
        return [
            CacheEvent(event.sequence, event.action, event.prefix)
            for event in changes.events
        ]


async def _request_answer(
    client: HttpClient,
    http_call: HttpCall,
    call: TargetCall,
) -> TargetAnswer:
    try:
        reply = await client.request(http_call)
    except HttpCallError as error:
        raise _call_failure(error) from error
    if reply.status != STATUS_OK:
        raise _refusal_error(reply.body, reply.status)
    fields = parse_fields(reply.body, ANSWER_FIELD_TYPES, 'output')
    _check_attempt(fields.pop('attempt_id', ''), call)
    return TargetAnswer(**fields)


async def _stream_events(
    client: HttpClient,
    http_call: HttpCall,
    call: TargetCall,
) -> AsyncGenerator[TokenEvent, None]:
    try:
        async with client.stream(http_call) as (status, _, chunks):
            await _require_ok(status, chunks)
            async for event in _decode_events(chunks, call):
                yield event
    except HttpCallError as error:
        raise _call_failure(error) from error


async def _decode_events(
    chunks: AsyncIterator[bytes],
    call: TargetCall,
) -> AsyncIterator[TokenEvent]:
    expected = call.resume_from
    async for payload in read_events(chunks):
        event = _decode_event(payload, call, expected)
        expected += 1
        yield event
        if event.done:
            return
    raise TargetError(FailureKind.CRASH, 'stream ended early')


async def _require_ok(status: int, chunks: AsyncIterator[bytes]) -> None:
    if status != STATUS_OK:
        body = b''.join([chunk async for chunk in chunks])
        raise _refusal_error(body, status)


def _build_http_call(
    address: str, call: TargetCall, trace_parent: str
) -> HttpCall:
    body = {name: getattr(call, name) for name in CALL_FIELDS}
    accept = EVENT_STREAM_TYPE if call.stream else JSON_TYPE
    headers = {'content-type': JSON_TYPE, 'accept': accept}
    if trace_parent:
        headers[TRACE_PARENT_HEADER] = trace_parent
    return HttpCall(
        address=address,
        method='POST',
        path='/v1/run',
        body=encode_json(body),
        headers=headers,
        timeout_ms=call.deadline_ms,
        reuse=call.idempotent,
    )


def _decode(model: type[ModelT], body: bytes) -> ModelT:
    try:
        return check_document(model, parse_json(body, 'target'), 'target')
    except DocumentError as error:
        raise TargetError(FailureKind.MALFORMED, str(error)) from error


def _decode_event(
    payload: bytes,
    call: TargetCall,
    expected: int,
) -> TokenEvent:
    fields = parse_fields(payload, TOKEN_EVENT_FIELD_TYPES, 'offset')
    _check_attempt(fields.pop('attempt_id', ''), call)
    event = TokenEvent(**fields)
    if event.offset != expected:
        reason = f'token {event.offset} in place of {expected}'
        raise TargetError(FailureKind.MALFORMED, reason)
    return event


def _check_attempt(attempt_id: str, call: TargetCall) -> None:
    if attempt_id != call.attempt_id:
        reason = f'answer to {attempt_id} in place of {call.attempt_id}'
        raise TargetError(FailureKind.CROSSED, reason)


def _call_failure(error: HttpCallError) -> TargetError:
    if not error.sent:
        return TargetError(FailureKind.CONNECT, error.reason, not_run=True)
    if error.reason == 'timed out':
        return TargetError(FailureKind.TIMEOUT, error.reason)
    return TargetError(FailureKind.CRASH, error.reason)


def _refusal_error(body: bytes, status: int) -> TargetError:
    try:
        refusal = _decode(TargetRefusalBody, body)
    except TargetError:
        return TargetError(FailureKind.REFUSED, f'status {status}')
    return TargetError(
        FailureKind.REFUSED,
        refusal.reason,
        not_run=refusal.not_run,
    )
