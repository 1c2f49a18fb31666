"""Experiment: time until all entries have accepted a configuration change."""

import asyncio
import contextlib
import copy
import dataclasses
import pathlib
import random
import statistics
from collections.abc import AsyncIterator, Sequence
from typing import Any

from ..commands.demo import HUNDAGANGA, load_plan
from ..configuration_changes import ChangeOutcome
from ..core import EntryCore
from ..generated.http_configuration import ProposalBody
from ..identifiers import new_identifier
from ..permission import drift_safe_wait_ms
from ..requests import PipelineRequest
from ..standins.memory_deployment import MemoryDeployment
from ..standins.virtual_time import run_virtual
from .report import BenchReport, Bound

EXAMPLES = pathlib.Path('examples')
ENTRIES = 5
CHANGES = 20
WARM_UP_S = 3.0
MIN_ONE_WAY_MS = 0.5
MAX_ONE_WAY_MS = 3.0
POLL_S = 0.001
REQUESTS_PER_S = 100
DEADLINE_MS = 9000
WAIT_MS = 10_000
ALL_ALIVE_LIMIT_MS = 1000.0
DEAD_ENTRY_LIMIT_MS = 3000.0
BASE_WEIGHT = 2


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeTimes:
    """Times of one change, in milliseconds from the start of its apply."""

    in_force_ms: float
    accepted_ms: float
    baseline_ms: float


def run_config(seed: int) -> BenchReport:
    """Measures changes without load, under load and with a dead entry.

    Runs in virtual time. Each change draws a new one-way delay for the links
    and the log. The baseline always waits until a permission has expired.

    Args:
        seed: Seed of delays and requests.

    Returns:
        Medians and maxima in milliseconds.
    """
    figures: dict[str, Any] = {
        'entries': ENTRIES,
        'changes_per_case': CHANGES,
        'one_way_ms': f'{MIN_ONE_WAY_MS}-{MAX_ONE_WAY_MS}',
    }
    cases = {
        'quiet': (False, False),
        'load': (True, False),
        'dead': (False, True),
    }
    for name, (under_load, with_dead_entry) in cases.items():
        times = run_virtual(_run_case(seed, under_load, with_dead_entry))
        figures.update(_summarise(name, times))
    bounds = (
        Bound('quiet_accepted_max_ms', ALL_ALIVE_LIMIT_MS),
        Bound('load_accepted_max_ms', ALL_ALIVE_LIMIT_MS),
        Bound('dead_accepted_max_ms', DEAD_ENTRY_LIMIT_MS),
    )
    return BenchReport('config', seed, figures, bounds)


async def _run_case(
    seed: int,
    under_load: bool,
    with_dead_entry: bool,
) -> list[ChangeTimes]:
    plan = load_plan(HUNDAGANGA, EXAMPLES)
    plan = dataclasses.replace(plan, entries=ENTRIES)
    random_source = random.Random(seed)
    async with contextlib.AsyncExitStack() as stack:
        deployment = await stack.enter_async_context(
            MemoryDeployment(plan, seed=seed),
        )
        await asyncio.sleep(WARM_UP_S)
        if with_dead_entry:
            await deployment.kill_entry(tuple(deployment.entries)[-1])
        if under_load:
            await stack.enter_async_context(_background_load(deployment))
        return [
            await _measure_change(deployment, version, random_source)
            for version in range(1, CHANGES + 1)
        ]


async def _measure_change(
    deployment: MemoryDeployment,
    version: int,
    random_source: random.Random,
) -> ChangeTimes:
    """Applies one change through one entry and waits for all entries."""
    await asyncio.sleep(random_source.uniform(0.5, 1))
    one_way_ms = random_source.uniform(MIN_ONE_WAY_MS, MAX_ONE_WAY_MS)
    deployment.network.delay_ms = one_way_ms
    deployment.log.faults.delay_ms = 2 * one_way_ms
    cores = [entry.core for entry in deployment.entries.values()]
    started_ms = deployment.clock.steady_ms()
    applied_ms, decided_ms, in_force_ms = await asyncio.gather(
        _apply(deployment, cores[version % len(cores)], version),
        _wait_for_version(cores[:1], version + 1),
        _wait_for_version(cores, version + 1),
    )
    bound_ms = cores[0].fold.permission_bound_ms
    baseline_ms = decided_ms + drift_safe_wait_ms(bound_ms)
    return ChangeTimes(
        in_force_ms=in_force_ms - started_ms,
        accepted_ms=applied_ms - started_ms,
        baseline_ms=baseline_ms - started_ms,
    )


async def _apply(
    deployment: MemoryDeployment,
    core: EntryCore,
    version: int,
) -> float:
    document = copy.deepcopy(dict(deployment.plan.document))
    organisations = document['organisations']
    organisations['dispatch']['weight'] = BASE_WEIGHT + version
    report = await core.configuration.changes.apply(
        ProposalBody(
            change_id=new_identifier(),
            base_version=version,
            author='bench',
            document=document,
            wait_ms=WAIT_MS,
        ),
    )
    if report.outcome is not ChangeOutcome.ACCEPTED:
        outcome = report.outcome.value
        raise RuntimeError(
            f'configuration change ended as {outcome}, not accepted'
        )
    return deployment.clock.steady_ms()


async def _wait_for_version(
    cores: Sequence[EntryCore],
    version: int,
) -> float:
    """Waits until all entries have folded a version; returns that time."""
    for core in cores:
        while core.fold.version < version:
            await core.fold.changed.wait()
    return cores[0].dependencies.clock.steady_ms()


@contextlib.asynccontextmanager
async def _background_load(deployment: MemoryDeployment) -> AsyncIterator[None]:
    """Sends requests to all entries in turn while the context is open."""
    sending = asyncio.ensure_future(_send_requests(deployment))
    try:
        yield
    finally:
        sending.cancel()


async def _send_requests(deployment: MemoryDeployment) -> None:
    cores = [entry.core for entry in deployment.entries.values()]
    count = 0
    async with asyncio.TaskGroup() as group:
        while True:
            core = cores[count % len(cores)]
            group.create_task(core.run(_request(core, count)))
            count += 1
            await asyncio.sleep(1 / REQUESTS_PER_S)


def _request(core: EntryCore, count: int) -> PipelineRequest:
    pipelines = ('owner-assistant', 'route-summary')
    return PipelineRequest(
        request_id=new_identifier(),
        pipeline=pipelines[count % len(pipelines)],
        organisation='dispatch',
        body={'note': f'request {count}'},
        expires_at_ms=core.dependencies.clock.steady_ms() + DEADLINE_MS,
        idempotency_key=new_identifier(),
    )


def _summarise(name: str, times: list[ChangeTimes]) -> dict[str, float]:
    figures = {}
    for field in dataclasses.fields(ChangeTimes):
        stem = field.name.removesuffix('_ms')
        durations_ms = [getattr(change, field.name) for change in times]
        figures[f'{name}_{stem}_p50_ms'] = statistics.median(durations_ms)
        figures[f'{name}_{stem}_max_ms'] = max(durations_ms)
    return {key: round(figure, 2) for key, figure in figures.items()}
