"""Callers that send requests at a constant mean rate, for benchmarks."""

import asyncio
import collections
import contextlib
import dataclasses
import random
from collections.abc import Awaitable, Callable, Mapping, Sequence
from types import TracebackType
from typing import Self

from ..client import CallerRequest, EntryClient, build_call
from ..client_stream import Outcome, decode_reply
from ..clock import MS_PER_S, SystemClock
from ..errors import ErrorKind, Refusal, RunStatus
from ..http_client import HttpCallError, HttpClient
from ..requests import Answer
from ..standins.deployment import Deployment

SendRequest = Callable[[CallerRequest], Awaitable[Outcome]]


@dataclasses.dataclass(slots=True)
class CallerTotals:
    """Counts of the outcomes that callers of one kind received."""

    requests: int = 0
    answered: int = 0
    late: int = 0
    refused: int = 0
    refused_not_run: int = 0
    unknown: int = 0
    reasons: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter,
    )

    @property
    def attainment(self) -> float:
        """Returns the share of requests answered whole within the deadline."""
        return self.answered / max(self.requests, 1)

    def record(self, outcome: Outcome, left_ms: float) -> None:
        """Counts the outcome of a request.

        Args:
            outcome: Answer or refusal of the request.
            left_ms: Time left to its deadline; negative after it.
        """
        self.requests += 1
        if isinstance(outcome, Answer):
            self.answered += int(left_ms >= 0)
            self.late += int(left_ms < 0)
            return
        self.reasons[f'{outcome.kind}: {outcome.detail}'] += 1
        self.refused += 1
        self.refused_not_run += int(outcome.ran is RunStatus.NOT_RUN)
        self.unknown += int(outcome.ran is RunStatus.UNKNOWN)


class PlainCaller:
    """An HTTP caller that caches addresses and limits its attempts.

    Its retries carry the same ids, as the interface requires of every caller.
    """

    def __init__(
        self,
        http: HttpClient,
        address_source: EntryClient,
        attempts: int,
    ) -> None:
        """Prepares a caller.

        Args:
            http: Sends the calls.
            address_source: Looks up the addresses of entries and caches them
                for as long as they are valid.
            attempts: Maximum number of times that a request is sent.
        """
        self._http = http
        self._address_source = address_source
        self._attempts = attempts
        self._clock = SystemClock()

    async def call(self, request: CallerRequest) -> Outcome:
        """Sends a request to the first address and retries at the next ones."""
        expires_at_ms = self._clock.steady_ms() + request.deadline_ms
        outcome: Outcome = Refusal(ErrorKind.INTERNAL)
        for number in range(self._attempts):
            addresses = await self._address_source.addresses()
            address = addresses[number % len(addresses)]
            left_ms = expires_at_ms - self._clock.steady_ms()
            outcome = await self._send(address, request, left_ms)
            if isinstance(outcome, Answer):
                break
        return outcome

    async def _send(
        self,
        address: str,
        request: CallerRequest,
        left_ms: float,
    ) -> Outcome:
        call = build_call(address, request, left_ms)
        try:
            return decode_reply(await self._http.request(call))
        except HttpCallError as error:
            ran = RunStatus.UNKNOWN if error.sent else RunStatus.NOT_RUN
            kind = ErrorKind.OUTCOME_UNKNOWN
            return Refusal(kind, ran=ran, detail=error.reason)


@dataclasses.dataclass(frozen=True, slots=True)
class LoadShape:
    """Pipelines, organisations, rate and deadline of a load."""

    pipelines: Sequence[str]
    organisations: Sequence[str]
    rate_per_s: float
    deadline_ms: int


class CallerLoad:
    """Sends requests at a constant mean rate through several kinds of callers.

    Arrivals are a Poisson process.
    """

    def __init__(
        self,
        callers: Mapping[str, Sequence[SendRequest]],
        shape: LoadShape,
        seed: int,
    ) -> None:
        """Prepares a load.

        Args:
            callers: Callers by kind; each kind sends a request at each arrival.
            shape: Contents and rate of the requests.
            seed: Seed of the arrivals and of the contents.
        """
        self.totals = {name: CallerTotals() for name in callers}
        self._callers = callers
        self._shape = shape
        self._random = random.Random(seed)
        self._clock = SystemClock()

    async def run(self, stop: asyncio.Event) -> None:
        """Sends requests until stopped, then waits for the last outcomes.

        Args:
            stop: Event that stops the load when it is set.
        """
        async with asyncio.TaskGroup() as group:
            while not stop.is_set():
                for name in self._callers:
                    group.create_task(self._send(name))
                pause_s = self._random.expovariate(self._shape.rate_per_s)
                await asyncio.sleep(pause_s)

    async def _send(self, name: str) -> None:
        request = CallerRequest(
            pipeline=self._random.choice(self._shape.pipelines),
            organisation=self._random.choice(self._shape.organisations),
            body={'note': str(self._random.random())},
            deadline_ms=self._shape.deadline_ms,
        )
        expires_at_ms = self._clock.steady_ms() + request.deadline_ms
        caller = self._random.choice(self._callers[name])
        outcome = await caller(request)
        left_ms = expires_at_ms - self._clock.steady_ms()
        self.totals[name].record(outcome, left_ms)


def count_double_runs(deployment: Deployment) -> int:
    """Counts runs beyond the first of each non-idempotent stage.

    Args:
        deployment: Deployment whose targets are inspected.
    """
    services = deployment.plan.document['services']
    runs: collections.Counter[tuple[str, str]] = collections.Counter()
    for server in deployment.targets.values():
        service = server.target.profile.service
        if services[service].get('idempotent', True):
            continue
        runs.update(
            (run.idempotency_key, run.stage) for run in server.target.executions
        )
    return sum(count - 1 for count in runs.values())


class CallerFactory:
    """Creates callers of each kind for a running deployment."""

    def __init__(self, deployment: Deployment) -> None:
        """Prepares a factory.

        Args:
            deployment: Deployment whose entries are called.
        """
        self._seed_addresses = [
            entry.address for entry in deployment.all_entries()
        ]
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> Self:
        """Returns the factory."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Closes the connections of all callers."""
        await self._stack.aclose()

    async def client_caller(self) -> SendRequest:
        """Returns a caller that uses the client of this package."""
        client = EntryClient(self._seed_addresses)
        return (await self._stack.enter_async_context(client)).call

    async def plain_caller(self, attempts: int) -> SendRequest:
        """Returns a plain HTTP caller.

        Args:
            attempts: Maximum number of times that it sends a request.
        """
        http = await self._stack.enter_async_context(HttpClient())
        address_source = EntryClient(self._seed_addresses)
        await self._stack.enter_async_context(address_source)
        return PlainCaller(http, address_source, attempts).call


def full_load_shape(
    deployment: Deployment,
    rate_per_s: float,
    deadline_ms: int,
) -> LoadShape:
    """Returns a load of all pipelines and organisations.

    Args:
        deployment: Deployment whose configuration names them.
        rate_per_s: Requests per second of each kind of callers.
        deadline_ms: Deadline of each request.
    """
    document = deployment.plan.document
    return LoadShape(
        pipelines=sorted(document['pipelines']),
        organisations=sorted(document['organisations']),
        rate_per_s=rate_per_s,
        deadline_ms=deadline_ms,
    )


async def pause(duration_ms: float) -> None:
    """Waits for a time in milliseconds."""
    await asyncio.sleep(duration_ms / MS_PER_S)
