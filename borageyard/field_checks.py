"""Checks of fields that other processes write, for models at the border.

Each returns the value, or raises ValueError, which validation reports.
"""

import ipaddress
import math
from typing import Annotated

from pydantic import AfterValidator, Field

from .document_validation import DocumentError, Problem

# Largest integer that all codecs and languages hold exactly.
MAX_INTEGER = 9_007_199_254_740_991
# Most digits of a number in a header.
MAX_DIGITS = 15
MAX_PORT = 65_535
# Bounds of the signed and unsigned integers of 64 bits.
MIN_INT64 = -9_223_372_036_854_775_808
MAX_UINT64 = 18_446_744_073_709_551_615
MAX_NAME_CHARS = 256


def parse_count(text: str) -> int | None:
    """Returns the number that ASCII digits state, or None.

    Args:
        text: Any text, such as a part of a header.
    """
    is_number = text.isascii() and text.isdigit()
    return int(text) if is_number and len(text) <= MAX_DIGITS else None


def parse_64_bits(digits: str) -> int:
    """Returns the whole number of a JSON document.

    Args:
        digits: Its digits, with the sign.

    Raises:
        ValueError: If it takes more than 64 bits.
    """
    number = int(digits)
    if not MIN_INT64 <= number <= MAX_UINT64:
        raise ValueError('whole number of more than 64 bits')
    return number


def parse_finite(text: str) -> float | None:
    """Returns the finite number that a text states, or None.

    Args:
        text: Any text, such as a header.
    """
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) else None


def clamp_integer(number: int) -> int:
    """Returns the nearest number from -MAX_INTEGER to MAX_INTEGER.

    For bounds and ranks that an operator declares: one beyond all counts is as
    good as the greatest one, and must not cost the whole document.

    Args:
        number: Any whole number.
    """
    return max(-MAX_INTEGER, min(number, MAX_INTEGER))


def require_address(text: str) -> str:
    """Checks an IP address with a port that can be connected to.

    Args:
        text: Address to check.

    Raises:
        ValueError: If it is no such address.
    """
    host, _, port_text = text.rpartition(':')
    if host.startswith('['):
        ipaddress.IPv6Address(host.strip('[]'))
    else:
        ipaddress.IPv4Address(host)
    port = parse_count(port_text)
    if port is None or not 0 < port <= MAX_PORT:
        raise ValueError(f'port is not between 1 and {MAX_PORT}')
    return text


def require_name(text: str) -> str:
    """Checks a name that is passed on in messages and labels.

    Args:
        text: Name to check.

    Raises:
        ValueError: If it can't be encoded or is too long.
    """
    if len(text) > MAX_NAME_CHARS:
        raise ValueError(f'more than {MAX_NAME_CHARS} characters')
    text.encode()
    return text


def require_token(text: str) -> str:
    """Checks an id that is sent in headers.

    Args:
        text: Id to check.

    Raises:
        ValueError: If it is empty, too long or not of visible ASCII characters.
    """
    visible = text.isascii() and text.isprintable() and ' ' not in text
    if not visible or not 0 < len(text) <= MAX_NAME_CHARS:
        raise ValueError('not an id of visible ASCII characters')
    return text


def check_id(text: str, source: str) -> None:
    """Checks the id under which a document was written.

    Args:
        text: Id to check.
        source: Name of the document.

    Raises:
        DocumentError: If it can't be sent in headers.
    """
    try:
        require_token(text)
    except ValueError as error:
        raise field_error(source, 'key', error) from error


def field_error(source: str, path: str, reason: ValueError) -> DocumentError:
    """Returns the error of a document with one wrong field.

    Args:
        source: Name of the document.
        path: JSON path of the field.
        reason: Why its value is wrong.
    """
    problem = Problem(path, 'a value that is refused', str(reason))
    return DocumentError(source, (problem,))


Clamped = Annotated[int, AfterValidator(clamp_integer)]
Address = Annotated[str, AfterValidator(require_address)]
Count = Annotated[int, Field(ge=0, le=MAX_INTEGER)]
Name = Annotated[str, AfterValidator(require_name)]
