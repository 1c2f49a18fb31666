"""Tests that the commands in the pages exist."""

import pathlib
import re
import shlex

import pytest

from borageyard.commands.main import build_parser

ROOT = pathlib.Path(__file__).parent.parent
PAGES = (ROOT / 'README.md', *sorted((ROOT / 'docs').rglob('*.md')))
INDENTED = re.compile(r'^ {4}borageyard (.+)$', re.MULTILINE)
OPTIONAL = re.compile(r'\[[^\]]*\]')
NUMBER = re.compile(r'\bN\b')
QUOTED = re.compile(r'`borageyard ([a-z][^`|]*)`')


def commands():
    """Yields the page and the arguments of every command."""
    for page in PAGES:
        text = page.read_text(encoding='utf-8')
        found = [*INDENTED.findall(text), *QUOTED.findall(text)]
        for line in sorted(set(found)):
            yield pytest.param(line, id=f'{page.stem}: {line}')


def exit_code(arguments):
    """Returns how the parser ends; 0 if it takes the arguments."""
    try:
        build_parser().parse_args(arguments)
    except SystemExit as ended:
        return ended.code
    return 0


class TestCommands:
    """What a page tells to type is accepted by the command line."""

    @pytest.mark.parametrize('line', list(commands()))
    def test_is_accepted(self, line):
        """The parser knows the command and its options."""
        typed = NUMBER.sub('1', OPTIONAL.sub('', line))
        arguments = shlex.split(typed, comments=True)
        if len(arguments) == 1:
            arguments.append('--help')
        assert exit_code(arguments) == 0
