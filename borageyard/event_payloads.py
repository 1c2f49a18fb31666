"""Reads the payloads of server-sent events."""

from collections.abc import AsyncIterator

from .http_client import HttpCallError

MAX_EVENT_BYTES = 1024 * 1024
EVENT_SEPARATOR = b'\n\n'
DATA_FIELD_PREFIX = b'data: '


async def read_events(chunks: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    """Splits chunks into the payloads of server-sent events.

    Events that don't start with a data field and an incomplete last event
    are ignored.

    Args:
        chunks: Body bytes, split at arbitrary positions.

    Yields:
        The payload of each complete event.

    Raises:
        HttpCallError: If an incomplete event exceeds ``MAX_EVENT_BYTES``.
    """
    pending = bytearray()
    async for chunk in chunks:
        searched = max(0, len(pending) - 1)
        pending += chunk
        end = pending.find(EVENT_SEPARATOR, searched)
        start = 0
        while end >= 0:
            if pending.startswith(DATA_FIELD_PREFIX, start):
                yield bytes(pending[start + len(DATA_FIELD_PREFIX) : end])
            start = end + len(EVENT_SEPARATOR)
            end = pending.find(EVENT_SEPARATOR, start)
        pending = pending[start:]
        if len(pending) > MAX_EVENT_BYTES:
            raise HttpCallError('event is too large', sent=True)
