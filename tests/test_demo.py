"""Tests of the demo, its served deployments and shipped settings."""

import asyncio
import pathlib
import shlex
import signal
import subprocess
import sys

import pytest

from borageyard.commands.gateway_demo import REQUEST_COUNT, run_gateway_demo
from borageyard.http_client import HttpCall, HttpClient
from borageyard.settings import load_entry_settings

ROOT = pathlib.Path(__file__).parent.parent
EXAMPLES = ROOT / 'examples'
TIMEOUT_S = 30


@pytest.fixture
def served_commands():
    """Runs ``demo --serve``; yields the two command lines it prints."""
    command = [sys.executable, '-m', 'borageyard', 'demo', '--serve']
    with subprocess.Popen(
        [*command, '--examples', str(EXAMPLES)],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        text=True,
    ) as process:
        lines = []
        while len(lines) < 2:
            line = process.stdout.readline()
            assert line, 'the demo exited before it printed both commands'
            if line.startswith('    '):
                lines.append(line.strip())
        yield lines
        process.send_signal(signal.SIGTERM)
        assert process.wait(TIMEOUT_S) == 0


def parse_curl(line):
    """Returns the HTTP call of a curl command line."""
    words = shlex.split(line)
    headers = [
        words[index + 1] for index, word in enumerate(words) if word == '-H'
    ]
    address, _, path = words[-1].removeprefix('http://').partition('/')
    return HttpCall(
        address,
        words[words.index('-X') + 1],
        f'/{path}',
        headers=dict(header.split(': ', 1) for header in headers),
        timeout_ms=5000,
    )


async def send(call):
    """Sends a call and returns the reply."""
    async with HttpClient() as client:
        return await client.request(call)


class TestGatewayDemo:
    """Gateways on stand-ins of the users' platform."""

    async def test_every_request_is_answered_or_refused_truly(self):
        """Target resets and a gateway stop lose and double no request."""
        totals = await run_gateway_demo()
        assert totals.requests == REQUEST_COUNT
        assert totals.wrong_answers == 0
        assert totals.double_runs == 0
        assert totals.unknown == 0


class TestServe:
    """``demo --serve``."""

    def test_printed_lines_work(self, served_commands):
        """Both printed commands get a complete answer."""
        call, curl = served_commands
        body, _, command = call.partition(' | ')
        ended = subprocess.run(
            [sys.executable, '-m', *shlex.split(command)],
            cwd=ROOT,
            input=shlex.split(body)[1],
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
            check=False,
        )
        assert ended.returncode == 0, ended.stdout + ended.stderr
        reply = asyncio.run(send(parse_curl(curl)))
        assert reply.status == 200
        assert b'id: 5' in reply.body


class TestExamples:
    """The shipped settings file."""

    def test_settings_of_an_entry_are_valid(self):
        """The file is valid, so only its addresses need to be adapted."""
        path = EXAMPLES / 'entry.settings.json'
        assert load_entry_settings(str(path)).instance_id == 'entry-0'
