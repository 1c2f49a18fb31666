"""Fuzzing of external input: heads, bodies, settings, answers, pages."""

import asyncio
import json
import re

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from borageyard.clock import ManualClock
from borageyard.configuration import parse_configuration
from borageyard.document_validation import (
    DocumentError,
    check_document,
    parse_json,
)
from borageyard.errors import ErrorKind, RefusalError
from borageyard.generated.http_bodies import LogPageBody
from borageyard.generated.settings import EntrySettings
from borageyard.http_client import HttpCall, HttpCallError, HttpClient
from borageyard.http_messages import HttpLimits, HttpRequest, json_response
from borageyard.wire import decode_request, encode_refusal

from .raw_http import LIMITS, answering, connected, serving

KINDS = frozenset(kind.value for kind in ErrorKind)
FAST = HttpLimits(
    max_body_bytes=512,
    receive_timeout_ms=20,
    idle_timeout_ms=20,
    send_timeout_ms=200,
)
# Fragments from which HTTP messages are composed.
PIECES = st.sampled_from(
    [
        b'GET / HTTP/1.1\r\n',
        b'POST /v1/pipelines/x HTTP/1.1\r\n',
        b'POST /%ff%zz?a=%00&b HTTP/1.0\r\n',
        b'GET http://[::1 HTTP/1.1\r\n',
        b'HTTP/1.1 200 OK\r\n',
        b'host: h\r\n',
        b'content-length: 5\r\n',
        b'content-length: 99999999999999999999\r\n',
        b'content-length: -1\r\n',
        b'transfer-encoding: chunked\r\n',
        b'expect: 100-continue\r\n',
        b'connection: close\r\n',
        b' folded\r\n',
        b'\r\n',
        b'5\r\nhello\r\n',
        b'0\r\n\r\n',
        b'ffffffffff\r\n',
        b'hello',
        b'\x00\xff',
        b'\n\n',
        b'POST /x HTTP/1.1\r\nhost: h\r\ncontent-length: 5\r\n\r\nhello',
        b'GET /y?%zz HTTP/1.1\r\nhost: h\r\n\r\n',
        b'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello',
        b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n',
    ],
)
PARTS = st.one_of(PIECES, st.binary(max_size=8))
MESSAGES = st.lists(PARTS, max_size=12).map(b''.join)
WORDS = st.sampled_from(
    ['', 'request', 'encoder', 'engine', 'a', '1', '127.0.0.1:1', '\x00', 'é'],
)
LEAVES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(2**70), 2**70),
    st.floats(),
    WORDS,
)
FIELDS = st.sampled_from(
    [
        'format',
        'organisations',
        'services',
        'pipelines',
        'stages',
        'name',
        'service',
        'inputs',
        'kind',
        'weight',
        'http',
        'platform',
        'start',
        'head',
        'records',
        'offset',
        'record',
        'a',
    ],
)
DOCUMENTS = st.recursive(
    LEAVES,
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(FIELDS, inner, max_size=5),
    ),
    max_leaves=12,
)
BOUNDED = settings(
    derandomize=True,
    max_examples=60,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)


async def hello(request):
    """Responds to any request with the size of its body."""
    return json_response({'size': len(request.body)})


async def send_to_server(sent):
    """Sends bytes; returns all received bytes and failures of the loop."""
    failures = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: failures.append(context))
    async with serving(hello, FAST) as server:
        async with connected(server) as (reader, writer):
            writer.write(sent)
            received = await asyncio.wait_for(reader.read(), 10)
    return received, failures


def split_responses(received):
    """Yields the status and the body of each response."""
    while received:
        head, _, received = received.partition(b'\r\n\r\n')
        length = re.search(rb'content-length: (\d+)', head, re.IGNORECASE)
        size = int(length[1]) if length else 0
        yield int(head.split(b' ')[1]), received[:size]
        received = received[size:]


async def call_server(sent):
    """Calls a server that responds with fixed bytes; returns the error."""
    call_error = None
    async with answering(sent) as address, HttpClient(LIMITS) as client:
        call = HttpCall(address, 'GET', '/', timeout_ms=200)
        try:
            await client.request(call)
        except HttpCallError as error:
            call_error = error
    return call_error


def outcome_of(function, *arguments):
    """Returns the result of a function or the error that it raised."""
    try:
        return function(*arguments)
    except (DocumentError, RefusalError) as error:
        return error


class TestHttp:
    """Arbitrary bytes from a client or a server."""

    @BOUNDED
    @given(MESSAGES)
    def test_any_request_ends(self, sent):
        """The connection ends without an internal error.

        Each refusal is complete and says that nothing ran.
        """
        received, failures = asyncio.run(send_to_server(sent))
        assert not failures
        for status, body in split_responses(received):
            assert status < 500
            if status >= 400:
                refusal = json.loads(body)
                assert refusal['kind'] in KINDS
                assert refusal['not_run'] is True
                assert len(refusal['detail']) <= 200

    @BOUNDED
    @given(MESSAGES)
    def test_any_response_ends(self, sent):
        """A caller gets a response or ``HttpCallError``, nothing else."""
        error = asyncio.run(call_server(sent))
        assert error is None or error.sent

    @settings(BOUNDED, max_examples=300)
    @given(
        st.dictionaries(
            st.sampled_from(
                [
                    'x-borage-deadline-ms',
                    'x-borage-priority',
                    'x-borage-request-id',
                    'idempotency-key',
                    'traceparent',
                    'accept',
                ],
            ),
            st.one_of(
                st.sampled_from(['', '-1', '0', '9' * 5000, '1e9', 'x' * 500]),
                st.integers().map(str),
            ),
        ),
        st.binary(max_size=12),
    )
    def test_any_headers_and_body(self, headers, body):
        """Any headers and body are decoded or refused as not run."""
        request = HttpRequest('POST', '/', {}, headers, body)
        decoded = outcome_of(decode_request, request, 'p', ManualClock())
        if isinstance(decoded, RefusalError):
            assert decoded.refusal.not_run is True
            assert encode_refusal('r', decoded.refusal).body
        else:
            assert decoded.expires_at_ms > 0
            assert len(decoded.request_id) <= 128


class TestDocuments:
    """Documents of any shape are accepted or rejected cleanly."""

    @pytest.mark.parametrize('model', [EntrySettings, LogPageBody])
    @settings(BOUNDED, max_examples=200)
    @given(DOCUMENTS)
    def test_any_document(self, model, document):
        """Validation raises only ``DocumentError``, with its problems."""
        checked = outcome_of(check_document, model, document, 'document')
        assert isinstance(checked, model) or checked.problems

    @settings(BOUNDED, max_examples=200)
    @given(DOCUMENTS)
    def test_any_configuration(self, document):
        """A configuration is built completely or rejected."""
        built = outcome_of(parse_configuration, document, 1)
        if isinstance(built, DocumentError):
            assert built.problems
        else:
            assert built.pipelines

    @settings(BOUNDED, max_examples=200)
    @given(st.binary(max_size=30))
    def test_any_text(self, text):
        """Any bytes are parsed as JSON or raise ``DocumentError``."""
        parsed = outcome_of(parse_json, text, 'text')
        if isinstance(parsed, DocumentError):
            assert parsed.problems
        else:
            json.dumps(parsed)

    def test_deep_nesting(self):
        """Nesting beyond the recursion limit raises ``DocumentError``."""
        with pytest.raises(DocumentError):
            parse_json(b'[' * 200_000, 'text')
