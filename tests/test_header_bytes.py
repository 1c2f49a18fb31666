"""Tests that header values pass through as the bytes that they are."""

import functools
import random

import pytest

from borageyard.http_client import HttpCall, HttpClient
from borageyard.http_messages import HttpResponse
from tests.raw_http import serving
from tests.test_gateway import deployment

# RFC 9110, 5.5: visible ASCII and obs-text; blanks and tabs between.
EDGE_BYTES = bytes((*range(0x21, 0x7F), *range(0x80, 0x100)))
INNER_BYTES = bytes((*EDGE_BYTES, *b' \t'))
VALUES = 20
# Values of headers that aren't fields by that rule.
INVALID = ('two\r\nlines', 'nul\x00')


def draw_values(seed):
    """Yields values as text of one character a byte."""
    draws = random.Random(seed)
    yield 'Sigrún'.encode().decode('latin-1')
    for _ in range(VALUES):
        inner = bytes(draws.choices(INNER_BYTES, k=draws.randrange(40)))
        edges = bytes(draws.choices(EDGE_BYTES, k=2))
        yield (edges[:1] + inner + edges[1:]).decode('latin-1')


async def answer(value, request):
    """Answers with a header of this value."""
    return HttpResponse(200, b'ran', headers={'x-walker': value})


@pytest.mark.parametrize('path', ['/book/x', '/reply/x'])
class TestAnswers:
    """Guards against answers that are lost with one of their headers."""

    async def test_any_valid_value_of_a_target(self, path):
        """The request ran, and its caller gets the header unchanged."""
        async with deployment(1) as callers:
            send = callers.stream if 'reply' in path else callers.call
            for value in draw_values(1):
                for service in ('desk', 'model'):
                    callers.set_faults(service, headers={'x-walker': value})
                reply = await send(path)
                assert reply.status == 200
                assert reply.headers['x-walker'] == value

    async def test_any_valid_value_of_a_caller(self, path):
        """The request is not refused for it."""
        async with deployment(1) as callers:
            send = callers.stream if 'reply' in path else callers.call
            for value in draw_values(2):
                reply = await send(path, x_walker=value)
                assert reply.status == 200


class TestInvalidHeaders:
    """Guards against connections that end after a request has run."""

    @pytest.mark.parametrize('value', INVALID)
    async def test_answer_goes_without_it(self, value):
        """Whoever set the header, the caller gets the rest."""
        handle = functools.partial(answer, value)
        async with serving(handle) as server, HttpClient() as client:
            reply = await client.request(HttpCall(server.address, 'GET', '/'))
            assert reply.body == b'ran'
            assert 'x-walker' not in reply.headers

    async def test_characters_beyond_bytes(self):
        """They are written in UTF-8."""
        handle = functools.partial(answer, 'Łucja')
        async with serving(handle) as server, HttpClient() as client:
            reply = await client.request(HttpCall(server.address, 'GET', '/'))
            value = reply.headers['x-walker']
            assert value.encode('latin-1').decode() == 'Łucja'
