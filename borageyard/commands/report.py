"""The ``borageyard report`` command, which writes measurement pages."""

import argparse
import json
import pathlib
from typing import Any

from ..bench.command import EXPERIMENTS
from ..bench.measurements_page import build_page


def add_report_commands(commands: Any) -> None:
    """Adds ``borageyard report`` to the command line.

    Args:
        commands: The subparsers of the command line.
    """
    report = commands.add_parser('report', help='write a measurements page')
    report.add_argument('name', choices=('policy',))
    report.add_argument('--seed', type=int, default=1, metavar='N')
    report.add_argument(
        '--summary',
        metavar='FILE',
        help='output of an earlier bench run, used instead of a new run',
    )
    report.add_argument('--output', required=True, metavar='FILE')
    report.set_defaults(run=_run_report)


def _run_report(arguments: argparse.Namespace) -> int:
    if arguments.summary:
        text = pathlib.Path(arguments.summary).read_text(encoding='utf-8')
        summary = json.loads(text.splitlines()[-1])
    else:
        report = EXPERIMENTS[arguments.name](arguments.seed)
        summary = report.summary()
    page = build_page(summary)
    pathlib.Path(arguments.output).write_text(page, encoding='utf-8')
    return int(bool(summary['missed']))
