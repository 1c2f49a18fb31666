"""Tests of the ``borageyard explain`` command."""

import io
import json

import pytest

from borageyard.commands.explain import collect_events, find_deciding_event
from borageyard.commands.main import main


def line(kind, request_id='r1', at_s=0, prefix='', **fields):
    """Returns a log line with an event."""
    event = {
        'message_type': kind,
        'timestamp': at_s,
        'request_id': request_id,
        **fields,
    }
    return prefix + json.dumps(event)


class TestCollectEvents:
    """Collecting events from log lines of several entries."""

    def test_order_and_noise(self):
        """Events are sorted; other requests and other output are skipped."""
        lines = [
            line('request_unserved', at_s=2.0, prefix=' 12.1 front-1 '),
            line('chain_denied', at_s=1.0),
            line('request_served', 'r2'),
            'no event',
            '{broken',
            '[1]',
        ]
        kinds = [event['message_type'] for event in collect_events('r1', lines)]
        assert kinds == ['chain_denied', 'request_unserved']

    @pytest.mark.parametrize(
        ('kinds', 'expected'),
        [
            (['chain_granted', 'request_served'], 'request_served'),
            (['send_failed', 'request_served'], 'send_failed'),
            (['chain_denied', 'request_unserved'], 'request_unserved'),
            (['chain_granted'], 'chain_granted'),
        ],
    )
    def test_deciding(self, kinds, expected):
        """The event that explains the outcome is chosen by precedence."""
        events = collect_events('r1', [line(kind) for kind in kinds])
        assert find_deciding_event(events)['message_type'] == expected


class TestCommand:
    """The command line."""

    def test_shows_the_deciding_line(self, monkeypatch, capsys):
        """It is marked and shows the time since the first event."""
        logs = [
            line('chain_granted', at_s=1.0),
            line('send_failed', at_s=1.5, reason='reset'),
        ]
        monkeypatch.setattr('sys.stdin', io.StringIO('\n'.join(logs)))
        assert main(['explain', 'r1']) == 0
        shown = capsys.readouterr().out.splitlines()
        assert shown[1] == '> +0.5 s send_failed {"reason": "reset"}'

    def test_unknown_request(self, monkeypatch, capsys):
        """A request without events gives an error and exit code 1."""
        monkeypatch.setattr('sys.stdin', io.StringIO(''))
        assert main(['explain', 'r1']) == 1
        assert 'r1' in capsys.readouterr().err
