"""Identifiers with their creation time (UUID version 7, RFC 9562)."""

import uuid

import uuid_utils

UUID_VERSION = 7
UUID_VARIANT = 2
TIMESTAMP_SHIFT_BITS = 80
VERSION_SHIFT_BITS = 76
HIGH_SHIFT_BITS = 64
RANDOM_LOW_BITS = 62
RANDOM_LOW_MASK = (1 << RANDOM_LOW_BITS) - 1


def new_identifier() -> str:
    """Returns a new UUID of version 7."""
    return str(uuid_utils.uuid7())


def identifier_time_ms(identifier: str) -> int | None:
    """Returns the creation time of an identifier.

    The first 48 bits are Unix time in milliseconds (RFC 9562, 5.7).

    Args:
        identifier: Text of a UUID.

    Returns:
        Unix time in milliseconds, or None if it is no UUID of version 7.
    """
    try:
        parsed = uuid.UUID(identifier)
    except ValueError:
        return None
    if parsed.version != UUID_VERSION:
        return None
    return parsed.int >> TIMESTAMP_SHIFT_BITS


def identifier_at(time_ms: int, random_bits: int) -> str:
    """Returns the UUID of version 7 for a given time.

    With given random bits, runs are reproducible.

    The layout is that of RFC 9562, 5.7.

    Args:
        time_ms: Unix time in milliseconds.
        random_bits: The 74 random bits.
    """
    high = random_bits >> RANDOM_LOW_BITS
    low = random_bits & RANDOM_LOW_MASK
    number = time_ms << TIMESTAMP_SHIFT_BITS
    number |= UUID_VERSION << VERSION_SHIFT_BITS
    number |= high << HIGH_SHIFT_BITS
    number |= UUID_VARIANT << RANDOM_LOW_BITS
    return str(uuid.UUID(int=number | low))
