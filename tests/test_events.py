"""Tests that the code and the event catalogue agree."""

import ast
import pathlib
import re

from borageyard.events import Event

ROOT = pathlib.Path(__file__).parent.parent
ROW = re.compile(r'^\| (\d{4}) \| (\w+) \| (.*?) \| .+ \|$', re.MULTILINE)


def read_catalogue():
    """Returns number, name and fields of each row of docs/EVENTS.md."""
    page = (ROOT / 'docs' / 'EVENTS.md').read_text()
    return [
        (int(number), name, frozenset(fields.split(', ')))
        for number, name, fields in ROW.findall(page)
    ]


def logged_calls():
    """Yields event names and field names of each call of log_event."""
    for path in (ROOT / 'borageyard').rglob('*.py'):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Call) and _name(node.func) == 'log_event':
                events = {
                    found.attr
                    for found in ast.walk(node.args[0])
                    if isinstance(found, ast.Attribute)
                    and _name(found.value) == 'Event'
                }
                yield events, {keyword.arg for keyword in node.keywords}


def _name(node):
    return getattr(node, 'id', '')


class TestCatalogue:
    """docs/EVENTS.md compared with the code."""

    def test_every_event_has_its_row(self):
        """Each event is listed once, with its number and name."""
        rows = [(number, name) for number, name, _ in read_catalogue()]
        events = [(event.value, event.name.lower()) for event in Event]
        assert sorted(rows) == sorted(events)

    def test_every_event_is_logged(self):
        """Every event of the enum is logged somewhere in the code."""
        logged = set().union(*(events for events, _ in logged_calls()))
        assert logged == {event.name for event in Event}

    def test_calls_carry_the_fields_of_their_row(self):
        """Each call passes exactly the fields of the catalogue."""
        fields = {name.upper(): found for _, name, found in read_catalogue()}
        for events, names in logged_calls():
            assert events
            for event in events:
                assert names == fields[event], event
