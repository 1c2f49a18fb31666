"""Tests of what the configuration lets callers do."""

import pytest

from borageyard.errors import ErrorKind, RefusalError
from borageyard.inbound import InboundRequest
from borageyard.request_relay import (
    MAX_PIECES,
    _authorise,
    _require_few_pieces,
)
from borageyard.serving_configuration import (
    Backend,
    CallerLimits,
    RequestKind,
    ServedOrganisation,
    ServiceRoute,
    ServingConfiguration,
)

KENNELS = ServedOrganisation('kennels', None)


def authorise(key, *, anonymous):
    """Returns the organisation of a request with a key; empty without one."""
    route = ServiceRoute(
        name='read',
        host='h',
        path_prefix='/',
        kind=RequestKind.IDEMPOTENT,
        timeout_ms=1000,
        target_latency_ms=100,
        backends=(Backend('desk'),),
        max_attempts=1,
        resumable=False,
        target_event_gap_ms=0,
        stages=(),
        allow_anonymous=anonymous,
    )
    limits = CallerLimits(1000, 1000, 1000, 1000)
    configuration = ServingConfiguration(
        1, (route,), {}, limits, {'known': KENNELS}
    )
    request = InboundRequest(
        'r1', 'h', 'GET', '/', '/', {}, b'', 0, 1000, api_key=key
    )
    return _authorise(configuration, request)[1]


class TestKeys:
    """Keys of organisations, and requests without one."""

    def test_unknown_key_is_served_as_anonymous(self):
        """A key that was taken away still worked on anonymous routes."""
        with pytest.raises(RefusalError) as caught:
            authorise('gone', anonymous=True)
        assert caught.value.refusal.kind is ErrorKind.UNAUTHORISED

    def test_route_allows_anonymous_requests(self):
        """No key is needed, and a known one counts."""
        assert authorise('', anonymous=True) is None
        assert authorise('known', anonymous=True) is KENNELS

    @pytest.mark.parametrize('key', ['', 'gone'])
    def test_route_needs_a_key(self, key):
        """The request is refused."""
        with pytest.raises(RefusalError):
            authorise(key, anonymous=False)


class TestPieces:
    """Number of pieces that a request may have."""

    @pytest.mark.parametrize('counts', [(), (MAX_PIECES,), (1, 0, 6)])
    def test_as_many_as_a_scheduler_keeps(self, counts):
        """The request is admitted."""
        _require_few_pieces(prompt(counts))

    def test_header_with_millions_of_pieces_takes_memory(self):
        """Each scheduler built lists as long as it said."""
        with pytest.raises(RefusalError) as caught:
            _require_few_pieces(prompt((1, MAX_PIECES)))
        assert caught.value.refusal.kind is ErrorKind.BAD_REQUEST


def prompt(counts):
    """Returns a request with a number of pieces for each stage."""
    return InboundRequest(
        'r1', 'h', 'POST', '/', '/', {}, b'', 0, 1000, piece_counts=counts
    )
