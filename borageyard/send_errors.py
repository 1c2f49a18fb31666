"""Failed calls of the HTTP client as failed sends of requests."""

from collections.abc import AsyncIterator

from .http_client import HttpCallError
from .inbound import SendError, SendFailure


def build_send_error(error: HttpCallError) -> SendError:
    """Returns the failure of a send whose call failed.

    Args:
        error: Failure of the call.
    """
    failure = SendFailure.UNKNOWN if error.sent else SendFailure.NOT_SENT
    return SendError(failure, error.reason)


async def translate_errors(
    chunks: AsyncIterator[bytes],
) -> AsyncIterator[bytes]:
    """Yields the chunks of a body.

    Args:
        chunks: The body.

    Raises:
        SendError: If it is interrupted.
    """
    try:
        async for chunk in chunks:
            yield chunk
    except HttpCallError as error:
        raise build_send_error(error) from error
