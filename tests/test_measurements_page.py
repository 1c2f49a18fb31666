"""Tests of the page of measurements."""

import json

from borageyard.commands.main import main


def build_summary():
    """Returns a summary as the bench command prints it."""
    return {
        'name': 'policy',
        'seed': 1,
        'figures': {
            'margin': -0.5,
            'site/steady/policy.attainment': 0.25,
            'site/steady/random.attainment': 0.75,
            'site/steady/policy.wasted_share': 0,
            'site/steady/random.wasted_share': 0,
            'site/steady/policy.work_ms': 1500,
            'site/steady/random.work_ms': 1600,
        },
        'bounds': [{'figure': 'margin', 'limit': 0, 'at_most': False}],
        'missed': ['margin'],
    }


class TestPage:
    """The page shows the measured figures, missed bounds included."""

    def test_page_of_a_summary(self, tmp_path):
        """A missed bound shows in the page and in the exit code."""
        source = tmp_path / 'bench.txt'
        source.write_text(
            f'table\n{json.dumps(build_summary())}\n', encoding='utf-8'
        )
        page = tmp_path / 'page.md'
        arguments = ['--summary', str(source), '--output', str(page)]
        assert main(['report', 'policy', *arguments]) == 1
        text = page.read_text(encoding='utf-8')
        assert '| margin | -0.5 | >= 0 | no |' in text
        assert '| site/steady | 25.00 | 75.00 |' in text
        assert '| site/steady | 1500.00 | 1600.00 |' in text
