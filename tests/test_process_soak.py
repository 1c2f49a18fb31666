"""Soak of gateways that are real processes.

CI runs a few short seeds. By hand: ``SOAK_SEEDS=50 SOAK_S=30``, and
``SOAK_CODES`` with folders of the code that the gateways run in turn; what the
first one answers is judged.
"""

import os
import pathlib
import sys

import pytest

from tests.process_fleet import ROOT, ProcessFleet
from tests.process_soak import (
    MANY_COPIES,
    PATH_DISTURBANCES,
    ProcessSoak,
)

FIRST_SEED = int(os.environ.get('SOAK_FIRST', '0'))
SEEDS = range(FIRST_SEED, FIRST_SEED + int(os.environ.get('SOAK_SEEDS', '3')))
LOAD_S = float(os.environ.get('SOAK_S', '12'))
GATEWAYS = int(os.environ.get('SOAK_GATEWAYS', '4'))
CODES = tuple(
    pathlib.Path(code)
    for code in os.environ.get('SOAK_CODES', str(ROOT)).split(os.pathsep)
)


async def play(folder, seed, *, partitioned=(), **options):
    """Plays a soak; returns and prints what was seen.

    Args:
        folder: Folder of settings and logs.
        seed: Seed of the soak.
        partitioned: Numbers of the gateways that reach no target.
        **options: Options of the soak.
    """
    fleet = ProcessFleet(folder, gateways=GATEWAYS, seed=seed, codes=CODES)
    async with fleet.running():
        soak = ProcessSoak(fleet, seed, copies=MANY_COPIES, **options)
        cut_off = [fleet.gateways[number] for number in partitioned]
        for gateway in cut_off:
            soak.partition(gateway)
        result = await soak.play(LOAD_S)
        result.partitioned = list(map(result.served_by, cut_off))
    sys.stdout.write(f'seed {seed}: {result.summary()}\n')
    return result


@pytest.mark.parametrize('seed', SEEDS)
class TestProcesses:
    """Counts of the targets against the answers to callers."""

    async def test_refused_requests_run_and_others_run_twice(
        self, tmp_path, seed
    ):
        """Incident 51, with copies of refusals, cuts, pauses and kills."""
        result = await play(tmp_path, seed)
        assert not result.broken_by(CODES[0])
        assert not result.ended
        assert result.copied
        assert result.served > len(result.statuses) / 4

    async def test_statuses_of_targets_promise_what_is_not_known(
        self, tmp_path, seed
    ):
        """Targets run requests and answer 503 without a statement."""
        result = await play(tmp_path, seed, unproven=(503, 0.1))
        assert not result.broken_by(CODES[0])
        assert not result.ended
        assert result.unproven
        assert result.served > len(result.statuses) / 4

    async def test_requests_that_peers_pass_on_run_though_refused(
        self, tmp_path, seed
    ):
        """One gateway reaches targets through peers only, which end or stop."""
        result = await play(
            tmp_path, seed, partitioned=(0,), quiet=PATH_DISTURBANCES
        )
        assert not result.broken_by(CODES[0])
        assert not result.ended
        assert result.copied
        assert min(result.partitioned)
