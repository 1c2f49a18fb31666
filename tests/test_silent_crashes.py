"""Tests that engines whose crash shows as silence are counted."""

import asyncio

import pytest

from .test_crashing_parts import (
    MAX_LATE_SENDS,
    STABLE_WINDOW_S,
    deployment,
)

# Crashes of one request after which the users count its further sends.
THIRD = 3
RESTART_MS = 1400
# Time from the end of an engine to the expiry of its record.
EXPIRE_MS = 2500
# Pause between sends of the request, and the number of sends that are enough
# to end three engines.
PAUSE_S = 0.15
SENDS = 100


async def repeat_till_third_crash(callers):
    """Sends one request over and over until it has ended three engines."""
    sends = []
    for _ in range(SENDS):
        sends.append(asyncio.ensure_future(repeat_once(callers)))
        await asyncio.sleep(PAUSE_S)
        if callers.crashes >= THIRD:
            break
    return sends


async def repeat_once(callers):
    """Sends the request that crashes engines; returns its status."""
    return await callers.send('cc:40', name='same')


async def repeat_for(callers, span_s):
    """Goes on with the sends for some time."""
    return [
        asyncio.ensure_future(repeat_once(callers))
        for _ in range(round(span_s / PAUSE_S))
        if await asyncio.sleep(PAUSE_S, result=True)
    ]


class TestSilentCrash:
    """Incident BUDGET: engines go dark under one and the same request."""

    @pytest.mark.parametrize(
        'plan',
        [
            {'after_events': 0},
            {'after_events': 1, 'keeps_id': True},
            {'expire_ms': EXPIRE_MS, 'keeps_address': False},
        ],
        ids=['at_once', 'same_id', 'record_expires'],
    )
    async def test_request_goes_on_silencing_engines(self, plan):
        """Soon after the third crash no more than three are sent."""
        async with deployment() as callers:
            callers.crash_under_the_part(
                silent=True, restart_ms=RESTART_MS, **plan
            )
            sends = await repeat_till_third_crash(callers)
            sends += await repeat_for(callers, STABLE_WINDOW_S)
            sent_before = callers.bad_arrivals
            sends += await repeat_for(callers, 2 * STABLE_WINDOW_S)
            await asyncio.gather(*sends)
            assert callers.bad_arrivals - sent_before <= MAX_LATE_SENDS
