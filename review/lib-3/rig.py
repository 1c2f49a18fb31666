"""Stand-ins and processes for the scripts of this review.

Standard library only. The store, the runners and the clients live in the
process of the script; each gateway is a process of its own, started with the
command of deploy/system.toml. All addresses are loopback addresses.
"""

import asyncio
import base64
import contextlib
import json
import logging
import os
import pathlib
import random
import resource
import shlex
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import traceback

# Stand-ins write to connections that the other side has closed.
logging.getLogger('asyncio').setLevel(logging.CRITICAL)
ROOT = pathlib.Path(__file__).resolve().parents[2]
PORT_RANGE = (10_000, 30_000)
HEARTBEAT_S = 1.2
HOST = 'walks.example'
KEY = '9dnn2ctnfzs989anu6ws'
TENANT = 'bozi300'
BOUNDS = {
    'seedLagS': 3, 'addrReuseS': 2, 'stableWindowMs': 3000, 'ackMs': 4000,
    'catchUpS': 4, 'drainMs': 2000, 'graceS': 8, 'lossSlackMs': 200,
    'configApplyMs': 2000, 'rollbackSlackMs': 250, 'maxSkewMs': 5000,
    'strictRevoke': False, 'revokeMs': 5000, 'retryBudgetRatio': 0.2,
    'budgetWindowS': 10, 'budgetExtraRetries': 56, 'recoveryS': 12,
    'passMs': 120, 'againS': 9, 'ttl_max_s': 5,
}
CONTRACTS = [
    'base', 'drain', 'config', 'cost', 'retry', 'recover', 'engine', 'stream',
    'tenants', 'platform', 'stages',
]


class CannotRun(Exception):
    """The case could not be brought about."""


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self._file = (folder / 'record.txt').open('w')
        self._start = time.monotonic()

    def __call__(self, text):
        at = time.monotonic() - self._start
        self._file.write(f'{at:8.3f} s  {text}\n')
        self._file.flush()

    def close(self):
        self._file.close()


def free_ports(host, count):
    found = []
    while len(found) < count:
        port = random.randrange(*PORT_RANGE)
        with contextlib.suppress(OSError):
            socket.create_server((host, port)).close()
            if port not in found:
                found.append(port)
    return found


# ---- a small HTTP/1.1 server ----

class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.path, _, query = target.partition('?')
        self.query = dict(
            part.partition('=')[::2] for part in query.split('&') if part
        )
        self.headers = headers
        self.body = body


async def read_request(reader):
    """Returns the next request; None at the end of the connection."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, OSError):
        return None
    lines = head.decode('latin-1').split('\r\n')
    method, target, _ = lines[0].split(' ', 2)
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, text = line.partition(':')
            headers[name.strip().lower()] = text.strip()
    body = b''
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                break
            body += part[:-2]
    elif int(headers.get('content-length', '0')):
        body = await reader.readexactly(int(headers['content-length']))
    return Request(method, target, headers, body)


def encode_response(status, headers, body):
    lines = [f'HTTP/1.1 {status} Status']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    lines.append(f'content-length: {len(body)}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


class Server:
    """Accepts connections; ``serve`` handles one of them."""

    def __init__(self):
        self.address = ''
        self._server = None
        self.writers = set()

    async def start(self, host, port=0):
        self._server = await asyncio.start_server(
            self._accept, host, port, limit=1 << 20, reuse_address=True
        )
        bound = self._server.sockets[0].getsockname()
        self.address = f'{host}:{bound[1]}'

    async def stop(self):
        """Stops listening and resets all connections, as a crash does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in tuple(self.writers):
            writer.transport.abort()

    async def _accept(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader, writer):
        while True:
            request = await read_request(reader)
            if request is None:
                return
            status, headers, body = await self.respond(request)
            writer.write(encode_response(status, headers, body))
            await writer.drain()

    async def respond(self, request):
        raise NotImplementedError


# ---- the platform's store ----

class Topic:
    def __init__(self):
        self.records = []
        self.first = 0

    def newest(self):
        found = {}
        for offset, record in enumerate(self.records):
            key, value = record[1:1 + record[0]], record[1 + record[0]:]
            found.pop(key, None)
            if value:
                found[key] = (offset, value)
        return found


class Store(Server):
    """Topics, compacted by key where the name begins with 'keyed.'."""

    def __init__(self):
        super().__init__()
        self.topics = {}
        self._changed = asyncio.Event()

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, topic, key, document):
        value = b'' if document is None else json.dumps(document).encode()
        name = key.encode()
        self._append(topic, bytes((len(name),)) + name + value)

    def _append(self, topic, record):
        records = self.topic(topic).records
        records.append(record)
        self._changed.set()
        self._changed = asyncio.Event()
        return len(records) - 1

    async def respond(self, request):
        name = request.query.get('topic', '')
        topic = self.topic(name)
        if request.path == '/log-append':
            if name in ('keyed.op', 'keyed.servers'):
                return 403, {}, b'{}'
            return self._appended(name, request.body)
        if request.path == '/log-newest':
            return self._newest(topic, request.query.get('after', ''))
        if request.path == '/log-read':
            return await self._read(topic, request.query)
        return 404, {}, b'{}'

    def _appended(self, name, body):
        first, position = None, 0
        while position < len(body):
            size = struct.unpack_from('>I', body, position)[0]
            offset = self._append(name, body[position + 4:position + 4 + size])
            first = offset if first is None else first
            position += 4 + size
        end = len(self.topic(name).records)
        return _json({'offset': end if first is None else first, 'end': end})

    def _newest(self, topic, after):
        found = sorted(topic.newest().items())
        items = [
            {
                'key': key.decode(),
                'value': base64.b64encode(value).decode(),
                'offset': offset,
            }
            for key, (offset, value) in found
            if key.decode() > after
        ]
        page = {
            'items': items[:500],
            'hasMore': len(items) > 500,
            'end': len(topic.records),
        }
        return _json(page)

    async def _read(self, topic, query):
        offset = int(query['from'])
        if offset < topic.first or offset > len(topic.records):
            status, headers, body = _json({'first': topic.first})
            return 410, headers, body
        if offset == len(topic.records) and int(query.get('waitMs', 0)):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(int(query['waitMs']) / 1000):
                    while offset == len(topic.records):
                        await self._changed.wait()
        records = topic.records[offset:]
        body = struct.pack('>QQ', len(topic.records), topic.first)
        body += b''.join(struct.pack('>I', len(r)) + r for r in records)
        return 200, {}, body


def _json(document):
    body = json.dumps(document).encode()
    return 200, {'content-type': 'application/json'}, body


# ---- runners ----

class Runner(Server):
    """A runner that registers itself and records what it runs."""

    def __init__(self, store, record, service, name, zone, version='1', slots=8):
        super().__init__()
        self.store = store
        self.record = record
        self.service = service
        self.name = name
        self.zone = zone
        self.version = version
        self.slots = slots
        self.born = 0
        self.sequence = 0
        self.state = 'ready'
        self.runs = []
        self._beats = None

    async def start(self, host, port=0):
        await super().start(host, port)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.announce()
        self._beats = asyncio.ensure_future(self._beat())

    def announce(self):
        self.sequence += 1
        self.store.put('keyed.servers', self.name, {
            'service': self.service, 'address': self.address,
            'zone': self.zone, 'version': self.version, 'slots': self.slots,
            'state': self.state, 'coldLeftMs': 0, 'sequence': self.sequence,
            'born': self.born,
        })

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.announce()

    async def stop(self):
        if self._beats is not None:
            self._beats.cancel()
        await super().stop()

    def misdirected(self, request):
        """Returns the answer to a request for another runner, or None."""
        expected = request.headers.get('x-expect-instance')
        if expected in (None, self.name):
            return None
        headers = {'x-instance-id': self.name, **self.echo(request)}
        return 421, headers, b''

    def echo(self, request):
        attempt = request.headers.get('x-attempt-id')
        return {'x-attempt-id': attempt} if attempt else {}

    def stamp(self, request):
        attempt = request.headers.get('x-attempt-id', '')
        return {**self.echo(request), 'x-server-stamp': f'{self.name}.{attempt}'}

    def note_run(self, request):
        attempt = request.headers.get('x-attempt-id', '')
        self.runs.append(attempt)
        self.record(
            f'runner {self.name} (v{self.version}) runs {attempt} '
            f'{request.method} {request.target}'
        )


# ---- gateways ----

class Gateway:
    """One machine with a process of the program."""

    def __init__(self, name, host, zone, folder, store_address, record, **limits):
        ports = free_ports(host, 5)
        self.name = name
        self.process = None
        self.front = f'{host}:{ports[0]}'
        self.ready = f'{host}:{ports[1]}'
        self.directory = f'{host}:{ports[2]}'
        self._record = record
        # The platform limits the descriptors of a process.
        self._fds = limits.get('maxFds', 6150)
        self._path = folder / f'{name}.json'
        self._log = folder / f'{name}.log'
        self._path.write_text(json.dumps({
            'nodeName': name, 'role': 'entry', 'machineClass': 'front',
            'serves': ['front', 'directory'], 'ip': host, 'zone': zone,
            'region': 'is-south', 'zones': {zone: 'is-south'},
            'listen': {
                'front': self.front, 'ready': self.ready,
                'control': f'{host}:{ports[3]}', 'directory': self.directory,
            },
            'internalPorts': [ports[4], ports[4]], 'seeds': [],
            'bootstrap': True, 'inFaultBudget': False,
            'limits': {
                'cpuShare': 0.817, 'cores': 2, 'memoryMb': 430,
                'maxFds': 6150, 'linkMbps': 1500.0, 'diskMb': 0, **limits,
            },
            'dataDir': None, 'discovery': 'platform', 'entry': 'directory',
            'heartbeatMs': 1200, 'contracts': CONTRACTS,
            'faultTolerance': {'machines': 2, 'zones': 0, 'regions': 0},
            'bounds': BOUNDS,
            'platform': {
                'address': store_address, 'form': 'log', 'writesPerS': 400,
                'readsPerS': 2000, 'parts': 12, 'appendMs': 2.0,
                'partMbS': 20.0, 'readMbS': 80.0, 'recordBytes': 262144,
                'callBytes': 2097152, 'keep_s': 300, 'partMb': 200,
                'ttlMinMs': 1000,
            },
        }))

    async def start(self):
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = shlex.split(deploy['roles']['entry']['run'])
        kept = ('PATH', 'HOME', 'LANG')
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env |= {
            'BORAGEYARD_BOOT': str(self._path),
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
        }
        with self._log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=env, stdout=log, stderr=log,
                preexec_fn=self._limit_descriptors,
            )
        self._record(f'{self.name} started')

    def _limit_descriptors(self):
        resource.setrlimit(resource.RLIMIT_NOFILE, (self._fds, self._fds))

    def descriptors(self):
        """Returns how many descriptors the process holds."""
        return len(os.listdir(f'/proc/{self.process.pid}/fd'))

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            self._record(f'{self.name} gets {signal.Signals(number).name}')

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def wait_ready(self, limit_s=30):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if self.process.returncode is not None:
                raise CannotRun(self._log.read_text()[-1000:])
            with contextlib.suppress(OSError, asyncio.TimeoutError):
                answer = await call(self.ready, 'GET', '/readyz', timeout_s=1)
                if answer.status == 200:
                    return
            await asyncio.sleep(0.1)
        raise CannotRun(f'{self.name} is not ready')

    def log_lines(self):
        return self._log.read_text().splitlines()


# ---- clients ----

class Answer:
    """What a client received; ``whole`` if it arrived to its end."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b''
        self.whole = False
        self.error = ''


def request_headers(attempt, deadline_ms, **more):
    headers = {
        'host': HOST, 'x-attempt-id': attempt,
        'x-deadline-ms': str(deadline_ms), 'authorization': f'Token {KEY}',
    }
    headers.update({name.replace('_', '-'): text for name, text in more.items()})
    return headers


def encode_request(method, target, headers, body=b''):
    lines = [f'{method} {target} HTTP/1.1']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    if body or method == 'POST':
        lines.append(f'content-length: {len(body)}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


def new_id():
    return f'{random.getrandbits(64):016x}'


async def call(
    address, method, target, headers=None, body=b'', *, timeout_s=10
):
    """Sends a request on a new connection and returns the answer."""
    host, port = address.rsplit(':', 1)
    answer = Answer()
    connecting = asyncio.open_connection(host, int(port), limit=1 << 22)
    reader, writer = await asyncio.wait_for(connecting, timeout_s)
    try:
        writer.write(encode_request(
            method, target, headers or {'host': address}, body
        ))
        async with asyncio.timeout(timeout_s):
            await receive(reader, answer)
    except TimeoutError:
        answer.error = 'timed out'
    except (OSError, asyncio.IncompleteReadError) as error:
        answer.error = repr(error)
    finally:
        writer.transport.abort()
    return answer


async def receive(reader, answer):
    """Reads an answer; it is whole if it arrived to its end."""
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    answer.status = int(lines[0].split(' ')[1])
    for line in lines[1:]:
        if line:
            name, _, text = line.partition(':')
            answer.headers[name.strip().lower()] = text.strip()
    if answer.headers.get('transfer-encoding') == 'chunked':
        while True:
            line = (await reader.readline()).strip()
            if not line:
                answer.error = 'the connection ended'
                return
            size = int(line, 16)
            part = await reader.readexactly(size + 2)
            answer.body += part[:-2]
            if not size:
                answer.whole = True
                return
    length = int(answer.headers.get('content-length', '0'))
    while len(answer.body) < length:
        part = await reader.read(min(65536, length - len(answer.body)))
        if not part:
            answer.error = 'the connection ended'
            return
        answer.body += part
    answer.whole = True


# ---- a deployment ----

class Rig:
    """A store, runners and gateways; ends all of them."""

    def __init__(self, folder):
        self.folder = folder
        self.record = Record(folder)
        self.trouble = os.environ.get('TROUBLE', '1') != '0'
        self.store = Store()
        self.net = f'127.{random.randint(16, 240)}.{random.randint(1, 250)}'
        self.gateways = []
        self.runners = []
        self._stack = contextlib.AsyncExitStack()
        self._temporary = None

    async def __aenter__(self):
        self._temporary = self._stack.enter_context(
            tempfile.TemporaryDirectory()
        )
        self._stack.callback(self.record.close)
        await self.store.start(f'{self.net}.200')
        self._stack.push_async_callback(self.store.stop)
        return self

    async def __aexit__(self, *error):
        await self._stack.aclose()

    def configure(self, document):
        self.store.put('keyed.op', 'config', document)
        self.record(f'operator: version {document["version"]} acknowledged')

    async def add_runner(self, runner):
        self._stack.push_async_callback(runner.stop)
        await runner.start(f'{self.net}.{100 + len(self.runners) % 90}')
        self.runners.append(runner)
        return runner

    async def start_gateways(self, count, **limits):
        folder = pathlib.Path(self._temporary)
        for number in range(count):
            gateway = Gateway(
                f'front-{number + 1}', f'{self.net}.{number + 1}',
                f'zone-{number % 2 + 1}', folder, self.store.address,
                self.record, **limits,
            )
            self.gateways.append(gateway)
            self._stack.push_async_callback(gateway.end)
            await gateway.start()
        for gateway in self.gateways:
            await gateway.wait_ready()
        await asyncio.sleep(1.5)


def main(case):
    """Runs a case; exits with 1 if it shows a broken rule."""
    folder = pathlib.Path(sys.argv[1]).resolve()

    async def guarded():
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, task.cancel)
        async with asyncio.timeout(115):
            async with Rig(folder) as rig:
                try:
                    broken = await case(rig)
                    rig.record(f'broken: {broken}' if broken else 'held')
                except CannotRun as error:
                    rig.record(f'could not run: {error}')
                    raise
                return broken

    try:
        broken = asyncio.run(guarded())
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
        print('could not run')
        sys.exit(2)
    print(f'broken: {broken}' if broken else 'held')
    sys.exit(1 if broken else 0)
