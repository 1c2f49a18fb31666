"""Sends requests and calls with pieces to the platform's targets."""

import contextlib
import functools
import types
from collections.abc import AsyncIterator, Mapping, Sequence
from http import HTTPStatus
from typing import Annotated, TypeVar

from pydantic import BaseModel, ConfigDict, Field

from ..checked_calls import request_checked
from ..document_validation import DocumentError, check_document, parse_json
from ..http_client import (
    AnswerMismatchError,
    CallClient,
    HttpCall,
    HttpCallError,
    HttpReply,
)
from ..http_messages import JSON_TYPE, encode_json
from ..inbound import (
    SendError,
    SendFailure,
    TargetAnswer,
    TargetLoad,
    TargetSend,
)
from ..piece_runner import (
    CallFailedError,
    PieceOutcome,
    PieceRequest,
    PieceStatus,
    TargetFullError,
)
from ..recent_handles import RecentHandles
from ..roster import RosterRow
from ..send_errors import build_send_error, translate_errors
from ..target_backoffs import read_pause_ms
from ..target_speed.target_load import parse_load
from .answer_match import answer_check, match_call, states_not_run
from .answer_notices import RETRY_AFTER_HEADER, AnswerNotices
from .ingress import ATTEMPT_ID_HEADER, DEADLINE_HEADER, forwarded_headers

ModelT = TypeVar('ModelT', bound=BaseModel)

EXPECTED_TARGET_HEADER = 'x-expect-instance'
FRAMING_HEADERS = frozenset(('content-length', 'transfer-encoding'))
LOAD_HEADER = 'x-instance-load'
SIGNATURE_HEADER = 'x-server-stamp'
# Added to the remaining time, so that the caller's own timeout ends an exchange
# well before the HTTP client does.
EXCHANGE_SLACK_MS = 5000
SHORT_CALL_TIMEOUT_MS = 500
REPORT_PATH = '/report'
# Maximum size of the answer to a call: a handle or a reason for each piece, and
# the fields of a report.
MAX_CALL_ANSWER_BYTES = 262_144
BYTES_PER_MB = 1_000_000
PIECE_STATUSES: Mapping[str, PieceStatus] = types.MappingProxyType(
    {
        'late': PieceStatus.LATE,
        'gone': PieceStatus.INPUT_GONE,
        'room': PieceStatus.NO_ROOM,
    },
)


class _Item(BaseModel):
    # Handle of the result; empty if there is none.
    handle: str = ''
    reason: str = ''


class _RunReply(BaseModel):
    model_config = ConfigDict(extra='ignore')

    items: list[_Item]


class _Report(BaseModel):
    model_config = ConfigDict(extra='ignore')

    # Free memory for results.
    free_mb: Annotated[float, Field(alias='freeMb', allow_inf_nan=False)]


class HttpTargetSender:
    """Sends callers' requests to targets."""

    def __init__(self, client: CallClient, notices: AnswerNotices) -> None:
        """Stores the dependencies.

        Args:
            client: HTTP client that sends the requests.
            notices: Receives what targets say of themselves.
        """
        self._client = client
        self._notices = notices

    @contextlib.asynccontextmanager
    async def send(self, send: TargetSend) -> AsyncIterator[TargetAnswer]:
        """Sends a request; exiting the context early cancels it.

        Raises:
            SendError: If the answer is incomplete or a success is unsigned.
        """
        call = HttpCall(
            send.target.address,
            send.request.method,
            send.request.request_target,
            send.request.body,
            headers=_encode_headers(send),
            timeout_ms=send.left_ms + EXCHANGE_SLACK_MS,
            # A resend takes no permit, so it must not be automatic.
            repeatable=send.repeatable
            and not self._notices.is_limited(send.target.target_id),
            match_answer=answer_check(send.request.headers),
            send_key=send.request.request_id,
            target_id=send.target.target_id,
            answer_id_header=ATTEMPT_ID_HEADER,
            trace=send.trace,
        )
        try:
            async with self._client.stream(call) as (status, headers, chunks):
                wrong_target = status == HTTPStatus.MISDIRECTED_REQUEST
                if not wrong_target:
                    self._notices.note(send.target, status, headers)
                _require_signature(status, headers)
                yield TargetAnswer(
                    status=status,
                    headers=forwarded_headers(
                        headers, frozenset((LOAD_HEADER,))
                    ),
                    not_run=states_not_run(status, headers),
                    wrong_target=wrong_target,
                    load=_decode_load(headers),
                    chunks=translate_errors(chunks),
                    framed=bool(FRAMING_HEADERS & headers.keys()),
                )
        except HttpCallError as error:
            raise build_send_error(error) from error


class HttpPieceRunner:
    """Sends calls with pieces to batching targets."""

    def __init__(self, client: CallClient, notices: AnswerNotices) -> None:
        """Stores the dependencies.

        Args:
            client: HTTP client that sends the requests.
            notices: Receives what targets say of themselves.
        """
        self._client = client
        self._notices = notices
        self._handles = RecentHandles()

    async def run(
        self,
        target: RosterRow,
        pieces: Sequence[PieceRequest],
        timeout_ms: float,
    ) -> Sequence[PieceOutcome]:
        """Runs the pieces in one call and returns their outcomes in order.

        Raises:
            TargetFullError: If the target has no capacity.
            CallFailedError: If the call failed.
        """
        call = HttpCall(
            target.address,
            'POST',
            '/stage-run',
            encode_json({'items': [_encode_piece(piece) for piece in pieces]}),
            headers={
                'content-type': JSON_TYPE,
                EXPECTED_TARGET_HEADER: target.target_id,
            },
            timeout_ms=timeout_ms,
            max_body_bytes=MAX_CALL_ANSWER_BYTES,
            repeatable=not self._notices.is_limited(target.target_id),
            target_id=target.target_id,
            match_answer=match_call,
        )
        reply = await self._request(call, target, len(pieces))
        if reply.status == HTTPStatus.SERVICE_UNAVAILABLE:
            raise TargetFullError(
                f'target responded with status {reply.status}',
                _decode_load(reply.headers),
                read_pause_ms(
                    target.target_id, reply.headers.get(RETRY_AFTER_HEADER)
                ),
            )
        if reply.status != HTTPStatus.OK:
            raise CallFailedError(
                f'target responded with status {reply.status}'
            )
        items = _decode(_RunReply, reply.body).items
        load = _decode_load(reply.headers)
        return [_decode_outcome(item, load) for item in items]

    async def free(
        self, target_id: str, address: str, handles: Sequence[str]
    ) -> None:
        """Frees results at the target that holds them.

        Raises:
            CallFailedError: If the call failed.
        """
        call = HttpCall(
            address,
            'POST',
            '/stage-free',
            encode_json({'handles': list(handles)}),
            headers={'content-type': JSON_TYPE},
            timeout_ms=SHORT_CALL_TIMEOUT_MS,
            max_body_bytes=MAX_CALL_ANSWER_BYTES,
            repeatable=not self._notices.is_limited(target_id),
            match_answer=match_call,
        )
        _require_ok(await self._request(call, None))

    async def query_free_bytes(self, target: RosterRow) -> float:
        """Returns the free memory of a target for results, in bytes.

        Raises:
            CallFailedError: If the call failed.
        """
        call = HttpCall(
            target.address,
            'GET',
            REPORT_PATH,
            timeout_ms=SHORT_CALL_TIMEOUT_MS,
            max_body_bytes=MAX_CALL_ANSWER_BYTES,
            repeatable=not self._notices.is_limited(target.target_id),
            match_answer=match_call,
        )
        reply = await self._request(call, target)
        _require_ok(reply)
        return _decode(_Report, reply.body).free_mb * BYTES_PER_MB

    async def _request(
        self, call: HttpCall, target: RosterRow | None, piece_count: int = 0
    ) -> HttpReply:
        """Returns the answer to a call; records what the target says.

        Args:
            call: The call.
            target: The target that is called, if its row is known.
            piece_count: Number of pieces in the call.
        """
        check = functools.partial(self._check, piece_count)
        try:
            reply = await request_checked(self._client, call, check)
        except HttpCallError as error:
            raise CallFailedError(str(error)) from error
        is_target = reply.status != HTTPStatus.MISDIRECTED_REQUEST
        if target is not None and is_target:
            self._notices.note(target, reply.status, reply.headers)
        return reply

    def _check(self, piece_count: int, reply: HttpReply) -> None:
        """Checks that results are those of the present call."""
        if not piece_count or reply.status != HTTPStatus.OK:
            return
        try:
            items = _decode(_RunReply, reply.body).items
        except CallFailedError as error:
            raise AnswerMismatchError(str(error)) from error
        handles = [item.handle for item in items]
        self._handles.require_own(handles, piece_count)


def _require_ok(reply: HttpReply) -> None:
    if reply.status != HTTPStatus.OK:
        raise CallFailedError(f'target responded with status {reply.status}')


def _encode_headers(send: TargetSend) -> Mapping[str, str]:
    headers = {
        **send.request.headers,
        DEADLINE_HEADER: str(max(round(send.left_ms), 1)),
        EXPECTED_TARGET_HEADER: send.target.target_id,
    }
    if send.organisation:
        headers['x-tenant'] = send.organisation
    if send.priority is not None:
        headers['x-request-priority'] = str(send.priority)
    if send.input_handles is not None:
        headers['x-inputs'] = ','.join(send.input_handles)
    if send.last_event_id:
        headers['last-event-id'] = send.last_event_id
    return headers


def _require_signature(status: int, headers: Mapping[str, str]) -> None:
    """Raises SendError if a success lacks the target's signature."""
    is_success = HTTPStatus.OK <= status < HTTPStatus.MULTIPLE_CHOICES
    if is_success and SIGNATURE_HEADER not in headers:
        raise SendError(SendFailure.UNKNOWN, 'success without a signature')


def _decode_load(headers: Mapping[str, str]) -> TargetLoad | None:
    return parse_load(headers.get(LOAD_HEADER, ''))


def _encode_piece(piece: PieceRequest) -> Mapping[str, object]:
    encoded: dict[str, object] = {
        'id': piece.request_id,
        'stage': piece.stage,
        'piece': piece.number,
        'leftMs': round(piece.left_ms),
    }
    if piece.inputs is None:
        encoded['key'] = piece.key
    else:
        encoded['inputs'] = list(piece.inputs)
    return encoded


def _decode_outcome(item: _Item, load: TargetLoad | None) -> PieceOutcome:
    status = PIECE_STATUSES.get(item.reason, PieceStatus.FAILED)
    if item.handle:
        status = PieceStatus.MADE
    return PieceOutcome(status, item.handle, load)


def _decode(model: type[ModelT], body: bytes) -> ModelT:
    try:
        return check_document(model, parse_json(body, 'target'), 'target')
    except DocumentError as error:
        raise CallFailedError(str(error)) from error
