"""The ``borageyard replay`` command, which replays traces."""

import argparse
import dataclasses
import json
import pathlib
import sys
from typing import Any

from ..faults.replay import replay
from ..faults.trace import read_trace


def add_replay_command(commands: Any) -> None:
    """Adds ``borageyard replay`` to the command line.

    Args:
        commands: The subparsers of the command line.
    """
    parser = commands.add_parser(
        'replay',
        help='replay a trace and check its expected outcomes',
        description=(
            'Replays a trace in virtual time. Exit code 1 if an expected'
            ' outcome is not met; the first difference is printed.'
        ),
    )
    parser.add_argument(
        'trace', metavar='TRACE', help='trace file in JSON Lines format'
    )
    parser.add_argument('--examples', default='examples', metavar='DIR')
    parser.add_argument('--json', action='store_true', help='print JSON only')
    parser.set_defaults(run=_run_replay)


def _run_replay(arguments: argparse.Namespace) -> int:
    trace = read_trace(arguments.trace)
    report = replay(trace, pathlib.Path(arguments.examples))
    if report.differing and not arguments.json:
        sys.stdout.write(f'first difference: {report.differing[0]}\n')
    summary = json.dumps(dataclasses.asdict(report))
    sys.stdout.write(f'{summary}\n')
    return int(bool(report.differing))
