"""The ``borageyard explain`` command, which finds the events of a request."""

import argparse
import json
import sys
from collections.abc import Iterable, Sequence
from typing import Any

from .log_lines import LogEvent, event_time_s, parse_event

EXIT_OK = 0
EXIT_NOT_FOUND = 1
# Events that decide the outcome of a request, in order of precedence.
DECIDING_EVENTS = (
    'response_aborted',
    'request_unserved',
    'chain_denied',
    'send_failed',
    'stream_resumed',
    'request_served',
)
# Fields of every log line that say nothing about the request itself.
ENVELOPE_FIELDS = frozenset(
    (
        'message_type',
        'event_number',
        'timestamp',
        'task_uuid',
        'task_level',
        'request_id',
    ),
)


def add_explain_command(commands: Any) -> None:
    """Adds ``borageyard explain`` to the command line.

    Args:
        commands: The subparsers of the command line.
    """
    explain = commands.add_parser(
        'explain',
        help='show the log events of a request, read from standard input',
    )
    explain.add_argument('request_id', metavar='ID')
    explain.set_defaults(run=_run_explain)


def collect_events(request_id: str, lines: Iterable[str]) -> Sequence[LogEvent]:
    """Returns the events of a request, sorted by timestamp.

    Args:
        request_id: Id of the request.
        lines: Log lines of any number of entries. Text before the JSON is
            ignored, and lines that are not events are skipped.
    """
    found = [
        event
        for event in map(parse_event, lines)
        if event is not None and request_id == event.get('request_id')
    ]
    return sorted(found, key=event_time_s)


def find_deciding_event(events: Sequence[LogEvent]) -> LogEvent | None:
    """Returns the event that decided a request's outcome.

    Args:
        events: Events of one request.

    Returns:
        The last event of the highest precedence; the last event if none
        decides an outcome; None without events.
    """
    ranked = [
        (DECIDING_EVENTS.index(event['message_type']), number)
        for number, event in enumerate(events)
        if event['message_type'] in DECIDING_EVENTS
    ]
    if not ranked:
        return events[-1] if events else None
    # Among events of the same precedence, the last one decided.
    strongest = min(rank for rank, _ in ranked)
    return events[max(at for rank, at in ranked if rank == strongest)]


def _run_explain(arguments: argparse.Namespace) -> int:
    events = collect_events(arguments.request_id, sys.stdin)
    if not events:
        sys.stderr.write(
            f'{arguments.request_id}: no event found in the logs\n'
        )
        return EXIT_NOT_FOUND
    chosen = find_deciding_event(events)
    for event in events:
        mark = '>' if event is chosen else ' '
        after_s = round(event_time_s(event) - event_time_s(events[0]), 3)
        shown = _describe(event)
        sys.stdout.write(f'{mark} +{after_s} s {shown}\n')
    return EXIT_OK


def _describe(event: LogEvent) -> str:
    fields = {
        name: field_value
        for name, field_value in event.items()
        if name not in ENVELOPE_FIELDS
    }
    encoded = json.dumps(fields)
    kind = event['message_type']
    return f'{kind} {encoded}'
