"""In-process deployment of gateways with a stand-in platform."""

import asyncio
import contextlib
import dataclasses
import itertools
import random
import socket
from collections.abc import AsyncIterator, Mapping, Sequence
from typing import Any

from ..gateway import Gateway
from ..gateway_settings import GatewaySettings
from ..http_client import HttpClient
from ..http_server import HttpServer
from ..http_streams import open_stream
from ..machine_capacity.machine_limits import UNKNOWN_MACHINE, MachineLimits
from ..platform.dependencies import build_dependencies
from ..retry_budget import RetryBudgetLimits
from .gateway_target import HEALTH_PATH, GatewayTarget
from .keyed_store import (
    OPERATOR_KEY,
    OPERATOR_TOPIC,
    KeyedStore,
    KeyedStoreHandler,
)
from .registered_target import TargetPlan
from .slow_link import SlowLink
from .target_partition import TargetPartition

LOOPBACK_HOST = '127.0.0.1'
LOOPBACK = f'{LOOPBACK_HOST}:0'
# Gateway ports: neither privileged nor in the range of ephemeral ports.
GATEWAY_PORT_RANGE = (10_000, 30_000)
HOST = 'walks.example'
API_KEY = 'key-of-kennels'
ORGANISATION = 'kennels'
FAILURE_DOMAINS = ('north', 'south')
# Ports in turn, from one that differs between processes.
_PORTS = itertools.cycle(
    random.sample(range(*GATEWAY_PORT_RANGE), len(range(*GATEWAY_PORT_RANGE)))
)
POLL_INTERVAL_S = 0.01
GRACE_MS = 3500
# Number of addresses on which a gateway listens.
ADDRESSES_PER_GATEWAY = 5
RETRY_RATIO = 0.2
RETRY_EXTRA = 50
RETRY_WINDOW_MS = 10_000
TARGET_PLANS = (
    *(
        TargetPlan(f'desk-{number}', 'desk', FAILURE_DOMAINS[number])
        for number in range(2)
    ),
    *(
        TargetPlan(
            f'model-{number}', 'model', FAILURE_DOMAINS[number], 'engine'
        )
        for number in range(2)
    ),
    *(
        TargetPlan(
            f'planner-{number}', 'planner', FAILURE_DOMAINS[number], 'batch'
        )
        for number in range(2)
    ),
)


def build_document(version: int = 1) -> dict[str, Any]:
    """Returns an operator document that configures the stand-in targets.

    Args:
        version: Version of the document.
    """
    return {
        'version': version,
        'routes': [
            _route('read', '/read/', 'idempotent', 'desk', maxAttempts=2),
            _route('book', '/book/', 'non_idempotent', 'desk'),
            _route(
                'brief',
                '/brief/',
                'streaming',
                'model',
                maxAttempts=2,
                streamResume=True,
                stages=[
                    {'service': 'planner', 'after': [], 'bytes': 1000},
                    {'service': 'planner', 'after': [0], 'bytes': 1000},
                ],
            ),
            _route('reply', '/reply/', 'streaming', 'model'),
        ],
        'services': [
            {'name': 'desk', 'healthPath': HEALTH_PATH},
            {
                'name': 'model',
                'engine': {'slots': 8, 'kvCapacity': 100_000},
            },
            {
                'name': 'planner',
                'pieces': {
                    'slots': 1,
                    'queue': 2,
                    'batch': 4,
                    'callMs': 5,
                    'itemMs': 1,
                    'headroomMb': 1,
                    'handleS': 4,
                },
            },
        ],
        'limits': {'maxBodyBytes': 100_000, 'idleTimeoutMs': 5000},
        'tenants': [
            {'name': ORGANISATION, 'apiKeys': [API_KEY], 'priority': 1}
        ],
    }


def _route(
    name: str,
    prefix: str,
    kind: str,
    service: str,
    **further: Any,
) -> dict[str, Any]:
    return {
        'name': name,
        'host': HOST,
        'pathPrefix': prefix,
        'kind': kind,
        'timeoutMs': 3000,
        'targetLatencyMs': 1000,
        'gapAimMs': 400,
        'service': service,
        'sessionAffinity': kind == 'streaming',
        **further,
    }


@dataclasses.dataclass(slots=True)
class RunningGateway:
    """Running gateway with its own store handler, which can inject faults."""

    gateway: Gateway
    client: HttpClient
    partition: TargetPartition
    store: KeyedStoreHandler
    stop: asyncio.Event
    task: asyncio.Task[None]

    @property
    def address(self) -> str:
        """Address on which the gateway serves callers."""
        return self.gateway.settings.caller_address

    async def kill(self) -> None:
        """Cancels the gateway without draining it."""
        await _cancel(self.task)


class GatewayDeployment:
    """Runs a store, targets and gateways on loopback."""

    def __init__(
        self,
        gateways: int = 2,
        plans: Sequence[TargetPlan] = TARGET_PLANS,
        grace_ms: int = GRACE_MS,
        slow_links: Mapping[int, SlowLink] | None = None,
        machines: Mapping[int, MachineLimits] | None = None,
    ) -> None:
        """Initializes a deployment without starting it.

        Args:
            gateways: Number of gateways.
            plans: The targets.
            grace_ms: Time that a stopped gateway has to end.
            slow_links: Links of gateways whose connections share a rate.
            machines: Machines of the gateways that state theirs.
        """
        self._machines = machines or {}
        self._slow_links = slow_links or {}
        self.store = KeyedStore()
        self.results: dict[str, str] = {}
        self.targets = {
            plan.target_id: GatewayTarget(plan, self.store, self.results)
            for plan in plans
        }
        self.gateways: list[RunningGateway] = []
        self._gateway_count = gateways
        self._grace_ms = grace_ms

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator['GatewayDeployment']:
        """Runs all parts until the context exits."""
        self.configure(build_document())
        async with contextlib.AsyncExitStack() as stack:
            for target in self.targets.values():
                await stack.enter_async_context(target.running())
            for number in range(self._gateway_count):
                await self._start(number, stack)
            await self.wait_until_ready()
            yield self

    def configure(self, document: object) -> None:
        """Writes the operator document to the store."""
        self.store.put(OPERATOR_TOPIC, OPERATOR_KEY, document)

    async def wait_until_ready(self) -> None:
        """Waits until all gateways are ready and connected.

        A gateway is connected when it has links to all other gateways and
        knows all targets. Several may start to schedule at the same time, so
        they must agree as well.
        """
        async for _ in poll_periodically():
            for running in self.gateways:
                if running.task.done():
                    # Re-raises the error that ended the gateway; polling alone
                    # would never report it.
                    running.task.result()
            if all(map(self._is_connected, self.gateways)) and self._agree():
                return

    async def restart(self, number: int, *, store_down: bool) -> None:
        """Kills a gateway and starts a new one at the same addresses.

        Args:
            number: Index of the gateway.
            store_down: Whether the store rejects its calls from then on.
        """
        running = self.gateways[number]
        running.store.faults.down = store_down
        await _cancel(running.task)
        settings = running.gateway.settings
        dependencies = build_dependencies(
            settings, running.client, running.partition.connect
        )
        running.gateway = Gateway(settings, dependencies)
        running.stop = asyncio.Event()
        running.task = asyncio.ensure_future(
            running.gateway.serve(running.stop),
        )

    def _agree(self) -> bool:
        """Returns whether all gateways know the same schedulers."""
        known = [
            running.gateway.elections.schedulers for running in self.gateways
        ]
        return all(
            schedulers == known[0] and all(schedulers.values())
            for schedulers in known
        )

    def _is_connected(self, running: RunningGateway) -> bool:
        gateway = running.gateway
        peers = len(gateway.link.connected_ids())
        targets = sum(map(len, gateway.state.roster.services.values()))
        connected = peers >= self._gateway_count - 1 and targets == len(
            self.targets
        )
        return gateway.is_ready() and connected

    async def _start(
        self,
        number: int,
        stack: contextlib.AsyncExitStack,
    ) -> None:
        handler = KeyedStoreHandler(self.store)
        server = await stack.enter_async_context(HttpServer(handler.handle))
        await server.start(LOOPBACK)
        link = self._slow_links.get(number)
        partition = TargetPartition(
            server.address, link.connect if link else open_stream
        )
        client = await stack.enter_async_context(
            HttpClient(connect=partition.connect)
        )
        gateway = self._compose(number, server.address, client, partition)
        stop = asyncio.Event()
        task = asyncio.ensure_future(gateway.serve(stop))
        running = RunningGateway(
            gateway, client, partition, handler, stop, task
        )
        stack.push_async_callback(running.kill)
        self.gateways.append(running)

    def _compose(
        self,
        number: int,
        store_address: str,
        client: HttpClient,
        partition: TargetPartition,
    ) -> Gateway:
        settings = dataclasses.replace(
            _settings(number, store_address, self._grace_ms),
            machine=self._machines.get(number, UNKNOWN_MACHINE),
        )
        dependencies = build_dependencies(settings, client, partition.connect)
        link = self._slow_links.get(number)
        if link is not None:
            dependencies = dataclasses.replace(
                dependencies, connect_peer=link.connect
            )
        return Gateway(settings, dependencies)


async def poll_periodically() -> AsyncIterator[None]:
    """Yields at short intervals, for loops that poll a condition."""
    while True:
        yield
        await asyncio.sleep(POLL_INTERVAL_S)


def free_addresses(count: int) -> Sequence[str]:
    """Returns loopback addresses on which nothing listens at present.

    Their ports are below the range of ephemeral ports; otherwise an outgoing
    connection could take a port before the gateway listens on it. No port is
    returned twice within a round of the range.

    Args:
        count: Number of addresses.
    """
    free: list[str] = []
    while len(free) < count:
        port = next(_PORTS)
        address = f'{LOOPBACK_HOST}:{port}'
        with contextlib.suppress(OSError):
            socket.create_server((LOOPBACK_HOST, port)).close()
            free.append(address)
    return free


def _settings(
    number: int, store_address: str, grace_ms: int
) -> GatewaySettings:
    addresses = free_addresses(ADDRESSES_PER_GATEWAY)
    return GatewaySettings(
        instance_id=f'gateway-{number}',
        failure_domain=FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)],
        caller_address=addresses[0],
        ready_address=addresses[1],
        directory_address=addresses[2],
        peer_address=addresses[3],
        metrics_address=addresses[4],
        store_address=store_address,
        retry_budget_limits=RetryBudgetLimits(
            RETRY_RATIO, RETRY_EXTRA, RETRY_WINDOW_MS
        ),
        grace_ms=grace_ms,
        address_ttl_s=2,
    )


async def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
