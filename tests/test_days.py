"""Tests of the days of trouble that the users' bench plays for us."""

import pathlib
import tomllib

import pytest

FOLDER = pathlib.Path(__file__).parent.parent / 'deploy' / 'days'
DAYS = sorted(FOLDER.glob('*.toml'))
KINDS = frozenset(
    (
        'add_nodes', 'after_ack_kill', 'answer_lost', 'big_config', 'burst',
        'clock_step', 'config_change', 'config_storm', 'core_cut', 'garble',
        'give_up', 'herd_kill', 'hot_key', 'hup', 'lossy', 'node_cut',
        'node_freeze', 'node_kill', 'node_slow', 'platform_compact',
        'platform_down', 'platform_lost', 'platform_slow', 'release',
        'replace_with_reuse', 'reset_conns', 'retry_abuse', 'revoke',
        'roll_term', 'scale_in', 'scale_out', 'shift', 'srv_crash',
        'srv_cut', 'srv_grey', 'srv_slow',
    ),
)  # fmt: skip


def load(path):
    """Returns a day."""
    return tomllib.loads(path.read_text(encoding='utf-8'))


def troubles(day):
    """Returns planned work and faults."""
    return [*day.get('plan', ()), *day.get('faults', ())]


class TestDays:
    """Every kind of trouble has its day."""

    @pytest.mark.parametrize('path', DAYS, ids=lambda path: path.stem)
    def test_is_named_for_its_file(self, path):
        """Its troubles state when and what."""
        day = load(path)
        assert day['name'] == path.stem
        assert all({'at', 'kind'} <= set(entry) for entry in troubles(day))

    def test_no_kind_is_left_out(self):
        """Those that may come are all tried."""
        played = {
            entry['kind'] for path in DAYS for entry in troubles(load(path))
        }
        assert played == KINDS

    def test_seeds_differ(self):
        """No two days share their luck."""
        seeds = [load(path)['seed'] for path in DAYS]
        assert len(set(seeds)) == len(seeds)
