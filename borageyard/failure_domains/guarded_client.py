"""HTTP client that checks new work for targets right before it is sent."""

import contextlib
import dataclasses
import functools
from collections.abc import Callable

from ..http_client import CallClient, HttpCall, HttpReply, StreamedReply

# Returns why a target must not get work, or an empty text, given the id of the
# target and whether the client repeats the work by itself.
WorkCheck = Callable[[str, bool], str]


class GuardedClient:
    """Passes calls on; those with new work are checked before each send.

    A connection may take half a second to open, and a call whose connection
    breaks off is sent again however long it had been waiting for its answer,
    so a check when the target is chosen is not enough.
    """

    def __init__(self, client: CallClient) -> None:
        """Starts without a check.

        Args:
            client: Makes the calls.
        """
        self.check: WorkCheck | None = None
        self._client = client

    async def request(self, call: HttpCall) -> HttpReply:
        """Sends a request and waits for the complete response.

        Args:
            call: The request.

        Raises:
            HttpCallError: If no complete response arrived in time.
        """
        return await self._client.request(self._guarded(call))

    def stream(
        self, call: HttpCall
    ) -> contextlib.AbstractAsyncContextManager[StreamedReply]:
        """Sends a request; the response body is read as it arrives.

        Args:
            call: The request.

        Raises:
            HttpCallError: If the exchange failed or took too long.
        """
        return self._client.stream(self._guarded(call))

    def _guarded(self, call: HttpCall) -> HttpCall:
        if self.check is None or not call.target_id:
            return call
        refuse_send = functools.partial(self.check, call.target_id)
        return dataclasses.replace(call, refuse_send=refuse_send)
