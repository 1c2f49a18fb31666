"""Tests of the fault matrix, which injects every fault at every step."""

import pathlib
from types import SimpleNamespace

import pytest

from borageyard.commands.faults import render_table
from borageyard.configuration_changes import ChangeOutcome, ChangeReport
from borageyard.faults.concurrent_operation import ConcurrentOperation
from borageyard.faults.matrix import run_cell, summarise
from borageyard.faults.table import (
    Cell,
    Ending,
    Fault,
    Step,
    fault_pairs,
    fault_table,
)

DOCS = pathlib.Path(__file__).parent.parent / 'docs'
SEED = 1
CELLS = tuple(cell for cell in fault_table() if not cell.cannot_occur)


class TestMatrix:
    """Each cell that can occur fires its fault and violates no guarantee."""

    @pytest.mark.parametrize('step', list(Step), ids=str)
    def test_row(self, step):
        """No fault at the step violates a guarantee."""
        reports = [run_cell(cell, SEED) for cell in CELLS if cell.step is step]
        assert summarise(reports)['broken_promises'] == []

    def test_same_verdict_twice(self):
        """Two runs of a cell with the same seed give equal reports."""
        cell = CELLS[0]
        assert run_cell(cell, SEED) == run_cell(cell, SEED)


class TestTable:
    """The table is complete and the page is generated from it."""

    def test_every_pair_of_step_and_fault_has_a_cell(self):
        """No cell is missing; each has either endings or a reason for none."""
        cells = tuple(fault_table())
        assert len(cells) == len(Step) * len(Fault)
        assert all(
            bool(cell.endings) != bool(cell.cannot_occur) for cell in cells
        )

    def test_pairs_are_listed(self):
        """Each cell of a pair has a second fault."""
        assert all(cell.second_fault is not None for cell in fault_pairs())

    def test_page_is_current(self):
        """docs/FAULTS.md equals what ``borageyard faults --write`` writes."""
        page = (DOCS / 'FAULTS.md').read_text(encoding='utf-8')
        assert page == render_table()


class TestViolationChecks:
    """The checks of a cell detect violations."""

    def test_wrong_ending_is_reported(self):
        """A cell whose allowed endings are wrong is reported."""
        cell = Cell(
            Step.BOOK_CONNECT,
            Fault.REFUSED,
            frozenset((Ending.UNKNOWN,)),
        )
        assert run_cell(cell, SEED).violations

    def test_fault_at_reached_step_fires(self):
        """Faults at steps that are reached, also on a retry, fire."""
        cell = Cell(
            Step.ADMIT,
            Fault.CROSSED,
            frozenset((Ending.ANSWER,)),
        )
        report = run_cell(cell, SEED)
        assert report.fired
        unreached = Cell(Step.RETRY_SAME, Fault.SLOW, cell.endings)
        assert run_cell(unreached, SEED).violations == ()

    @pytest.mark.parametrize('versions', [(1, 2), (1, 1)])
    def test_change_not_in_force_is_reported(self, versions):
        """An accepted change must be in force at every entry.

        Entries with different versions and entries that all keep the old
        version are reported.
        """
        entries = {
            name: SimpleNamespace(
                core=SimpleNamespace(fold=SimpleNamespace(version=version)),
            )
            for name, version in enumerate(versions)
        }
        environment = SimpleNamespace(
            deployment=SimpleNamespace(entries=entries)
        )
        report = ChangeReport('change', ChangeOutcome.ACCEPTED)
        assert ConcurrentOperation(environment)._find_version_violations(report)
