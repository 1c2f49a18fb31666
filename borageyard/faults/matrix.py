"""Runs the fault matrix and checks each cell by the records of the targets."""

import asyncio
import dataclasses
import types
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from ..clock import MS_PER_S
from ..requests import PipelineRequest
from ..standins.deployment import DeploymentPlan
from ..standins.virtual_time import run_virtual
from .caller import (
    RETRY_AFTER_MS,
    CallerView,
    FaultCaller,
)
from .concurrent_operation import ConcurrentOperation
from .environment import FaultEnvironment
from .table import (
    DRAIN_STEPS,
    RETRY_STEPS,
    Cell,
    Ending,
    Step,
)

WARM_UP_MS = 1500
SETTLE_MS = 8000
DRAIN_SETTLE_MS = 16_000
RETRY_DEADLINE_MS = 3000
MAX_ATTEMPTS = 4
BYSTANDER_COUNT = 2
ENTRY_COUNT = 3
TARGETS_PER_SERVICE = 3
FAILURE_DOMAINS = ('a', 'b', 'c')

# One pipeline of each kind; the deployment is small because every cell starts
# its own.
DOCUMENT: Mapping[str, Any] = types.MappingProxyType(
    {
        'format': 1,
        'organisations': {'dispatch': {}},
        'services': {
            'encoder': {'kind': 'encoder'},
            'llm': {'kind': 'engine'},
            'bokun': {'kind': 'plain', 'idempotent': False},
        },
        'pipelines': {
            'booking': {
                'stages': [
                    {'name': 'encode', 'service': 'encoder'},
                    {
                        'name': 'book',
                        'service': 'bokun',
                        'inputs': ['request', 'encode'],
                        'timeout_ms': 1500,
                    },
                ],
            },
            'owner-assistant': {
                'stages': [
                    {'name': 'encode', 'service': 'encoder'},
                    {
                        'name': 'generate',
                        'service': 'llm',
                        'inputs': ['request', 'encode'],
                        'timeout_ms': 2000,
                    },
                ],
            },
        },
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class CellReport:
    """Observations of a cell and the guarantees that it violated."""

    cell: Cell
    fired: bool
    views: tuple[CallerView, ...] = ()
    violations: tuple[str, ...] = ()

    @property
    def ending(self) -> Ending | None:
        """Returns the last ending that the caller saw, if any."""
        return self.views[-1].ending if self.views else None


def run_matrix(cells: Iterable[Cell], seed: int) -> Sequence[CellReport]:
    """Runs cells sequentially.

    Args:
        cells: Cells of the table.
        seed: Seed of all random sources.

    Returns:
        A report for each cell.
    """
    return [run_cell(cell, seed) for cell in cells]


def run_cell(cell: Cell, seed: int) -> CellReport:
    """Runs one cell in virtual time.

    Args:
        cell: The cell.
        seed: Seed of all random sources.

    Returns:
        The report of the cell. A cell that cannot occur is not run and
        reported as not fired.
    """
    if cell.cannot_occur:
        return CellReport(cell, fired=False)
    return run_virtual(_run_cell(cell, seed))


def summarise(reports: Sequence[CellReport]) -> dict[str, Any]:
    """Returns the counts of a run and all violated guarantees."""
    return {
        'cells': len(reports),
        'fired': sum(report.fired for report in reports),
        'cannot_occur': sum(
            bool(report.cell.cannot_occur) for report in reports
        ),
        'broken_promises': [
            {
                'cell': report.cell.name,
                'broken': list(report.violations),
                'endings': [view.ending.value for view in report.views],
            }
            for report in reports
            if report.violations
        ],
    }


async def _run_cell(cell: Cell, seed: int) -> CellReport:
    plan = DeploymentPlan(
        document=DOCUMENT,
        failure_domains=FAILURE_DOMAINS,
        targets_per_service={},
        default_targets=TARGETS_PER_SERVICE,
        entries=ENTRY_COUNT,
    )
    environment = FaultEnvironment(cell, plan, seed)
    caller = FaultCaller(environment)
    operation = ConcurrentOperation(environment)
    async with environment.deployment:
        await asyncio.sleep(WARM_UP_MS / MS_PER_S)
        bystanders = asyncio.gather(
            *(
                _call_bystander(environment, caller, index)
                for index in range(BYSTANDER_COUNT)
            ),
        )
        request = environment.new_request({'dog': 'Snati'})
        operation.start()
        views = await _call_until_final(environment, caller, request)
        bystander_views = await bystanders
        await asyncio.sleep(_settle_ms(cell) / MS_PER_S)
        violations = (
            *_find_violations(environment, request, views),
            *_find_duplicate_answers(bystander_views),
            *await operation.find_violations(),
        )
    return CellReport(cell, environment.fired, tuple(views), violations)


async def _call_bystander(
    environment: FaultEnvironment,
    caller: FaultCaller,
    index: int,
) -> CallerView:
    """Sends a request whose answer must differ from all other answers."""
    request = environment.new_request({'bystander': index})
    return await caller.call('entry-1', request)


async def _call_until_final(
    environment: FaultEnvironment,
    caller: FaultCaller,
    request: PipelineRequest,
) -> list[CallerView]:
    """Calls until the ending is final.

    Retries use the same idempotency key, as callers are told to.
    """
    entry = environment.first_entry
    views = [
        await caller.call(
            entry,
            request,
            disconnect_event=environment.booking_started
            if _starts_with_disconnect(environment.cell)
            else None,
        ),
    ]
    while not _is_final(views):
        await asyncio.sleep(RETRY_AFTER_MS / MS_PER_S)
        entry = _next_entry(environment, len(views))
        await _report_retry_step(environment, entry)
        now_ms = environment.deployment.clock.steady_ms()
        retry = dataclasses.replace(
            request,
            expires_at_ms=now_ms + RETRY_DEADLINE_MS,
        )
        views.append(await caller.call(entry, retry))
    return views


def _is_final(views: Sequence[CallerView]) -> bool:
    last = views[-1].ending
    if len(views) == MAX_ATTEMPTS or last in {Ending.ANSWER, Ending.RAN}:
        return True
    return len(views) > 1 and last is Ending.UNKNOWN


def _settle_ms(cell: Cell) -> float:
    return DRAIN_SETTLE_MS if cell.step in DRAIN_STEPS else SETTLE_MS


def _starts_with_disconnect(cell: Cell) -> bool:
    return cell.step in RETRY_STEPS


def _next_entry(environment: FaultEnvironment, attempts: int) -> str:
    if environment.cell.step is Step.RETRY_SAME and attempts == 1:
        return environment.first_entry
    number = 1 + (attempts - 1) % (ENTRY_COUNT - 1)
    return f'entry-{number}'


async def _report_retry_step(environment: FaultEnvironment, entry: str) -> None:
    same = entry == environment.first_entry
    step = Step.RETRY_SAME if same else Step.RETRY_OTHER
    await environment.on_step(step, environment.first_entry)


def _find_violations(
    environment: FaultEnvironment,
    request: PipelineRequest,
    views: Sequence[CallerView],
) -> list[str]:
    violations = []
    if not environment.fired:
        violations.append('the fault did not fire')
    if views[-1].ending not in environment.cell.endings:
        ending = views[-1].ending.value
        violations.append(f'ended with {ending}')
    runs = environment.booking_start_times_ms(request.idempotency_key)
    if len(runs) > 1:
        count = len(runs)
        violations.append(f'ran {count} times')
    if any(_is_false_not_run(view, runs) for view in views):
        violations.append('a refusal said not run, but it had run')
    if views[-1].ending is Ending.NOT_RUN and runs:
        violations.append('refused as not run, but it ran')
    answered = any(view.ending is Ending.ANSWER for view in views)
    if answered and request.pipeline == 'booking' and not runs:
        violations.append('answered without a run')
    return violations


def _is_false_not_run(view: CallerView, runs: Sequence[float]) -> bool:
    if view.ending is not Ending.NOT_RUN:
        return False
    return any(started_ms <= view.at_ms for started_ms in runs)


def _find_duplicate_answers(views: Sequence[CallerView]) -> list[str]:
    outputs = [str(view.output) for view in views if view.output is not None]
    if len(set(outputs)) < len(outputs):
        return ['two requests got the same answer']
    return []
