"""Everything of an entry above its I/O shells."""

import asyncio
import contextlib
import dataclasses
import random
from collections.abc import Sequence

from opentelemetry import trace

from .addresses import EntryAddress, order_entries
from .backing_services import InstanceList, LogService, WeightStore
from .cache_watcher import CacheWatcher
from .claim_service import ClaimService, ClaimServiceDependencies
from .clock import MS_PER_S, Clock
from .configuration_service import ConfigurationService
from .detached import DetachedRuns
from .dispatch import StageDispatcher
from .draining import DrainPlan
from .errors import ErrorKind, Refusal, RunStatus
from .events import Event, log_event
from .generated.settings import EntrySettings, PeerSettings
from .handover import HandoverStore
from .handover_backups import HandoverBackups, HandoverTopology
from .handover_memory import HandoverMemory
from .membership import Membership
from .membership_service import LocalEntryState, MembershipService
from .metrics import EntryMetrics
from .orders import OrderClient
from .peer_stream import PeerCounters
from .peers import PeerLink
from .pipeline import PipelineRunner
from .pipeline_interfaces import Outcome, PipelineDependencies
from .policy import EntryPolicy, PolicyEnvironment, PolicyOptions
from .policy_admission import PolicyAdmission
from .policy_gossip import PolicyGossip
from .reconciler import build_reconciler
from .requests import PipelineRequest, TokenSink
from .suspect_isolation import SuspectIsolation
from .target_client import TargetClient
from .targets import TargetDirectory, TargetWatcher
from .tasks import running_tasks
from .tracing import RequestRunner, TracedRequestRunner, traced_dependencies


@dataclasses.dataclass(frozen=True, slots=True)
class EntryPorts:
    """The outside of an entry: HTTP adapters, or twins in memory."""

    log: LogService
    instances: InstanceList
    targets: TargetClient
    peers: PeerLink
    clock: Clock
    orders: OrderClient
    weights: WeightStore
    seed: int = 0
    tracer: trace.Tracer | None = None
    incarnation: int = 0
    peer_counters: PeerCounters = dataclasses.field(
        default_factory=PeerCounters,
    )
    policy: PolicyOptions = dataclasses.field(default_factory=PolicyOptions)


class EntryCore:
    """Decides and runs requests; knows nothing of sockets."""

    def __init__(self, settings: EntrySettings, ports: EntryPorts) -> None:
        """Composes an entry that does not serve yet.

        Args:
            settings: Checked settings.
            ports: The outside.
        """
        self.settings = settings
        self.ports = ports
        self.metrics = EntryMetrics()
        self.directory = TargetDirectory()
        self.policy = EntryPolicy(
            self.directory,
            PolicyEnvironment(settings.failure_domain, ports.clock, ports.seed),
            ports.policy,
        )
        PolicyGossip(self.policy).register(ports.peers)
        self.configuration = ConfigurationService(
            settings.instance_id,
            ports.log,
            ports.peers,
            ports.clock,
            settings.platform.log_retention_ms,
        )
        self.fold = self.configuration.fold
        self.permission = self.configuration.permission
        self._cache_watcher = CacheWatcher(
            self.directory,
            self.policy.affinity,
            ports.targets,
            ports.clock,
            self.fold,
        )
        self.drain_plan = DrainPlan(settings.drain_ms, settings.address_ttl_ms)
        self.watcher = TargetWatcher(
            self.directory,
            ports.instances,
            ports.targets,
            ports.clock,
            self.policy.note_instances,
        )
        self.claims = ClaimService(
            settings,
            ClaimServiceDependencies(
                log=ports.log,
                peers=ports.peers,
                clock=ports.clock,
                configurations=self.fold,
                list_instances=lambda: self.watcher.listed,
            ),
        )
        self._detached = DetachedRuns()
        self.own = LocalEntryState(
            incarnation=ports.incarnation or int(ports.clock.wall_ms()),
            failure_domain=settings.failure_domain,
        )
        self.membership = Membership(
            settings.instance_id,
            self.own.incarnation,
        )
        self._members = MembershipService(
            self.membership,
            self.own,
            self.directory,
            ports.peers,
            ports.clock,
            lambda: self.watcher.listed,
        )
        self._reconciler = build_reconciler(
            self.configuration,
            self.directory,
            ports.log,
            ports.orders,
            ports.weights,
            ports.clock,
        )
        peers = settings.peers or PeerSettings()
        self.keepers = HandoverBackups(
            HandoverTopology(
                settings.instance_id,
                settings.failure_domain,
                self._live_domains,
            ),
            ports.peers,
            ports.clock,
            HandoverMemory(peers.handover_bytes),
        )
        self._handover = HandoverStore(
            self.keepers,
            ports.peers,
            ports.clock,
        )
        self._random = random.Random(ports.seed)
        self._runner = self._build_runner()

    async def start(self, stack: contextlib.AsyncExitStack) -> None:
        """Reads what it needs and starts what runs in the background.

        Args:
            stack: Owns the background work.
        """
        stack.push_async_callback(self.keepers.close)
        await self.watcher.poll_instances()
        await self.configuration.start(stack, lambda: self.watcher.listed)
        await self.claims.open()
        stack.push_async_callback(self._detached.close)
        platform = self.settings.platform
        await stack.enter_async_context(
            running_tasks(
                *self.claims.background(),
                self._reconciler.run(),
                self._members.run(),
                self.watcher.watch_instances(platform.instances_poll_ms),
                self.watcher.watch_loads(platform.load_poll_ms),
                self.policy.queues.watch(),
                self._cache_watcher.watch(),
            ),
        )

    async def run(
        self,
        request: PipelineRequest,
        sink: TokenSink | None = None,
    ) -> Outcome:
        """Runs a request to its outcome, whatever happens.

        A caller that goes away ends its request, but for one that holds a
        claim: that one runs on, so that its outcome gets recorded.

        Args:
            request: What the caller asked for.
            sink: Where tokens go, if streamed.
        """
        return await self._detached.run(
            self._run_counted(request, sink),
            lambda: self.claims.gate.is_granted(request.request_id),
        )

    async def drain(self) -> None:
        """Serves on until callers have other addresses, then ends work."""
        clock = self.ports.clock
        self.drain_plan.start(clock.steady_ms())
        self.own.leaving = True
        self.ports.peers.send_gossip()
        log_event(
            Event.ENTRY_DRAINING,
            instance_id=self.settings.instance_id,
        )
        wait_ms = self.drain_plan.remaining_ms(clock.steady_ms())
        await asyncio.sleep(wait_ms / MS_PER_S)
        await self.configuration.close()
        await self.own.activity.wait_idle()

    @property
    def draining(self) -> bool:
        """Tells whether the entry has been told to stop."""
        return self.drain_plan.leaving

    @property
    def running(self) -> int:
        """Returns how many requests run."""
        return self.own.running

    def entry_addresses(self, failure_domain: str) -> Sequence[EntryAddress]:
        """Returns the entries that a caller may use, the best first.

        Args:
            failure_domain: Where the caller is; empty if unknown.
        """
        now_ms = self.ports.clock.steady_ms()
        entries = [
            EntryAddress(
                member.instance_id,
                member.address,
                member.failure_domain,
                member.running,
            )
            for member in self.membership.alive(now_ms)
            if member.address
        ]
        if not self.draining and self.own.address:
            own = EntryAddress(
                self.settings.instance_id,
                self.own.address,
                self.own.failure_domain,
                self.own.running,
            )
            entries.append(own)
        return order_entries(entries, failure_domain, self._random)

    async def _run_counted(
        self,
        request: PipelineRequest,
        sink: TokenSink | None,
    ) -> Outcome:
        with self.own.activity.counted():
            try:
                outcome = await self._handover.run(
                    request,
                    sink,
                    self._runner.run,
                )
            except Exception as error:
                outcome = Refusal(ErrorKind.INTERNAL, ran=RunStatus.UNKNOWN)
                log_event(
                    Event.REQUEST_FAILED,
                    request_id=request.request_id,
                    reason=repr(error),
                )
        self.metrics.count_outcome(request, outcome)
        return outcome

    def _live_domains(self) -> dict[str, str]:
        now_ms = self.ports.clock.steady_ms()
        domains = {
            member.instance_id: member.failure_domain
            for member in self.membership.alive(now_ms)
        }
        if not self.draining:
            own_id = self.settings.instance_id
            domains[own_id] = self.settings.failure_domain
        return domains

    def _build_runner(self) -> RequestRunner:
        gates = self._build_gates()
        tracer = self.ports.tracer
        if tracer is None:
            return PipelineRunner(gates, self.ports.clock)
        traced = PipelineRunner(
            traced_dependencies(gates, tracer), self.ports.clock
        )
        return TracedRequestRunner(traced, tracer)

    def _build_gates(self) -> PipelineDependencies:
        return PipelineDependencies(
            configurations=self.fold,
            permission=self.permission,
            admission=PolicyAdmission(self.policy),
            claims=self.claims.gate,
            store=self._handover,
            dispatcher=StageDispatcher(
                self.policy,
                self.ports.targets,
                SuspectIsolation(
                    self.settings.instance_id,
                    self.policy,
                    self.ports.peers,
                ),
            ),
        )
