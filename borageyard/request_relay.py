"""Admits requests of callers and relays them to the right service."""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator, Callable

from .clock import MS_PER_S, Clock
from .errors import ErrorKind, Refusal, RefusalError, RunStatus
from .events import Event, log_event
from .fleet_state import FleetState
from .http_messages import HttpResponse
from .inbound import InboundRequest
from .plain_relay import PlainRelay
from .prompt_relay import PromptRelay
from .relay_terms import RelayTerms
from .retry_window import RetryWindow
from .send_tally import SendTally
from .serving_configuration import (
    ServedOrganisation,
    ServiceRoute,
    ServingConfiguration,
)

# Time to come back to an entry that starts, and to another than one that
# stops.
NOT_READY_RETRY_MS = 500
DRAINING_RETRY_MS = 50
# Part of the deadline's time that is kept for the answer's way back.
RETURN_MS = 10

# Raises RefusalError for a request that may not run now.
RequestCheck = Callable[[InboundRequest], None]


class RequestRelay:
    """The path of a request from its head to its answer."""

    def __init__(
        self,
        state: FleetState,
        plain: PlainRelay,
        prompts: PromptRelay,
        retries: RetryWindow,
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
        self._plain = plain
        self._prompts = prompts
        self._retries = retries
        self._clock = clock
        self._random = random.Random(seed)
        self._limits: set[asyncio.Timeout] = set()

    async def answer(self, request: InboundRequest) -> HttpResponse:
        """Returns the answer to a request.

        Args:
            request: The caller's request.

        Raises:
            RefusalError: If there is none.
        """
        terms = self._admit(request)
        now_ms = self._clock.steady_ms()
        self._retries.note_request(terms.service, now_ms)
        tally = SendTally()
        left_s = (terms.deadline_at_ms - now_ms) / MS_PER_S
        limit = asyncio.timeout(max(left_s, 0))
        try:
            async with self._limited(limit):
                response = await self._dispatch(request, terms, tally)
        except TimeoutError as error:
            raise RefusalError(_timed_out(tally)) from error
        log_event(
            Event.REQUEST_SERVED,
            request_id=request.request_id,
            route=terms.route.name,
            status=response.status,
            sends=tally.ran + tally.unrun,
            took_ms=round(self._clock.steady_ms() - request.received_at_ms),
        )
        return response

    @property
    def open_requests(self) -> int:
        """Returns how many requests have no answer yet."""
        return len(self._limits)

    def give_up(self) -> None:
        """Ends the wait of all requests that have no answer yet.

        Each one is refused, as not run where that is true.
        """
        now_s = asyncio.get_running_loop().time()
        for limit in self._limits:
            limit.reschedule(now_s)

    @contextlib.asynccontextmanager
    async def _limited(self, limit: asyncio.Timeout) -> AsyncIterator[None]:
        """Applies a limit that can be brought forward."""
        with contextlib.ExitStack() as stack:
            self._limits.add(limit)
            stack.callback(self._limits.discard, limit)
            async with limit:
                yield

    async def _dispatch(
        self,
        request: InboundRequest,
        terms: RelayTerms,
        tally: SendTally,
    ) -> HttpResponse:
        if terms.route.streams:
            return await self._prompts.answer(request, terms, tally)
        return await self._plain.answer(request, terms, tally)

    def _admit(self, request: InboundRequest) -> RelayTerms:
        configuration = self._state.configuration
        if configuration is None:
            raise RefusalError(
                Refusal(
                    ErrorKind.NOT_READY,
                    retry_after_ms=NOT_READY_RETRY_MS,
                ),
            )
        if self.refusing:
            raise RefusalError(
                Refusal(ErrorKind.DRAINING, retry_after_ms=DRAINING_RETRY_MS),
            )
        route = configuration.find_route(request.host, request.path)
        if route is None:
            raise RefusalError(Refusal(ErrorKind.NOT_FOUND))
        organisation = _authorise(configuration, route, request)
        if self.check is not None:
            self.check(request)
        return self._terms(request, route, organisation)

    def _terms(
        self,
        request: InboundRequest,
        route: ServiceRoute,
        organisation: ServedOrganisation | None,
    ) -> RelayTerms:
        wait_ms = request.wait_ms
        limit_ms = route.timeout_ms
        if wait_ms is not None:
            limit_ms = min(limit_ms, wait_ms)
        priority = route.priority
        if organisation is not None and organisation.priority is not None:
            priority = organisation.priority
        return RelayTerms(
            route=route,
            service=self._choose_service(route),
            organisation=organisation.name if organisation else '',
            priority=priority,
            aim_at_ms=request.received_at_ms + route.target_latency_ms,
            deadline_at_ms=request.received_at_ms + limit_ms - RETURN_MS,
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


def _timed_out(tally: SendTally) -> Refusal:
    if tally.sent or tally.ran:
        return Refusal(ErrorKind.DEADLINE_EXCEEDED, ran=RunStatus.UNKNOWN)
    return Refusal(
        ErrorKind.DEADLINE_UNREACHABLE,
        detail='nothing was sent in time',
        retry_after_ms=NOT_READY_RETRY_MS,
    )
