"""Tests of the checks on a whole configuration."""

import copy
import json
import pathlib

import pytest

from borageyard.configuration import parse_configuration
from borageyard.document_validation import DocumentError

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'


def load_example(name: str):
    """Returns a shipped configuration document."""
    path = EXAMPLES / f'{name}.configuration.json'
    return json.loads(path.read_text(encoding='utf-8'))


class TestShippedConfigurations:
    """The configurations of both deployments."""

    @pytest.mark.parametrize('name', ['hundaganga', 'vembanad'])
    def test_is_accepted(self, name):
        """A shipped example passes all checks."""
        parsed = parse_configuration(load_example(name), 1)
        assert parsed.version == 1
        assert parsed.pipelines

    def test_knows_what_needs_a_claim(self):
        """A booking needs a claim, a route summary does not."""
        parsed = parse_configuration(load_example('hundaganga'), 1)
        assert parsed.needs_claim(parsed.pipelines['booking'])
        assert not parsed.needs_claim(parsed.pipelines['route-summary'])


class TestBrokenConfigurations:
    """Faults are told with place, value and expectation."""

    @pytest.mark.parametrize(
        ('path', 'broken', 'place'),
        [
            (('services', 'encoder', 'kind'), 'oven', '$.services.encoder'),
            (('format',), 2, '$.format'),
            (('extra',), 1, '$.extra'),
            (
                ('pipelines', 'check-in', 'deadline_ms'),
                1,
                '$.pipelines.check-in.deadline_ms',
            ),
            (
                ('pipelines', 'check-in', 'output'),
                'nowhere',
                '$.pipelines.check-in.output',
            ),
            (
                ('services', 'ganga-llm', 'model'),
                'nowhere',
                '$.services.ganga-llm.model',
            ),
        ],
    )
    def test_names_the_place(self, path, broken, place):
        """Each fault names its JSON path and the value found."""
        document = copy.deepcopy(load_example('hundaganga'))
        inner = document
        for step in path[:-1]:
            inner = inner[step]
        inner[path[-1]] = broken
        with pytest.raises(DocumentError) as caught:
            parse_configuration(document, 1)
        assert place in str(caught.value)
        assert json.dumps(broken) in str(caught.value)
