"""Identifiers that tell when they were made (UUID version 7, RFC 9562)."""

import random
import uuid

import uuid_utils

UUID_VERSION = 7
UUID_VARIANT = 2
TIMESTAMP_SHIFT_BITS = 80
VERSION_SHIFT_BITS = 76
HEX_DIGIT_MASK = 15
VERSION_MASK = HEX_DIGIT_MASK << VERSION_SHIFT_BITS
VARIANT_SHIFT_BITS = 62
VARIANT_MASK = 3 << VARIANT_SHIFT_BITS


def new_identifier() -> str:
    """Returns a new UUID of version 7."""
    return str(uuid_utils.uuid7())


def identifier_at(time_ms: float, source: random.Random) -> str:
    """Returns a UUID of version 7 made at a given time.

    Args:
        time_ms: Unix time in milliseconds.
        source: Source of its random bits.
    """
    number = source.getrandbits(TIMESTAMP_SHIFT_BITS)
    number |= int(time_ms) << TIMESTAMP_SHIFT_BITS
    number = number & ~VERSION_MASK | UUID_VERSION << VERSION_SHIFT_BITS
    number = number & ~VARIANT_MASK | UUID_VARIANT << VARIANT_SHIFT_BITS
    return str(uuid.UUID(int=number))


def identifier_time_ms(identifier: str) -> int | None:
    """Returns when an identifier was made.

    The first 48 bits are Unix time in milliseconds (RFC 9562, 5.7).

    Args:
        identifier: Text of a UUID.

    Returns:
        Unix time in milliseconds, or none if it is no UUID of version 7.
    """
    try:
        parsed = uuid.UUID(identifier)
    except ValueError:
        return None
    if parsed.version != UUID_VERSION:
        return None
    return parsed.int >> TIMESTAMP_SHIFT_BITS
