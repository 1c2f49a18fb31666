"""The gateway process: one entry in front of externally run targets."""

import asyncio
import contextlib
import dataclasses
import math

from .address_claims import AddressClaims
from .answer_body import AnswerReader
from .buffered_relay import BufferedRelay
from .call_relay import AnswerCheckFactory, CallRelay
from .client_limits.client_guard import ClientGuard
from .clock import MS_PER_S, Clock
from .crash_suspects import CrashSuspects
from .departure_service import DepartureService
from .election_service import ElectionService
from .engine_watch import EngineWatch
from .events import Event, log_event
from .failure_domains.cold_target_service import ColdTargetService
from .failure_domains.cold_targets import ColdTargets
from .failure_domains.work_guard import WorkGuard
from .fleet_state import FleetState, RecordDecoder
from .fleet_sync import FleetSync
from .gateway_handlers import CallerCodec, GatewayHandlers
from .gateway_settings import PEER_SETTINGS, GatewaySettings
from .generated.peer_fleet import EntryPresenceBody
from .http_messages import HttpLimits
from .http_server import HttpServer
from .inbound import InboundRequest, TargetSender
from .machine_capacity.connection_limits import connection_limits
from .machine_capacity.entry_load import EntryLoad
from .machine_capacity.entry_load_watch import EntryLoadWatch
from .membership import Membership
from .path_witnesses import PathWitnesses
from .pausing_sender import PausingRunner, PausingSender
from .peer_calls import PeerCalls
from .peer_link import TcpPeerLink
from .peer_stream import (
    PeerConnect,
    PeerContext,
    PeerCounters,
    PeerIdentity,
    open_peer_stream,
)
from .permit_service import PermitService
from .piece_runner import PieceRunner
from .prompt_sender import PromptSender
from .quarantine_guard import QuarantineGuard
from .quarantine_sender import QuarantineSender
from .relayed_client import RelayedClient
from .request_relay import RequestRelay
from .retry_budget import RetryBudget
from .scheduler_client import SchedulerClient
from .scheduler_election import SchedulerElection
from .scheduler_service import SchedulerService
from .send_permits import SendPermits
from .shared_table import SharedTables, Table
from .stream_journal import StreamJournal
from .stream_origin_service import StreamOriginService
from .streaming_relay import StreamingRelay
from .target_departures import TargetDepartures
from .target_limits import TargetLimits
from .target_path_watch import TargetPathWatch
from .target_paths import TargetPaths
from .target_probe import TargetProbe
from .target_speed.speed_reports import SpeedReport
from .version_listing import VersionListing

# A stopping entry accepts requests for this time, because callers cache its
# address for a while. Later requests could not finish before the kill.
ACCEPT_AFTER_STOP_MS = 2800
# Time between the end of a stopping entry and the kill. The entry ends then
# even if requests are still running.
STOP_MARGIN_MS = 400
# Part of that time in which unfinished requests get their refusals.
FINAL_REFUSALS_MS = 150
STOP_POLL_MS = 50
# Longest wait for engines to begin what was granted, which frees its inputs.
MAX_GRANTED_MS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class GatewayDependencies:
    """External interfaces that a gateway depends on."""

    tables: SharedTables
    decoder: RecordDecoder
    sender: TargetSender
    runner: PieceRunner
    probe: TargetProbe
    # Calls targets for the parts above; the check belongs to its answers.
    calls: RelayedClient
    answer_check: AnswerCheckFactory
    codec: CallerCodec
    limits: TargetLimits
    cold: ColdTargets
    departures: TargetDepartures
    clock: Clock
    connect_peer: PeerConnect = open_peer_stream


class Gateway:
    """Composes and runs the parts of one gateway process."""

    def __init__(
        self, settings: GatewaySettings, dependencies: GatewayDependencies
    ) -> None:
        """Composes a gateway; ``serve`` starts it.

        Args:
            settings: Addresses and limits.
            dependencies: External interfaces.
        """
        self.settings = settings
        self.guard = ClientGuard(settings.machine.memory_bytes)
        clock = dependencies.clock
        self.state = FleetState(dependencies.decoder, clock)
        self.dependencies = dependencies
        # Before the schedulers, which are told of changes in this order.
        self._cold = ColdTargetService(dependencies.cold, self.state, clock)
        dependencies.calls.guard(WorkGuard(self.state, dependencies.cold).check)
        incarnation = round(clock.wall_ms())
        membership = Membership(settings.instance_id, incarnation)
        self.link = TcpPeerLink(self._peer_context(incarnation), clock)
        self.sync = FleetSync(
            EntryPresenceBody(
                instance_id=settings.instance_id,
                incarnation=incarnation,
                peer_address=settings.peer_address,
                failure_domain=settings.failure_domain,
                processor_cores=settings.machine.processor_cores or 0,
            ),
            self.state,
            dependencies.tables,
            self.link,
            membership,
            clock,
            settings.sync_bounds,
        )
        permits = SendPermits(dependencies.cold)
        self._departures = DepartureService(
            dependencies.departures, self.state, self.link
        )
        self.service = SchedulerService(
            self.state,
            PausingRunner(dependencies.runner, dependencies.limits.backoffs),
            clock,
            permits,
            competing=settings.competing_callers,
        )
        self.elections = ElectionService(
            SchedulerElection(
                settings.instance_id,
                incarnation,
                settings.machine.processor_cores,
            ),
            self.state,
            membership,
            self.link,
            clock,
            self.is_ready,
        )
        self.permits = PermitService(
            settings.instance_id,
            permits,
            dependencies.limits,
            self.state,
            self.elections,
            self.link,
            clock,
        )
        self.permits.cold = dependencies.cold
        self.scheduler = SchedulerClient(
            settings.instance_id,
            self.state,
            self.elections,
            self.link,
            self.service,
            clock,
            dependencies.limits.backoffs,
        )
        retries = RetryBudget(settings.retry_budget_limits)
        probe = dependencies.probe
        witnesses = PathWitnesses(self.state, probe)
        self._path_watch = TargetPathWatch(
            TargetPaths(settings.instance_id), witnesses, clock
        )
        self.scheduler.failures.watch = self._path_watch
        self._call_relay = self._build_call_relay()
        self.sender = QuarantineSender(
            dependencies.sender,
            self.state,
            self.link,
            clock,
            witnesses,
        )
        self.suspects = CrashSuspects(self.link, clock)
        self._guard = QuarantineGuard(
            settings.instance_id, self.suspects, self.link, clock
        )
        self._watch = EngineWatch(self.state, self.suspects, clock, probe)
        self._journal = StreamJournal(
            settings.instance_id,
            self.elections,
            dependencies.tables,
            clock,
            self.state.refused,
        )
        self._listing = VersionListing(
            settings.instance_id,
            self.state,
            self.elections,
            dependencies.tables,
            self.link,
            clock,
        )
        self._origins = StreamOriginService(
            self.state,
            self.elections,
            self.link,
            clock,
            self._journal,
            self._listing,
        )
        reader = AnswerReader(budget=self.guard.budget)
        self._buffered = BufferedRelay(
            self.state,
            self.sender,
            retries,
            settings.failure_domain,
            clock,
            self.permits,
            reader,
        )
        self._streaming = StreamingRelay(
            self.state,
            PromptSender(
                PausingSender(
                    dependencies.sender, dependencies.limits.backoffs
                ),
                self._watch,
                self._guard,
                clock,
            ),
            self.scheduler,
            retries,
            clock,
            self._origins,
            reader,
        )
        self.relay = RequestRelay(
            self.state,
            self._buffered,
            self._streaming,
            retries,
            clock,
            settings.instance_id,
        )
        self.relay.check = self._require_not_quarantined
        self.relay.is_behind = self.sync.is_behind
        self.handlers = GatewayHandlers(
            settings,
            dependencies.codec,
            self.relay,
            membership,
            self.is_ready,
            clock,
        )
        self.handlers.elections = self.elections
        self.handlers.limits = dependencies.limits
        self.handlers.cold = dependencies.cold
        self.handlers.evacuations = self.state.evacuations
        self.handlers.paths = self._path_watch.paths
        self.handlers.sync = self.sync
        self._connection_limits = connection_limits(settings.machine)
        max_connections = self._connection_limits.callers
        self.handlers.metrics.record_machine(
            settings.machine.processor_cores, max_connections
        )
        self.handlers.guard = self.guard
        self._streaming.sends.failure_domain = settings.failure_domain
        self.handlers.speeds = SpeedReport(
            (self._buffered.picker.speeds, self.service.scheduler.speeds),
            (
                self._buffered.picker.remote_sends,
                self._streaming.sends.remote_sends,
            ),
        )
        self.handlers.share_refusals = (
            self.service.scheduler.admission.share_refusals
        )
        self._caller_server = HttpServer(
            self.handlers.handle_caller,
            HttpLimits(max_connections=max_connections),
            id_reader=dependencies.codec.request_id_of,
            guard=self.guard,
        )
        self._parts = (
            self._cold,
            self._watch,
            AddressClaims(self.state, probe),
            self.sender,
            self.service,
            EntryLoadWatch(
                EntryLoad(max_connections),
                self.sync,
                self._caller_server,
                clock,
            ),
            self.sync,
            self.elections,
            self._path_watch,
            self._call_relay,
            self._journal,
            self._listing,
            self._origins,
        )
        self.state.add_listener(self._on_table_change)

    def is_ready(self) -> bool:
        """Returns whether this entry can serve requests."""
        roster = self.state.roster
        # If all targets are evacuated, requests are refused here.
        has_targets = bool(roster.services or roster.evacuated.services)
        configured = self.state.configuration is not None
        usable = has_targets and self._listing.settled
        return configured and usable and not self.sync.leaving

    async def serve(self, stop: asyncio.Event) -> None:
        """Serves until stopped, then drains the open requests.

        Args:
            stop: Event that is set to stop the process.
        """
        settings = self.settings
        async with contextlib.AsyncExitStack() as stack:
            await self._listen(stack)
            stack.callback(self.permits.close)
            await self.link.start(settings.peer_address, stack)
            stack.callback(self.suspects.close)
            for part in self._parts:
                await stack.enter_async_context(part.running())
            log_event(
                Event.ENTRY_STARTED,
                instance_id=settings.instance_id,
                address=settings.caller_address,
            )
            await stop.wait()
            await self._stop()
        log_event(Event.ENTRY_STOPPED, instance_id=settings.instance_id)

    def _require_not_quarantined(self, request: InboundRequest) -> None:
        self.sender.require_not_quarantined(request)
        self._guard.require_admitted(request)

    def _build_call_relay(self) -> CallRelay:
        """Lets this entry and its peers call targets for each other."""
        calls = self.dependencies.calls
        clock = self.dependencies.clock
        paths = self._path_watch.paths
        calls.join(self._path_watch, PeerCalls(paths, self.link, clock))
        return CallRelay(
            calls.own,
            self.dependencies.answer_check,
            self.state,
            self._path_watch,
            self.link,
            clock,
        )

    async def _stop(self) -> None:
        """Accepts requests for a while, then waits for the open ones."""
        clock = self.dependencies.clock
        started_at_ms = clock.steady_ms()
        end_ms = started_at_ms + self.settings.grace_ms - STOP_MARGIN_MS
        self.relay.end_by(end_ms)
        self.sync.leaving = True
        self.elections.leave()
        self.link.send_gossip()
        self._caller_server.begin_closing()
        log_event(
            Event.GATEWAY_DRAINING,
            instance_id=self.settings.instance_id,
            running=self._caller_server.active,
        )
        awaited_at_ms = started_at_ms + ACCEPT_AFTER_STOP_MS
        while clock.steady_ms() < awaited_at_ms:
            self.relay.refuse_late_requests()
            await asyncio.sleep(STOP_POLL_MS / MS_PER_S)
        self.relay.refusing = True
        while self._is_needed(clock.steady_ms() - awaited_at_ms):
            if self._caller_server.active or self.service.is_awaited:
                awaited_at_ms = clock.steady_ms()
            self.relay.refuse_late_requests()
            if clock.steady_ms() >= end_ms:
                self.relay.expire_open_requests()
                await asyncio.sleep(FINAL_REFUSALS_MS / MS_PER_S)
                break
            await asyncio.sleep(STOP_POLL_MS / MS_PER_S)

    def _is_needed(self, unawaited_ms: float) -> bool:
        """Returns whether there is something that a stop must wait for.

        Args:
            unawaited_ms: Time since a caller or another entry waited here.
        """
        if self._caller_server.active or self.service.is_awaited:
            return True
        # Their entries may have ended, and will then never tell.
        return bool(
            self.service.scheduler.chains and unawaited_ms < MAX_GRANTED_MS
        )

    async def _listen(self, stack: contextlib.AsyncExitStack) -> None:
        """Starts the servers for callers and for the platform."""
        settings = self.settings
        limits = HttpLimits(max_connections=self._connection_limits.platform)
        directory = HttpServer(
            self.handlers.handle_directory, limits, guard=self.guard
        )
        ready = HttpServer(self.handlers.handle_ready, limits, guard=self.guard)
        metrics = HttpServer(
            self.handlers.handle_metrics, limits, guard=self.guard
        )
        for server, address in (
            (directory, settings.directory_address),
            (ready, settings.ready_address),
            (self._caller_server, settings.caller_address),
            (metrics, settings.metrics_address),
        ):
            await stack.enter_async_context(server)
            await server.start(address)

    def _on_table_change(self, table: Table) -> None:
        if self.is_ready() and not self.sync.address:
            self.sync.address = self.settings.caller_address
            # Peers may be waiting to learn which entry schedules.
            self.link.send_gossip()
        entry_count = self.sync.count_entries()
        self._buffered.entry_count = entry_count
        self.permits.entry_count = entry_count
        self._streaming.sends.entry_count = entry_count
        configuration = self.state.configuration
        if configuration is None:
            return
        limits = configuration.limits
        self.handlers.metrics.version.set({}, configuration.version)
        self._caller_server.update_limits(
            HttpLimits(
                max_body_bytes=limits.max_body_bytes,
                max_connections=self._connection_limits.callers,
                head_timeout_ms=limits.header_timeout_ms,
                idle_timeout_ms=limits.idle_timeout_ms,
            ),
        )

    def _peer_context(self, incarnation: int) -> PeerContext:
        return PeerContext(
            identity=PeerIdentity(
                self.settings.instance_id,
                incarnation,
                peer_address=self.settings.peer_address,
            ),
            settings=PEER_SETTINGS,
            counters=PeerCounters(),
            on_contact=self._on_contact,
            on_replaced=self._on_replaced,
            on_address=self._on_address,
            on_refused=self._on_refused,
            on_stream_ended=self._on_stream_ended,
            guard=self.guard,
            connect=self.dependencies.connect_peer,
        )

    def _on_contact(self, peer_id: str, incarnation: int) -> None:
        now_ms = self.dependencies.clock.steady_ms()
        self.sync.membership.note_contact(peer_id, incarnation, now_ms)
        self.elections.note_incarnation(peer_id, incarnation)

    def _on_address(
        self,
        peer_id: str,
        incarnation: int,
        peer_address: str,
    ) -> None:
        self.sync.add_greeted_entry(
            EntryPresenceBody(
                instance_id=peer_id,
                incarnation=incarnation,
                peer_address=peer_address,
            ),
        )

    def _on_stream_ended(self, peer_id: str) -> None:
        self._call_relay.end_calls(peer_id)

    def _on_replaced(self, peer_id: str) -> None:
        self.sync.membership.note_replaced(peer_id)
        self.elections.note_gone(peer_id, math.inf)

    def _on_refused(self, peer_id: str, incarnation: int) -> None:
        self.elections.note_gone(peer_id, incarnation + 1)
