"""Runs a deployment of the project's processes beside stand-ins."""

import asyncio
import json
import os
import pathlib
import random
import secrets
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

from httpio import read_chunks, read_head
from store import Store

ROOT = pathlib.Path(__file__).resolve().parents[2]
NOT_RUN = 2
# The port of `metrics` in the deploy file.
METRICS_PORT = 9102


class CannotRunError(Exception):
    """The case could not be set up."""


class Entry:
    """One machine with a process of the project."""

    def __init__(self, case, number, zone):
        self.case = case
        self.name = f'front-{zone}-{number}'
        self.zone = zone
        # An address of its own: the metrics port is the same on all machines.
        self.ip = f'127.{random.randint(16, 240)}.{random.randint(1, 250)}.{number + 1}'
        (self.front, self.ready, self.directory, self.peer_port,
         self.control) = _free_ports(self.ip, 5)
        self.process = None
        self.restarted = False
        self.store_address = ''

    def settings(self):
        """Returns the settings file, with the fields of the users' page."""
        listen = {
            'front': f'{self.ip}:{self.front}',
            'ready': f'{self.ip}:{self.ready}',
            'control': f'{self.ip}:{self.control}',
            'directory': f'{self.ip}:{self.directory}',
        }
        return {
            'nodeName': self.name, 'role': 'entry', 'machineClass': 'front',
            'serves': ['front', 'directory'], 'ip': self.ip, 'zone': self.zone,
            'region': 'r', 'zones': {'za': 'r', 'zb': 'r'}, 'listen': listen,
            'internalPorts': [self.peer_port, self.peer_port], 'seeds': [],
            'bootstrap': True, 'inFaultBudget': False,
            'limits': {'cpuShare': 0.8, 'cores': 2, 'memoryMb': 430,
                       'maxFds': 6150, 'linkMbps': 1500.0, 'diskMb': 0},
            'dataDir': None, 'discovery': 'platform', 'entry': 'directory',
            'heartbeatMs': 1200,
            'contracts': ['base', 'drain', 'config', 'cost', 'retry',
                          'recover', 'engine', 'stream', 'tenants',
                          'platform', 'stages'],
            'faultTolerance': {'machines': 2, 'zones': 0, 'regions': 0},
            'bounds': {
                'seedLagS': 3, 'addrReuseS': 2, 'stableWindowMs': 3000,
                'ackMs': 4000, 'catchUpS': 4, 'drainMs': 2000, 'graceS': 8,
                'lossSlackMs': 200, 'configApplyMs': 2000,
                'rollbackSlackMs': 250, 'maxSkewMs': 5000,
                'strictRevoke': False, 'revokeMs': 5000,
                'retryBudgetRatio': 0.2, 'budgetWindowS': 10,
                'budgetExtraRetries': 56, 'recoveryS': 12, 'passMs': 120,
                'againS': 9, 'ttl_max_s': 5},
            'platform': {'address': self.store_address, 'form': 'log',
                         'writesPerS': 400, 'readsPerS': 2000, 'parts': 12,
                         'appendMs': 2.0, 'partMbS': 20.0, 'readMbS': 80.0,
                         'recordBytes': 262144, 'callBytes': 2097152,
                         'keep_s': 300, 'partMb': 200, 'ttlMinMs': 1000},
        }

    async def start(self):
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = shlex.split(deploy['roles']['entry']['run'])
        boot = self.case.folder / f'{self.name}.json'
        boot.write_text(json.dumps(self.settings()))
        log = open(self.case.folder / f'{self.name}.log', 'ab')
        environment = {
            name: os.environ[name] for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment.update(
            BORAGEYARD_BOOT=str(boot), PYTHONPATH=str(ROOT / 'target/deps'),
            PYTHONDONTWRITEBYTECODE='1',
        )
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=environment, stdout=log, stderr=log)
        log.close()

    @property
    def is_running(self):
        return self.process is not None and self.process.returncode is None

    async def metrics(self):
        """Returns the metrics of the process, as text."""
        reader, writer = await asyncio.open_connection(self.ip, METRICS_PORT)
        writer.write(b'GET /metrics HTTP/1.1\r\nHost: m\r\n\r\n')
        head = await read_head(reader)
        length = int(head.headers['content-length'])
        text = (await reader.readexactly(length)).decode()
        writer.close()
        return text

    async def wait_ready(self, until):
        while time.monotonic() < until:
            if self.process.returncode is not None:
                raise CannotRunError(f'{self.name} ended')
            try:
                reader, writer = await asyncio.open_connection(
                    self.ip, self.ready)
                writer.write(b'GET /readyz HTTP/1.1\r\nHost: r\r\n\r\n')
                head = await asyncio.wait_for(read_head(reader), 1)
                writer.close()
                if head is not None and head.status == 200:
                    return
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.1)
        raise CannotRunError(f'{self.name} is not ready')


class Case:
    """Store, runners, entries and what they saw."""

    def __init__(self, folder):
        self.output = pathlib.Path(folder) / 'record.txt'
        self.trouble = os.environ.get('TROUBLE', '1') != '0'
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.store = Store()
        self.runners = []
        self.entries = []
        self.runs = {}
        self.results = {}
        self.foreign_inputs = []
        self.clients = []
        self.started = time.monotonic()
        self._lines = []
        self._tasks = set()

    def record(self, what, **fields):
        at_ms = round((time.monotonic() - self.started) * 1000)
        shown = ' '.join(f'{name}={value}' for name, value in fields.items())
        self._lines.append(f'{at_ms:7d} {what} {shown}')

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def deploy(self, configuration, runners, entries=2):
        await self.store.start()
        self.store.put('keyed.op', 'config', configuration)
        for runner in runners:
            self.runners.append(runner)
            await runner.start()
        for number in range(entries):
            entry = Entry(self, number, ('za', 'zb')[number % 2])
            entry.store_address = await self.store.listen()
            self.entries.append(entry)
            await entry.start()
        until = time.monotonic() + 30
        for entry in self.entries:
            await entry.wait_ready(until)
        # Traffic starts some seconds after the machines.
        await asyncio.sleep(4)

    async def close(self):
        for entry in self.entries:
            if entry.process is not None and entry.process.returncode is None:
                entry.process.send_signal(signal.SIGKILL)
                await entry.process.wait()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for client in self.clients:
            client.close()
        for runner in self.runners:
            runner.close()
        self.store.close()
        # Lets the connections end before the loop does.
        await asyncio.sleep(0.2)
        self.output.write_text('\n'.join(self._lines) + '\n')
        shutil.rmtree(self.folder, ignore_errors=True)


class Client:
    """A client that keeps a connection to one entry open."""

    def __init__(self, case, entry, on_head=None):
        self.case = case
        self.entry = entry
        # Called with the headers of each answer as its head arrives.
        self.on_head = on_head
        self._streams = None
        case.clients.append(self)

    async def ask(self, path, method='POST', headers=None, body=b'',
                  deadline_ms=3000):
        """Sends one request; returns its id, status and body.

        The status is 0 if the connection was closed without a whole answer,
        and None if there was no answer until the deadline.
        """
        request_id = secrets.token_hex(8)
        kept = self._streams is not None
        self.case.record('sent', id=request_id, path=path, kept=kept)
        try:
            status, found = await asyncio.wait_for(
                self._exchange(request_id, path, method, headers or {}, body,
                               deadline_ms),
                deadline_ms / 1000)
        except TimeoutError:
            status, found = None, b''
            self.close()
        except (OSError, EOFError, asyncio.IncompleteReadError):
            status, found = 0, b''
            self.close()
        self.case.record('answered', id=request_id, status=status, kept=kept,
                         body=found[:60])
        return request_id, status, found

    @property
    def is_open(self):
        """Whether the next request goes out on a kept connection."""
        return self._streams is not None

    def close(self):
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None

    async def _exchange(self, request_id, path, method, headers, body,
                        deadline_ms):
        if self._streams is None:
            self._streams = await asyncio.open_connection(
                self.entry.ip, self.entry.front)
        reader, writer = self._streams
        lines = [f'{method} {path} HTTP/1.1', 'Host: walks.example',
                 f'X-Attempt-Id: {request_id}', f'X-Deadline-Ms: {deadline_ms}',
                 'Authorization: Token key1', f'Content-Length: {len(body)}']
        lines += [f'{name}: {value}' for name, value in headers.items()]
        writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode() + body)
        head = await read_head(reader)
        if head is None:
            raise EOFError('closed')
        if self.on_head is not None:
            self.on_head(head.headers)
        found = b''
        if head.headers.get('transfer-encoding') == 'chunked':
            async for data in read_chunks(reader):
                found += data
        else:
            length = int(head.headers.get('content-length', '0'))
            found = await reader.readexactly(length)
        if head.headers.get('connection') == 'close':
            self.close()
        return head.status, found


def route(name, prefix, kind, service, **further):
    """Returns a route of the configuration."""
    return {'name': name, 'host': 'walks.example', 'pathPrefix': prefix,
            'kind': kind, 'timeoutMs': 3000, 'targetLatencyMs': 1000,
            'gapAimMs': 400, 'service': service, 'maxAttempts': 1,
            'priority': 0, **further}


def configuration(routes, services, version=3):
    """Returns a configuration with one tenant."""
    return {
        'version': version, 'routes': routes, 'services': services,
        'limits': {'maxHeaderBytes': 16384, 'maxBodyBytes': 4194304,
                   'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000},
        'tenants': [{'name': 'kennels', 'apiKeys': ['key1']}],
    }


def main(folder, run):
    """Runs a case and exits with its verdict.

    Args:
        folder: Folder of the case, for its record.
        run: Coroutine function that takes the case and returns the verdict.
    """
    async def play():
        case = Case(folder)
        # A script that is stopped from outside ends its processes too.
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            verdict, why = await asyncio.wait_for(run(case), 100)
        except (CannotRunError, TimeoutError, asyncio.CancelledError) as error:
            verdict, why = NOT_RUN, repr(error)
        finally:
            case.record('end')
            await case.close()
        print(why)
        return verdict

    try:
        code = asyncio.run(play())
    except Exception as error:
        print(repr(error))
        code = NOT_RUN
    sys.exit(code)


def _free_ports(ip, count):
    """Returns ports below the ephemeral ones on which nothing listens."""
    free = set()
    while len(free) < count:
        port = random.randint(10_000, 30_000)
        with socket.socket() as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                continue
        free.add(port)
    return sorted(free)
