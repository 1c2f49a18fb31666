"""Matches the answers of targets to the requests that they belong to."""

import functools
from collections.abc import Mapping
from http import HTTPStatus

from ..http_client import AnswerCheck, AnswerMatch
from .ingress import ATTEMPT_ID_HEADER

# Id of the responding target, sent when it rejects a request for another one.
TARGET_ID_HEADER = 'x-instance-id'
NOT_RUN_HEADER = 'x-not-executed'


def answer_check(headers: Mapping[str, str]) -> AnswerCheck | None:
    """Returns the check of the answers to a call.

    Args:
        headers: Headers of the call.

    Returns:
        The check, or None if the answer names no request.
    """
    request_id = headers.get(ATTEMPT_ID_HEADER)
    return functools.partial(_match_request, request_id) if request_id else None


def states_not_run(status: int, headers: Mapping[str, str]) -> bool:
    """Returns whether an answer states that its request was not run.

    A success does not, whatever its headers say.

    Args:
        status: Status of the answer.
        headers: Its headers.
    """
    if status == HTTPStatus.MISDIRECTED_REQUEST:
        return True
    return NOT_RUN_HEADER in headers and status >= HTTPStatus.BAD_REQUEST


def match_call(status: int, headers: Mapping[str, str]) -> AnswerMatch:
    """Matches an answer to a call without an id.

    Args:
        status: Status of the answer.
        headers: Its headers.
    """
    if headers.get(ATTEMPT_ID_HEADER):
        return AnswerMatch.FOREIGN
    is_success = status == HTTPStatus.OK
    return AnswerMatch.OWN if is_success else AnswerMatch.UNNAMED


def _match_request(
    request_id: str, status: int, headers: Mapping[str, str]
) -> AnswerMatch:
    """Matches an answer to a request. Rejections may carry no request id."""
    response_id = headers.get(ATTEMPT_ID_HEADER)
    if response_id == request_id:
        return AnswerMatch.OWN
    is_rejection = states_not_run(status, headers) and (
        NOT_RUN_HEADER in headers or TARGET_ID_HEADER in headers
    )
    if response_id is None and is_rejection:
        return AnswerMatch.UNNAMED
    return AnswerMatch.FOREIGN
