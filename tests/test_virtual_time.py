"""Tests of the event loop in virtual time."""

import asyncio

import pytest

from borageyard.standins.virtual_time import DeadlockError, run_virtual


async def sleep_and_return_time(duration_s):
    """Sleeps and returns the time of the event loop."""
    await asyncio.sleep(duration_s)
    return asyncio.get_running_loop().time()


async def completion_order(*durations_s):
    """Returns durations in the order in which their sleeps end."""
    sleeps = [
        asyncio.ensure_future(asyncio.sleep(duration_s, duration_s))
        for duration_s in durations_s
    ]
    return [await sleep for sleep in asyncio.as_completed(sleeps)]


class TestVirtualTime:
    """Virtual time advances only by timers."""

    def test_long_sleep_takes_its_virtual_time(self):
        """After a sleep of one day the loop time is one day."""
        assert run_virtual(sleep_and_return_time(86400)) == pytest.approx(86400)

    def test_timers_keep_their_order(self):
        """The shorter of two concurrent sleeps ends first."""
        order = run_virtual(completion_order(2, 1))
        assert order == [1, 2]

    def test_waiting_for_nothing_is_an_error(self):
        """A wait that nothing can end raises an error instead of hanging."""
        with pytest.raises(DeadlockError):
            run_virtual(asyncio.Event().wait())
