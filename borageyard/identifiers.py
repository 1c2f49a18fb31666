"""Identifiers that tell when they were made (UUID version 7, RFC 9562)."""

import uuid

import uuid_utils

UUID_VERSION = 7
TIMESTAMP_SHIFT_BITS = 80


def new_identifier() -> str:
    """Returns a new UUID of version 7."""
    return str(uuid_utils.uuid7())


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
