"""Runs one scenario with one policy through real entry cores."""

import asyncio
import collections
import contextlib
import dataclasses
import random
from collections.abc import Awaitable, Callable, Mapping, Sequence

from ..clock import MS_PER_S
from ..core import EntryCore
from ..errors import Refusal
from ..identifiers import new_identifier
from ..pipeline_interfaces import Outcome
from ..policy import PolicyOptions
from ..requests import Answer, PipelineRequest
from ..standins.deployment import DeploymentPlan
from ..standins.memory_deployment import MemoryDeployment
from .baseline_routers import (
    ClairvoyantRouter,
    LeastInFlightRouter,
    RandomRouter,
    RoundRobinRouter,
)
from .load_generator import Arrival
from .sized_target import ExecutedCall, SizedTarget

WARM_UP_MS = 500
# Requests that are still open this long after the last arrival are lost: they
# are cancelled and leave no record.
COMPLETION_TIMEOUT_MS = 10_000
MIN_RETRY_MS = 50
MAX_TRIES = 6

FaultScript = Callable[['ExperimentRun'], Awaitable[None]]


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRetryRules:
    """How callers retry a refusal that may be retried."""

    max_tries: int = 3
    honours_retry_after: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """A load and the faults that are injected under it."""

    name: str
    plan: DeploymentPlan
    arrivals: Sequence[Arrival]
    fault_script: FaultScript | None = None
    retry_rules: CallerRetryRules = CallerRetryRules()
    report_lag_ms: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRecord:
    """Outcome of one caller's request."""

    arrival: Arrival
    request_ids: tuple[str, ...]
    outcome: Outcome | None
    ended_at_ms: float

    @property
    def attained(self) -> bool:
        """Returns whether the complete answer came by the deadline."""
        latest_ms = self.arrival.at_ms + self.arrival.deadline_ms
        return isinstance(self.outcome, Answer) and (
            self.ended_at_ms <= latest_ms
        )


@dataclasses.dataclass(slots=True)
class ExperimentRun:
    """A running scenario and the records of it."""

    deployment: MemoryDeployment
    started_at_ms: float
    callers: list[CallerRecord] = dataclasses.field(default_factory=list)
    alive: dict[str, EntryCore] = dataclasses.field(default_factory=dict)
    calls: dict[str, set[asyncio.Future[Outcome]]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(set),
    )
    leaving_at_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    cores: list[EntryCore] = dataclasses.field(default_factory=list)

    @property
    def targets(self) -> Mapping[str, SizedTarget]:
        """Returns the stand-in targets by id."""
        return {
            name: target
            for name, target in self.deployment.targets.items()
            if isinstance(target, SizedTarget)
        }

    @property
    def work(self) -> Sequence[ExecutedCall]:
        """Returns every call that any target ran."""
        return [
            work
            for target in self.targets.values()
            for work in target.executed_calls
        ]

    def now_ms(self) -> float:
        """Returns the milliseconds since the start of the load."""
        return self.deployment.clock.steady_ms() - self.started_at_ms

    async def wait_until(self, at_ms: float) -> None:
        """Waits until a time, in milliseconds since the start of the load."""
        await asyncio.sleep(max(at_ms - self.now_ms(), 0) / MS_PER_S)

    async def kill_entry(self, name: str) -> None:
        """Kills an entry; its callers lose their connections."""
        self.alive.pop(name)
        for call in tuple(self.calls[name]):
            call.cancel()
        await self.deployment.kill_entry(name)

    async def start_entry(self, index: int) -> None:
        """Starts an additional entry."""
        core = await self.deployment.start_entry(index)
        self.alive[core.settings.instance_id] = core
        self.cores.append(core)


PolicyBuilder = Callable[[MemoryDeployment, int], PolicyOptions]


def build_policy(deployment: MemoryDeployment, seed: int) -> PolicyOptions:
    """Returns the shipped policy."""
    return PolicyOptions()


def build_random(deployment: MemoryDeployment, seed: int) -> PolicyOptions:
    """Returns random routing without admission control or hedging."""
    return _baseline_options(RandomRouter(seed))


def build_round_robin(
    deployment: MemoryDeployment,
    seed: int,
) -> PolicyOptions:
    """Returns round robin without admission control or hedging."""
    return _baseline_options(RoundRobinRouter())


def build_least_in_flight(
    deployment: MemoryDeployment, seed: int
) -> PolicyOptions:
    """Returns least own calls in flight, no admission control or hedging."""
    return _baseline_options(LeastInFlightRouter(seed))


def build_clairvoyant(
    deployment: MemoryDeployment,
    seed: int,
) -> PolicyOptions:
    """Returns the shipped policy with a router that sees true states."""
    targets = {
        name: target
        for name, target in deployment.targets.items()
        if isinstance(target, SizedTarget)
    }
    return PolicyOptions(router=ClairvoyantRouter(targets))


def _baseline_options(
    router: RandomRouter | RoundRobinRouter | LeastInFlightRouter,
) -> PolicyOptions:
    return PolicyOptions(router=router, admission=False, hedging=False)


async def run_scenario(
    scenario: Scenario,
    build: PolicyBuilder,
    seed: int,
) -> ExperimentRun:
    """Runs a scenario to its end.

    Args:
        scenario: The load and its faults.
        build: Builds the policy of each entry.
        seed: Seed of all random sources.

    Returns:
        The run with its records.
    """
    deployment = MemoryDeployment(scenario.plan, seed=seed)
    deployment.build_target = SizedTarget
    deployment.build_policy = lambda index: build(deployment, seed + index)
    async with deployment:
        for target in deployment.targets.values():
            target.faults.report_lag_ms = scenario.report_lag_ms
        await asyncio.sleep(WARM_UP_MS / MS_PER_S)
        run = ExperimentRun(deployment, deployment.clock.steady_ms())
        for name, entry in deployment.entries.items():
            run.alive[name] = entry.core
            run.cores.append(entry.core)
        await _send_arrivals(run, scenario, seed)
    return run


async def _send_arrivals(
    run: ExperimentRun, scenario: Scenario, seed: int
) -> None:
    """Sends all requests at their times, regardless of earlier outcomes."""
    source = random.Random(seed)
    async with contextlib.AsyncExitStack() as stack:
        if scenario.fault_script is not None:
            fault_task = asyncio.ensure_future(scenario.fault_script(run))
            stack.callback(fault_task.cancel)
        callers = []
        for arrival in scenario.arrivals:
            await run.wait_until(arrival.at_ms)
            caller = Caller(run, scenario.retry_rules, source)
            callers.append(asyncio.ensure_future(caller.call(arrival)))
        await asyncio.wait(callers, timeout=COMPLETION_TIMEOUT_MS / MS_PER_S)
        for task in callers:
            task.cancel()


class Caller:
    """One caller, which sends a request and may retry it."""

    def __init__(
        self,
        run: ExperimentRun,
        retry_rules: CallerRetryRules,
        source: random.Random,
    ) -> None:
        """Creates a caller that has sent nothing.

        Args:
            run: Run whose entries it calls and that records its outcome.
            retry_rules: How it retries.
            source: Random source that chooses the entries.
        """
        self._run = run
        self._retry_rules = retry_rules
        self._source = source
        self._sent: list[str] = []

    async def call(self, arrival: Arrival) -> None:
        """Sends until there is an answer or another try is not worthwhile.

        It gives up after the maximum of tries, when the refusal allows no
        retry, or when the retry would start after the deadline.
        """
        key = new_identifier()
        latest_ms = arrival.at_ms + arrival.deadline_ms
        outcome = None
        for _ in range(self._retry_rules.max_tries):
            outcome = await self._send(arrival, key)
            delay_ms = self._retry_delay_ms(outcome)
            if delay_ms is None or self._run.now_ms() + delay_ms > latest_ms:
                break
            await asyncio.sleep(delay_ms / MS_PER_S)
        record = CallerRecord(
            arrival=arrival,
            request_ids=tuple(self._sent),
            outcome=outcome,
            ended_at_ms=self._run.now_ms(),
        )
        self._run.callers.append(record)

    async def _send(self, arrival: Arrival, key: str) -> Outcome | None:
        """Returns the outcome, or None if the connection was lost."""
        name = self._source.choice(sorted(self._run.alive))
        request = self._build_request(arrival, key)
        self._sent.append(request.request_id)
        core = self._run.alive[name]
        call = asyncio.ensure_future(core.run(request))
        self._run.calls[name].add(call)
        call.add_done_callback(self._run.calls[name].discard)
        await asyncio.wait((call,))
        return None if call.cancelled() else call.result()

    def _build_request(self, arrival: Arrival, key: str) -> PipelineRequest:
        expires_at_ms = arrival.at_ms + arrival.deadline_ms
        body = {
            'input_tokens': arrival.input_tokens,
            'output_tokens': arrival.output_tokens,
            'of': key,
        }
        if arrival.text:
            body = {**body, 'of': '', 'text': arrival.text}
        return PipelineRequest(
            request_id=new_identifier(),
            pipeline=arrival.pipeline,
            organisation=arrival.organisation,
            body=body,
            expires_at_ms=self._run.started_at_ms + expires_at_ms,
            idempotency_key=key,
            cache_prefix=arrival.cache_prefix,
        )

    def _retry_delay_ms(self, outcome: Outcome | None) -> float | None:
        """Returns the delay before a retry, or None if there is none."""
        if outcome is None:
            return MIN_RETRY_MS
        if isinstance(outcome, Answer) or not outcome.answer.may_retry:
            return None
        if self._retry_rules.honours_retry_after:
            return max(outcome.retry_after_ms, MIN_RETRY_MS)
        return MIN_RETRY_MS


def is_refused(outcome: Outcome | None) -> bool:
    """Returns whether a caller was refused."""
    return isinstance(outcome, Refusal)
