"""The ``borageyard config`` commands, which operators use."""

import argparse
import asyncio
import getpass
import json
import sys
from collections.abc import Awaitable, Callable
from typing import Any

from ..configuration import parse_configuration
from ..configuration_diff import differences
from ..document_validation import load_json
from ..http_client import HttpClient
from ..identifiers import new_identifier
from .operator_client import NoEntryError, OperatorClient

EXIT_OK = 0
EXIT_FAILURE = 1
PROGRESS_POLL_S = 0.1
DEFAULT_WAIT_S = 30.0
PENDING_OUTCOMES = frozenset(('decided', 'unknown'))


Command = Callable[[argparse.Namespace, OperatorClient], Awaitable[int]]


def add_config_commands(commands: Any) -> None:
    """Adds ``borageyard config`` to the command line.

    Args:
        commands: The subparsers of the command line.
    """
    config = commands.add_parser(
        'config', help='show or change the configuration'
    )
    actions = config.add_subparsers(required=True, metavar='ACTION')
    check = actions.add_parser('check', help='validate a whole file locally')
    check.add_argument('file')
    check.set_defaults(run=_run_check)
    diff = _add_remote_command(actions, 'diff', _diff)
    diff.add_argument('file')
    apply_parser = _add_remote_command(actions, 'apply', _apply)
    apply_parser.add_argument('file')
    apply_parser.add_argument(
        '--base',
        type=int,
        metavar='VERSION',
        help='version the file is based on (default: the version in force)',
    )
    apply_parser.add_argument('--author', default='', metavar='NAME')
    apply_parser.add_argument('--change-id', default='', metavar='ID')
    apply_parser.add_argument(
        '--wait-s',
        type=float,
        default=DEFAULT_WAIT_S,
        metavar='SECONDS',
    )
    forget = _add_remote_command(actions, 'forget', _forget)
    forget.add_argument(
        'member',
        help='instance id of a known entry that is certainly not running',
    )
    _add_remote_command(actions, 'show', _show)
    _add_remote_command(actions, 'history', _history)


def _add_remote_command(actions: Any, name: str, command: Command) -> Any:
    parser = actions.add_parser(name)
    parser.add_argument(
        '--entry',
        action='append',
        required=True,
        metavar='ADDRESS',
        help='address of an entry; may be repeated',
    )
    parser.add_argument('--token', default='', metavar='TOKEN')
    parser.set_defaults(run=_run_remote, command=command)
    return parser


def _run_check(arguments: argparse.Namespace) -> int:
    parse_configuration(load_json(arguments.file), 0, arguments.file)
    _print(f'{arguments.file}: good')
    return EXIT_OK


def _run_remote(arguments: argparse.Namespace) -> int:
    try:
        return asyncio.run(_run_with_client(arguments))
    except NoEntryError as error:
        sys.stderr.write(f'no entry answered: {error}\n')
        return EXIT_FAILURE


async def _run_with_client(arguments: argparse.Namespace) -> int:
    async with HttpClient() as client:
        operator = OperatorClient(client, arguments.entry, arguments.token)
        command: Command = arguments.command
        return await command(arguments, operator)


async def _show(
    arguments: argparse.Namespace,
    operator: OperatorClient,
) -> int:
    _print(json.dumps(await operator.get(''), indent=2))
    return EXIT_OK


async def _history(
    arguments: argparse.Namespace,
    operator: OperatorClient,
) -> int:
    history = await operator.get('/history')
    for row in history.get('versions', ()):
        accepted = 'accepted' if row['accepted'] else 'decided'
        version = row['version']
        author = row['author']
        _print(f'{version}  {accepted}  {author}  {row["change_id"]}')
    return EXIT_OK


async def _forget(
    arguments: argparse.Namespace,
    operator: OperatorClient,
) -> int:
    body = await operator.post({'member': arguments.member}, '/forget')
    _print(f'forgotten: {body["member"]}')
    return EXIT_OK


async def _diff(
    arguments: argparse.Namespace,
    operator: OperatorClient,
) -> int:
    """Prints what a file would change; returns 1 if it changes anything."""
    document = _load_document(arguments.file)
    current = await operator.get('')
    found = differences(current['document'] or {}, document)
    for difference in found:
        _print(str(difference))
    return EXIT_FAILURE if found else EXIT_OK


async def _apply(
    arguments: argparse.Namespace,
    operator: OperatorClient,
) -> int:
    document = _load_document(arguments.file)
    base_version = arguments.base
    if base_version is None:
        base_version = (await operator.get(''))['version']
    change_id = arguments.change_id or new_identifier()
    _print(f'change {change_id} on version {base_version}')
    report = await operator.post(
        {
            'change_id': change_id,
            'base_version': base_version,
            'author': arguments.author or getpass.getuser(),
            'document': document,
            'wait_ms': 0,
        },
    )
    report = await _wait_for_outcome(operator, report, arguments.wait_s)
    return _print_outcome(report)


async def _wait_for_outcome(
    operator: OperatorClient,
    report: dict[str, Any],
    wait_s: float,
) -> dict[str, Any]:
    """Prints the state of a change on each entry until it is settled.

    Args:
        operator: Fetches the progress of the change.
        report: First report on the change.
        wait_s: Time after which an unsettled change is no longer polled.

    Returns:
        The last report.
    """
    ends_at_s = asyncio.get_running_loop().time() + wait_s
    seen: dict[str, str] = {}
    while True:
        for row in report.get('entries', ()):
            if seen.get(row['member']) != row['state']:
                seen[row['member']] = row['state']
                _print(f'  {row["member"]}: {row["state"]}')
        is_late = asyncio.get_running_loop().time() >= ends_at_s
        if is_late or report.get('outcome') not in PENDING_OUTCOMES:
            return report
        await asyncio.sleep(PROGRESS_POLL_S)
        change_id = report['change_id']
        report = await operator.get(f'/progress?change_id={change_id}')


def _print_outcome(report: dict[str, Any]) -> int:
    outcome = report.get('outcome', report.get('kind', ''))
    version = report.get('version', 0)
    author = report.get('author', '')
    _print(f'{outcome}: version {version} by {author}')
    for text in (report.get('message', ''), report.get('detail', '')):
        if text:
            _print(text)
    for row in report.get('differences', ()):
        theirs = row['theirs'] or 'absent'
        ours = row['ours'] or 'absent'
        _print(f'  {row["path"]}: in force {theirs}, proposed {ours}')
    return EXIT_OK if outcome == 'accepted' else EXIT_FAILURE


def _load_document(path: str) -> Any:
    document = load_json(path)
    parse_configuration(document, 0, path)
    return document


def _print(line: str) -> None:
    sys.stdout.write(f'{line}\n')
