"""Gateways as real processes beside stand-ins, with links that can be cut."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import sys

from borageyard.http_client import HttpCall, HttpCallError, HttpClient
from borageyard.http_server import HttpServer
from borageyard.standins.gateway_deployment import (
    OPERATOR_KEY,
    OPERATOR_TOPIC,
    build_document,
    poll_periodically,
)
from borageyard.standins.keyed_store import KeyedStore, KeyedStoreHandler
from borageyard.standins.registered_target import TargetPlan
from tests.copying_target import CopyingTarget
from tests.cuttable_link import CuttableLink

ROOT = pathlib.Path(__file__).parent.parent
DOMAINS = ('north', 'south')
PORT_RANGE = (10_000, 30_000)
START_S = 30
GRACE_S = 4
READ_TIMEOUT_MS = 500
# Runs the program as its module does, with its connections led over links. The
# program ignores SIGHUP as its first act, so what comes before it does as well.
PROGRAM = """
import signal
signal.signal(signal.SIGHUP, signal.SIG_IGN)
import asyncio, json, os, runpy
links = json.loads(os.environ['LINKS'])
original = asyncio.BaseEventLoop.create_connection
def create_connection(loop, factory, host=None, port=None, **options):
    address = links.get(f'{host}:{port}', f'{host}:{port}')
    host, _, port = address.rpartition(':')
    return original(loop, factory, host, int(port), **options)
asyncio.BaseEventLoop.create_connection = create_connection
runpy.run_module('borageyard.platform', run_name='__main__')
"""


def free_ports(host, count, rng):
    """Returns ports on which nothing listens, below the ephemeral ones."""
    ports = set()
    while len(ports) < count:
        port = rng.randrange(*PORT_RANGE)
        with contextlib.suppress(OSError):
            socket.create_server((host, port)).close()
            ports.add(port)
    return sorted(ports)


class GatewayProcess:
    """One machine with a process of the program."""

    def __init__(self, number, host, code, folder, rng):
        """Creates a machine on which nothing runs yet."""
        self.name = f'gateway-{number}'
        self.code = code
        self.process = None
        self.links = {}
        self.handler = None
        ports = free_ports(host, 4, rng)
        self.address = f'{host}:{ports[0]}'
        self.ready_address = f'{host}:{ports[1]}'
        self.peer_address = f'{host}:{ports[3]}'
        self.settings = {
            'nodeName': self.name,
            'ip': host,
            'zone': DOMAINS[number % 2],
            'listen': {
                'front': self.address,
                'ready': self.ready_address,
                'directory': f'{host}:{ports[2]}',
            },
            'internalPorts': [ports[3], ports[3]],
            'bounds': {
                'retryBudgetRatio': 0.5,
                'budgetWindowS': 10,
                'budgetExtraRetries': 500,
                'graceS': GRACE_S,
            },
        }
        self._folder = folder

    @property
    def log_path(self):
        """Returns the path of its log."""
        return self._folder / f'{self.name}.log'

    async def start(self):
        """Starts the process."""
        path = self._folder / f'{self.name}.json'
        path.write_text(json.dumps(self.settings))
        addresses = {
            address: link.address for address, link in self.links.items()
        }
        with self.log_path.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-c',
                PROGRAM,
                cwd=self._folder,
                env={
                    **os.environ,
                    'PYTHONPATH': str(self.code),
                    'PYTHONDONTWRITEBYTECODE': '1',
                    'BORAGEYARD_BOOT': str(path),
                    'LINKS': json.dumps(addresses),
                },
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number):
        """Sends a signal if the process runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def pause(self, seconds):
        """Stops the process with SIGSTOP for a while."""
        process = self.process
        self.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        if process is self.process:
            self.send_signal(signal.SIGCONT)

    async def end(self, number=signal.SIGKILL):
        """Ends the process; kills it if it outlives its grace."""
        if self.process is None:
            return
        self.send_signal(signal.SIGCONT)
        self.send_signal(number)
        try:
            async with asyncio.timeout(GRACE_S + 1):
                await self.process.wait()
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            await self.process.wait()


class ProcessFleet:
    """Store, targets and links in this process, gateways in their own."""

    def __init__(self, folder, *, gateways=4, seed=0, codes=(ROOT,)):
        """Creates a fleet that is not started.

        Args:
            folder: Folder of settings and logs.
            gateways: Number of gateways.
            seed: Seed of ports and copies.
            codes: Folders of the code that the gateways run, in turn.
        """
        rng = random.Random(os.getpid())
        self.store = KeyedStore()
        self.results = {}
        self.targets = []
        for number, plan in enumerate(_plans()):
            target = CopyingTarget(plan, self.store, self.results, seed, number)
            self.targets.append(target)
        net = f'127.{rng.randint(16, 240)}.{rng.randint(1, 250)}'
        self.gateways = []
        for place in range(gateways):
            code = codes[place % len(codes)]
            last = place + 1
            host = f'{net}.{last}'
            self.gateways.append(GatewayProcess(place, host, code, folder, rng))

    @contextlib.asynccontextmanager
    async def running(self):
        """Runs all parts until the context exits."""
        self.store.put(OPERATOR_TOPIC, OPERATOR_KEY, _document())
        async with contextlib.AsyncExitStack() as stack:
            for target in self.targets:
                await stack.enter_async_context(target.running())
            for gateway in self.gateways:
                await self._join(gateway, stack)
            for gateway in self.gateways:
                stack.push_async_callback(gateway.end)
                await gateway.start()
            await asyncio.gather(*map(self.wait_ready, self.gateways))
            yield self

    async def wait_ready(self, gateway):
        """Waits until a gateway answers that it is ready."""
        async with asyncio.timeout(START_S), HttpClient() as client:
            async for _ in poll_periodically():
                if gateway.process.returncode is not None:
                    raise RuntimeError(gateway.log_path.read_text()[-2000:])
                if await _is_ready(client, gateway):
                    return

    def target_links(self, gateway):
        """Returns the links of a gateway to all targets."""
        return [gateway.links[target.address] for target in self.targets]

    def peer_link(self, gateway, peer):
        """Returns the link of one gateway to another one."""
        return gateway.links[peer.peer_address]

    def runs(self):
        """Returns the ids of the requests that ran, once for each run."""
        return [run for target in self.targets for run in target.runs]

    async def _join(self, gateway, stack):
        gateway.handler = KeyedStoreHandler(self.store)
        server = await stack.enter_async_context(
            HttpServer(gateway.handler.handle)
        )
        await server.start('127.0.0.1:0')
        gateway.settings['platform'] = {'address': server.address}
        others = [peer for peer in self.gateways if peer is not gateway]
        ends = [target.address for target in self.targets]
        ends += [peer.peer_address for peer in others]
        for address in ends:
            gateway.links[address] = await stack.enter_async_context(
                CuttableLink(address).running()
            )


async def _is_ready(client, gateway):
    call = HttpCall(
        gateway.ready_address, 'GET', '/readyz', timeout_ms=READ_TIMEOUT_MS
    )
    with contextlib.suppress(HttpCallError):
        reply = await client.request(call)
        return reply.status == 200
    return False


def _plans():
    """Returns targets with few slots: three plain, three engines, two more."""
    for number in range(3):
        domain = DOMAINS[number % 2]
        yield TargetPlan(f'desk-{number}', 'desk', domain, work_ms=12, slots=3)
        yield TargetPlan(
            f'model-{number}', 'model', domain, 'engine', work_ms=15, slots=3
        )
    for number in range(2):
        yield TargetPlan(
            f'planner-{number}', 'planner', DOMAINS[number], 'batch', work_ms=5
        )


def _document():
    """Returns the operator's document, with a chain that runs once."""
    document = build_document()
    by_name = {route['name']: route for route in document['routes']}
    plan = {**by_name['brief'], 'name': 'plan', 'pathPrefix': '/plan/'}
    plan.pop('streamResume')
    document['routes'].append(plan)
    for route in document['routes']:
        route['maxAttempts'] = 2
    return document
