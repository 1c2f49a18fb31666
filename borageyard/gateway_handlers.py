"""What a gateway answers to callers and to the platform."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol

from .clock import Clock
from .errors import ErrorKind, Refusal, RefusalError
from .events import Event, log_event
from .gateway_metrics import GatewayMetrics
from .gateway_settings import GatewaySettings
from .http_messages import HttpRequest, HttpResponse
from .inbound import InboundRequest
from .membership import Membership
from .request_relay import RequestRelay

# Time in which an entry that starts usually becomes ready.
NOT_READY_RETRY_AFTER_MS = 300
TEXT_TYPE = 'text/plain; version=0.0.4'


class CallerCodec(Protocol):
    """Formats that callers and the platform use towards an entry."""

    def decode_request(
        self,
        request: HttpRequest,
        received_at_ms: float,
    ) -> InboundRequest:
        """Returns a caller's request; raises RefusalError."""

    def encode_refusal(
        self,
        request_id: str,
        refusal: Refusal,
    ) -> HttpResponse:
        """Returns the answer to a request that is not served."""

    def encode_addresses(
        self,
        addresses: tuple[str, ...],
        ttl_s: float,
    ) -> bytes:
        """Returns the body that names the addresses for callers."""


class GatewayHandlers:
    """Handlers of the addresses on which a gateway listens."""

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
            settings: Addresses and bounds.
            border: Formats of the outside.
            relay: Answers requests.
            membership: The other entries.
            is_ready: Tells whether this entry can serve requests.
            clock: Source of steady time.
        """
        self.metrics = GatewayMetrics()
        self._settings = settings
        self._codec = codec
        self._relay = relay
        self._membership = membership
        self._is_ready = is_ready
        self._clock = clock

    async def handle_caller(self, request: HttpRequest) -> HttpResponse:
        """Relays a request of a caller."""
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
            self.metrics.note_refusal(refusal)
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
        self.metrics.note_answer(response.status, took_ms)
        return response

    async def handle_ready(self, request: HttpRequest) -> HttpResponse:
        """Tells whether this entry can serve requests."""
        if self._is_ready():
            return HttpResponse(HTTPStatus.OK, b'{}')
        return self._codec.encode_refusal(
            '',
            Refusal(
                ErrorKind.NOT_READY, retry_after_ms=NOT_READY_RETRY_AFTER_MS
            ),
        )

    async def handle_metrics(self, request: HttpRequest) -> HttpResponse:
        """Returns counters and histograms as text."""
        now_ms = self._clock.steady_ms()
        alive = len(self._membership.alive(now_ms))
        self.metrics.entries.set({}, alive)
        body = self.metrics.exposition()
        return HttpResponse(HTTPStatus.OK, body, content_type=TEXT_TYPE)

    async def handle_directory(self, request: HttpRequest) -> HttpResponse:
        """Names the entries that are ready, as fresh news tells."""
        now_ms = self._clock.steady_ms()
        addresses = [
            member.address
            for member in self._membership.alive(now_ms)
            if member.address
        ]
        if self._is_ready():
            addresses.append(self._settings.caller_address)
        if not addresses:
            return await self.handle_ready(request)
        body = self._codec.encode_addresses(
            tuple(sorted(addresses)),
            self._settings.address_ttl_s,
        )
        return HttpResponse(HTTPStatus.OK, body)
