"""Measures decision times by the number of targets and organisations."""

import time
import types
from collections.abc import Callable, Mapping
from typing import TypeVar

from ..admission import decide_admission
from ..backing_services import ROLE_TARGET, Instance
from ..clock import ManualClock
from ..configuration import (
    Configuration,
    Organisation,
    Pipeline,
    Service,
    Stage,
)
from ..policy import EntryPolicy, PolicyEnvironment, PolicyOptions
from ..requests import AdmittedRequest, PipelineRequest, StageRequest
from ..target_client import LoadReport
from ..targets import TargetDirectory

TARGET_COUNTS = (10, 100, 1000)
ORGANISATION_COUNTS = (5, 100, 1000)
USUAL_TARGETS = 6
USUAL_ORGANISATIONS = 5
DECISIONS_PER_ROUND = 500
ROUNDS = 5
NS_PER_US = 1000
SLOTS = 8
TYPICAL_MS = 100
# Interval between the requests of an entry at 40 requests per second.
ARRIVAL_MS = 25
DEADLINE_MS = 6000
RATE_PER_S = 1e9
BURST = 1_000_000_000
SERVICE = 'llm'
NamedT = TypeVar('NamedT')
STAGES = ('encode', 'retrieve', 'rerank', 'generate')


def measure_decision_times() -> dict[str, float]:
    """Returns the microseconds per decision at several sizes."""
    figures = {}
    for targets in TARGET_COUNTS:
        bench = DecisionBench(targets, USUAL_ORGANISATIONS)
        name = f'routing_us_at_{targets}_targets'
        figures[name] = measure_decision_us(bench.route)
    for organisations in ORGANISATION_COUNTS:
        many = DecisionBench(USUAL_TARGETS, organisations)
        label = f'admission_us_at_{organisations}_organisations'
        figures[label] = measure_decision_us(many.admit)
    return figures


def measure_decision_us(decide: Callable[[], object]) -> float:
    """Returns the microseconds per decision in the fastest of several rounds.

    Args:
        decide: Makes one decision.
    """
    rounds = []
    for _ in range(ROUNDS):
        started_ns = time.perf_counter_ns()
        for _ in range(DECISIONS_PER_ROUND):
            decide()
        rounds.append(time.perf_counter_ns() - started_ns)
    return min(rounds) / DECISIONS_PER_ROUND / NS_PER_US


class DecisionBench:
    """A policy with a given number of targets and organisations."""

    def __init__(self, targets: int, organisations: int) -> None:
        """Builds a policy with load reports and queued requests.

        Args:
            targets: Number of targets of the only service.
            organisations: Number of organisations with queued requests.
        """
        self._clock = ManualClock()
        self._policy = EntryPolicy(
            _directory(targets),
            PolicyEnvironment('a', self._clock),
            PolicyOptions(),
        )
        self._configuration = _configuration(organisations)
        self._admitted = self._build_request()
        self._stage = StageRequest(
            self._admitted,
            self._admitted.pipeline.stages[0],
            {},
        )
        for organisation in self._configuration.organisations.values():
            self._policy.backlog.add(SERVICE, organisation, 1)

    def route(self) -> None:
        """Chooses a target and releases it."""
        route = self._policy.queues.try_acquire(
            self._policy.placement_request(self._stage)
        )
        if route is not None:
            self._policy.queues.release(route)

    def admit(self) -> None:
        """Decides on a request by its deadline and by the rate limit."""
        self._clock.advance(ARRIVAL_MS)
        decide_admission(
            DEADLINE_MS, self._policy.stage_estimates(self._admitted)
        )
        organisation = self._configuration.organisations['o0']
        self._policy.limits.take(organisation, self._clock.steady_ms())

    def _build_request(self) -> AdmittedRequest:
        request = PipelineRequest('r', 'p', 'o0', {}, DEADLINE_MS)
        pipeline = self._configuration.pipelines['p']
        return AdmittedRequest(request, pipeline, self._configuration)


def _directory(count: int) -> TargetDirectory:
    directory = TargetDirectory()
    directory.update(
        Instance(f't{index}', ROLE_TARGET, '', 'a', SERVICE)
        for index in range(count)
    )
    for index in range(count):
        report = LoadReport(f't{index}', 0, 1, 0, SLOTS)
        directory.note_report(report, 0)
    return directory


def _configuration(organisations: int) -> Configuration:
    names = [f'o{index}' for index in range(organisations)]
    service = Service(SERVICE, 'engine', True, False, '', SLOTS, TYPICAL_MS)
    stages = tuple(Stage(name, SERVICE, (), DEADLINE_MS, '') for name in STAGES)
    pipeline = Pipeline('p', DEADLINE_MS, stages, STAGES[-1])
    return Configuration(
        version=1,
        digest='',
        claim_window_ms=0,
        clock_skew_ms=0,
        permission_ms=0,
        organisations=_frozen(
            {
                name: Organisation(name, 1, RATE_PER_S, BURST, '')
                for name in names
            }
        ),
        models=_frozen({}),
        services=_frozen({SERVICE: service}),
        pipelines=_frozen({'p': pipeline}),
    )


def _frozen(named: dict[str, NamedT]) -> Mapping[str, NamedT]:
    return types.MappingProxyType(named)
