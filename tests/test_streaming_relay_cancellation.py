"""Tests of relayed streams whose callers leave at any step."""

import asyncio

import pytest

from borageyard.standins.virtual_time import in_virtual_time
from tests.test_streaming_relay import LONG_MS, Engine, Fleet, relay

# Steps of the event loop in which an exchange is replaced and closed.
STEPS = 12


class TestCancelAtEachStep:
    """A caller leaves while its stream changes between two engines."""

    @pytest.mark.parametrize('steps', range(STEPS))
    @pytest.mark.parametrize(
        ('at_ms', 'silence_ms', 'other_silence_ms'),
        [
            (2000, LONG_MS, 0),
            (2500, LONG_MS, 500),
            (3300, 3200, LONG_MS),
        ],
    )
    @pytest.mark.parametrize('cancels', [1, 2])
    @in_virtual_time
    async def test_no_run_is_left(
        self, steps, at_ms, silence_ms, other_silence_ms, cancels
    ):
        """Incident LOST: a second engine ran on without a reader."""
        fleet = Fleet(Engine('m1', silence_ms), Engine('m2', other_silence_ms))
        relaying = asyncio.ensure_future(relay(fleet))
        await asyncio.sleep(at_ms / 1000)
        for _ in range(steps):
            await asyncio.sleep(0)
        for _ in range(cancels):
            relaying.cancel()
            await asyncio.sleep(0)
        await asyncio.sleep(0.4)
        assert not any(one.running for one in fleet.engines.values())
