"""Tests of the silence after which another engine is asked."""

import pytest

from borageyard.serving_configuration import (
    Backend,
    RequestKind,
    ServiceRoute,
)
from borageyard.silence import (
    SHORT_SILENCE_MS,
    ask_after_ms,
    caller_timeout_ms,
)

LEFT_MS = 20_000


def route(target_latency_ms, gap_ms):
    """Returns a route with a target latency and a longest gap."""
    return ServiceRoute(
        name='brief',
        host='h',
        path_prefix='/',
        kind=RequestKind.STREAMING,
        timeout_ms=LEFT_MS,
        target_latency_ms=target_latency_ms,
        backends=(Backend('model'),),
        resumable=True,
        target_event_gap_ms=gap_ms,
    )


ROUTES = tuple(
    route(latency_ms, gap_ms)
    for latency_ms in (0, 300, 1600, 2300)
    for gap_ms in (0, 100, 400, 1000)
)


@pytest.mark.parametrize('declared', ROUTES)
class TestAskAfter:
    """Bounds that hold for any route."""

    @pytest.mark.parametrize('begun', [False, True])
    def test_is_between_a_short_silence_and_the_end_of_patience(
        self, declared, begun
    ):
        """A sound engine is waited for, a caller does not give up."""
        after_ms = ask_after_ms(declared, LEFT_MS, begun=begun, listed=True)
        assert SHORT_SILENCE_MS <= after_ms
        assert after_ms <= 0.75 * caller_timeout_ms(declared)

    def test_leaves_half_of_the_time_to_the_next_engine(self, declared):
        """Where the deadline comes before the end of patience."""
        left_ms = 3200
        after_ms = ask_after_ms(declared, left_ms, begun=True, listed=True)
        assert after_ms <= left_ms / 2

    @pytest.mark.parametrize('begun', [False, True])
    def test_engine_that_is_not_listed_is_replaced_sooner(
        self, declared, begun
    ):
        """As soon as it is silent for longer than engines should be."""
        listed_ms, unlisted_ms = (
            ask_after_ms(declared, LEFT_MS, begun=begun, listed=listed)
            for listed in (True, False)
        )
        assert unlisted_ms <= listed_ms
