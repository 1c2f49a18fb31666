"""Tests of the delayed removal of requests without waiters."""

import asyncio

from borageyard.delayed_removal import DelayedRemoval


class TestDelayedRemoval:
    """When a request without waiters is removed."""

    async def test_at_once_without_a_delay(self):
        """A delay of zero removes the request immediately."""
        ended = []
        DelayedRemoval(ended.append).schedule('c', 0)
        assert ended == ['c']

    async def test_after_the_delay(self):
        """The request stays until the delay has passed."""
        ended = []
        delayed_removal = DelayedRemoval(ended.append)
        delayed_removal.schedule('c', 1)
        assert not ended
        await asyncio.sleep(0.05)
        assert ended == ['c']

    async def test_not_if_it_is_cancelled(self):
        """A request that is waited for again is not removed."""
        ended = []
        delayed_removal = DelayedRemoval(ended.append)
        delayed_removal.schedule('c', 1)
        delayed_removal.cancel('c')
        await asyncio.sleep(0.05)
        assert not ended

    async def test_close_removes_nothing(self):
        """Closing cancels the timers without removing requests."""
        ended = []
        delayed_removal = DelayedRemoval(ended.append)
        delayed_removal.schedule('c', 1)
        delayed_removal.close()
        await asyncio.sleep(0.05)
        assert not ended
