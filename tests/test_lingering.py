"""Tests of requests that nobody waits for."""

import asyncio

from borageyard.lingering import LingeringRequests


class TestLingering:
    """When such a request is ended."""

    async def test_at_once_without_a_time(self):
        """Its caller has left."""
        ended = []
        LingeringRequests(ended.append).hold('c', 0)
        assert ended == ['c']

    async def test_after_a_time(self):
        """Whoever waited may come back until then."""
        ended = []
        lingering = LingeringRequests(ended.append)
        lingering.hold('c', 1)
        assert not ended
        await asyncio.sleep(0.05)
        assert ended == ['c']

    async def test_not_if_it_is_asked_again(self):
        """It goes on."""
        ended = []
        lingering = LingeringRequests(ended.append)
        lingering.hold('c', 1)
        lingering.claim('c')
        await asyncio.sleep(0.05)
        assert not ended

    async def test_closing_ends_nothing(self):
        """The process ends."""
        ended = []
        lingering = LingeringRequests(ended.append)
        lingering.hold('c', 1)
        lingering.close()
        await asyncio.sleep(0.05)
        assert not ended
