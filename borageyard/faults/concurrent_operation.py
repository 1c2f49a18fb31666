"""Configuration change or drain that runs concurrently with a request."""

import asyncio
import copy
from typing import Any

from ..configuration_changes import ChangeOutcome, ChangeReport
from ..generated.http_configuration import ProposalBody
from .environment import FaultEnvironment
from .table import CHANGE_STEPS, DRAIN_STEPS, Step

FIRST_VERSION = 1
CHANGE_ID = 'change'
ORGANISATION = 'dispatch'
NEW_WEIGHT = 2.0


class ConcurrentOperation:
    """Applies a configuration or drains an entry during a booking."""

    def __init__(self, environment: FaultEnvironment) -> None:
        """Creates the operation of a cell.

        Args:
            environment: Environment of the cell. The change is proposed at
                its first entry; a drain drains that entry.
        """
        self._environment = environment
        self._task: asyncio.Future[Any] | None = None

    def start(self) -> None:
        """Starts the change or drain if the step of the cell needs one."""
        if self._environment.cell.step in CHANGE_STEPS:
            self._task = asyncio.ensure_future(self._apply_change())
        elif self._environment.cell.step in DRAIN_STEPS:
            self._task = asyncio.ensure_future(self._drain_entry())

    async def find_violations(self) -> list[str]:
        """Cancels the operation if it still runs and checks its result.

        Returns:
            The violated guarantees; empty for a drain and if the cell has no
            operation.
        """
        if self._task is None:
            return []
        report = None
        if self._task.done() and not self._task.cancelled():
            report = self._task.result()
        self._task.cancel()
        if self._environment.cell.step in CHANGE_STEPS:
            return self._find_version_violations(report)
        return []

    async def _apply_change(self) -> ChangeReport:
        environment = self._environment
        await environment.booking_started.wait()
        document = copy.deepcopy(dict(environment.deployment.plan.document))
        document['organisations'][ORGANISATION] = {'weight': NEW_WEIGHT}
        proposal = ProposalBody(
            change_id=CHANGE_ID,
            base_version=FIRST_VERSION,
            author='operator',
            document=document,
        )
        entry = environment.deployment.entries[environment.first_entry]
        report = await entry.core.configuration.changes.apply(proposal)
        await environment.on_step(Step.IN_FORCE, environment.first_entry)
        return report

    async def _drain_entry(self) -> None:
        environment = self._environment
        await environment.booking_started.wait()
        await environment.on_step(Step.DRAIN_BEGIN, environment.first_entry)
        entry = environment.deployment.entries.get(environment.first_entry)
        if entry is not None:
            await entry.core.drain()
        await environment.on_step(Step.DRAIN_END, environment.first_entry)

    def _find_version_violations(
        self, report: ChangeReport | None
    ) -> list[str]:
        """Compares the versions of all entries with the reported outcome."""
        versions = {
            entry.core.fold.version
            for entry in self._environment.deployment.entries.values()
        }
        if len(versions) != 1:
            return [f'entries have versions {sorted(versions)}']
        accepted = (
            report is not None and report.outcome is ChangeOutcome.ACCEPTED
        )
        if accepted and versions != {FIRST_VERSION + 1}:
            return ['an accepted change is not in force']
        refused = report is not None and report.outcome is ChangeOutcome.REFUSED
        if refused and versions != {FIRST_VERSION}:
            return ['a refused change is in force']
        return []
