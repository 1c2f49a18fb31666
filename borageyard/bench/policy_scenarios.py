"""Scenarios of the policy experiment."""

import asyncio
import dataclasses
import json
import pathlib
import types
from collections.abc import Iterator, Mapping, Sequence
from typing import Any

from ..clock import MS_PER_S
from ..document_validation import check_document
from ..generated.load_profile import LoadProfileDocument
from ..standins.deployment import DeploymentPlan
from .load_generator import Arrival, LoadGenerator, RatePhase
from .policy_experiment import CallerRetryRules, ExperimentRun, Scenario

ENTRIES = 5
DURATION_MS = 12_000
FAULT_AT_MS = 3000
LATE_REPORT_MS = 5000
SLOW_FACTOR = 5
OUTAGE_MS = 4000
RETRY_STORM_TRIES = 40
BURST_FACTOR = 4
BURST_BASE = 0.3
FLOOD_FACTOR = 10
FLOODED = 'akureyri-walks'
FLOOD_LIMIT_PER_S = 4
FLOOD_BURST = 4
CRASH_TEXT = 'crash'
CRASH_SENDS = 20
CRASH_EVERY_MS = 300
LOST_DOMAIN = 'is-south-b'
LOAD_LIGHT = 0.6
LOAD_USUAL = 0.8
LOAD_HIGH = 0.95
LOAD_OVERLOAD = 1.5
# Highest request rate that the engines of a site can sustain.
HUNDAGANGA_CAPACITY_PER_S = 38
VEMBANAD_CAPACITY_PER_S = 32


@dataclasses.dataclass(frozen=True, slots=True)
class Site:
    """A deployment at its current size."""

    name: str
    failure_domains: tuple[str, ...]
    targets_per_service: Mapping[str, int]
    default_targets: int
    capacity_per_s: float


HUNDAGANGA = Site(
    name='hundaganga',
    failure_domains=('is-south-a', 'is-south-b', 'is-south-c'),
    targets_per_service=types.MappingProxyType({'ganga-llm': 6}),
    default_targets=3,
    capacity_per_s=HUNDAGANGA_CAPACITY_PER_S,
)
VEMBANAD = Site(
    name='vembanad',
    failure_domains=('kochi-a', 'kochi-b', 'tvm-a', 'kozhikode-a'),
    targets_per_service=types.MappingProxyType({'drafting-llm': 5}),
    default_targets=4,
    capacity_per_s=VEMBANAD_CAPACITY_PER_S,
)


class ScenarioBuilder:
    """Builds the scenarios of a site from a seed."""

    def __init__(self, site: Site, examples: pathlib.Path, seed: int) -> None:
        """Reads the example configuration and load profile of the site.

        Args:
            site: The deployment.
            examples: Directory of the example files.
            seed: Seed of the load.
        """
        self._site = site
        self._seed = seed
        name = site.name
        self._document = _read(examples / f'{name}.configuration.json')
        self._profile = check_document(
            LoadProfileDocument,
            _read(examples / f'{name}.load.json'),
            'load profile',
        )

    def all_scenarios(self) -> Iterator[Scenario]:
        """Yields every scenario of the main site."""
        yield from self.steady_scenarios()
        yield from self._target_scenarios()
        yield from self._caller_scenarios()

    def steady_scenarios(self) -> Iterator[Scenario]:
        """Yields the scenarios without faults."""
        yield self._build('steady-60', self._steady_arrivals(LOAD_LIGHT))
        yield self._build('steady-80', self._steady_arrivals(LOAD_USUAL))
        yield self._build('steady-95', self._steady_arrivals(LOAD_HIGH))
        yield self._build('overload-150', self._steady_arrivals(LOAD_OVERLOAD))

    def _target_scenarios(self) -> Iterator[Scenario]:
        yield self._at_usual_load('slow-runner', _slow_runner)
        yield self._at_usual_load('dead-runner', _dead_runner)
        yield self._build(
            'domain-lost', self._steady_arrivals(LOAD_LIGHT), _lose_domain
        )
        yield dataclasses.replace(
            self._at_usual_load('late-reports'),
            report_lag_ms=LATE_REPORT_MS,
        )
        yield self._at_usual_load('cache-events-lost', _lose_cache_events)
        yield dataclasses.replace(
            self._at_usual_load('slow-runner-late-reports', _slow_runner),
            report_lag_ms=LATE_REPORT_MS,
        )
        yield self._at_usual_load('leaving-target', _mark_target_leaving)

    def _caller_scenarios(self) -> Iterator[Scenario]:
        yield self._build('dawn-burst', self._burst_arrivals())
        yield self._flood()
        yield self._crashing_request()
        yield dataclasses.replace(
            self._build(
                'retry-storm', self._steady_arrivals(LOAD_LIGHT), _engine_outage
            ),
            retry_rules=CallerRetryRules(
                RETRY_STORM_TRIES, honours_retry_after=False
            ),
        )
        yield self._flood_with_entry_churn()

    def _at_usual_load(self, name: str, fault_script: Any = None) -> Scenario:
        return self._build(
            name, self._steady_arrivals(LOAD_USUAL), fault_script
        )

    def _build(
        self,
        name: str,
        arrivals: Sequence[Arrival],
        fault_script: Any = None,
        document: Mapping[str, Any] | None = None,
    ) -> Scenario:
        plan = DeploymentPlan(
            document=document or self._document,
            failure_domains=self._site.failure_domains,
            targets_per_service=self._site.targets_per_service,
            default_targets=self._site.default_targets,
            entries=ENTRIES,
        )
        site = self._site.name
        full_name = f'{site}/{name}'
        return Scenario(full_name, plan, arrivals, fault_script)

    def _steady_arrivals(self, load: float) -> list[Arrival]:
        rate_per_s = self._site.capacity_per_s * load
        return self._draw_arrivals((RatePhase(DURATION_MS, rate_per_s),))

    def _burst_arrivals(self) -> list[Arrival]:
        base_per_s = self._site.capacity_per_s * BURST_BASE
        quiet = RatePhase(DURATION_MS / 4, base_per_s)
        burst = RatePhase(DURATION_MS / 2, base_per_s * BURST_FACTOR)
        return self._draw_arrivals((quiet, burst, quiet))

    def _draw_arrivals(self, phases: Sequence[RatePhase]) -> list[Arrival]:
        return LoadGenerator(self._profile, self._seed).arrivals(phases)

    def _flood(self) -> Scenario:
        """One organisation sends ten times its limit."""
        generator = LoadGenerator(self._profile, self._seed + 1)
        rate = RatePhase(
            DURATION_MS - FAULT_AT_MS,
            FLOOD_LIMIT_PER_S * FLOOD_FACTOR,
        )
        extra = generator.flood(rate, FLOODED, FAULT_AT_MS)
        arrivals = sorted(
            self._steady_arrivals(LOAD_USUAL) + extra,
            key=lambda arrival: arrival.at_ms,
        )
        return self._build(
            'flood', arrivals, document=self._document_with_limit()
        )

    def _flood_with_entry_churn(self) -> Scenario:
        """One entry is killed and one started while an organisation floods."""
        flood = self._flood()
        site = self._site.name
        return dataclasses.replace(
            flood,
            name=f'{site}/flood-entries-churn',
            fault_script=_churn_entries,
        )

    def _document_with_limit(self) -> Mapping[str, Any]:
        organisations = self._document['organisations']
        flooded = {
            **organisations[FLOODED],
            'limit_requests_per_s': FLOOD_LIMIT_PER_S,
            'burst_requests': FLOOD_BURST,
        }
        limited = {**organisations, FLOODED: flooded}
        return {**self._document, 'organisations': limited}

    def _crashing_request(self) -> Scenario:
        """A request that crashes its target is sent repeatedly."""
        usual = self._steady_arrivals(LOAD_LIGHT)
        crashing = [
            dataclasses.replace(
                usual[0],
                at_ms=FAULT_AT_MS + index * CRASH_EVERY_MS,
                pipeline='owner-assistant',
                text=CRASH_TEXT,
            )
            for index in range(CRASH_SENDS)
        ]
        arrivals = sorted(usual + crashing, key=lambda item: item.at_ms)
        return self._build('crashing-request', arrivals, _enable_crashes)


def _read(path: pathlib.Path) -> Any:
    return json.loads(path.read_text(encoding='utf-8'))


def _engines(run: ExperimentRun) -> list[str]:
    return sorted(name for name in run.targets if '-llm-' in name)


async def _slow_runner(run: ExperimentRun) -> None:
    await run.wait_until(FAULT_AT_MS)
    first = _engines(run)[0]
    run.targets[first].faults.slow_factor = SLOW_FACTOR


async def _dead_runner(run: ExperimentRun) -> None:
    await run.wait_until(FAULT_AT_MS)
    first = _engines(run)[0]
    run.targets[first].crash()


async def _lose_domain(run: ExperimentRun) -> None:
    await run.wait_until(FAULT_AT_MS)
    lost = {
        row.instance_id
        for row in run.deployment.instances.rows
        if row.failure_domain == LOST_DOMAIN
    }
    for name, target in run.targets.items():
        if name in lost:
            target.crash()
    for entry in lost & set(run.alive):
        await run.kill_entry(entry)


async def _lose_cache_events(run: ExperimentRun) -> None:
    for target in run.targets.values():
        target.faults.lose_cache_events = True


async def _engine_outage(run: ExperimentRun) -> None:
    """Crashes all engines and restarts them after the outage."""
    await run.wait_until(FAULT_AT_MS)
    for name in _engines(run):
        run.targets[name].crash()
    await asyncio.sleep(OUTAGE_MS / MS_PER_S)
    for engine in _engines(run):
        run.targets[engine].restart()


async def _enable_crashes(run: ExperimentRun) -> None:
    for name in _engines(run):
        run.targets[name].faults.crash_on_text = CRASH_TEXT


async def _mark_target_leaving(run: ExperimentRun) -> None:
    await run.wait_until(FAULT_AT_MS)
    first = _engines(run)[0]
    run.leaving_at_ms[first] = run.deployment.clock.steady_ms()
    run.targets[first].faults.leaving = True


async def _churn_entries(run: ExperimentRun) -> None:
    await run.wait_until(FAULT_AT_MS)
    await run.kill_entry('entry-1')
    await run.wait_until(2 * FAULT_AT_MS)
    await run.start_entry(ENTRIES)
