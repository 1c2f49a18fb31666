"""Experiment: one of five entries dies under load."""

import asyncio
import dataclasses
import pathlib
from collections.abc import Mapping
from typing import Any

from ..commands.demo import HUNDAGANGA, load_plan
from ..standins.deployment import Deployment
from .caller_load import (
    CallerFleet,
    CallerLoad,
    CallerTotals,
    count_double_runs,
    pause,
    shape_of,
)
from .report import BenchReport, Bound

EXAMPLES = pathlib.Path('examples')
ENTRIES = 5
RATE_PER_S = 20
CALLERS = 4
DEADLINE_MS = 9000
SETTLE_MS = 1500
BEFORE_MS = 3000
AFTER_MS = 4000
SHIPPED = 'shipped_client'
RETRY_ONCE = 'plain_retry_once'
NO_RETRY = 'plain_no_retry'


def run_entry_loss(seed: int) -> BenchReport:
    """Kills an entry while three kinds of callers send requests.

    Args:
        seed: Seed of the load.
    """
    totals, doubles = asyncio.run(_run(seed))
    figures: dict[str, Any] = {'double_runs': doubles}
    for name, seen in totals.items():
        figures[f'{name}_requests'] = seen.requests
        figures[f'{name}_attainment'] = seen.attainment
        figures[f'{name}_refused_not_run'] = seen.refused_not_run
        figures[f'{name}_unknown'] = seen.unknown
        figures[f'{name}_reasons'] = dict(seen.reasons)
    shipped = totals[SHIPPED]
    figures['shipped_client_lost'] = (
        shipped.requests - shipped.answered - shipped.unknown
    )
    bounds = (Bound('double_runs', 0), Bound('shipped_client_lost', 0))
    return BenchReport('entry-loss', seed, figures, bounds)


async def _run(seed: int) -> tuple[Mapping[str, CallerTotals], int]:
    plan = dataclasses.replace(
        load_plan(HUNDAGANGA, EXAMPLES),
        entries=ENTRIES,
    )
    async with (
        Deployment(plan) as deployment,
        CallerFleet(deployment) as fleet,
    ):
        await pause(SETTLE_MS)
        callers = {
            SHIPPED: [await fleet.shipped() for _ in range(CALLERS)],
            RETRY_ONCE: [await fleet.plain(2) for _ in range(CALLERS)],
            NO_RETRY: [await fleet.plain(1) for _ in range(CALLERS)],
        }
        shape = shape_of(deployment, RATE_PER_S, DEADLINE_MS)
        load = CallerLoad(callers, shape, seed)
        await _lose_entry(deployment, load)
        return load.totals, count_double_runs(deployment)


async def _lose_entry(deployment: Deployment, load: CallerLoad) -> None:
    """Kills the entry that runs most requests, in the middle of a load."""
    stop = asyncio.Event()
    work = asyncio.ensure_future(load.run(stop))
    await pause(BEFORE_MS)
    victim = max(
        deployment.all_entries(),
        key=lambda entry: entry.core.running,
    )
    await deployment.kill_entry(victim.settings.instance_id)
    await pause(AFTER_MS)
    stop.set()
    await work
