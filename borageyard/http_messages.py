"""HTTP requests and responses as plain data."""

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
    """Bounds that keep one side from exhausting the other."""

    max_body_bytes: int = 4 * 1024 * 1024
    max_connections: int = 1024
    receive_timeout_ms: int = 10_000
    idle_timeout_ms: int = 60_000
    send_timeout_ms: int = 10_000
    connect_timeout_ms: int = 500


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRequest:
    """One request with its whole body."""

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes = b''
    # Path and query as they came.
    target: str = ''

    def header(self, name: str, default: str = '') -> str:
        """Returns a header by its lower-case name."""
        return self.headers.get(name, default)


@dataclasses.dataclass(frozen=True, slots=True)
class HttpResponse:
    """A response with its whole body or with a stream of chunks."""

    status: int
    body: bytes = b''
    # Empty if the headers name the type, or there is none.
    content_type: str = JSON_TYPE
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)
    chunks: AsyncIterator[bytes] | None = None


def json_response(
    document: object,
    status: int = HTTPStatus.OK,
) -> HttpResponse:
    """Returns a response with a JSON body.

    Args:
        document: What is encoded.
        status: HTTP status.
    """
    return HttpResponse(status, encode_json(document))


def encode_json(document: object) -> bytes:
    """Returns compact JSON."""
    return _ENCODER.encode(document).encode()


def encode_event(document: object) -> bytes:
    """Returns one server-sent event with a JSON payload."""
    return b'data: %b\n\n' % encode_json(document)


def combine_headers(
    headers: Iterable[tuple[str, str]],
) -> dict[str, str]:
    """Returns headers by name; repeated ones are joined (RFC 9110, 5.3).

    Args:
        headers: Names in lower case and texts, in their order.
    """
    combined: dict[str, str] = {}
    for name, text in headers:
        before = combined.get(name)
        combined[name] = text if before is None else f'{before}, {text}'
    return combined


def split_target(target: str) -> tuple[str, dict[str, str]]:
    """Splits a request target into its path and its query."""
    parts = urlsplit(target)
    query = dict(parse_qsl(parts.query))
    return unquote(parts.path), query


def split_address(address: str) -> tuple[str, int]:
    """Splits an address into its IP number and its port."""
    host, _, port = address.rpartition(':')
    return host.strip('[]'), int(port)
