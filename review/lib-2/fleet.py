"""A small deployment on loopback: gateways as processes, stand-ins here.

Only the standard library is used. The store and the runners follow the users'
pages; each gateway is started with the command of ``deploy/system.toml``.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import resource
import shutil
import socket
import struct
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'calls.example'
API_KEY = 'k4y1'
TENANT = 'team-a'
BOUNDS = {
    'seedLagS': 3, 'addrReuseS': 2, 'stableWindowMs': 3000, 'ackMs': 4000,
    'catchUpS': 4, 'drainMs': 2000, 'graceS': 8, 'lossSlackMs': 200,
    'configApplyMs': 2000, 'rollbackSlackMs': 250, 'maxSkewMs': 5000,
    'strictRevoke': False, 'revokeMs': 5000, 'retryBudgetRatio': 0.2,
    'budgetWindowS': 10, 'budgetExtraRetries': 56, 'recoveryS': 12,
    'passMs': 120, 'againS': 9, 'ttl_max_s': 5,
}
# Bounds and smallest machine of russotto-vendemmia-grown.
RUSSOTTO_BOUNDS = {
    'stableWindowMs': 4000, 'ackMs': 6000, 'catchUpS': 6, 'drainMs': 3000,
    'configApplyMs': 3000, 'maxSkewMs': 6000, 'budgetExtraRetries': 188,
    'recoveryS': 15, 'passMs': 200, 'againS': 8.8,
}
RUSSOTTO_LIMITS = {
    'cpuShare': 0.387, 'cores': 1, 'memoryMb': 160, 'maxFds': 1638,
}
# The smallest machine of hundaganga-is.
LIMITS = {
    'cpuShare': 0.817, 'cores': 2, 'memoryMb': 430, 'maxFds': 6150,
    'linkMbps': 1500.0, 'diskMb': 0,
}
CONTRACTS = [
    'base', 'drain', 'config', 'cost', 'retry', 'recover', 'engine', 'stream',
    'tenants', 'platform', 'stages',
]


class Record:
    """Writes what happened to ``record.txt`` and to standard output."""

    def __init__(self, path):
        self._started = time.monotonic()
        self._file = open(path, 'w', encoding='utf-8')

    def __call__(self, text):
        line = f'{time.monotonic() - self._started:8.3f}  {text}'
        self._file.write(line + '\n')
        self._file.flush()
        print(line, flush=True)


async def read_head(reader):
    """Returns the first line and the headers; None at the end."""
    first = await reader.readline()
    if not first:
        return None
    headers = {}
    while True:
        line = await reader.readline()
        if not line:
            return None
        if line in (b'\r\n', b'\n'):
            break
        name, _, value = line.decode('latin-1').partition(':')
        headers[name.strip().lower()] = value.strip()
    return first.decode('latin-1').strip(), headers


async def read_body(reader, headers):
    """Reads a body with a length or in chunks."""
    if 'chunked' in headers.get('transfer-encoding', ''):
        body = b''
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            if not size:
                while (await reader.readline()).strip():
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    return await reader.readexactly(int(headers.get('content-length', 0)))


def encode_answer(status, headers, body=b''):
    """Encodes a whole answer."""
    lines = [f'HTTP/1.1 {status} x']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    lines.append(f'content-length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


class HttpStandin:
    """Serves HTTP/1.1 with keep-alive; ``handle`` writes each answer."""

    def __init__(self, ip='127.0.0.1', port=0):
        self.ip = ip
        self.port = port
        self.writers = set()

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, self.ip, self.port, limit=1 << 20
        )
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        return f'{self.ip}:{self.port}'

    async def stop(self):
        self._server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                first, headers = head
                method, target, _ = first.split(' ')
                body = await read_body(reader, headers)
                if not await self.handle(
                    reader, writer, method, target, headers, body
                ):
                    return
        except (OSError, EOFError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, reader, writer, method, target, headers, body):
        raise NotImplementedError


class Store(HttpStandin):
    """The platform's metadata store: topics with one partition."""

    def __init__(self):
        super().__init__()
        self.topics = {}
        self._changed = asyncio.Event()

    def put(self, topic, key, document):
        """Writes a document; ``None`` removes the key. Returns the offset."""
        content = b'' if document is None else json.dumps(document).encode()
        name = key.encode()
        return self.append(topic, bytes((len(name),)) + name + content)

    def append(self, topic, record):
        records = self.topics.setdefault(topic, [])
        records.append(record)
        self._changed.set()
        self._changed = asyncio.Event()
        return len(records) - 1

    async def handle(self, reader, writer, method, target, headers, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        topic = query.get('topic', '')
        await asyncio.sleep(0.004)
        if url.path == '/log-append':
            answer = self._append(topic, query, body)
        elif url.path == '/log-newest':
            answer = self._newest(topic, query)
        elif url.path == '/log-read':
            answer = await self._read(topic, query)
        else:
            answer = encode_answer(404, {}, b'{}')
        writer.write(answer)
        await writer.drain()
        return True

    def _append(self, topic, query, body):
        if topic in ('keyed.op', 'keyed.servers'):
            return encode_answer(403, {}, b'{}')
        position = 0
        offset = len(self.topics.get(topic, ()))
        first = offset
        while position < len(body):
            size = struct.unpack_from('>I', body, position)[0]
            offset = self.append(topic, body[position + 4 : position + 4 + size])
            position += 4 + size
        return _json(200, {'offset': first, 'end': offset + 1})

    def _newest(self, topic, query):
        found = {}
        records = self.topics.get(topic, [])
        for offset, record in enumerate(records):
            end = 1 + record[0]
            key = record[1:end].decode()
            found.pop(key, None)
            if record[end:]:
                found[key] = (offset, record[end:])
        items = [
            {'key': key, 'value': base64.b64encode(content).decode(),
             'offset': offset}
            for key, (offset, content) in found.items()
        ]
        return _json(
            200, {'items': items, 'hasMore': False, 'end': len(records)}
        )

    async def _read(self, topic, query):
        offset = int(query['from'])
        wait_s = int(query.get('waitMs', 0)) / 1000
        until = time.monotonic() + wait_s
        while (
            offset >= len(self.topics.get(topic, ()))
            and time.monotonic() < until
        ):
            changed = self._changed
            try:
                async with asyncio.timeout(until - time.monotonic()):
                    await changed.wait()
            except TimeoutError:
                break
        records = self.topics.get(topic, [])
        body = struct.pack('>QQ', len(records), 0)
        for record in records[offset:]:
            body += struct.pack('>I', len(record)) + record
        return encode_answer(
            200, {'content-type': 'application/octet-stream'}, body
        )


def _json(status, document):
    return encode_answer(
        status, {'content-type': 'application/json'},
        json.dumps(document).encode(),
    )


class Runner(HttpStandin):
    """A runner that announces itself in the store."""

    def __init__(self, store, service, zone='z1', slots=50, ident=None):
        super().__init__()
        self.store = store
        self.service = service
        self.zone = zone
        self.slots = slots
        self.id = ident or 'i-' + random.randbytes(4).hex()
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = 'ready'
        self.version = 'v1'
        # Attempt ids in the order in which their runs began.
        self.runs = []
        self.connections = 0
        self._beat = None

    async def start(self):
        await super().start()
        self._beat = asyncio.ensure_future(self._announce())
        return self

    async def stop(self):
        self._beat.cancel()
        await super().stop()

    def announce(self):
        self.sequence += 1
        self.store.put('keyed.servers', self.id, {
            'service': self.service, 'address': self.address,
            'zone': self.zone, 'version': self.version, 'slots': self.slots,
            'state': self.state, 'coldLeftMs': 0, 'sequence': self.sequence,
            'born': self.born,
        })

    async def _announce(self):
        while True:
            self.announce()
            await asyncio.sleep(1.2)

    def stamp(self, attempt):
        return f'{self.id}.{attempt}'

    async def handle(self, reader, writer, method, target, headers, body):
        expected = headers.get('x-expect-instance')
        attempt = headers.get('x-attempt-id', '')
        if target == '/healthz':
            writer.write(encode_answer(200, {'x-instance-id': self.id}))
            return True
        if target == '/report':
            writer.write(_json(200, self.report()))
            return True
        if expected and expected != self.id:
            writer.write(encode_answer(421, {
                'x-instance-id': self.id, 'x-not-executed': '1',
                'x-attempt-id': attempt,
            }))
            return True
        return await self.run(
            reader, writer, method, target, headers, body, attempt
        )

    def report(self):
        return {
            'stage': 'both', 'models': [{'name': 'm', 'version': 1,
                                         'adapters': []}],
            'busy': False, 'sequence': 0, 'waiting': 0, 'running': 0,
            'kvUsed': 0, 'kvTotal': 200000, 'handles': 0, 'born': self.born,
        }

    async def run(
        self, reader, writer, method, target, headers, body, attempt
    ):
        """Runs a request: 20 ms of work and a short answer."""
        self.runs.append(attempt)
        await asyncio.sleep(0.02)
        writer.write(encode_answer(200, {
            'x-attempt-id': attempt, 'x-server-stamp': self.stamp(attempt),
        }, f'{method} {target} {attempt}'.encode()))
        await writer.drain()
        return True


class Node:
    """One gateway process, with the command of the deploy file."""

    def __init__(self, fleet, number, zone='z1'):
        self.fleet = fleet
        self.number = number
        self.zone = zone
        self.name = f'front-{zone}-{number}'
        self.ip = fleet.ip(number)
        ports = free_ports(self.ip, 4)
        self.front, self.ready, self.control, self.directory = (
            f'{self.ip}:{port}' for port in ports
        )
        self.settings_path = fleet.folder / f'node-{number}.json'
        self.process = None
        self.log_path = fleet.folder / f'node-{number}.log'

    def settings(self):
        first = self.fleet.peer_port
        return {
            'nodeName': self.name, 'role': 'entry', 'machineClass': 'front',
            'serves': ['front', 'directory'], 'ip': self.ip,
            'zone': self.zone, 'region': 'r',
            'zones': {'z1': 'r', 'z2': 'r', 'z3': 'r'},
            'listen': {'front': self.front, 'ready': self.ready,
                       'directory': self.directory},
            'internalPorts': [first, first + 15], 'seeds': [],
            'bootstrap': True, 'inFaultBudget': False,
            'limits': self.fleet.limits,
            'dataDir': None, 'discovery': 'platform', 'entry': 'directory',
            'heartbeatMs': 1200, 'contracts': CONTRACTS,
            'faultTolerance': {'machines': 2, 'zones': 0, 'regions': 0},
            'bounds': self.fleet.bounds,
            'platform': {
                'address': self.fleet.store.address, 'form': 'log',
                'writesPerS': 400, 'readsPerS': 2000, 'parts': 12,
                'appendMs': 2.0, 'partMbS': 20.0, 'readMbS': 80.0,
                'recordBytes': 262144, 'callBytes': 2097152, 'keep_s': 300,
                'partMb': 200, 'ttlMinMs': 1000,
            },
        }

    async def start(self):
        self.settings_path.write_text(json.dumps(self.settings()))
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        words = deploy['roles']['entry']['run'].split()
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG') if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['BORAGEYARD_BOOT'] = str(self.settings_path)
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        with open(self.log_path, 'ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=environment, stdout=log, stderr=log,
                preexec_fn=self._limit_descriptors,
            )
        return self

    def _limit_descriptors(self):
        hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
        limit = min(self.fleet.limits['maxFds'], hard)
        resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))

    async def await_ready(self, limit_s=20):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            try:
                answer = await call(self.ready, 'GET', '/readyz')
                if answer.status == 200:
                    return
            except (OSError, EOFError):
                pass
            await asyncio.sleep(0.1)
        raise RuntimeError(f'{self.name} is not ready')


def free_ports(ip, count):
    sockets = []
    for _ in range(count):
        one = socket.socket()
        one.bind((ip, 0))
        sockets.append(one)
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class Answer:
    def __init__(self, status, headers, body, complete):
        self.status = status
        self.headers = headers
        self.body = body
        self.complete = complete


async def call(address, method, target, headers=None, body=b'', limit_s=30):
    """Sends one request on a new connection and reads the whole answer."""
    host, port = address.rsplit(':', 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        return await exchange(
            reader, writer, method, target, headers, body, limit_s
        )
    finally:
        writer.transport.abort()


def encode_request(method, target, headers=None, body=b''):
    lines = [f'{method} {target} HTTP/1.1']
    fields = {'host': HOST, **(headers or {})}
    if body or method == 'POST':
        fields['content-length'] = str(len(body))
    lines += [f'{name}: {value}' for name, value in fields.items()]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


def request_headers(attempt, deadline_ms, **more):
    return {
        'x-attempt-id': attempt, 'x-deadline-ms': str(deadline_ms),
        'authorization': f'Token {API_KEY}',
        **{name.replace('_', '-'): value for name, value in more.items()},
    }


async def exchange(
    reader, writer, method, target, headers=None, body=b'', limit_s=30
):
    writer.write(encode_request(method, target, headers, body))
    async with asyncio.timeout(limit_s):
        head = await read_head(reader)
        if head is None:
            raise EOFError('connection closed without an answer')
        first, answered = head
        status = int(first.split(' ')[1])
        try:
            content = await read_body(reader, answered)
        except asyncio.IncompleteReadError as error:
            return Answer(status, answered, error.partial, False)
        except (OSError, ValueError):
            return Answer(status, answered, b'', False)
        return Answer(status, answered, content, True)


def new_attempt():
    return random.randbytes(8).hex()


class Fleet:
    """Store, runners and gateways of one script."""

    def __init__(self, bounds=None, limits=None):
        self.limits = {**LIMITS, **(limits or {})}
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.store = Store()
        self.runners = []
        self.nodes = []
        # Each run has a loopback network of its own.
        self._net = f'127.{random.randint(20, 250)}.{random.randint(1, 250)}'
        self.peer_port = free_ports(self.ip(1), 1)[0]
        self.version = 0

    def ip(self, number):
        return f'{self._net}.{number}'

    async def __aenter__(self):
        await self.store.start()
        return self

    async def __aexit__(self, *error):
        for node in self.nodes:
            process = node.process
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()
        for runner in self.runners:
            await runner.stop()
        await self.store.stop()
        if not os.environ.get('KEEP'):
            shutil.rmtree(self.folder, ignore_errors=True)

    def configure(self, routes, services, limits=None, tenants=True):
        self.version += random.randint(1, 4)
        document = {
            'version': self.version, 'routes': routes, 'services': services,
            'limits': {
                'maxHeaderBytes': 16384, 'maxBodyBytes': 4194304,
                'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000,
                **(limits or {}),
            },
        }
        if tenants:
            document['tenants'] = [{'name': TENANT, 'apiKeys': [API_KEY]}]
        self.store.put('keyed.op', 'config', document)

    async def add_runner(self, runner):
        self.runners.append(await runner.start())
        return runner

    async def start_nodes(self, count, ready=True):
        for number in range(1, count + 1):
            node = Node(self, number, f'z{(number - 1) % 3 + 1}')
            self.nodes.append(node)
            await node.start()
        if ready:
            for node in self.nodes:
                await node.await_ready()


def route(name, prefix, service, kind, **more):
    return {
        'name': name, 'host': HOST, 'pathPrefix': prefix, 'service': service,
        'kind': kind, 'timeoutMs': 10000, 'targetLatencyMs': 2000,
        'priority': 1, 'maxAttempts': 1, **more,
    }


def main(script, folder):
    """Runs a script: 1 if the rule broke, 0 if it held, 2 if it couldn't run."""
    record = Record(pathlib.Path(folder) / 'record.txt')
    trouble = os.environ.get('TROUBLE', '1') != '0'

    async def bounded():
        async with asyncio.timeout(115):
            return await script(record, trouble)

    try:
        broken = asyncio.run(bounded())
    except Exception as error:
        record(f'the case could not run: {error!r}')
        import traceback
        traceback.print_exc()
        sys.exit(2)
    record('the rule is broken' if broken else 'the rule held')
    sys.exit(1 if broken else 0)
