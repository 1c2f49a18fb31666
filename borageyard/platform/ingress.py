"""Decodes requests from the platform's callers and encodes responses."""

from collections.abc import Mapping

from ..clock import MS_PER_S
from ..engine_placer import Prompt, PromptPart
from ..errors import ErrorKind, Refusal, RefusalError
from ..field_checks import parse_count, parse_finite
from ..http_messages import HttpRequest, HttpResponse, encode_json
from ..inbound import InboundRequest

ATTEMPT_ID_HEADER = 'x-attempt-id'
DEADLINE_HEADER = 'x-deadline-ms'
# Id of the caller's earlier request that brought the first event of a stream.
RESUMED_ID_HEADER = 'resumes'
KEY_SCHEME = 'token '
READY_PATH = '/readyz'
DIRECTORY_PATH = '/resolve'
# Hop-by-hop headers, which apply to one connection (RFC 9110, 7.6.1).
CONNECTION_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    ),
)
# Headers that a gateway sets itself on requests to targets, whatever the caller
# sent, and the caller's API key.
RESERVED_HEADERS = frozenset(
    (
        'authorization',
        DEADLINE_HEADER,
        'kv-fetch',
        'kv-from',
        'last-event-id',
        'x-expect-instance',
        'x-expect-version',
        'x-hold',
        'x-inputs',
        'x-kv-backup',
        'x-pin-ms',
        'x-request-priority',
        'x-tenant',
    ),
)


def decode_request(
    request: HttpRequest,
    received_at_ms: float,
) -> InboundRequest:
    """Decodes a caller's request.

    Args:
        request: The HTTP request as received.
        received_at_ms: Monotonic time at which it was received.

    Raises:
        RefusalError: If the request id is missing or a header is malformed.
    """
    request_id = request_id_of(request.headers)
    if not request_id:
        raise _malformed_header(ATTEMPT_ID_HEADER)
    host = request.header('host').rpartition(':')[0] or request.header('host')
    return InboundRequest(
        request_id=request_id,
        host=host.lower(),
        method=request.method,
        path=request.target.partition('?')[0],
        request_target=request.target,
        headers=forwarded_headers(request.headers, RESERVED_HEADERS),
        body=request.body,
        received_at_ms=received_at_ms,
        wait_ms=_decode_wait_ms(request),
        api_key=_decode_key(request),
        prompt=_decode_prompt(request),
        piece_counts=_decode_numbers(request, 'x-pieces'),
        piece_key=request.header('x-piece-key'),
        last_event_id=request.header('last-event-id'),
        resumed_request_id=request.header(RESUMED_ID_HEADER),
    )


def request_id_of(headers: Mapping[str, str]) -> str:
    """Returns the id of a caller's request; empty if it has none.

    Args:
        headers: Headers of the request.
    """
    return headers.get(ATTEMPT_ID_HEADER, '')


def encode_refusal(request_id: str, refusal: Refusal) -> HttpResponse:
    """Returns the response to a request that is refused.

    Args:
        request_id: Id of the request; empty if it has none.
        refusal: Reason and retry time.
    """
    headers: dict[str, str] = {}
    if request_id:
        headers[ATTEMPT_ID_HEADER] = request_id
    if refusal.retry_after_ms:
        retry_after_s = round(refusal.retry_after_ms / MS_PER_S, 3)
        headers['retry-after'] = str(retry_after_s)
    body = encode_json(
        {
            'error': refusal.kind.value,
            'message': refusal.answer.message,
            'detail': refusal.detail,
        },
    )
    return HttpResponse(refusal.answer.status, body, headers=headers)


def encode_addresses(addresses: tuple[str, ...], ttl_s: float) -> bytes:
    """Returns the response body that lists addresses for callers.

    Args:
        addresses: Addresses that callers may connect to.
        ttl_s: Time for which callers may cache the list, in seconds.
    """
    return encode_json({'addresses': list(addresses), 'ttlS': ttl_s})


def forwarded_headers(
    headers: Mapping[str, str],
    dropped: frozenset[str],
) -> dict[str, str]:
    """Returns the headers to forward to the other side.

    Args:
        headers: Headers by lower-case name.
        dropped: Names of headers to drop, besides hop-by-hop headers.
    """
    connection_options = {
        name.strip().lower()
        for name in headers.get('connection', '').split(',')
    }
    return {
        name: text
        for name, text in headers.items()
        if name not in CONNECTION_HEADERS
        and name not in dropped
        and name not in connection_options
    }


def _decode_wait_ms(request: HttpRequest) -> float | None:
    header_value = request.header(DEADLINE_HEADER)
    if not header_value:
        return None
    wait_ms = parse_finite(header_value)
    if wait_ms is None:
        raise _malformed_header(DEADLINE_HEADER)
    return wait_ms


def _decode_key(request: HttpRequest) -> str:
    header_value = request.header('authorization')
    if header_value.lower().startswith(KEY_SCHEME):
        return header_value[len(KEY_SCHEME) :].strip()
    return ''


def _decode_prompt(request: HttpRequest) -> Prompt | None:
    counts = _decode_numbers(request, 'x-token-count')
    if not counts:
        return None
    parts = []
    for prefix in request.header('x-prefix-hash').split(','):
        part_id, _, tokens = prefix.strip().partition(':')
        count = parse_count(tokens)
        if part_id and count is not None:
            parts.append(PromptPart(part_id, count))
    output_tokens = counts[1] if len(counts) > 1 else 0
    return Prompt(
        request.header('x-model'),
        tuple(parts),
        counts[0],
        output_tokens,
    )


def _decode_numbers(request: HttpRequest, name: str) -> tuple[int, ...]:
    header_value = request.header(name)
    if not header_value:
        return ()
    numbers = [parse_count(text.strip()) for text in header_value.split(',')]
    known = tuple(number for number in numbers if number is not None)
    if len(known) < len(numbers):
        raise _malformed_header(name)
    return known


def _malformed_header(name: str) -> RefusalError:
    return RefusalError(Refusal(ErrorKind.BAD_REQUEST, detail=name))
