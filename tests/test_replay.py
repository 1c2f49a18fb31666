"""Tests of reading and replaying traces."""

import json
import pathlib

import pytest

from borageyard.document_validation import DocumentError
from borageyard.faults.replay import replay
from borageyard.faults.trace import read_trace

ROOT = pathlib.Path(__file__).parent.parent
EXAMPLES = ROOT / 'examples'
TRACES = sorted((ROOT / 'tests' / 'traces').glob('*.jsonl'))
HEADER = '{"format":1,"name":"x","example":"hundaganga","lasts_ms":4000}'
REQUEST = (
    '{"kind":"request","at_ms":0,"request":"r","entry":0,'
    '"pipeline":"booking","organisation":"dispatch","key":"k"}'
)


def write_trace(folder, *lines):
    """Writes a trace with the header and the lines; returns its path."""
    path = folder / 'trace.jsonl'
    path.write_text('\n'.join((HEADER, *lines)))
    return str(path)


class TestShippedTraces:
    """Each shipped trace meets its stated outcomes."""

    @pytest.mark.parametrize('path', TRACES, ids=lambda path: path.stem)
    def test_meets_its_outcomes(self, path):
        """The replay differs from no stated outcome."""
        report = replay(read_trace(str(path)), EXAMPLES)
        assert report.differing == ()

    def test_all_are_found(self):
        """All eight traces of the two example deployments are found."""
        assert len(TRACES) == 8


class TestDifferences:
    """A stated outcome that is not met is reported."""

    @pytest.mark.parametrize(
        'outcome',
        [
            {'kind': 'ending', 'request': 'r', 'endings': ['unknown']},
            {'kind': 'ending', 'request': 'other', 'endings': ['unknown']},
            {'kind': 'runs', 'key': 'k', 'stage': 'book', 'at_most': 0},
            {'kind': 'share', 'ending': 'whole answer', 'at_most': 0},
            {'kind': 'version', 'version': 2, 'accepted': 0},
            {'kind': 'version', 'version': 1, 'accepted': 1},
        ],
        ids=lambda outcome: outcome['kind'],
    )
    def test_is_reported(self, tmp_path, outcome):
        """A replay reports the outcome that is not met."""
        path = write_trace(tmp_path, REQUEST, json.dumps(outcome))
        assert len(replay(read_trace(path), EXAMPLES).differing) >= 1


class TestReading:
    """Invalid traces are rejected with the number of the line."""

    @pytest.mark.parametrize(
        ('line', 'message'),
        [
            ('{', ':2'),
            ('[]', 'one of'),
            ('{"kind":"nothing"}', 'one of'),
            ('{"kind":"request"}', ':2'),
        ],
    )
    def test_names_the_line(self, tmp_path, line, message):
        """The error names the line or the expected kinds of records."""
        with pytest.raises(DocumentError, match=message):
            read_trace(write_trace(tmp_path, line))

    def test_empty_file(self, tmp_path):
        """An empty file is rejected because it has no header."""
        path = tmp_path / 'empty.jsonl'
        path.write_text('')
        with pytest.raises(DocumentError, match='header'):
            read_trace(str(path))
