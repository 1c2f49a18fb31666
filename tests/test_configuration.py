"""Tests of the validation of configuration documents."""

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
    """The shipped configurations of both deployments."""

    @pytest.mark.parametrize('name', ['hundaganga', 'vembanad'])
    def test_is_accepted(self, name):
        """A shipped example is valid."""
        parsed = parse_configuration(load_example(name), 1)
        assert parsed.version == 1
        assert parsed.pipelines

    def test_claim_is_needed_for_non_idempotent_stages(self):
        """The booking pipeline needs a claim, the route summary does not."""
        parsed = parse_configuration(load_example('hundaganga'), 1)
        assert parsed.needs_claim(parsed.pipelines['booking'])
        assert not parsed.needs_claim(parsed.pipelines['route-summary'])


class TestBrokenConfigurations:
    """Errors of invalid documents."""

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
    def test_error_names_path_and_value(self, path, broken, place):
        """An error names the JSON path and the value found."""
        document = copy.deepcopy(load_example('hundaganga'))
        inner = document
        for step in path[:-1]:
            inner = inner[step]
        inner[path[-1]] = broken
        with pytest.raises(DocumentError) as caught:
            parse_configuration(document, 1)
        assert place in str(caught.value)
        assert json.dumps(broken) in str(caught.value)
