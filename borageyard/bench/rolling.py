"""Experiment: all entries are replaced one after another under load."""

import asyncio
import pathlib
from collections.abc import Awaitable, Callable
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
RATE_PER_S = 25
CALLER_COUNT = 4
DEADLINE_MS = 9000
STARTUP_MS = 1000
REPLACEMENT_PAUSE_MS = 300

Replace = Callable[[Deployment, str], Awaitable[None]]


def run_rolling(seed: int) -> BenchReport:
    """Replaces all entries by planned stops and, as a baseline, by kills.

    Args:
        seed: Seed of the load.

    Returns:
        The requests that were cut off and the double runs, with their bounds.
    """
    planned, double_runs = asyncio.run(_run(seed, Deployment.stop_entry))
    killed, _ = asyncio.run(_run(seed, Deployment.kill_entry))
    figures: dict[str, Any] = {
        'requests': planned.requests,
        'cut_requests': planned.requests - planned.answered,
        'double_runs': double_runs,
        'killed_requests': killed.requests,
        'killed_cut_requests': killed.requests - killed.answered,
        'reasons': dict(planned.reasons),
    }
    bounds = (Bound('cut_requests', 0), Bound('double_runs', 0))
    return BenchReport('rolling', seed, figures, bounds)


async def _run(seed: int, replace: Replace) -> tuple[CallerTotals, int]:
    """Runs callers that never retry, so that each cut-off request counts."""
    plan = load_plan(HUNDAGANGA, EXAMPLES)
    async with (
        Deployment(plan) as deployment,
        CallerFactory(deployment) as factory,
    ):
        await pause(STARTUP_MS)
        callers = [
            await factory.plain_caller(attempts=1) for _ in range(CALLER_COUNT)
        ]
        shape = full_load_shape(deployment, RATE_PER_S, DEADLINE_MS)
        load = CallerLoad({'plain': callers}, shape, seed)
        stop = asyncio.Event()
        load_task = asyncio.ensure_future(load.run(stop))
        await _replace_all(deployment, replace)
        stop.set()
        await load_task
        return load.totals['plain'], count_double_runs(deployment)


async def _replace_all(deployment: Deployment, replace: Replace) -> None:
    names = [entry.settings.instance_id for entry in deployment.all_entries()]
    for index, name in enumerate(names):
        await deployment.start_entry(len(names) + index)
        await pause(STARTUP_MS)
        await replace(deployment, name)
        await pause(REPLACEMENT_PAUSE_MS)
