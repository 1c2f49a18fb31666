"""Asks the platform's targets for their status."""

from http import HTTPStatus

from ..http_client import CallClient, HttpCall, HttpCallError
from ..target_probe import OTHER_TARGET
from .answer_match import TARGET_ID_HEADER, match_call
from .answer_notices import AnswerNotices
from .targets import (
    EXPECTED_TARGET_HEADER,
    MAX_CALL_ANSWER_BYTES,
    REPORT_PATH,
)

# A sound target may be silent for a second.
STATUS_TIMEOUT_MS = 1200


class HttpStatusClient:
    """Asks targets for their status."""

    def __init__(self, client: CallClient, notices: AnswerNotices) -> None:
        """Stores the dependencies.

        Args:
            client: HTTP client that sends the requests.
            notices: Receives what targets say of themselves.
        """
        self._client = client
        self._notices = notices

    async def check_status(
        self, target_id: str, address: str, *, through_peer: bool = False
    ) -> str:
        """Returns why there was no answer in time; empty if there was one."""
        call = HttpCall(
            address,
            'GET',
            REPORT_PATH,
            headers={EXPECTED_TARGET_HEADER: target_id},
            timeout_ms=STATUS_TIMEOUT_MS,
            max_body_bytes=MAX_CALL_ANSWER_BYTES,
            through_peer=through_peer,
            match_answer=match_call,
        )
        try:
            reply = await self._client.request(call)
        except HttpCallError as error:
            return error.reason or 'failed'
        named = reply.headers.get(TARGET_ID_HEADER, target_id)
        if reply.status == HTTPStatus.MISDIRECTED_REQUEST or named != target_id:
            return OTHER_TARGET
        self._notices.note_cold(target_id, reply.headers)
        return ''
