"""Admits callers' requests and relays them to the service of their route."""

import asyncio
import contextlib
import dataclasses
import math
import random
from collections.abc import AsyncIterator, Callable

from .buffered_relay import BufferedRelay
from .clock import MS_PER_S, Clock
from .errors import ErrorKind, Refusal, RefusalError, RunStatus
from .events import Event, log_event
from .fleet_state import FleetState
from .http_messages import HttpResponse
from .inbound import InboundRequest
from .latency import CAUTIOUS_QUANTILE
from .request_context import RequestContext
from .retry_budget import RetryBudget
from .send_history import SendHistory
from .serving_configuration import (
    ServedOrganisation,
    ServiceRoute,
    ServingConfiguration,
)
from .streaming_relay import StreamingRelay

# Time after which a caller may retry: at an entry that is starting, and at
# another entry if this one is stopping.
NOT_READY_RETRY_AFTER_MS = 500
DRAINING_RETRY_AFTER_MS = 50
# Part of the time until the deadline that is reserved for returning the
# response.
RESPONSE_MARGIN_MS = 10
# Pieces of all stages of one request; a scheduler keeps a state for each.
MAX_PIECES = 4096

# Check at admission; raises RefusalError to refuse the request.
RequestCheck = Callable[[InboundRequest], None]


@dataclasses.dataclass(eq=False, slots=True)
class _OpenRequest:
    """A request that has no response yet."""

    route_name: str
    history: SendHistory
    timeout: asyncio.Timeout
    # Whether it ends since the entry is stopping, with nothing sent.
    drained: bool = False

    def expire(self) -> None:
        """Brings its deadline forward to now, unless it has passed."""
        if not self.timeout.expired():
            self.timeout.reschedule(asyncio.get_running_loop().time())


class RequestRelay:
    """Admits requests, applies their deadlines and dispatches them."""

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
            buffered: Relays to services whose answers are not streamed.
            streaming: Relays to model engines.
            retries: Retry budget.
            clock: Monotonic clock.
            seed: Seed for the choice among weighted services.
        """
        # Whether new requests are refused because the entry is stopping.
        self.refusing = False
        # Additional check at admission, besides the route and the API key.
        self.check: RequestCheck | None = None
        # Tells whether peers have a newer configuration in force.
        self.is_behind: Callable[[], bool] | None = None
        self._state = state
        self._buffered = buffered
        self._streaming = streaming
        self._retries = retries
        self._clock = clock
        self._random = random.Random(seed)
        self._open: set[_OpenRequest] = set()
        # Monotonic time at which this entry ends.
        self._ends_at_ms = math.inf

    async def answer(self, request: InboundRequest) -> HttpResponse:
        """Returns the response to a request.

        Args:
            request: The caller's request.

        Raises:
            RefusalError: If the request is not admitted or gets no answer.
        """
        context = self._admit(request)
        now_ms = self._clock.steady_ms()
        self._retries.note_request(context.service, now_ms)
        history = SendHistory()
        left_s = (context.deadline_at_ms - now_ms) / MS_PER_S
        opened = _OpenRequest(
            context.route.name, history, asyncio.timeout(max(left_s, 0))
        )
        try:
            async with self._opened(opened):
                response = await self._dispatch(request, context, history)
        except TimeoutError as error:
            raise RefusalError(_timeout_refusal(opened)) from error
        log_event(
            Event.REQUEST_SERVED,
            request_id=request.request_id,
            route=context.route.name,
            status=response.status,
            sends=history.possible_runs + history.sends_not_run,
            took_ms=round(self._clock.steady_ms() - request.received_at_ms),
        )
        return response

    @property
    def open_requests(self) -> int:
        """Returns the number of requests that have no response yet."""
        return len(self._open)

    def end_by(self, ends_at_ms: float) -> None:
        """Sends nothing any more whose answer would come too late.

        Args:
            ends_at_ms: Monotonic time at which this entry ends.
        """
        self._ends_at_ms = ends_at_ms

    def refuse_late_requests(self) -> None:
        """Refuses waiting requests that can't be answered before the end.

        Nothing of them was sent, so they may be sent to another entry.
        """
        for opened in self._open:
            history = opened.history
            if not history.may_have_run and self._is_late(opened.route_name):
                opened.drained = True
                opened.expire()

    def expire_open_requests(self) -> None:
        """Expires the deadlines of all requests without a response.

        Each one is refused, and reported as not run if that is certain.
        """
        for opened in self._open:
            opened.expire()

    def _is_late(self, route_name: str) -> bool:
        """Returns whether an answer can't be expected before the end."""
        expected_ms = self._streaming.run_times.quantile_ms(
            route_name, CAUTIOUS_QUANTILE, 0
        )
        return self._clock.steady_ms() + expected_ms > self._ends_at_ms

    @contextlib.asynccontextmanager
    async def _opened(self, opened: _OpenRequest) -> AsyncIterator[None]:
        """Applies a timeout that can be brought forward."""
        with contextlib.ExitStack() as stack:
            self._open.add(opened)
            stack.callback(self._open.discard, opened)
            async with opened.timeout:
                yield

    async def _dispatch(
        self,
        request: InboundRequest,
        context: RequestContext,
        history: SendHistory,
    ) -> HttpResponse:
        if context.route.streams:
            return await self._streaming.answer(request, context, history)
        response = await self._buffered.answer(request, context, history)
        if history.first_sent_at_ms is not None:
            self._streaming.run_times.note(
                context.route.name,
                self._clock.steady_ms() - history.first_sent_at_ms,
            )
        return response

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
            raise RefusalError(_draining_refusal())
        route, organisation = self._authorise(configuration, request)
        if self._is_late(route.name):
            raise RefusalError(_draining_refusal())
        _require_few_pieces(request)
        if self.check is not None:
            self.check(request)
        return self._build_context(request, route, organisation)

    def _authorise(
        self, configuration: ServingConfiguration, request: InboundRequest
    ) -> tuple[ServiceRoute, ServedOrganisation | None]:
        """Returns the route of a request, and who sent it.

        Raises:
            RefusalError: If the configuration does not allow the request.
        """
        try:
            return _authorise(configuration, request)
        except RefusalError as error:
            if self.is_behind is None or not self.is_behind():
                raise
            # The version that is missing here may allow it.
            raise RefusalError(
                Refusal(
                    ErrorKind.NOT_READY,
                    detail='a newer configuration is on its way',
                    retry_after_ms=NOT_READY_RETRY_AFTER_MS,
                ),
            ) from error

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
    configuration: ServingConfiguration, request: InboundRequest
) -> tuple[ServiceRoute, ServedOrganisation | None]:
    """Returns the route of a request and the organisation that it belongs to.

    The organisation is None if keys are not required or the request is
    anonymous.

    Raises:
        RefusalError: If there is no route, the key is unknown, or one is
            required and there is none.
    """
    route = configuration.find_route(request.host, request.path)
    if route is None:
        raise RefusalError(Refusal(ErrorKind.NOT_FOUND))
    if configuration.keys is None:
        return route, None
    organisation = configuration.keys.get(request.api_key)
    is_anonymous = route.allow_anonymous and not request.api_key
    if organisation is None and not is_anonymous:
        raise RefusalError(Refusal(ErrorKind.UNAUTHORISED))
    return route, organisation


def _require_few_pieces(request: InboundRequest) -> None:
    if sum(request.piece_counts) > MAX_PIECES:
        detail = f'more than {MAX_PIECES} pieces'
        raise RefusalError(Refusal(ErrorKind.BAD_REQUEST, detail=detail))


def _draining_refusal() -> Refusal:
    return Refusal(ErrorKind.DRAINING, retry_after_ms=DRAINING_RETRY_AFTER_MS)


def _timeout_refusal(opened: _OpenRequest) -> Refusal:
    history = opened.history
    if history.may_have_run:
        return Refusal(ErrorKind.DEADLINE_EXCEEDED, ran=RunStatus.UNKNOWN)
    if opened.drained:
        return _draining_refusal()
    return Refusal(
        ErrorKind.DEADLINE_UNREACHABLE,
        detail='nothing was sent in time',
        retry_after_ms=NOT_READY_RETRY_AFTER_MS,
    )
