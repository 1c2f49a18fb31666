"""Asks the platform's targets for their status."""

from ..http_client import CallClient, HttpCall, HttpCallError
from .targets import MAX_CALL_ANSWER_BYTES, REPORT_PATH

# A sound target may be silent for a second.
STATUS_TIMEOUT_MS = 1200


class HttpStatusClient:
    """Asks targets for their status."""

    def __init__(self, client: CallClient) -> None:
        """Stores the client.

        Args:
            client: HTTP client that sends the requests.
        """
        self._client = client

    async def check_status(self, address: str) -> str:
        """Returns why there was no answer in time; empty if there was one."""
        call = HttpCall(
            address,
            'GET',
            REPORT_PATH,
            timeout_ms=STATUS_TIMEOUT_MS,
            max_body_bytes=MAX_CALL_ANSWER_BYTES,
        )
        try:
            await self._client.request(call)
        except HttpCallError as error:
            return error.reason
        return ''
