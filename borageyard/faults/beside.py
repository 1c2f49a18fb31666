"""What happens beside the request of a cell: a change or a drain."""

import asyncio
import copy
from typing import Any

from ..configuration_changes import ChangeOutcome, ChangeReport
from ..generated.http_configuration import ProposalBody
from .table import CHANGE_STEPS, DRAIN_STEPS, Step
from .world import FaultWorld

FIRST_VERSION = 1
CHANGE_ID = 'change'
ORGANISATION = 'dispatch'
NEW_WEIGHT = 2.0


class FaultBeside:
    """Applies a configuration or drains an entry while a booking runs."""

    def __init__(self, world: FaultWorld) -> None:
        """Wraps a world.

        Args:
            world: Whose first entry is changed or drained.
        """
        self._world = world
        self._work: asyncio.Future[Any] | None = None

    def start(self) -> None:
        """Starts what the step of the cell asks for, if anything."""
        if self._world.cell.step in CHANGE_STEPS:
            self._work = asyncio.ensure_future(self._apply())
        elif self._world.cell.step in DRAIN_STEPS:
            self._work = asyncio.ensure_future(self._drain())

    async def judge(self) -> list[str]:
        """Returns the promises that were broken."""
        if self._work is None:
            return []
        report = None
        if self._work.done() and not self._work.cancelled():
            report = self._work.result()
        self._work.cancel()
        if self._world.cell.step in CHANGE_STEPS:
            return self._judge_change(report)
        return []

    async def _apply(self) -> ChangeReport:
        world = self._world
        await world.book_begun.wait()
        document = copy.deepcopy(dict(world.deployment.plan.document))
        document['organisations'][ORGANISATION] = {'weight': NEW_WEIGHT}
        proposal = ProposalBody(
            change_id=CHANGE_ID,
            base_version=FIRST_VERSION,
            author='operator',
            document=document,
        )
        entry = world.deployment.entries[world.first_entry]
        report = await entry.core.configuration.changes.apply(proposal)
        await world.reach(Step.IN_FORCE, world.first_entry)
        return report

    async def _drain(self) -> None:
        world = self._world
        await world.book_begun.wait()
        await world.reach(Step.DRAIN_BEGIN, world.first_entry)
        entry = world.deployment.entries.get(world.first_entry)
        if entry is not None:
            await entry.core.drain()
        await world.reach(Step.DRAIN_END, world.first_entry)

    def _judge_change(self, report: ChangeReport | None) -> list[str]:
        """Compares the versions of all entries with what was told."""
        versions = {
            entry.core.fold.version
            for entry in self._world.deployment.entries.values()
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
