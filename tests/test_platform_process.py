"""Tests of the process that serves on the users' platform."""

import os
import pathlib
import subprocess
import sys

import pytest

from borageyard.platform.process import EXIT_USAGE
from borageyard.platform.settings import SETTINGS_VARIABLE

ROOT = pathlib.Path(__file__).parent.parent
# Runs the module as ``python -m`` does; a signal comes in while it imports
# another module.
SIGNALLED_START = """
import os, runpy, signal, sys

class Finder:
    sent = False

    def find_spec(self, name, path=None, target=None):
        if name == {name!r} and not self.sent:
            self.sent = True
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, Finder())
runpy.run_module('borageyard.platform', run_name='__main__')
"""


class TestSignals:
    """Signals that arrive while the process starts."""

    @pytest.mark.parametrize(
        'name', ['asyncio', 'pydantic', 'msgpack', 'borageyard.gateway']
    )
    def test_reload_at_the_start_ends_no_process(self, tmp_path, name):
        """SIGHUP ended a process that was still importing its modules."""
        started = subprocess.run(
            [sys.executable, '-c', SIGNALLED_START.format(name=name)],
            env={
                **os.environ,
                'PYTHONPATH': str(ROOT),
                SETTINGS_VARIABLE: str(tmp_path / 'missing.json'),
            },
            capture_output=True,
            check=False,
        )
        # Without its settings it ends for that reason, and not by the signal.
        assert started.returncode == EXIT_USAGE, started.stderr
