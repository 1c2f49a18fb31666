"""Tests of the fault scenarios (days) that the users' bench runs."""

import pathlib
import tomllib

import pytest

FOLDER = pathlib.Path(__file__).parent.parent / 'deploy' / 'days'
DAYS = sorted(FOLDER.glob('*.toml'))
EVENT_KINDS = frozenset(
    (
        'add_nodes', 'after_ack_kill', 'answer_lost', 'big_config', 'burst',
        'clock_step', 'config_change', 'config_storm', 'core_cut', 'garble',
        'give_up', 'herd_kill', 'hot_key', 'hup', 'lossy', 'node_cut',
        'node_freeze', 'node_kill', 'node_slow', 'platform_compact', 'poison',
        'platform_down', 'platform_lost', 'platform_slow', 'release',
        'replace_with_reuse', 'reset_conns', 'retry_abuse', 'revoke',
        'roll_term', 'scale_in', 'scale_out', 'shift', 'srv_crash',
        'srv_cut', 'srv_grey', 'srv_slow',
    ),
)  # fmt: skip


def load_day(path):
    """Returns the scenario in a file."""
    return tomllib.loads(path.read_text(encoding='utf-8'))


def events_of(day):
    """Returns the planned operations and the faults of a scenario."""
    return [*day.get('plan', ()), *day.get('faults', ())]


class TestDays:
    """The scenarios are well formed and cover every kind of event."""

    @pytest.mark.parametrize('path', DAYS, ids=lambda path: path.stem)
    def test_is_named_for_its_file(self, path):
        """A scenario is named after its file; events have time and kind."""
        day = load_day(path)
        assert day['name'] == path.stem
        assert all({'at', 'kind'} <= set(event) for event in events_of(day))

    def test_kinds_are_covered(self):
        """The scenarios use all kinds of events and no other kind."""
        used_kinds = {
            event['kind']
            for path in DAYS
            for event in events_of(load_day(path))
        }
        assert used_kinds == EVENT_KINDS

    def test_seeds_differ(self):
        """No two scenarios use the same seed."""
        seeds = [load_day(path)['seed'] for path in DAYS]
        assert len(set(seeds)) == len(seeds)
