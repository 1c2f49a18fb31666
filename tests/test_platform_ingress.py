"""Tests of decoding callers' requests and encoding refusals."""

import types

import pytest

from borageyard.errors import ErrorKind, Refusal, RefusalError
from borageyard.http_messages import HttpRequest
from borageyard.platform.ingress import decode_request, encode_refusal

HEADERS = types.MappingProxyType(
    {
        'host': 'Walks.example:80',
        'x-attempt-id': 'a1',
        'x-deadline-ms': '1500',
        'authorization': 'Token secret',
        'x-model': 'm',
        'x-token-count': '1460,80',
        'x-prefix-hash': '5c1e:800,91bd:410,e440:250',
        'x-pieces': '2,0,6',
        'x-piece-key': 'k',
        'last-event-id': '12',
        'accept': 'text/event-stream',
    }
)


def decode(**changed):
    """Returns the decoded request with some headers changed."""
    headers = {**HEADERS, **changed}
    request = HttpRequest(
        'POST',
        '/a b',
        {},
        {name.replace('_', '-'): text for name, text in headers.items()},
        target='/a%20b?c=d',
    )
    return decode_request(request, 100)


class TestDecode:
    """Decoding of headers and the request target."""

    def test_fields(self):
        """Path and query stay encoded, and headers are decoded."""
        request = decode()
        assert (request.path, request.request_target) == (
            '/a%20b',
            '/a%20b?c=d',
        )
        assert request.host == 'walks.example'
        assert request.wait_ms == 1500
        assert request.api_key == 'secret'
        assert request.piece_counts == (2, 0, 6)
        assert request.prompt.prompt_tokens == 1460
        assert [part.tokens for part in request.prompt.parts] == [800, 410, 250]

    @pytest.mark.parametrize(
        'name',
        [
            'authorization',
            'connection',
            'kv_from',
            'transfer_encoding',
            'x_expect_instance',
            'x_hold',
            'x_inputs',
            'x_kv_backup',
            'x_pin_ms',
            'x_request_priority',
            'x_tenant',
        ],
    )
    def test_what_callers_may_not_set(self, name):
        """Reserved and hop-by-hop headers are not forwarded."""
        request = decode(**{name: 'forged'})
        assert name.replace('_', '-') not in request.headers

    @pytest.mark.parametrize('tokens', ['\xb2', '9' * 5000, '-1', ''])
    def test_part_of_a_prompt_without_a_size(self, tokens):
        """It is left out, as its cost is not known."""
        request = decode(x_prefix_hash=f'5c1e:800,91bd:{tokens}')
        assert [part.tokens for part in request.prompt.parts] == [800]

    def test_headers_of_the_connection(self):
        """A header that the connection header names is not forwarded."""
        request = decode(connection='close, x-once', x_once='1')
        assert 'x-once' not in request.headers
        assert request.headers['accept'] == 'text/event-stream'

    @pytest.mark.parametrize(
        'changed',
        [
            {'x_attempt_id': ''},
            {'x_deadline_ms': 'soon'},
            {'x_deadline_ms': 'nan'},
            {'x_deadline_ms': 'inf'},
            {'x_token_count': '-1,2'},
            {'x_token_count': '9' * 5000},
            {'x_pieces': '2,\xb2'},
            {'x_pieces': '2,x'},
            {'x_token_count': 'many'},
        ],
    )
    def test_malformed(self, changed):
        """A request with a missing id or a malformed header is refused."""
        with pytest.raises(RefusalError) as caught:
            decode(**changed)
        assert caught.value.refusal.kind is ErrorKind.BAD_REQUEST


class TestRefusal:
    """Responses to requests that are refused."""

    def test_time_to_come_back(self):
        """The retry time is sent with fractions of a second."""
        refusal = Refusal(ErrorKind.DEADLINE_UNREACHABLE, retry_after_ms=1234)
        response = encode_refusal('a1', refusal)
        assert response.status == 503
        assert response.headers == {
            'x-attempt-id': 'a1',
            'retry-after': '1.234',
        }
