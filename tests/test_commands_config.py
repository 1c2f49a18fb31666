"""Tests of the ``borageyard config`` commands over real sockets."""

import asyncio
import copy
import json
import pathlib

from borageyard.commands.demo import load_plan
from borageyard.commands.main import main
from borageyard.standins.deployment import Deployment

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'


def write(path, document):
    """Writes a document as JSON and returns its path."""
    path.write_text(json.dumps(document), encoding='utf-8')
    return str(path)


def example():
    """Returns the document of a shipped example."""
    path = EXAMPLES / 'hundaganga.configuration.json'
    return json.loads(path.read_text(encoding='utf-8'))


class TestCheck:
    """Validation without an entry, and commands that reach none."""

    def test_good_file(self, tmp_path):
        """A valid file gives exit code 0."""
        path = write(tmp_path / 'good.json', example())
        assert main(['config', 'check', path]) == 0

    def test_bad_file_names_place_value_and_expectation(self, tmp_path, capsys):
        """An invalid file gives exit code 2 and a complete error message."""
        document = example()
        document['services']['ganga-llm']['model'] = 'nowhere'
        path = write(tmp_path / 'bad.json', document)
        assert main(['config', 'check', path]) == 2
        shown = capsys.readouterr().err
        assert '$.services.ganga-llm.model' in shown
        assert '"nowhere"' in shown
        assert 'the name of one of $.models' in shown

    def test_no_entry_answers(self, tmp_path, capsys):
        """The exit code is 1 if no entry can be reached."""
        path = write(tmp_path / 'good.json', example())
        arguments = ['config', 'apply', path, '--entry', '127.0.0.1:1']
        assert main(arguments) == 1
        assert 'no entry answered' in capsys.readouterr().err


class TestApply:
    """Changes applied through running entries."""

    def test_shows_entries_and_ends_when_accepted(self, tmp_path, capsys):
        """Apply prints each entry's state; reusing a base version conflicts."""
        document = copy.deepcopy(example())
        document['organisations']['dispatch']['weight'] = 5
        path = write(tmp_path / 'next.json', document)
        codes = asyncio.run(apply_twice(path))
        shown = capsys.readouterr().out
        assert codes == [0, 1]
        assert shown.count(': in_force') >= 2
        assert 'accepted: version 2 by ada' in shown
        assert 'conflict: version 2 by ada' in shown


async def apply_twice(path):
    """Applies a file twice on base version 1; returns both exit codes."""
    plan = load_plan('hundaganga', EXAMPLES)
    async with Deployment(plan) as deployment:
        addresses = [entry.address for entry in deployment.all_entries()]
        return [
            await asyncio.to_thread(
                main,
                [
                    'config',
                    'apply',
                    path,
                    '--base',
                    '1',
                    '--author',
                    'ada',
                    '--entry',
                    addresses[0],
                ],
            )
            for _ in range(2)
        ]
