"""Matches the answers of targets to the requests that they belong to."""

import functools
from collections.abc import Mapping

from ..http_client import AnswerCheck
from .ingress import ATTEMPT_ID_HEADER

# Id of the responding target, sent when it rejects a request for another one.
TARGET_ID_HEADER = 'x-instance-id'
NOT_RUN_HEADER = 'x-not-executed'


def answer_check(headers: Mapping[str, str]) -> AnswerCheck | None:
    """Returns the check of the answers to a call.

    Args:
        headers: Headers of the call.

    Returns:
        The check, or None if any answer belongs to the call.
    """
    request_id = headers.get(ATTEMPT_ID_HEADER)
    return is_answer_to(request_id) if request_id else None


def is_answer_to(request_id: str) -> AnswerCheck:
    """Returns the check of the answers to a request.

    Args:
        request_id: Id of the request.
    """
    return functools.partial(_is_answer, request_id)


def _is_answer(request_id: str, headers: Mapping[str, str]) -> bool:
    """Returns whether a response belongs to a request.

    Rejections carry no request id.
    """
    response_id = headers.get(ATTEMPT_ID_HEADER)
    if response_id is None:
        return NOT_RUN_HEADER in headers or TARGET_ID_HEADER in headers
    return response_id == request_id
