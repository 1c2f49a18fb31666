"""The gateway daemon: one entry in front of targets that others run."""

import asyncio
import contextlib
import dataclasses

from .clock import MS_PER_S, Clock
from .events import Event, log_event
from .fleet_state import FleetState, RecordDecoder
from .fleet_sync import FleetSync
from .gateway_handlers import CallerBorder, GatewayHandlers
from .gateway_settings import PEER_SETTINGS, GatewaySettings
from .generated.peer_fleet import EntryPresenceBody
from .guarded_sender import GuardedSender
from .http_messages import HttpLimits
from .http_server import HttpServer
from .inbound import TargetSender
from .membership import Membership
from .peer_link import TcpPeerLink
from .peer_stream import PeerContext, PeerCounters, PeerIdentity
from .piece_runner import PieceRunner
from .plain_relay import PlainRelay
from .prompt_relay import PromptRelay
from .request_relay import RequestRelay
from .retry_window import RetryWindow
from .scheduler_client import SchedulerClient
from .scheduler_service import SchedulerService
from .shared_table import SharedTables, Table

MAX_CONNECTIONS = 2000
# Time for which an entry that stops takes new requests: callers keep its
# address for a while, and what they send later could not be finished.
ACCEPT_AFTER_STOP_MS = 2800
# Time before the kill at which an entry that stops ends in any case.
STOP_MARGIN_MS = 400
# Time of that in which requests that are given up get their refusals.
LAST_ANSWERS_MS = 150
STOP_POLL_MS = 50


@dataclasses.dataclass(frozen=True, slots=True)
class GatewayPorts:
    """What a gateway needs from the outside."""

    tables: SharedTables
    decoder: RecordDecoder
    sender: TargetSender
    runner: PieceRunner
    border: CallerBorder
    clock: Clock


class Gateway:
    """Composition of one gateway process."""

    def __init__(self, settings: GatewaySettings, ports: GatewayPorts) -> None:
        """Composes a gateway that is not serving yet.

        Args:
            settings: Addresses and bounds.
            ports: The outside.
        """
        self.settings = settings
        self.state = FleetState(ports.decoder)
        self.ports = ports
        clock = ports.clock
        incarnation = round(clock.wall_ms())
        membership = Membership(settings.instance_id, incarnation)
        self.link = TcpPeerLink(self._peer_context(incarnation), clock)
        presence = EntryPresenceBody(
            instance_id=settings.instance_id,
            incarnation=incarnation,
            peer_address=settings.peer_address,
            failure_domain=settings.failure_domain,
        )
        self.sync = FleetSync(
            presence,
            self.state,
            ports.tables,
            self.link,
            membership,
            clock,
        )
        self.service = SchedulerService(self.state, ports.runner, clock)
        self.scheduler = SchedulerClient(
            settings.instance_id,
            self.state,
            membership,
            self.link,
            self.service,
            clock,
        )
        retries = RetryWindow(settings.retry_terms)
        self.sender = GuardedSender(
            ports.sender,
            self.state,
            self.link,
            clock,
        )
        self._plain = PlainRelay(
            self.state,
            self.sender,
            retries,
            settings.failure_domain,
            clock,
        )
        self._prompts = PromptRelay(
            self.state,
            self.sender,
            self.scheduler,
            retries,
            clock,
        )
        self.relay = RequestRelay(
            self.state,
            self._plain,
            self._prompts,
            retries,
            clock,
            settings.instance_id,
        )
        self.relay.check = self.sender.check
        self.handlers = GatewayHandlers(
            settings,
            ports.border,
            self.relay,
            membership,
            self.is_ready,
            clock,
        )
        limits = HttpLimits(max_connections=MAX_CONNECTIONS)
        self._callers = HttpServer(self.handlers.handle_caller, limits)
        self.state.add_listener(self._note_table)

    def is_ready(self) -> bool:
        """Tells whether this entry can serve requests."""
        has_targets = bool(self.state.roster.services)
        configured = self.state.configuration is not None
        return configured and has_targets and not self.sync.leaving

    async def serve(self, stop: asyncio.Event) -> None:
        """Serves until asked to stop, then stops as planned.

        Args:
            stop: Set when the process is to stop.
        """
        settings = self.settings
        async with contextlib.AsyncExitStack() as stack:
            await self._listen(stack)
            await self.link.start(settings.peer_address, stack)
            await stack.enter_async_context(self.service.running())
            await stack.enter_async_context(self.sync.running())
            log_event(
                Event.ENTRY_STARTED,
                instance_id=settings.instance_id,
                address=settings.caller_address,
            )
            await stop.wait()
            await self._stop()
        log_event(Event.ENTRY_STOPPED, instance_id=settings.instance_id)

    async def _stop(self) -> None:
        """Takes new requests for a while, then waits for the running ones."""
        clock = self.ports.clock
        began_ms = clock.steady_ms()
        self.sync.leaving = True
        self.scheduler.leave()
        self.link.send_gossip()
        self._callers.begin_closing()
        log_event(
            Event.GATEWAY_DRAINING,
            instance_id=self.settings.instance_id,
            running=self._callers.active,
        )
        await asyncio.sleep(ACCEPT_AFTER_STOP_MS / MS_PER_S)
        self.relay.refusing = True
        end_ms = began_ms + self.settings.grace_ms - STOP_MARGIN_MS
        while self._callers.active or self.service.scheduler.chains:
            if clock.steady_ms() >= end_ms:
                self.relay.give_up()
                await asyncio.sleep(LAST_ANSWERS_MS / MS_PER_S)
                break
            await asyncio.sleep(STOP_POLL_MS / MS_PER_S)

    async def _listen(self, stack: contextlib.AsyncExitStack) -> None:
        """Opens the addresses for callers and for the platform."""
        settings = self.settings
        limits = HttpLimits(max_connections=MAX_CONNECTIONS)
        directory = HttpServer(self.handlers.handle_directory, limits)
        ready = HttpServer(self.handlers.handle_ready, limits)
        metrics = HttpServer(self.handlers.handle_metrics, limits)
        for server, address in (
            (directory, settings.directory_address),
            (ready, settings.ready_address),
            (self._callers, settings.caller_address),
            (metrics, settings.metrics_address),
        ):
            await stack.enter_async_context(server)
            await server.start(address)

    def _note_table(self, table: Table) -> None:
        if self.is_ready() and not self.sync.address:
            self.sync.address = self.settings.caller_address
            # The others may be waiting to know who schedules.
            self.link.send_gossip()
        known = self.sync.count_entries()
        self._plain.entries_known = known
        self._prompts.entries_known = known
        configuration = self.state.configuration
        if configuration is None:
            return
        limits = configuration.limits
        self.handlers.metrics.version.set({}, configuration.version)
        self._callers.update_limits(
            HttpLimits(
                max_body_bytes=limits.max_body_bytes,
                max_connections=MAX_CONNECTIONS,
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
            on_contact=self._note_contact,
            on_replaced=self._note_replaced,
            on_address=self._note_address,
        )

    def _note_contact(self, peer_id: str, incarnation: int) -> None:
        now_ms = self.ports.clock.steady_ms()
        self.sync.membership.note_contact(peer_id, incarnation, now_ms)

    def _note_address(
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

    def _note_replaced(self, peer_id: str) -> None:
        self.sync.membership.note_replaced(peer_id)
