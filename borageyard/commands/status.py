"""The ``borageyard status`` command, which shows the state of entries."""

import argparse
import asyncio
import json
import sys
from collections.abc import Mapping, Sequence
from typing import Any

from rich import console, table

from ..document_validation import DocumentError, parse_json
from ..http_client import HttpCall, HttpCallError, HttpClient

EXIT_OK = 0
EXIT_FAILURE = 1
CALL_TIMEOUT_MS = 2000
HELP = 'show the state of entries and of their targets'
EPILOG = """\
Requests the state of each entry and prints one row per entry, then one row
per target as seen by the first entry that answered. An entry that does not
answer has a row of dashes, and the exit code is then 1.

example:
  borageyard status --entry 127.0.0.1:8080 --entry 127.0.0.1:8081
"""

Status = Mapping[str, Any]


def add_status_command(commands: Any) -> None:
    """Adds ``borageyard status`` to the command line.

    Args:
        commands: The subparsers of the command line.
    """
    status = commands.add_parser(
        'status',
        help=HELP,
        description=HELP,
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    status.add_argument(
        '--entry',
        action='append',
        required=True,
        metavar='ADDRESS',
        help='IP address and port of an entry; may be repeated',
    )
    status.add_argument('--json', action='store_true', help='print JSON only')
    status.set_defaults(run=_run_status)


def _run_status(arguments: argparse.Namespace) -> int:
    states = asyncio.run(_fetch_all_statuses(arguments.entry))
    if not arguments.json:
        screen = console.Console()
        screen.print(_build_entry_table(states))
        screen.print(_build_target_table(states))
    sys.stdout.write(f'{json.dumps(states)}\n')
    return EXIT_OK if all(states.values()) else EXIT_FAILURE


async def _fetch_all_statuses(addresses: Sequence[str]) -> dict[str, Status]:
    async with HttpClient() as client:
        states = await asyncio.gather(
            *[_fetch_status(client, address) for address in addresses],
        )
    return dict(zip(addresses, states, strict=True))


async def _fetch_status(client: HttpClient, address: str) -> Status:
    """Returns the state of an entry; empty without a valid answer."""
    call = HttpCall(address, 'GET', '/v1/status', timeout_ms=CALL_TIMEOUT_MS)
    try:
        reply = await client.request(call)
        state = parse_json(reply.body, address)
    except (HttpCallError, DocumentError):
        return {}
    return state if isinstance(state, dict) else {}


def _build_entry_table(states: Mapping[str, Status]) -> table.Table:
    sheet = table.Table(title='entries')
    columns = ('instance_id', 'failure_domain', 'configuration_version')
    shown = (*columns, 'running', 'draining')
    for name in ('address', *shown):
        sheet.add_column(name)
    for address, state in states.items():
        sheet.add_row(address, *_cells(state, shown))
    return sheet


def _build_target_table(states: Mapping[str, Status]) -> table.Table:
    sheet = table.Table(title='targets')
    names = ('target_id', 'service', 'in_flight', 'leaving')
    for name in names:
        sheet.add_column(name)
    answered = [state for state in states.values() if state]
    targets = answered[0].get('targets', ()) if answered else ()
    for target in targets:
        sheet.add_row(*_cells(target, names))
    return sheet


def _cells(row: Mapping[str, Any], names: Sequence[str]) -> list[str]:
    return [str(row.get(name, '-')) for name in names]
