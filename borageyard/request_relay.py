"""Admits requests of callers and relays them to the right service."""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator, Callable

from .buffered_relay import BufferedRelay
from .clock import MS_PER_S, Clock
from .errors import ErrorKind, Ran, Refusal, RefusalError
from .events import Event, log_event
from .fleet_state import FleetState
from .http_messages import HttpResponse
from .inbound import InboundRequest
from .request_context import RequestContext
from .retry_budget import RetryBudget
from .send_history import SendHistory
from .serving_configuration import (
    ServedOrganisation,
    ServiceRoute,
    ServingConfiguration,
)
from .streaming_relay import StreamingRelay

# Time to come back to an entry that starts, and to another than one that
# stops.
NOT_READY_RETRY_AFTER_MS = 500
DRAINING_RETRY_AFTER_MS = 50
# Part of the deadline's time that is kept for the answer's way back.
RESPONSE_MARGIN_MS = 10

# Raises RefusalError for a request that may not run now.
RequestCheck = Callable[[InboundRequest], None]


class RequestRelay:
    """The path of a request from its head to its answer."""

    def __init__(
        self,
        state: FleetState,
        buffered: BufferedRelay,
        streaming: StreamingRelay,
        retries: RetryBudget,
        clock: Clock,
        seed: str,
    ) -> None:
        """Composes a relay.

        Args:
            state: Configuration and targets.
            plain: Relays to plain services.
            prompts: Relays to engines.
            retries: Budget of repeated sends.
            clock: Source of steady time.
            seed: Seed for the choice among weighted services.
        """
        self.refusing = False
        # Refuses what may not run for other reasons than its route.
        self.check: RequestCheck | None = None
        self._state = state
        self._buffered = buffered
        self._streaming = streaming
        self._retries = retries
        self._clock = clock
        self._random = random.Random(seed)
        self._timeouts: set[asyncio.Timeout] = set()

    async def answer(self, request: InboundRequest) -> HttpResponse:
        """Returns the answer to a request.

        Args:
            request: The caller's request.

        Raises:
            RefusalError: If there is none.
        """
        context = self._admit(request)
        now_ms = self._clock.steady_ms()
        self._retries.note_request(context.service, now_ms)
        history = SendHistory()
        left_s = (context.deadline_at_ms - now_ms) / MS_PER_S
        timeout = asyncio.timeout(max(left_s, 0))
        try:
            async with self._apply_timeout(timeout):
                response = await self._dispatch(request, context, history)
        except TimeoutError as error:
            raise RefusalError(_timeout_refusal(history)) from error
        log_event(
            Event.REQUEST_SERVED,
            request_id=request.request_id,
            route=context.route.name,
            status=response.status,
            sends=history.ran + history.not_executed,
            took_ms=round(self._clock.steady_ms() - request.received_at_ms),
        )
        return response

    @property
    def open_requests(self) -> int:
        """Returns how many requests have no answer yet."""
        return len(self._timeouts)

    def expire_open_requests(self) -> None:
        """Ends the wait of all requests that have no answer yet.

        Each one is refused, as not run where that is true.
        """
        now_s = asyncio.get_running_loop().time()
        for timeout in self._timeouts:
            timeout.reschedule(now_s)

    @contextlib.asynccontextmanager
    async def _apply_timeout(
        self, timeout: asyncio.Timeout
    ) -> AsyncIterator[None]:
        """Applies a limit that can be brought forward."""
        with contextlib.ExitStack() as stack:
            self._timeouts.add(timeout)
            stack.callback(self._timeouts.discard, timeout)
            async with timeout:
                yield

    async def _dispatch(
        self,
        request: InboundRequest,
        context: RequestContext,
        history: SendHistory,
    ) -> HttpResponse:
        if context.route.streams:
            return await self._streaming.answer(request, context, history)
        return await self._buffered.answer(request, context, history)

    def _admit(self, request: InboundRequest) -> RequestContext:
        configuration = self._state.configuration
        if configuration is None:
            raise RefusalError(
                Refusal(
                    ErrorKind.NOT_READY,
                    retry_after_ms=NOT_READY_RETRY_AFTER_MS,
                ),
            )
        if self.refusing:
            raise RefusalError(
                Refusal(
                    ErrorKind.DRAINING, retry_after_ms=DRAINING_RETRY_AFTER_MS
                ),
            )
        route = configuration.find_route(request.host, request.path)
        if route is None:
            raise RefusalError(Refusal(ErrorKind.NOT_FOUND))
        organisation = _authorise(configuration, route, request)
        if self.check is not None:
            self.check(request)
        return self._build_context(request, route, organisation)

    def _build_context(
        self,
        request: InboundRequest,
        route: ServiceRoute,
        organisation: ServedOrganisation | None,
    ) -> RequestContext:
        wait_ms = request.wait_ms
        limit_ms = route.timeout_ms
        if wait_ms is not None:
            limit_ms = min(limit_ms, wait_ms)
        priority = route.priority
        if organisation is not None and organisation.priority is not None:
            priority = organisation.priority
        return RequestContext(
            route=route,
            service=self._choose_service(route),
            organisation=organisation.name if organisation else '',
            priority=priority,
            soft_deadline_at_ms=request.received_at_ms
            + route.target_latency_ms,
            deadline_at_ms=request.received_at_ms
            + limit_ms
            - RESPONSE_MARGIN_MS,
        )

    def _choose_service(self, route: ServiceRoute) -> str:
        if len(route.backends) == 1:
            return route.backends[0].service
        chosen = self._random.choices(
            route.backends,
            [backend.weight for backend in route.backends],
        )
        return chosen[0].service


def _authorise(
    configuration: ServingConfiguration,
    route: ServiceRoute,
    request: InboundRequest,
) -> ServedOrganisation | None:
    """Returns whose request it is.

    Raises:
        RefusalError: If a key is needed and unknown.
    """
    if configuration.keys is None:
        return None
    organisation = configuration.keys.get(request.api_key)
    if organisation is None and not route.allow_anonymous:
        raise RefusalError(Refusal(ErrorKind.UNAUTHORISED))
    return organisation


def _timeout_refusal(history: SendHistory) -> Refusal:
    if history.sent or history.ran:
        return Refusal(ErrorKind.DEADLINE_EXCEEDED, ran=Ran.UNKNOWN)
    return Refusal(
        ErrorKind.DEADLINE_UNREACHABLE,
        detail='nothing was sent in time',
        retry_after_ms=NOT_READY_RETRY_AFTER_MS,
    )
