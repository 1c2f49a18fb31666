"""Core of an entry: everything except its network I/O."""

import asyncio
import contextlib
import dataclasses
import functools
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
class EntryDependencies:
    """External services of an entry: HTTP adapters or in-memory ones."""

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
    """Decides on requests and runs them, without any socket I/O."""

    def __init__(
        self, settings: EntrySettings, dependencies: EntryDependencies
    ) -> None:
        """Composes an entry that does not serve yet.

        Args:
            settings: Validated settings.
            dependencies: External services, clock and seed.
        """
        self.settings = settings
        self.dependencies = dependencies
        self.metrics = EntryMetrics()
        self.directory = TargetDirectory()
        self.policy = EntryPolicy(
            self.directory,
            PolicyEnvironment(
                settings.failure_domain, dependencies.clock, dependencies.seed
            ),
            dependencies.policy,
        )
        PolicyGossip(self.policy).register(dependencies.peers)
        self.configuration = ConfigurationService(
            settings.instance_id,
            dependencies.log,
            dependencies.peers,
            dependencies.clock,
            settings.platform.log_retention_ms,
        )
        self.fold = self.configuration.fold
        self.permission = self.configuration.permission
        self._cache_watcher = CacheWatcher(
            self.directory,
            self.policy.affinity,
            dependencies.targets,
            dependencies.clock,
            self.fold,
        )
        self.drain_plan = DrainPlan(settings.drain_ms, settings.address_ttl_ms)
        self.watcher = TargetWatcher(
            self.directory,
            dependencies.instances,
            dependencies.targets,
            dependencies.clock,
            self.policy.note_instances,
        )
        self.claims = ClaimService(
            settings,
            ClaimServiceDependencies(
                log=dependencies.log,
                peers=dependencies.peers,
                clock=dependencies.clock,
                configurations=self.fold,
                list_instances=lambda: self.watcher.listed,
            ),
        )
        self._detached = DetachedRuns()
        self.local_state = LocalEntryState(
            incarnation=dependencies.incarnation
            or int(dependencies.clock.wall_ms()),
            failure_domain=settings.failure_domain,
        )
        self.membership = Membership(
            settings.instance_id,
            self.local_state.incarnation,
        )
        self._members = MembershipService(
            self.membership,
            self.local_state,
            self.directory,
            dependencies.peers,
            dependencies.clock,
            lambda: self.watcher.listed,
        )
        self._reconciler = build_reconciler(
            self.configuration,
            self.directory,
            dependencies.log,
            dependencies.orders,
            dependencies.weights,
            dependencies.clock,
        )
        peers = settings.peers or PeerSettings()
        self.handover_backups = HandoverBackups(
            HandoverTopology(
                settings.instance_id,
                settings.failure_domain,
                self._domains_of_live_entries,
            ),
            dependencies.peers,
            dependencies.clock,
            HandoverMemory(peers.handover_bytes),
        )
        self._handover = HandoverStore(
            self.handover_backups,
            dependencies.peers,
            dependencies.clock,
        )
        self._random = random.Random(dependencies.seed)
        self._runner = self._build_runner()

    async def start(self, stack: contextlib.AsyncExitStack) -> None:
        """Reads instances, configuration and claims; starts background tasks.

        Args:
            stack: Exit stack that closes services and cancels the tasks.
        """
        stack.push_async_callback(self.handover_backups.close)
        await self.watcher.poll_instances()
        await self.configuration.start(stack, lambda: self.watcher.listed)
        await self.claims.open()
        stack.push_async_callback(self._detached.close)
        platform = self.settings.platform
        await stack.enter_async_context(
            running_tasks(
                *self.claims.background(),
                self._reconciler.run,
                self._members.run,
                functools.partial(
                    self.watcher.watch_instances, platform.instances_poll_ms
                ),
                functools.partial(
                    self.watcher.watch_loads, platform.load_poll_ms
                ),
                self.policy.queues.watch,
                self._cache_watcher.watch,
            ),
        )

    async def run(
        self,
        request: PipelineRequest,
        sink: TokenSink | None = None,
    ) -> Outcome:
        """Runs a request and returns its outcome; errors become refusals.

        Cancelling this call (the caller disconnected) cancels the request,
        unless it holds a claim: then it continues so that its outcome is
        recorded.

        Args:
            request: The decoded request.
            sink: Receives the tokens of a streamed answer.

        Returns:
            The answer or a refusal.
        """
        return await self._detached.run(
            self._run_and_record(request, sink),
            lambda: self.claims.gate.is_granted(request.request_id),
        )

    async def drain(self) -> None:
        """Stops the entry without cutting requests.

        Serves until callers have had time to fetch other addresses, then
        closes the configuration service and waits for running requests.
        """
        clock = self.dependencies.clock
        self.drain_plan.start(clock.steady_ms())
        self.local_state.leaving = True
        self.dependencies.peers.send_gossip()
        log_event(
            Event.ENTRY_DRAINING,
            instance_id=self.settings.instance_id,
        )
        wait_ms = self.drain_plan.remaining_ms(clock.steady_ms())
        await asyncio.sleep(wait_ms / MS_PER_S)
        await self.configuration.close()
        await self.local_state.activity.wait_idle()

    @property
    def draining(self) -> bool:
        """Whether the entry is stopping."""
        return self.drain_plan.draining

    @property
    def running(self) -> int:
        """Number of running requests."""
        return self.local_state.running

    def entry_addresses(self, failure_domain: str) -> Sequence[EntryAddress]:
        """Returns the entries that a caller may use, the best first.

        Args:
            failure_domain: Failure domain of the caller; empty if unknown.
        """
        now_ms = self.dependencies.clock.steady_ms()
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
        if not self.draining and self.local_state.address:
            own_entry = EntryAddress(
                self.settings.instance_id,
                self.local_state.address,
                self.local_state.failure_domain,
                self.local_state.running,
            )
            entries.append(own_entry)
        return order_entries(entries, failure_domain, self._random)

    async def _run_and_record(
        self,
        request: PipelineRequest,
        sink: TokenSink | None,
    ) -> Outcome:
        with self.local_state.activity.track():
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

    def _domains_of_live_entries(self) -> dict[str, str]:
        now_ms = self.dependencies.clock.steady_ms()
        domains = {
            member.instance_id: member.failure_domain
            for member in self.membership.alive(now_ms)
        }
        if not self.draining:
            own_id = self.settings.instance_id
            domains[own_id] = self.settings.failure_domain
        return domains

    def _build_runner(self) -> RequestRunner:
        pipeline_dependencies = self._build_pipeline_dependencies()
        tracer = self.dependencies.tracer
        if tracer is None:
            return PipelineRunner(
                pipeline_dependencies, self.dependencies.clock
            )
        traced = PipelineRunner(
            traced_dependencies(pipeline_dependencies, tracer),
            self.dependencies.clock,
        )
        return TracedRequestRunner(traced, tracer)

    def _build_pipeline_dependencies(self) -> PipelineDependencies:
        return PipelineDependencies(
            configurations=self.fold,
            permission=self.permission,
            admission=PolicyAdmission(self.policy),
            claims=self.claims.gate,
            store=self._handover,
            dispatcher=StageDispatcher(
                self.policy,
                self.dependencies.targets,
                SuspectIsolation(
                    self.settings.instance_id,
                    self.policy,
                    self.dependencies.peers,
                ),
            ),
        )
