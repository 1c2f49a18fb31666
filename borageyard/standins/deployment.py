"""In-process deployment over HTTP for the demo, the benchmarks and tests."""

import contextlib
import dataclasses
from collections.abc import Mapping
from types import TracebackType
from typing import Any, Self

from ..backing_services import (
    ROLE_ENTRY,
    ROLE_TARGET,
    Instance,
    MemoryInstances,
    MemoryLog,
)
from ..clock import Clock, SystemClock
from ..configuration import Configuration, parse_configuration
from ..configuration_log import CONFIGURATION_STREAM
from ..entry import Entry
from ..generated.settings import EntrySettings
from ..http_connection import Handler
from ..http_server import HttpServer
from .orders import preload
from .platform_http import (
    InstancesHandler,
    LogHandler,
    WeightsHandler,
)
from .target import StandinTarget, TargetProfile
from .target_http import TargetServer

ANY_PORT = '127.0.0.1:0'
WEIGHT_RATE_BYTES_PER_S = 1e9
INSTANCES_POLL_MS = 100
DRAIN_MS = 500
ADDRESS_TTL_MS = 300


@dataclasses.dataclass(frozen=True, slots=True)
class DeploymentPlan:
    """Composition of a deployment."""

    document: Mapping[str, Any]
    failure_domains: tuple[str, ...]
    targets_per_service: Mapping[str, int]
    default_targets: int = 3
    entries: int = 4


class Deployment:
    """Runs entries, stand-in targets and a stand-in platform on loopback."""

    def __init__(self, plan: DeploymentPlan, clock: Clock | None = None):
        """Initializes a deployment without starting it.

        Args:
            plan: Composition of the deployment.
            clock: Source of time; the machine's clock by default.
        """
        self.plan = plan
        self.clock = clock or SystemClock()
        self.log = MemoryLog(self.clock)
        self.instances = MemoryInstances()
        self.targets: dict[str, TargetServer] = {}
        self.entries: dict[str, Entry] = {}
        self._stack = contextlib.AsyncExitStack()
        self._addresses: dict[str, str] = {}

    async def __aenter__(self) -> Self:
        """Starts the platform, then the targets, then the entries."""
        async with contextlib.AsyncExitStack() as stack:
            await self._start_platform(stack)
            await self._start_targets(stack)
            proposal = {
                'type': 'apply',
                'base_version': 0,
                'author': 'deployment',
                'document': dict(self.plan.document),
            }
            self.log.append_now(CONFIGURATION_STREAM, proposal)
            self._stack = stack.pop_all()
        for index in range(self.plan.entries):
            await self.start_entry(index)
        await self._wait_for_configuration()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stops all parts of the deployment."""
        await self._stack.aclose()

    def all_entries(self) -> tuple[Entry, ...]:
        """Returns the running entries."""
        return tuple(self.entries.values())

    async def start_entry(self, index: int) -> Entry:
        """Starts an entry and adds it to the instance list.

        Args:
            index: Number of the entry, which determines its instance id and
                failure domain.

        Returns:
            The running entry.
        """
        domains = self.plan.failure_domains
        domain = domains[index % len(domains)]
        settings = EntrySettings.model_validate(
            {
                'instance_id': f'entry-{index}',
                'failure_domain': domain,
                'listen_address': ANY_PORT,
                'peer_address': ANY_PORT,
                'drain_ms': DRAIN_MS,
                'address_ttl_ms': ADDRESS_TTL_MS,
                'platform': {
                    **self._addresses,
                    'instances_poll_ms': INSTANCES_POLL_MS,
                },
            }
        )
        entry = Entry(settings)
        await self._stack.enter_async_context(entry)
        self.entries[settings.instance_id] = entry
        self.instances.rows.append(
            Instance(
                instance_id=settings.instance_id,
                role=ROLE_ENTRY,
                address=entry.address,
                failure_domain=domain,
                peer_address=entry.peer_address,
            ),
        )
        return entry

    async def stop_entry(self, instance_id: str) -> None:
        """Unlists an entry, drains it and stops it, as SIGTERM does."""
        entry = self.entries.pop(instance_id)
        self.instances.rows = [
            row for row in self.instances.rows if row.instance_id != instance_id
        ]
        await entry.drain()
        await entry.__aexit__(None, None, None)

    async def kill_entry(self, instance_id: str) -> None:
        """Stops an entry without draining; it stays in the instance list."""
        entry = self.entries.pop(instance_id)
        await entry.__aexit__(None, None, None)

    async def _wait_for_configuration(self) -> None:
        """Waits until every entry has a configuration."""
        for entry in self.all_entries():
            await entry.core.fold.configuration_known.wait()

    async def _start_platform(self, stack: contextlib.AsyncExitStack) -> None:
        weights = WeightsHandler(WEIGHT_RATE_BYTES_PER_S)
        handlers: dict[str, Handler] = {
            'log_address': LogHandler(self.log).handle,
            'instances_address': InstancesHandler(self.instances).handle,
            'weights_address': weights.handle,
        }
        for name, handler in handlers.items():
            server = await stack.enter_async_context(HttpServer(handler))
            await server.start(ANY_PORT)
            self._addresses[name] = server.address

    async def _start_targets(self, stack: contextlib.AsyncExitStack) -> None:
        configuration = parse_configuration(self.plan.document, 0)
        for service in configuration.services:
            count = self.plan.targets_per_service.get(
                service,
                self.plan.default_targets,
            )
            for index in range(count):
                server = self._build_target(configuration, service, index)
                await stack.enter_async_context(server)
                await server.start(ANY_PORT)
                self._list_target(server, index)

    def _build_target(
        self,
        configuration: Configuration,
        service: str,
        index: int,
    ) -> TargetServer:
        profile = TargetProfile(
            target_id=f'{service}-{index}',
            service=service,
            kind=configuration.services[service].kind,
            slots=configuration.services[service].max_in_flight,
        )
        target = StandinTarget(profile, self.clock, seed=index)
        preload(target, configuration)
        fencing = configuration.services[service].fencing
        return TargetServer(target, fencing=fencing)

    def _list_target(self, server: TargetServer, index: int) -> None:
        profile = server.target.profile
        domains = self.plan.failure_domains
        self.targets[profile.target_id] = server
        self.instances.rows.append(
            Instance(
                instance_id=profile.target_id,
                role=ROLE_TARGET,
                address=server.address,
                failure_domain=domains[index % len(domains)],
                service=profile.service,
            ),
        )
