"""Frames of the streams between entries: a length, then msgpack."""

import asyncio
import struct
from typing import TypeVar

import msgpack
import pydantic

PROTOCOL_VERSION = 1
LENGTH_PREFIX = struct.Struct('>I')

FrameT = TypeVar('FrameT', bound=pydantic.BaseModel)


class FrameError(Exception):
    """Bytes that are no frame, or a frame beyond the bound."""


def encode_frame(frame: pydantic.BaseModel, max_bytes: int) -> bytes:
    """Returns the bytes of a frame.

    Args:
        frame: Generated model; fields at their default are left out.
        max_bytes: Bound on the payload.

    Raises:
        FrameError: If the payload is larger.
    """
    payload = msgpack.packb(frame.model_dump(exclude_defaults=True))
    if len(payload) > max_bytes:
        raise FrameError(f'frame of {len(payload)} bytes')
    return LENGTH_PREFIX.pack(len(payload)) + bytes(payload)


def decode_frame(model: type[FrameT], payload: bytes) -> FrameT:
    """Returns the frame in a payload.

    Args:
        model: Generated model that it must fit.
        payload: Its bytes without the length.

    Raises:
        FrameError: If the payload is broken.
    """
    try:
        document = msgpack.unpackb(payload)
    except (ValueError, msgpack.UnpackException) as error:
        raise FrameError(f'broken msgpack: {error!r}') from error
    try:
        return model.model_validate(document)
    except pydantic.ValidationError as error:
        raise FrameError(f'unexpected frame: {error}') from error


async def read_payload(reader: asyncio.StreamReader, max_bytes: int) -> bytes:
    """Reads the payload of the next frame.

    Args:
        reader: The stream.
        max_bytes: Bound on the payload.

    Raises:
        FrameError: If the stated length is beyond the bound.
        EOFError: If the stream ends before the payload does.
    """
    head = await reader.readexactly(LENGTH_PREFIX.size)
    size_bytes = LENGTH_PREFIX.unpack(head)[0]
    if size_bytes > max_bytes:
        raise FrameError(f'frame of {size_bytes} bytes')
    return await reader.readexactly(size_bytes)
