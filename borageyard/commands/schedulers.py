"""The ``borageyard schedulers`` command, which counts schedulers of groups."""

import argparse
import dataclasses
import sys
from collections.abc import Iterable, Mapping
from typing import Any

from .log_lines import LogEvent, event_time_s, parse_event

EXIT_OK = 0
EXIT_DISAGREED = 1
DESCRIPTION = """\
Reads the logs of any number of entries from standard input and prints, for
each group of services, how many entries scheduled it at the same time, for how
long more than one did, and how often an entry selected another one. Exits
with 1 if a group had several schedulers for longer than --agree-within.

An entry that was killed counts with its last selection until it starts again.
"""


@dataclasses.dataclass(slots=True)
class GroupHistory:
    """How the entries selected the scheduler of one group."""

    # Selected entry, by the entry that selected it.
    selected: dict[str, str] = dataclasses.field(default_factory=dict)
    selections: int = 0
    most_schedulers: int = 0
    longest_several_s: float = 0
    several_since_s: float | None = None

    @property
    def schedulers(self) -> int:
        """Returns how many entries consider themselves the scheduler."""
        return sum(
            instance_id == scheduler_id
            for instance_id, scheduler_id in self.selected.items()
        )

    def note_time(self, at_s: float) -> None:
        """Updates the time with several schedulers.

        Args:
            at_s: Time of an event, in seconds.
        """
        schedulers = self.schedulers
        self.most_schedulers = max(self.most_schedulers, schedulers)
        if schedulers < 2:
            self.several_since_s = None
            return
        if self.several_since_s is None:
            self.several_since_s = at_s
        several_s = at_s - self.several_since_s
        self.longest_several_s = max(self.longest_several_s, several_s)


def collect_histories(lines: Iterable[str]) -> Mapping[str, GroupHistory]:
    """Returns the history of each group, by its name.

    Args:
        lines: Log lines of any number of entries, in any order; lines that
            are not events are skipped.
    """
    events = [event for event in map(parse_event, lines) if event is not None]
    histories: dict[str, GroupHistory] = {}
    for event in sorted(events, key=event_time_s):
        at_s = event_time_s(event)
        _note_time(histories, at_s)
        _apply_event(event, histories)
        _note_time(histories, at_s)
    return histories


def _note_time(histories: Mapping[str, GroupHistory], at_s: float) -> None:
    for history in histories.values():
        history.note_time(at_s)


def _apply_event(event: LogEvent, histories: dict[str, GroupHistory]) -> None:
    instance_id = event.get('instance_id', '')
    kind = event['message_type']
    if kind == 'scheduler_chosen':
        history = histories.setdefault(event['group'], GroupHistory())
        history.selected[instance_id] = event['scheduler_id']
        history.selections += 1
    elif kind in {'entry_started', 'entry_stopped'}:
        for history in histories.values():
            history.selected.pop(instance_id, None)


def add_schedulers_command(commands: Any) -> None:
    """Adds ``borageyard schedulers`` to the command line.

    Args:
        commands: The subparsers of the command line.
    """
    schedulers = commands.add_parser(
        'schedulers',
        help='count the schedulers of each group in logs on standard input',
        description=DESCRIPTION,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    schedulers.add_argument(
        '--agree-within',
        metavar='SECONDS',
        dest='agree_within_s',
        type=float,
        default=1,
        help='longest time for which a group may have several (default 1)',
    )
    schedulers.set_defaults(run=_run_schedulers)


def _run_schedulers(arguments: argparse.Namespace) -> int:
    histories = collect_histories(sys.stdin)
    for group, history in sorted(histories.items()):
        counted = len(history.selected)
        several_s = round(history.longest_several_s, 3)
        sys.stdout.write(
            f'{group}: {history.schedulers} of {counted} entries schedule it '
            f'at the end, {history.most_schedulers} at most, several for '
            f'{several_s} s at the longest, {history.selections} selections\n'
        )
    longest_s = max(
        (found.longest_several_s for found in histories.values()),
        default=0,
    )
    return EXIT_DISAGREED if longest_s > arguments.agree_within_s else EXIT_OK
