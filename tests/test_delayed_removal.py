"""Tests of requests that nobody waits for."""

import asyncio

from borageyard.delayed_removal import DelayedRemoval


class TestDelayedRemoval:
    """When such a request is ended."""

    async def test_at_once_without_a_time(self):
        """Its caller has left."""
        ended = []
        DelayedRemoval(ended.append).schedule('c', 0)
        assert ended == ['c']

    async def test_after_a_time(self):
        """Whoever waited may come back until then."""
        ended = []
        delayed_removal = DelayedRemoval(ended.append)
        delayed_removal.schedule('c', 1)
        assert not ended
        await asyncio.sleep(0.05)
        assert ended == ['c']

    async def test_not_if_it_is_asked_again(self):
        """It goes on."""
        ended = []
        delayed_removal = DelayedRemoval(ended.append)
        delayed_removal.schedule('c', 1)
        delayed_removal.cancel('c')
        await asyncio.sleep(0.05)
        assert not ended

    async def test_closing_ends_nothing(self):
        """The process ends."""
        ended = []
        delayed_removal = DelayedRemoval(ended.append)
        delayed_removal.schedule('c', 1)
        delayed_removal.close()
        await asyncio.sleep(0.05)
        assert not ended
