"""Calls whose response is checked before its connection is used again."""

import contextlib
from collections.abc import Callable

from .http_client import (
    AmbiguousAnswerError,
    AnswerMismatchError,
    CallClient,
    HttpCall,
    HttpCallError,
    HttpReply,
)

# Raises AnswerMismatchError or AmbiguousAnswerError.
ReplyCheck = Callable[[HttpReply], None]


async def request_checked(
    client: CallClient, call: HttpCall, check: ReplyCheck
) -> HttpReply:
    """Sends a request, and checks the complete response.

    Args:
        client: Makes the call.
        call: The request.
        check: Checks the response; one that is ambiguous is returned, too.

    Raises:
        HttpCallError: If there is no complete response to the call.
    """
    try:
        with contextlib.suppress(AmbiguousAnswerError):
            async with client.stream(call) as (status, headers, chunks):
                body = b''.join([chunk async for chunk in chunks])
                reply = HttpReply(status, headers, body)
                check(reply)
    except AnswerMismatchError as error:
        raise HttpCallError(str(error), sent=True) from error
    return reply
