"""The ``borageyard faults`` command, which runs the fault matrix."""

import argparse
import itertools
import json
import pathlib
import sys
from collections.abc import Iterator
from typing import Any

from ..faults.matrix import CellReport, run_cell, summarise
from ..faults.operator_reports import OPERATOR_REPORTS
from ..faults.table import Cell, Fault, Step, fault_pairs, fault_table

PROGRESS_INTERVAL_CELLS = 50


def add_faults_command(commands: Any) -> None:
    """Adds ``borageyard faults`` to the command line.

    Args:
        commands: The subparsers of the command line.
    """
    faults = commands.add_parser(
        'faults',
        help='run the fault matrix',
        description=(
            'Injects each fault at each step in virtual time and checks the'
            ' outcome against the records of the targets. Exit code 1 if a'
            ' guarantee was violated or a fault did not fire.'
        ),
    )
    faults.add_argument(
        '--all',
        action='store_true',
        help='also run pairs of faults',
    )
    faults.add_argument('--json', action='store_true', help='print JSON only')
    faults.add_argument('--seed', type=int, default=1, metavar='N')
    faults.add_argument(
        '--write',
        metavar='FILE',
        help='write the matrix as a Markdown page instead of running it',
    )
    faults.set_defaults(run=_run_faults)


def render_table() -> str:
    """Returns the matrix as a Markdown page, generated from the table."""
    lines = [
        '# Fault matrix',
        '',
        'Made by `borageyard faults --write docs/FAULTS.md`. Each cell states',
        'what the caller may know in the end; `-` marks a cell that cannot',
        'occur, with its reason below.',
        '',
    ]
    cells = tuple(fault_table())
    headings = ' | '.join(fault.value for fault in Fault)
    lines.append(f'| step | {headings} |')
    rule = ' | '.join('---' for _ in Fault)
    lines.append(f'| --- | {rule} |')
    for step in Step:
        row = ' | '.join(
            _format_cell(cell) for cell in cells if cell.step is step
        )
        lines.append(f'| {step.value} | {row} |')
    reasons = sorted({cell.cannot_occur for cell in cells} - {''})
    lines.extend(['', 'Why a cell cannot occur:', ''])
    lines.extend(f'- {reason}' for reason in reasons)
    lines.extend(_render_reports())
    lines.append('')
    return '\n'.join(lines)


def _render_reports() -> Iterator[str]:
    yield from (
        '',
        '## Reports of operators',
        '',
        'Faults of similar systems; the earlier ones: `incidents/reports.md`.',
        '',
        '| report | here | tests |',
        '| --- | --- | --- |',
    )
    for report in OPERATOR_REPORTS:
        tests = '; '.join(f'`tests/{shown}`' for shown in report.shown_by)
        yield f'| {report.fault} | {report.here} | {tests} |'


def _run_faults(arguments: argparse.Namespace) -> int:
    if arguments.write:
        pathlib.Path(arguments.write).write_text(render_table())
        return 0
    pairs: Iterator[Cell] = fault_pairs() if arguments.all else iter(())
    reports: list[CellReport] = []
    for cell in itertools.chain(fault_table(), pairs):
        reports.append(run_cell(cell, arguments.seed))
        if not arguments.json and len(reports) % PROGRESS_INTERVAL_CELLS == 0:
            sys.stderr.write(f'{len(reports)} cells\n')
    summary = summarise(reports)
    sys.stdout.write(f'{json.dumps(summary)}\n')
    return int(bool(summary['broken_promises']))


def _format_cell(cell: Cell) -> str:
    if cell.cannot_occur:
        return '-'
    return ' or '.join(sorted(ending.value for ending in cell.endings))
