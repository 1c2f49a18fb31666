"""Tests of what the configuration lets callers do."""

import pytest

from borageyard.errors import ErrorKind, RefusalError
from borageyard.inbound import InboundRequest
from borageyard.request_relay import _authorise
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
