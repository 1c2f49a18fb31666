"""In-memory deployment of entry cores and stand-ins, for virtual time."""

import asyncio
import contextlib
import dataclasses
import time
from collections.abc import Callable
from types import TracebackType
from typing import Self

from ..backing_services import (
    ROLE_ENTRY,
    ROLE_TARGET,
    Instance,
    MemoryInstances,
    MemoryLog,
)
from ..clock import MS_PER_S, Clock, LoopClock
from ..configuration import Configuration, parse_configuration
from ..configuration_log import CONFIGURATION_STREAM
from ..core import EntryCore, EntryDependencies
from ..generated.settings import EntrySettings
from ..memory_peers import MemoryPeerNetwork
from ..policy import PolicyOptions
from .deployment import DeploymentPlan
from .memory_log import MemoryLogService
from .memory_orders import MemoryOrderClient, MemoryWeights
from .memory_target import MemoryTargetClient
from .orders import (
    DEFAULT_RATE_BYTES_PER_S,
    StandinOrders,
    preload,
)
from .target import StandinTarget, TargetProfile

# Lead of virtual time over the machine's clock at the start. It ensures that
# identifiers created in a test are never in the future of virtual time.
EPOCH_LEAD_MS = 60_000
GOSSIP_INTERVAL_MS = 200
UNUSED_ADDRESS = '127.0.0.1:1'

TargetBuilder = Callable[[TargetProfile, Clock, int], StandinTarget]
# Returns the policy options of the entry with the given number.
PolicyBuilder = Callable[[int], PolicyOptions]


# Receives the instance id and the dependencies of an entry and returns the
# dependencies to use instead.
DependenciesWrapper = Callable[[str, EntryDependencies], EntryDependencies]


@dataclasses.dataclass(slots=True)
class RunningEntry:
    """Running entry core with its log service and its exit stack."""

    core: EntryCore
    log: MemoryLogService
    stack: contextlib.AsyncExitStack


class MemoryDeployment:
    """Runs entry cores with in-memory stand-ins.

    The targets, the log, the instance list and the peer links are stand-ins.
    """

    def __init__(
        self,
        plan: DeploymentPlan,
        clock: Clock | None = None,
        seed: int = 0,
        wrap_dependencies: DependenciesWrapper | None = None,
    ) -> None:
        """Initializes a deployment without starting it.

        Args:
            plan: Composition of the deployment.
            clock: Source of time; the clock of the event loop by default.
            seed: Seed of all random number generators.
            wrap_dependencies: Wraps the dependencies of each entry.
        """
        self.plan = plan
        self.seed = seed
        self._wrap_dependencies = wrap_dependencies or _keep_dependencies
        self.clock = clock or LoopClock(time.time() * MS_PER_S + EPOCH_LEAD_MS)
        self.log = MemoryLog(self.clock)
        self.instances = MemoryInstances()
        self.network = MemoryPeerNetwork()
        self.targets: dict[str, StandinTarget] = {}
        self.entries: dict[str, RunningEntry] = {}
        self.client = MemoryTargetClient(self.targets)
        self.orders: dict[str, StandinOrders] = {}
        self.weights = MemoryWeights(DEFAULT_RATE_BYTES_PER_S)
        # These two may be replaced before the start.
        self.build_target: TargetBuilder = StandinTarget
        self.build_policy: PolicyBuilder = _default_policy
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> Self:
        """Starts the targets, then the entries."""
        configuration = parse_configuration(self.plan.document, 0)
        for service in configuration.services:
            self._add_targets(configuration, service)
        proposal = {
            'type': 'apply',
            'base_version': 0,
            'author': 'deployment',
            'document': dict(self.plan.document),
        }
        self.log.append_now(CONFIGURATION_STREAM, proposal)
        for index in range(self.plan.entries):
            await self.start_entry(index)
        gossip = asyncio.ensure_future(self._run_gossip())
        self._stack.callback(gossip.cancel)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stops all parts of the deployment."""
        for name in tuple(self.entries):
            await self.kill_entry(name)
        await self._stack.aclose()

    async def start_entry(self, index: int) -> EntryCore:
        """Starts an entry and adds it to the instance list.

        Args:
            index: Number of the entry, which determines its instance id and
                failure domain.

        Returns:
            The core of the entry.
        """
        domains = self.plan.failure_domains
        domain = domains[index % len(domains)]
        name = f'entry-{index}'
        log = MemoryLogService(self.log)
        dependencies = EntryDependencies(
            log=log,
            instances=self.instances,
            targets=self.client,
            peers=self.network.join(name),
            clock=self.clock,
            orders=MemoryOrderClient(self.orders),
            weights=self.weights,
            seed=self.seed + index,
            policy=self.build_policy(index),
        )
        core = EntryCore(
            _settings(name, domain),
            self._wrap_dependencies(name, dependencies),
        )
        core.local_state.address = name
        stack = contextlib.AsyncExitStack()
        await core.start(stack)
        self.entries[name] = RunningEntry(core, log, stack)
        self.instances.rows.append(
            Instance(
                instance_id=name,
                role=ROLE_ENTRY,
                address=name,
                failure_domain=domain,
            ),
        )
        return core

    async def kill_entry(self, name: str) -> None:
        """Stops an entry without draining; it stays in the instance list.

        Args:
            name: Instance id of the entry.
        """
        entry = self.entries.pop(name)
        self.network.leave(name)
        await entry.stack.aclose()

    async def _run_gossip(self) -> None:
        while True:
            await asyncio.sleep(GOSSIP_INTERVAL_MS / MS_PER_S)
            for link in tuple(self.network.links.values()):
                link.send_gossip()

    def _add_targets(
        self,
        configuration: Configuration,
        service: str,
    ) -> None:
        count = self.plan.targets_per_service.get(
            service,
            self.plan.default_targets,
        )
        domains = self.plan.failure_domains
        for index in range(count):
            profile = TargetProfile(
                target_id=f'{service}-{index}',
                service=service,
                kind=configuration.services[service].kind,
                slots=configuration.services[service].max_in_flight,
            )
            target = self.build_target(
                profile,
                self.clock,
                self.seed + index,
            )
            preload(target, configuration)
            self.orders[profile.target_id] = StandinOrders(
                target,
                fencing=configuration.services[service].fencing,
            )
            self.targets[profile.target_id] = target
            self.instances.rows.append(
                Instance(
                    instance_id=profile.target_id,
                    role=ROLE_TARGET,
                    address=profile.target_id,
                    failure_domain=domains[index % len(domains)],
                    service=service,
                ),
            )


def _keep_dependencies(
    name: str, dependencies: EntryDependencies
) -> EntryDependencies:
    return dependencies


def _default_policy(index: int) -> PolicyOptions:
    return PolicyOptions()


def _settings(name: str, domain: str) -> EntrySettings:
    return EntrySettings.model_validate(
        {
            'instance_id': name,
            'failure_domain': domain,
            'listen_address': UNUSED_ADDRESS,
            'peer_address': UNUSED_ADDRESS,
            'platform': {
                'log_address': UNUSED_ADDRESS,
                'instances_address': UNUSED_ADDRESS,
                'weights_address': UNUSED_ADDRESS,
            },
        }
    )
