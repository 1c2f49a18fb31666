"""Fleet of entries that exchange only peer traffic, over real streams."""

import asyncio
import contextlib
import dataclasses
from types import TracebackType
from typing import Self

from ..backing_services import (
    ROLE_ENTRY,
    ROLE_TARGET,
    Instance,
    MemoryInstances,
    MemoryLog,
)
from ..clock import MS_PER_S, SystemClock
from ..configuration_log import CONFIGURATION_STREAM
from ..core import EntryCore, EntryDependencies
from ..generated.settings import EntrySettings, PeerSettings
from ..peer_link import TcpPeerLink
from ..peer_stream import PeerContext, PeerCounters, PeerIdentity
from ..standins.deployment import DeploymentPlan
from ..standins.memory_log import MemoryLogService
from ..standins.memory_orders import MemoryOrderClient, MemoryWeights
from ..standins.memory_target import MemoryTargetClient
from ..standins.orders import DEFAULT_RATE_BYTES_PER_S

ANY_PORT = '127.0.0.1:0'
UNUSED_ADDRESS = '127.0.0.1:1'
INCARNATION = 1
# The instance list is polled during a run, load reports are not.
INSTANCES_POLL_MS = 500
LOAD_POLL_MS = 3_600_000
DEMAND_INTERVAL_MS = 200


class FleetEntry:
    """An entry core with a TCP peer link and in-memory backing services."""

    def __init__(
        self,
        settings: EntrySettings,
        log: MemoryLog,
        instances: MemoryInstances,
    ) -> None:
        """Builds an entry without starting it.

        Args:
            settings: Validated settings.
            log: In-memory log.
            instances: In-memory instance list.
        """
        self.counters = PeerCounters()
        self.clock = SystemClock()
        self.settings = settings
        context = PeerContext(
            identity=PeerIdentity(settings.instance_id, INCARNATION),
            settings=settings.peers or PeerSettings(),
            counters=self.counters,
            on_contact=self._on_contact,
            on_replaced=self._on_replaced,
        )
        self.link = TcpPeerLink(context, self.clock)
        ports = EntryDependencies(
            log=MemoryLogService(log),
            instances=instances,
            targets=MemoryTargetClient({}),
            orders=MemoryOrderClient({}),
            weights=MemoryWeights(DEFAULT_RATE_BYTES_PER_S),
            peers=self.link,
            clock=self.clock,
            incarnation=INCARNATION,
        )
        self.core = EntryCore(settings, ports)
        self.core.local_state.address = UNUSED_ADDRESS

    def simulate_demand(self) -> None:
        """Counts a request of each organisation and a call on each target."""
        now_ms = self.clock.steady_ms()
        for state in self.core.directory.all_targets():
            state.in_flight = 1
        configuration = self.core.fold.current()
        if configuration is None:
            return
        for organisation in configuration.organisations.values():
            self.core.policy.limits.take(organisation, now_ms)

    def _on_contact(self, peer_id: str, incarnation: int) -> None:
        now_ms = self.clock.steady_ms()
        self.core.membership.note_contact(peer_id, incarnation, now_ms)

    def _on_replaced(self, peer_id: str) -> None:
        self.core.membership.note_replaced(peer_id)


@dataclasses.dataclass(frozen=True, slots=True)
class FleetSize:
    """Numbers of entries, targets and organisations of a fleet."""

    entries: int = 4
    targets: int = 24
    organisations: int = 5


class PeerFleet:
    """Entries that gossip about their targets and organisations."""

    def __init__(self, plan: DeploymentPlan, size: FleetSize) -> None:
        """Builds a fleet without starting it.

        Args:
            plan: Source of the configuration and the failure domains.
            size: Numbers of entries, targets and organisations.
        """
        self.entries: list[FleetEntry] = []
        self._plan = plan
        self._size = size
        self._log = MemoryLog(SystemClock())
        self._instances = MemoryInstances()
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> Self:
        """Starts all entries and the simulated demand."""
        record = {
            'type': 'apply',
            'base_version': 0,
            'author': 'bench',
            'document': self._document(),
        }
        self._log.append_now(CONFIGURATION_STREAM, record)
        self._list_targets()
        for index in range(self._size.entries):
            await self._start_entry(index)
        demand = asyncio.ensure_future(self._simulate_demand())
        self._stack.callback(demand.cancel)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stops the simulated demand and all entries."""
        await self._stack.aclose()

    async def _start_entry(self, index: int) -> None:
        domains = self._plan.failure_domains
        settings = _settings(f'entry-{index}', domains[index % len(domains)])
        entry = FleetEntry(settings, self._log, self._instances)
        await entry.link.start(ANY_PORT, self._stack)
        row = Instance(
            instance_id=settings.instance_id,
            role=ROLE_ENTRY,
            address=UNUSED_ADDRESS,
            failure_domain=settings.failure_domain,
            peer_address=entry.link.server.address,
        )
        self._instances.rows.append(row)
        await entry.core.start(self._stack)
        self.entries.append(entry)

    async def _simulate_demand(self) -> None:
        while True:
            for entry in self.entries:
                entry.simulate_demand()
            await asyncio.sleep(DEMAND_INTERVAL_MS / MS_PER_S)

    def _document(self) -> dict[str, object]:
        document = dict(self._plan.document)
        template = next(iter(document['organisations'].values()))
        document['organisations'] = {
            f'organisation-{index}': template
            for index in range(self._size.organisations)
        }
        return document

    def _list_targets(self) -> None:
        services = sorted(self._plan.document['services'])
        domains = self._plan.failure_domains
        for index in range(self._size.targets):
            service = services[index % len(services)]
            row = Instance(
                instance_id=f'{service}-{index}',
                role=ROLE_TARGET,
                address=UNUSED_ADDRESS,
                failure_domain=domains[index % len(domains)],
                service=service,
            )
            self._instances.rows.append(row)


def _settings(name: str, domain: str) -> EntrySettings:
    return EntrySettings.model_validate(
        {
            'instance_id': name,
            'failure_domain': domain,
            'listen_address': UNUSED_ADDRESS,
            'peer_address': ANY_PORT,
            'platform': {
                'log_address': UNUSED_ADDRESS,
                'instances_address': UNUSED_ADDRESS,
                'weights_address': UNUSED_ADDRESS,
                'instances_poll_ms': INSTANCES_POLL_MS,
                'load_poll_ms': LOAD_POLL_MS,
            },
        }
    )
