"""The ``borageyard`` command line."""

import argparse
import asyncio
import pathlib
import sys
from collections.abc import Sequence
from typing import Any

from ..bench.command import add_bench_command
from ..document_validation import DocumentError
from ..entry import serve_entry
from ..events import open_log
from ..generated.settings import TelemetrySettings
from ..settings import load_entry_settings, load_standin_settings
from ..standins.command import STANDIN_KINDS, serve_standin
from .call import add_call_command
from .config import add_config_commands
from .demo import print_demo, run_demo
from .demo_service import serve_demo
from .explain import add_explain_command
from .faults import add_faults_command
from .replay import add_replay_command
from .report import add_report_commands
from .schedulers import add_schedulers_command
from .settings import add_settings_command
from .status import add_status_command

EXIT_OK = 0
EXIT_USAGE = 2
EPILOG = """\
exit codes: 0 success; 1 an expected outcome was not met; 2 invalid usage or
settings: the error names the path, the value and what was expected, and
nothing was started.

first steps:
  borageyard demo                       run all deployments once on this machine
  borageyard entry --settings FILE      run an entry
  borageyard call PIPELINE --entry ...  send a request
  borageyard status --entry ...         show entries and targets
  borageyard COMMAND --help             show help for a command
"""
ENTRY_DESCRIPTION = """\
Runs an entry until SIGTERM. It then withdraws from the addresses given to
callers, continues to serve for drain_ms, refuses new requests as not run and
exits when its last request has ended. Logs go to telemetry.log_path
(docs/EVENTS.md).
"""
STANDIN_DESCRIPTION = """\
Runs a small stand-in for a target, the log service, the instance list or the
weight store until SIGTERM. POST /v1/faults sets the faults of a target or of
the log.
"""


def main(argv: Sequence[str] | None = None) -> int:
    """Parses the arguments and runs the command they name.

    Args:
        argv: Command-line arguments; those of the process by default.

    Returns:
        The exit code: 0 on success, 1 if an expected outcome was not met, 2 if
        a document such as the settings is invalid.

    Raises:
        SystemExit: With code 2 if the arguments are invalid, and after
            ``--help``.
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
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands = parser.add_subparsers(required=True, metavar='COMMAND')
    _add_daemons(commands)
    _add_demo(commands)
    add_call_command(commands)
    add_status_command(commands)
    add_settings_command(commands)
    add_bench_command(commands)
    add_faults_command(commands)
    add_replay_command(commands)
    add_explain_command(commands)
    add_schedulers_command(commands)
    add_config_commands(commands)
    add_report_commands(commands)
    return parser


def _add_daemons(commands: Any) -> None:
    entry = commands.add_parser(
        'entry',
        help='run an entry instance',
        description=ENTRY_DESCRIPTION,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    _add_settings(entry)
    entry.set_defaults(run=_run_entry)
    standin = commands.add_parser(
        'standin',
        help='run a stand-in for an external system, for tests',
        description=STANDIN_DESCRIPTION,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    standin.add_argument('kind', choices=STANDIN_KINDS)
    _add_settings(standin)
    standin.set_defaults(run=_run_standin)


def _add_demo(commands: Any) -> None:
    demo = commands.add_parser(
        'demo',
        help='run all deployments once, with faults, and print the totals',
    )
    demo.add_argument('--examples', default='examples', metavar='DIR')
    demo.add_argument(
        '--serve',
        action='store_true',
        help='keep deployments running and print how to call them',
    )
    demo.set_defaults(run=_run_demo)


def _add_settings(command: argparse.ArgumentParser) -> None:
    command.add_argument(
        '--settings',
        required=True,
        metavar='FILE',
        help='JSON settings file; docs/CONFIGURATION.md lists every setting',
    )


def _run_entry(arguments: argparse.Namespace) -> int:
    settings = load_entry_settings(arguments.settings)
    telemetry = settings.telemetry or TelemetrySettings()
    with open_log(telemetry.log_path):
        asyncio.run(serve_entry(settings))
    return EXIT_OK


def _run_standin(arguments: argparse.Namespace) -> int:
    settings = load_standin_settings(arguments.settings)
    asyncio.run(serve_standin(arguments.kind, settings))
    return EXIT_OK


def _run_demo(arguments: argparse.Namespace) -> int:
    examples = pathlib.Path(arguments.examples)
    if arguments.serve:
        asyncio.run(serve_demo(examples))
        return EXIT_OK
    rows = asyncio.run(run_demo(examples))
    return print_demo(rows)
