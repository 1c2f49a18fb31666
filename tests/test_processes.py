"""End-to-end tests with real processes on loopback."""

import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
from urllib import request as urlrequest
from urllib.error import URLError

from borageyard.commands.settings import settings_page

ROOT = pathlib.Path(__file__).parent.parent
START_S = 30
CONFIGURATION = json.dumps(
    {
        'format': 1,
        'organisations': {'dispatch': {}},
        'services': {'encoder': {'kind': 'encoder'}},
        'pipelines': {
            'lookup': {'stages': [{'name': 'encode', 'service': 'encoder'}]},
        },
    },
)


def free_address():
    """Returns a loopback address that is not in use."""
    with socket.socket() as listener:
        listener.bind(('127.0.0.1', 0))
        _, port = listener.getsockname()
    return f'127.0.0.1:{port}'


def send(address, path, body=None):
    """Sends a request and returns the decoded JSON response."""
    encoded = None if body is None else json.dumps(body).encode()
    request = urlrequest.Request(f'http://{address}{path}', encoded)
    with urlrequest.urlopen(request, timeout=5) as reply:
        return json.loads(reply.read())


def wait_until_answered(address, path):
    """Waits until a GET of the path succeeds and returns its response.

    Raises:
        TimeoutError: If ``START_S * 20`` attempts, 50 ms apart, failed.
    """
    for _ in range(START_S * 20):
        with contextlib.suppress(OSError, URLError):
            return send(address, path)
        time.sleep(0.05)
    raise TimeoutError(path)


class Processes:
    """Starts commands, and kills the daemons when its stack closes."""

    def __init__(self, folder):
        """Creates the runner.

        Args:
            folder: Folder of the settings files and working directory.
        """
        self.folder = folder
        self.stack = contextlib.ExitStack()

    def command(self, *arguments):
        """Returns arguments of subprocess that run a command."""
        return {
            'args': [sys.executable, '-m', 'borageyard', *arguments],
            'env': {**os.environ, 'PYTHONPATH': str(ROOT)},
            'cwd': self.folder,
        }

    def start(self, name, settings, *arguments):
        """Writes the settings of a daemon and starts it."""
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps({'instance_id': name, **settings}))
        daemon = subprocess.Popen(
            **self.command(*arguments, '--settings', str(path)),
            stderr=subprocess.PIPE,
        )
        self.stack.callback(daemon.wait)
        self.stack.callback(daemon.kill)
        self.stack.callback(daemon.stderr.close)
        return daemon

    def run(self, *arguments):
        """Runs a command to completion."""
        return subprocess.run(
            **self.command(*arguments),
            capture_output=True,
            text=True,
            timeout=START_S,
            check=False,
        )


def start_all(processes):
    """Starts a platform, a target and an entry.

    Returns:
        The entry's process, and the addresses by name.
    """
    names = ('log', 'instances', 'target', 'entry', 'peer')
    addresses = {name: free_address() for name in names}
    row = {
        'instance_id': 'encoder-0',
        'role': 'target',
        'address': addresses['target'],
        'failure_domain': 'a',
        'service': 'encoder',
    }
    more = {
        'log': {},
        'instances': {'instances': [row]},
        'target': {'service': 'encoder', 'kind': 'encoder'},
    }
    for name, fields in more.items():
        settings = {
            'listen_address': addresses[name],
            'failure_domain': 'a',
            **fields,
        }
        instance_id = 'encoder-0' if name == 'target' else name
        processes.start(instance_id, settings, 'standin', name)
    wait_until_answered(addresses['log'], '/v1/streams/configuration/records')
    wait_until_answered(addresses['instances'], '/v1/instances')
    wait_until_answered(addresses['target'], '/v1/load')
    platform = {
        'log_address': addresses['log'],
        'instances_address': addresses['instances'],
        'weights_address': addresses['instances'],
        'instances_poll_ms': 50,
    }
    entry = processes.start(
        'entry-0',
        {
            'failure_domain': 'a',
            'listen_address': addresses['entry'],
            'peer_address': addresses['peer'],
            'drain_ms': 200,
            'platform': platform,
        },
        'entry',
    )
    wait_until_answered(addresses['entry'], '/healthz')
    return entry, addresses


class TestProcesses:
    """An entry and stand-ins, each in its own process."""

    def test_serves_and_stops(self, tmp_path):
        """The entry serves an applied configuration and exits 0 on SIGTERM."""
        processes = Processes(tmp_path)
        with processes.stack:
            entry, addresses = start_all(processes)
            (tmp_path / 'configuration.json').write_text(CONFIGURATION)
            (tmp_path / 'input.json').write_text('{"dog": "Snati"}')
            proposal = {
                'type': 'apply',
                'change_id': 'change-1',
                'base_version': 0,
                'author': 'test',
                'document': json.loads(CONFIGURATION),
            }
            send(
                addresses['log'],
                '/v1/streams/configuration/records',
                {'record': proposal},
            )
            wait_until_answered(addresses['entry'], '/readyz')
            options = ('--entry', addresses['entry'])
            call = processes.run(
                'call',
                'lookup',
                *options,
                '--organisation',
                'dispatch',
                '--input',
                'input.json',
            )
            status = processes.run('status', *options, '--json')
            entry.send_signal(signal.SIGTERM)
            assert entry.wait(START_S) == 0
            log = entry.stderr.read().decode()
        assert call.returncode == 0, call.stdout + call.stderr
        assert json.loads(call.stdout)['stages'][0]['stage'] == 'encode'
        assert status.returncode == 0
        state = json.loads(status.stdout)[addresses['entry']]
        assert state['instance_id'] == 'entry-0'
        for name in ('entry_started', 'entry_draining', 'entry_stopped'):
            assert name in log

    def test_bad_settings_start_nothing(self, tmp_path):
        """The exit code is 2, and the error names each wrong setting."""
        (tmp_path / 'bad.json').write_text('{"instance_id": ""}')
        ended = Processes(tmp_path).run('entry', '--settings', 'bad.json')
        assert ended.returncode == 2
        assert '$.instance_id: found ""; expected' in ended.stderr
        assert '$.platform: found' in ended.stderr


class TestSettingsPage:
    """docs/CONFIGURATION.md compared with the schemas."""

    def test_page_is_current(self):
        """`borageyard settings` prints exactly the committed page."""
        page = ROOT / 'docs' / 'CONFIGURATION.md'
        assert page.read_text() == settings_page()
