"""HTTP handlers of a gateway for callers and for the platform."""

from collections.abc import Callable, Mapping
from http import HTTPStatus
from typing import Protocol

from .client_limits.client_guard import ClientGuard
from .clock import Clock
from .election_service import ElectionService
from .errors import ErrorKind, Refusal, RefusalError
from .events import Event, log_event
from .failure_domains.cold_targets import ColdTargets
from .failure_domains.evacuations import Evacuations
from .fleet_sync import FleetSync
from .gateway_metrics import GatewayMetrics
from .gateway_settings import GatewaySettings
from .http_messages import HttpRequest, HttpResponse
from .inbound import InboundRequest
from .machine_capacity.entry_directory import EntryDirectory, ListedEntry
from .membership import Membership
from .request_relay import RequestRelay
from .send_trace import REPEATED_SENDS, SENDS_NOT_RUN
from .target_limits import TargetLimits
from .target_paths import TargetPaths
from .target_speed.speed_reports import SpeedReport
from .tasks import FAILURES

# A starting entry usually becomes ready within this time.
READINESS_RETRY_AFTER_MS = 300
TEXT_TYPE = 'text/plain; version=0.0.4'
# Names the failure domain of the caller in a query for addresses.
DOMAIN_PARAMETER = 'zone'


class CallerCodec(Protocol):
    """Wire formats between an entry and its callers and platform."""

    def decode_request(
        self,
        request: HttpRequest,
        received_at_ms: float,
    ) -> InboundRequest:
        """Decodes a caller's request; raises RefusalError if malformed."""

    def request_id_of(self, headers: Mapping[str, str]) -> str:
        """Returns the id of a caller's request; empty if it has none."""

    def encode_refusal(
        self,
        request_id: str,
        refusal: Refusal,
    ) -> HttpResponse:
        """Returns the response to a request that is refused."""

    def encode_addresses(
        self,
        addresses: tuple[str, ...],
        ttl_s: float,
    ) -> bytes:
        """Returns the response body that lists addresses for callers."""


class GatewayHandlers:
    """Request handlers, one for each address of a gateway."""

    def __init__(
        self,
        settings: GatewaySettings,
        codec: CallerCodec,
        relay: RequestRelay,
        membership: Membership,
        is_ready: Callable[[], bool],
        clock: Clock,
    ) -> None:
        """Composes the handlers.

        Args:
            settings: Addresses and limits.
            codec: Wire formats for callers and the platform.
            relay: Admits requests and forwards them to targets.
            membership: Tracks the other entries.
            is_ready: Returns whether this entry can serve requests.
            clock: Monotonic clock.
        """
        self.metrics = GatewayMetrics()
        self.elections: ElectionService | None = None
        self.limits: TargetLimits | None = None
        self.cold: ColdTargets | None = None
        self.evacuations: Evacuations | None = None
        self.paths: TargetPaths | None = None
        self.sync: FleetSync | None = None
        self.guard: ClientGuard | None = None
        self.speeds: SpeedReport | None = None
        # Refusals of organisations that have their share, by service.
        self.share_refusals: Mapping[str, int] = {}
        self._settings = settings
        self._codec = codec
        self._relay = relay
        self._membership = membership
        self._directory = EntryDirectory(settings.instance_id)
        self._is_ready = is_ready
        self._clock = clock

    async def handle_caller(self, request: HttpRequest) -> HttpResponse:
        """Serves a caller's request; records and encodes a refusal."""
        clock = self._clock
        codec = self._codec
        started_at_ms = clock.steady_ms()
        request_id = ''
        try:
            inbound = codec.decode_request(request, started_at_ms)
            request_id = inbound.request_id
            response = await self._relay.answer(inbound)
        except RefusalError as error:
            refusal = error.refusal
            self.metrics.count_refusal(refusal)
            log_event(
                Event.REQUEST_UNSERVED,
                request_id=request_id,
                kind=refusal.kind.value,
                ran=refusal.ran.value,
                detail=refusal.detail,
                retry_after_ms=refusal.retry_after_ms,
                took_ms=round(clock.steady_ms() - started_at_ms),
            )
            response = codec.encode_refusal(request_id, refusal)
        took_ms = clock.steady_ms() - started_at_ms
        self.metrics.record_response(response.status, took_ms)
        return response

    async def handle_ready(self, request: HttpRequest) -> HttpResponse:
        """Responds OK if this entry can serve requests, else refuses."""
        if self._is_ready():
            return HttpResponse(HTTPStatus.OK, b'{}')
        return self._codec.encode_refusal(
            '',
            Refusal(
                ErrorKind.NOT_READY, retry_after_ms=READINESS_RETRY_AFTER_MS
            ),
        )

    async def handle_metrics(self, request: HttpRequest) -> HttpResponse:
        """Returns all metrics in the Prometheus text format."""
        now_ms = self._clock.steady_ms()
        alive = len(self._membership.alive(now_ms))
        self.metrics.entries.set({}, alive)
        if self.elections is not None:
            self.metrics.record_schedulers(
                self._settings.instance_id,
                self.elections.schedulers,
                self.elections.renewal_ages_ms,
            )
        self._record_targets(now_ms)
        if self.sync is not None:
            self._record_store(self.sync, now_ms)
            self.metrics.record_overload(overloaded=self.sync.overloaded)
        if self.guard is not None:
            counts = self.guard.reports.counts
            self.metrics.record_clients(
                self.guard.budget.held_bytes,
                {reason.value: count for reason, count in counts.items()},
            )
        self.metrics.record_share_refusals(self.share_refusals)
        self.metrics.record_task_failures(FAILURES)
        self.metrics.record_sends(SENDS_NOT_RUN, REPEATED_SENDS)
        body = self.metrics.exposition()
        return HttpResponse(HTTPStatus.OK, body, content_type=TEXT_TYPE)

    async def handle_directory(self, request: HttpRequest) -> HttpResponse:
        """Lists some of the ready entries that recent gossip shows alive."""
        now_ms = self._clock.steady_ms()
        entries = [
            ListedEntry(
                member.address,
                member.failure_domain,
                member.processor_cores,
                member.overloaded,
            )
            for member in self._membership.alive(now_ms)
            if member.address
        ]
        if self._is_ready():
            entries.append(self._own_entry())
        if not entries:
            return await self.handle_ready(request)
        addresses = self._directory.choose(
            entries, request.query.get(DOMAIN_PARAMETER, '')
        )
        body = self._codec.encode_addresses(
            tuple(addresses),
            self._settings.address_ttl_s,
        )
        return HttpResponse(HTTPStatus.OK, body)

    def _own_entry(self) -> ListedEntry:
        settings = self._settings
        return ListedEntry(
            settings.caller_address,
            settings.failure_domain,
            settings.machine.processor_cores,
            self.sync is not None and self.sync.overloaded,
        )

    def _record_targets(self, now_ms: float) -> None:
        if self.paths is not None:
            partitioned = int(self.paths.is_partitioned)
            self.metrics.partitioned.set({}, partitioned)
        if self.limits is not None:
            self.metrics.limited_targets.set({}, self.limits.count())
        if self.cold is not None:
            self.metrics.cold_targets.set({}, self.cold.count())
        if self.evacuations is not None:
            evacuated = len(self.evacuations.domains)
            self.metrics.evacuated_domains.set({}, evacuated)
        if self.speeds is not None:
            self.metrics.record_speeds(
                self.speeds.highest_slowdowns(now_ms),
                self.speeds.remote_sends(),
            )

    def _record_store(self, sync: FleetSync, now_ms: float) -> None:
        announcer = sync.announcer
        self.metrics.record_store(
            announcer.era, announcer.take_rewritten_after_ms()
        )
        self.metrics.record_lag(
            sync.lag.known_version,
            sync.lag.behind_ms(now_ms),
            sync.read_ages_ms(),
        )
        self.metrics.record_invalid(sync.invalid_records)
