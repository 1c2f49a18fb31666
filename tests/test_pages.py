"""Tests that the commands shown in the documentation exist."""

import pathlib
import re
import shlex

import pytest

from borageyard.commands.main import build_parser

ROOT = pathlib.Path(__file__).parent.parent
PAGES = (ROOT / 'README.md', *sorted((ROOT / 'docs').rglob('*.md')))
INDENTED_COMMAND = re.compile(r'^ {4}borageyard (.+)$', re.MULTILINE)
OPTIONAL_PART = re.compile(r'\[[^\]]*\]')
NUMBER_PLACEHOLDER = re.compile(r'\bN\b')
QUOTED_COMMAND = re.compile(r'`borageyard ([a-z][^`|]*)`')


def commands():
    """Yields the arguments of every command, with its page in the test id."""
    for page in PAGES:
        text = page.read_text(encoding='utf-8')
        found = [*INDENTED_COMMAND.findall(text), *QUOTED_COMMAND.findall(text)]
        for line in sorted(set(found)):
            yield pytest.param(line, id=f'{page.stem}: {line}')


def exit_code(arguments):
    """Returns the exit code of the parser; 0 if it accepts the arguments."""
    try:
        build_parser().parse_args(arguments)
    except SystemExit as error:
        return error.code
    return 0


class TestCommands:
    """Commands shown in the documentation are accepted by the parser."""

    @pytest.mark.parametrize('line', list(commands()))
    def test_is_accepted(self, line):
        """The parser knows the command and its options."""
        command_line = NUMBER_PLACEHOLDER.sub('1', OPTIONAL_PART.sub('', line))
        arguments = shlex.split(command_line, comments=True)
        if len(arguments) == 1:
            arguments.append('--help')
        assert exit_code(arguments) == 0
