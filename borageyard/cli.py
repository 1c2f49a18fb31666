"""Command line of borageyard."""

import argparse
import asyncio
import pathlib
import sys
from collections.abc import Sequence

from .bench import add_bench_command
from .border import DocumentError
from .cli_config import add_config_commands
from .cli_report import add_report_commands
from .demo import print_demo, run_demo
from .entry import serve_entry
from .events import open_log
from .generated.settings import TelemetrySettings
from .settings import load_entry_settings, load_standin_settings
from .standins.command import STANDIN_KINDS, serve_standin

EXIT_GOOD = 0
EXIT_USAGE = 2


def main(argv: Sequence[str] | None = None) -> int:
    """Runs one command.

    Args:
        argv: Arguments; those of the process by default.

    Returns:
        0 when good, 1 when an outcome was not met, 2 on bad usage.
    """
    arguments = build_parser().parse_args(argv)
    try:
        exit_code: int = arguments.run(arguments)
    except DocumentError as error:
        sys.stderr.write(f'{error}\n')
        return EXIT_USAGE
    return exit_code


def build_parser() -> argparse.ArgumentParser:
    """Returns the parser of all commands."""
    parser = argparse.ArgumentParser(
        prog='borageyard',
        description='Serves multi-stage model pipelines under one deadline.',
    )
    commands = parser.add_subparsers(required=True, metavar='COMMAND')
    entry = commands.add_parser('entry', help='run an entry instance')
    entry.add_argument('--settings', required=True, metavar='FILE')
    entry.set_defaults(run=_run_entry)
    standin = commands.add_parser('standin', help='run a stand-in')
    standin.add_argument('kind', choices=STANDIN_KINDS)
    standin.add_argument('--settings', required=True, metavar='FILE')
    standin.set_defaults(run=_run_standin)
    demo = commands.add_parser('demo', help='run the main job once')
    demo.add_argument('--examples', default='examples', metavar='DIR')
    demo.set_defaults(run=_run_demo)
    add_bench_command(commands)
    add_config_commands(commands)
    add_report_commands(commands)
    return parser


def _run_entry(arguments: argparse.Namespace) -> int:
    settings = load_entry_settings(arguments.settings)
    telemetry = settings.telemetry or TelemetrySettings()
    with open_log(telemetry.log_path):
        asyncio.run(serve_entry(settings))
    return EXIT_GOOD


def _run_standin(arguments: argparse.Namespace) -> int:
    settings = load_standin_settings(arguments.settings)
    asyncio.run(serve_standin(arguments.kind, settings))
    return EXIT_GOOD


def _run_demo(arguments: argparse.Namespace) -> int:
    rows = asyncio.run(run_demo(pathlib.Path(arguments.examples)))
    return print_demo(rows)
