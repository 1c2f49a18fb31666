"""Tests that a part which crashes engines is kept from them by all entries."""

import math
import os

import pytest

from borageyard.standins.crashing_fleet import SETTLING_S, CrashingFleet
from borageyard.standins.election_soak import ElectionSoak
from borageyard.standins.virtual_time import in_virtual_time

START_S = 4
CALM_S = 12
# Requests with the part that may reach engines, as the users count them.
MAX_LATE_SENDS = 3
# A long run by hand: SOAK_SEEDS=60 python -m pytest -k Soak
SOAK_SEEDS = int(os.environ.get('SOAK_SEEDS', '2'))


class TestSoak:
    """Faults of entries and crashes of other causes beside the part."""

    @pytest.mark.parametrize('seed', range(SOAK_SEEDS))
    @pytest.mark.parametrize('size', [5, 27])
    @in_virtual_time
    async def test_part_crashes_few_engines(self, size, seed):
        """Sound requests with the same parts are served meanwhile."""
        async with CrashingFleet(size, seed).serving() as fleet:
            await fleet.run(START_S + CALM_S)
            fleet.bad_per_s = 1 + seed % 6
            await ElectionSoak(fleet, seed).run()
            await fleet.run(10)
            assert fleet.late_sends() <= MAX_LATE_SENDS
            calm = fleet.sound_share(START_S, START_S + CALM_S)
            since_s = fleet.fifth_crash_s + 2 * SETTLING_S
            assert fleet.sound_share(since_s, math.inf) >= calm / 2

    @pytest.mark.parametrize('seed', range(2 * SOAK_SEEDS + 4))
    @in_virtual_time
    async def test_part_comes_before_any_sound_answer(self, seed):
        """Nothing is known then of the parts that sound requests share."""
        fleet = CrashingFleet(5, seed)
        fleet.bad_per_s = 1 + seed % 8
        async with fleet.serving():
            await fleet.run(START_S)
            await ElectionSoak(fleet, seed).run()
            await fleet.run(10)
            assert fleet.late_sends() <= MAX_LATE_SENDS
            since_s = fleet.fifth_crash_s + 2 * SETTLING_S
            assert fleet.sound_share(since_s, math.inf) >= 1 / 2
