"""Tests of the ``borageyard schedulers`` command."""

import io
import json

import pytest

from borageyard.commands.main import main
from borageyard.commands.schedulers import collect_histories


def chosen(instance_id, scheduler_id, at_s, group='g'):
    """Returns the log line of a selection."""
    event = {
        'message_type': 'scheduler_chosen',
        'timestamp': at_s,
        'instance_id': instance_id,
        'group': group,
        'scheduler_id': scheduler_id,
    }
    return f'{at_s} {instance_id} {json.dumps(event)}'


def two_schedulers(*others):
    """Returns the lines of two entries that select themselves, and others."""
    return [chosen('a', 'a', 1), chosen('b', 'b', 2), *others]


def started(instance_id, at_s):
    """Returns the log line of a start."""
    return json.dumps(
        {
            'message_type': 'entry_started',
            'timestamp': at_s,
            'instance_id': instance_id,
        },
    )


class TestCollectHistories:
    """Counting schedulers over the logs of several entries."""

    def test_entries_that_agree(self):
        """Only the entry that selected itself schedules the group."""
        lines = [chosen(name, 'a', 1) for name in 'abc']
        history = collect_histories(lines)['g']
        assert history.schedulers == history.most_schedulers == 1
        assert history.longest_several_s == 0

    def test_entries_that_disagree(self):
        """The time with several schedulers ends with the last change."""
        lines = two_schedulers(chosen('b', 'a', 5), started('c', 9))
        history = collect_histories(lines)['g']
        assert history.schedulers == 1
        assert history.most_schedulers == 2
        assert history.longest_several_s == 3
        assert history.selections == 3

    def test_disagreement_that_lasts(self):
        """It counts until the last event of any entry."""
        lines = two_schedulers(started('c', 9))
        history = collect_histories(lines)['g']
        assert history.longest_several_s == pytest.approx(7)

    def test_restarted_entry(self):
        """An entry that starts anew has not selected a scheduler."""
        lines = two_schedulers(started('a', 2.5))
        history = collect_histories(lines)['g']
        assert history.schedulers == 1


class TestCommand:
    """The command line."""

    @pytest.mark.parametrize(('agree_within_s', 'code'), [(5, 0), (2, 1)])
    def test_exit_code(self, agree_within_s, code, monkeypatch, capsys):
        """It is 1 if a group had several schedulers for too long."""
        lines = two_schedulers(started('c', 5))
        monkeypatch.setattr('sys.stdin', io.StringIO('\n'.join(lines)))
        command = ['schedulers', '--agree-within', str(agree_within_s)]
        assert main(command) == code
        assert 'g: 2 of 2 entries' in capsys.readouterr().out
