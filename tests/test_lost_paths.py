"""Tests of gateways that lose their path to some or all engines."""

import asyncio

import pytest

from borageyard.standins.target_partition import PartitionMode

from .test_crashing_parts import SOUND_PROMPT, deployment

CUTS = 4
CUT_S = 0.7
# Requests under way at each cut; they are all the same one.
REQUESTS = 12
SILENCE_MS = 400


class TestLostPath:
    """Incident BUDGET: engines that run are taken for crashed."""

    @pytest.mark.parametrize('mode', [PartitionMode.RESET, PartitionMode.HANG])
    @pytest.mark.parametrize('only_engines', [True, False])
    async def test_sound_request_is_quarantined(self, mode, only_engines):
        """Cuts that come and go leave it as it is, at all gateways."""
        async with deployment() as callers:
            addresses = [self.slow_down(one) for one in callers.engines]
            cut = callers.running.gateways[0]
            for _ in range(CUTS):
                sends = [
                    asyncio.ensure_future(
                        callers.send(SOUND_PROMPT, name='same', gateway=0)
                    )
                    for _ in range(REQUESTS)
                ]
                await asyncio.sleep(SILENCE_MS / 2000)
                cut.partition.begin(mode, addresses if only_engines else ())
                await asyncio.sleep(CUT_S)
                cut.partition.begin(PartitionMode.NONE)
                await asyncio.gather(*sends)
            evidence = [
                one.gateway.suspects.evidence
                for one in callers.running.gateways
            ]
            assert all(one.is_empty for one in evidence)
            assert await callers.send(SOUND_PROMPT, name='same') == 200

    def slow_down(self, engine):
        """Lets an engine that never crashes pause; returns its address."""
        engine.faults.crashing_part = ''
        engine.faults.silent_after = 0
        engine.faults.silence_ms = SILENCE_MS
        return engine.address
