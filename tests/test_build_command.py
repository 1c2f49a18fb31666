"""Tests of the command that builds a deployment."""

import os
import pathlib
import subprocess
import tomllib

import pytest

ROOT = pathlib.Path(__file__).parent.parent
# Notes that it was called, and leaves a folder as pip does.
PIP = """#!/bin/sh
echo called >> calls
mkdir -p target/deps
"""
MACHINE = """#!/bin/sh
cat machine
"""


class Checkout:
    """A folder with the lock of a deployment and stand-ins of programs."""

    def __init__(self, folder):
        """Creates the folder's content; nothing is built."""
        self._folder = folder
        (folder / 'deploy').mkdir()
        (folder / 'deploy' / 'requirements.lock').write_text('')
        os.utime(folder / 'deploy' / 'requirements.lock', (1, 1))
        for name, script in (('python3', PIP), ('uname', MACHINE)):
            program = folder / name
            program.write_text(script)
            program.chmod(0o755)
        settings = (ROOT / 'deploy' / 'system.toml').read_text()
        self._command = tomllib.loads(settings)['build']

    def build(self, machine):
        """Builds on a kind of machine."""
        (self._folder / 'machine').write_text(machine)
        path = os.pathsep.join((str(self._folder), os.environ['PATH']))
        subprocess.run(
            ['bash', '-c', self._command],
            cwd=self._folder,
            env={**os.environ, 'PATH': path},
            check=True,
        )

    def change_lock(self):
        """Makes the lock newer than anything that was built."""
        lock = self._folder / 'deploy' / 'requirements.lock'
        os.utime(lock, (2**32, 2**32))

    @property
    def installs(self):
        """How often packages were installed."""
        calls = self._folder / 'calls'
        return len(calls.read_text().split()) if calls.exists() else 0


@pytest.fixture
def checkout(tmp_path):
    """Returns a checkout that is not built."""
    return Checkout(tmp_path)


class TestBuildCommand:
    """Packages are installed only if they have to be."""

    def test_second_build_installs_nothing(self, checkout):
        """On the same kind of machine."""
        checkout.build('aarch64')
        checkout.build('aarch64')
        assert checkout.installs == 1

    def test_packages_of_another_kind_of_machine_are_replaced(self, checkout):
        """They may hold code for its processor; nothing of them stays."""
        checkout.build('x86_64')
        checkout.build('aarch64')
        checkout.build('aarch64')
        assert checkout.installs == 2
        checkout.build('x86_64')
        assert checkout.installs == 3

    def test_changed_lock_is_installed(self, checkout):
        """Also on the same kind of machine."""
        checkout.build('aarch64')
        checkout.change_lock()
        checkout.build('aarch64')
        assert checkout.installs == 2
