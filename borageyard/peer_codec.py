"""Frame codec of peer streams: a length prefix, then msgpack."""

import asyncio
import struct
from collections.abc import Callable
from typing import TypeVar

import msgpack
import pydantic

from .clock import MS_PER_S

PROTOCOL_VERSION = 1
LENGTH_PREFIX = struct.Struct('>I')

FrameT = TypeVar('FrameT', bound=pydantic.BaseModel)


class FrameError(Exception):
    """A frame is malformed or exceeds the size limit."""


def encode_frame(frame: pydantic.BaseModel, max_bytes: int) -> bytes:
    """Encodes a frame.

    Args:
        frame: Generated model; fields at their default are left out.
        max_bytes: Size limit of the payload in bytes.

    Returns:
        The length prefix and the payload.

    Raises:
        FrameError: If the payload exceeds the limit or can't be encoded.
    """
    try:
        payload = msgpack.packb(frame.model_dump(exclude_defaults=True))
    except (OverflowError, ValueError) as error:
        raise FrameError(f'frame that cannot be encoded: {error}') from error
    if len(payload) > max_bytes:
        raise FrameError(f'frame of {len(payload)} bytes')
    return LENGTH_PREFIX.pack(len(payload)) + bytes(payload)


def decode_frame(model: type[FrameT], payload: bytes) -> FrameT:
    """Decodes the payload of a frame.

    Args:
        model: Generated model to validate the frame against.
        payload: Bytes after the length prefix.

    Raises:
        FrameError: If the payload is not valid msgpack or doesn't fit the
            model.
    """
    try:
        document = msgpack.unpackb(payload)
    except (ValueError, msgpack.UnpackException) as error:
        raise FrameError(f'invalid msgpack: {error!r}') from error
    try:
        return model.model_validate(document)
    except pydantic.ValidationError as error:
        raise FrameError(
            f'frame is not a valid {model.__name__}: {error}'
        ) from error


async def read_payload(
    reader: asyncio.StreamReader,
    max_bytes: int,
    silence_ms: float,
    on_part: Callable[[int], None] | None = None,
) -> bytes:
    """Reads the payload of the next frame.

    Args:
        reader: Stream to read from.
        max_bytes: Size limit of the payload in bytes.
        silence_ms: Longest time without a byte. A large frame may take longer.
        on_part: Called with the size of each part that arrives.

    Raises:
        FrameError: If the length prefix exceeds the limit.
        EOFError: If the stream ends before the payload does.
        TimeoutError: If nothing arrives for too long.
    """
    silence_s = silence_ms / MS_PER_S
    async with asyncio.timeout(silence_s):
        prefix = await reader.readexactly(LENGTH_PREFIX.size)
    size_bytes = LENGTH_PREFIX.unpack(prefix)[0]
    if size_bytes > max_bytes:
        raise FrameError(
            f'payload has {size_bytes} bytes, limit is {max_bytes}',
        )
    payload = bytearray()
    while len(payload) < size_bytes:
        async with asyncio.timeout(silence_s):
            part = await reader.read(size_bytes - len(payload))
        if not part:
            raise asyncio.IncompleteReadError(bytes(payload), size_bytes)
        payload += part
        if on_part is not None:
            on_part(len(part))
    return bytes(payload)
