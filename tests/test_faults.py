"""Tests of the fault matrix: every fault at every step."""

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
    """Each cell fires and keeps all promises."""

    @pytest.mark.parametrize('step', list(Step), ids=str)
    def test_row(self, step):
        """Every fault at one step."""
        reports = [run_cell(cell, SEED) for cell in CELLS if cell.step is step]
        assert summarise(reports)['broken_promises'] == []

    def test_same_verdict_twice(self):
        """A cell gives the same views with the same seed."""
        cell = CELLS[0]
        assert run_cell(cell, SEED) == run_cell(cell, SEED)


class TestTable:
    """The table is whole and the page is made from it."""

    def test_every_pair_of_step_and_fault_has_a_cell(self):
        """No cell is missing, and each states outcomes or a reason."""
        cells = tuple(fault_table())
        assert len(cells) == len(Step) * len(Fault)
        assert all(
            bool(cell.endings) != bool(cell.cannot_occur) for cell in cells
        )

    def test_pairs_are_listed(self):
        """Pairs of faults come from the stated list."""
        assert all(cell.second_fault is not None for cell in fault_pairs())

    def test_page_is_current(self):
        """docs/FAULTS.md is what the command writes."""
        page = (DOCS / 'FAULTS.md').read_text(encoding='utf-8')
        assert page == render_table()


class TestOracle:
    """The judgement itself can fail."""

    def test_wrong_ending_is_told(self):
        """A cell that states the wrong ending is reported."""
        cell = Cell(
            Step.BOOK_CONNECT,
            Fault.REFUSED,
            frozenset((Ending.UNKNOWN,)),
        )
        assert run_cell(cell, SEED).violations

    def test_fault_that_does_not_fire_is_told(self):
        """A cell whose step is never reached is reported."""
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
    def test_change_that_is_not_in_force_is_told(self, versions):
        """Entries that differ, or all keep the old version, are reported."""
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
