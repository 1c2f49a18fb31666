"""HTTP requests and responses as data classes, and their encoding."""

import dataclasses
import json
from collections.abc import AsyncIterator, Iterable, Mapping
from http import HTTPStatus
from urllib.parse import parse_qsl, unquote, urlsplit

JSON_TYPE = 'application/json'
EVENT_STREAM_TYPE = 'text/event-stream'
_ENCODER = json.JSONEncoder(separators=(',', ':'))


@dataclasses.dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits on size, time and number of connections against overload."""

    max_body_bytes: int = 4 * 1024 * 1024
    max_connections: int = 1024
    # Longest time for the head of a request, from its first byte.
    head_timeout_ms: int = 10_000
    # Longest time without progress of a body.
    receive_timeout_ms: int = 10_000
    idle_timeout_ms: int = 60_000
    send_timeout_ms: int = 10_000
    connect_timeout_ms: int = 500


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRequest:
    """One request with its complete body."""

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes = b''
    # Request target as received: path and query, still percent-encoded.
    target: str = ''

    def header(self, name: str, default: str = '') -> str:
        """Returns the header with a lower-case name, or the default."""
        return self.headers.get(name, default)


@dataclasses.dataclass(frozen=True, slots=True)
class HttpResponse:
    """A response with a complete body or a stream of chunks."""

    status: int
    body: bytes = b''
    # Empty if ``headers`` contains the type or the response has none.
    content_type: str = JSON_TYPE
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)
    chunks: AsyncIterator[bytes] | None = None


def json_response(
    document: object,
    status: int = HTTPStatus.OK,
) -> HttpResponse:
    """Returns a response with a JSON body.

    Args:
        document: JSON-serialisable document.
        status: HTTP status.
    """
    return HttpResponse(status, encode_json(document))


def encode_json(document: object) -> bytes:
    """Encodes a document as compact JSON.

    Raises:
        TypeError: If the document is not JSON-serialisable.
    """
    return _ENCODER.encode(document).encode()


def encode_event(document: object) -> bytes:
    """Encodes a document as one server-sent event.

    Raises:
        TypeError: If the document is not JSON-serialisable.
    """
    return b'data: %b\n\n' % encode_json(document)


def combine_headers(
    headers: Iterable[tuple[str, str]],
) -> dict[str, str]:
    """Returns headers by name, joining repeated ones (RFC 9110, 5.3).

    Args:
        headers: Lower-case names and values, in order of arrival.
    """
    combined: dict[str, str] = {}
    for name, text in headers:
        before = combined.get(name)
        combined[name] = text if before is None else f'{before}, {text}'
    return combined


def split_request_target(target: str) -> tuple[str, dict[str, str]]:
    """Splits a request target into its decoded path and query.

    Of a repeated query parameter only the last one is returned.

    Raises:
        ValueError: If the target is malformed.
    """
    parts = urlsplit(target)
    query = dict(parse_qsl(parts.query))
    return unquote(parts.path), query


def media_type(headers: Mapping[str, str]) -> str:
    """Returns the media type that headers state, without parameters.

    Args:
        headers: Headers by lower-case name.
    """
    return headers.get('content-type', '').partition(';')[0].strip().lower()


def split_address(address: str) -> tuple[str, int]:
    """Splits an address into host and port; removes IPv6 brackets.

    Raises:
        ValueError: If the port is missing or not an integer.
    """
    host, _, port = address.rpartition(':')
    return host.strip('[]'), int(port)
