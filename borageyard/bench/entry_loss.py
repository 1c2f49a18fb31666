"""Experiment: one of five entries is killed under load."""

import asyncio
import dataclasses
import pathlib
from collections.abc import Mapping
from typing import Any

from ..commands.demo import HUNDAGANGA, load_plan
from ..standins.deployment import Deployment
from .caller_load import (
    CallerFactory,
    CallerLoad,
    CallerTotals,
    count_double_runs,
    full_load_shape,
    pause,
)
from .report import BenchReport, Bound

EXAMPLES = pathlib.Path('examples')
ENTRY_COUNT = 5
RATE_PER_S = 20
CALLERS_PER_KIND = 4
DEADLINE_MS = 9000
WARM_UP_MS = 1500
LOAD_BEFORE_MS = 3000
LOAD_AFTER_MS = 4000
SHIPPED_CLIENT = 'shipped_client'
RETRY_ONCE = 'plain_retry_once'
NO_RETRY = 'plain_no_retry'


def run_entry_loss(seed: int) -> BenchReport:
    """Kills an entry while three kinds of callers send requests.

    Args:
        seed: Seed of the load.

    Returns:
        The outcomes of each kind of callers, with the bounds on double runs and
        on requests that the client of this package lost.
    """
    totals, double_runs = asyncio.run(_run(seed))
    figures: dict[str, Any] = {'double_runs': double_runs}
    for name, caller_totals in totals.items():
        figures[f'{name}_requests'] = caller_totals.requests
        figures[f'{name}_attainment'] = caller_totals.attainment
        figures[f'{name}_refused_not_run'] = caller_totals.refused_not_run
        figures[f'{name}_unknown'] = caller_totals.unknown
        figures[f'{name}_reasons'] = dict(caller_totals.reasons)
    shipped = totals[SHIPPED_CLIENT]
    figures['shipped_client_lost'] = (
        shipped.requests - shipped.answered - shipped.unknown
    )
    bounds = (Bound('double_runs', 0), Bound('shipped_client_lost', 0))
    return BenchReport('entry-loss', seed, figures, bounds)


async def _run(seed: int) -> tuple[Mapping[str, CallerTotals], int]:
    plan = dataclasses.replace(
        load_plan(HUNDAGANGA, EXAMPLES),
        entries=ENTRY_COUNT,
    )
    async with (
        Deployment(plan) as deployment,
        CallerFactory(deployment) as factory,
    ):
        await pause(WARM_UP_MS)
        callers = {
            SHIPPED_CLIENT: [
                await factory.client_caller() for _ in range(CALLERS_PER_KIND)
            ],
            RETRY_ONCE: [
                await factory.plain_caller(2) for _ in range(CALLERS_PER_KIND)
            ],
            NO_RETRY: [
                await factory.plain_caller(1) for _ in range(CALLERS_PER_KIND)
            ],
        }
        shape = full_load_shape(deployment, RATE_PER_S, DEADLINE_MS)
        load = CallerLoad(callers, shape, seed)
        await _kill_busiest_entry(deployment, load)
        return load.totals, count_double_runs(deployment)


async def _kill_busiest_entry(deployment: Deployment, load: CallerLoad) -> None:
    """Runs a load and kills the entry with the most requests meanwhile."""
    stop = asyncio.Event()
    load_task = asyncio.ensure_future(load.run(stop))
    await pause(LOAD_BEFORE_MS)
    busiest = max(
        deployment.all_entries(),
        key=lambda entry: entry.core.running,
    )
    await deployment.kill_entry(busiest.settings.instance_id)
    await pause(LOAD_AFTER_MS)
    stop.set()
    await load_task
