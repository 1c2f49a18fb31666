"""Experiment: the policy under load and faults, compared to baselines."""

import pathlib
import types
from collections.abc import Iterator, Mapping
from typing import Any

from ..standins.virtual_time import run_virtual
from .decision_times import measure_decision_times
from .policy_experiment import (
    ExperimentRun,
    PolicyBuilder,
    Scenario,
    build_clairvoyant,
    build_least_in_flight,
    build_policy,
    build_random,
    build_round_robin,
    run_scenario,
)
from .policy_figures import RunFigures, compute_figures, limit_use
from .policy_scenarios import (
    FLOOD_BURST,
    FLOOD_LIMIT_PER_S,
    FLOODED,
    HUNDAGANGA,
    VEMBANAD,
    ScenarioBuilder,
)
from .report import BenchReport, Bound

EXAMPLES = pathlib.Path('examples')
SHIPPED = 'policy'
CLAIRVOYANT = 'clairvoyant'
BASELINES: Mapping[str, PolicyBuilder] = types.MappingProxyType(
    {
        'random': build_random,
        'round-robin': build_round_robin,
        'least-in-flight': build_least_in_flight,
    }
)
POLICIES: Mapping[str, PolicyBuilder] = types.MappingProxyType(
    {SHIPPED: build_policy, **BASELINES, CLAIRVOYANT: build_clairvoyant}
)
LIMIT_WINDOW_S = 10
FLOOD = 'flood'
STEADY = 'steady'
OVERLOAD = 'overload'
USUAL_LOAD = 'steady-80'
HIGH_LOAD = 'steady-95'
CRASHING = 'crashing-request'

MIN_RATIO_TO_CLAIRVOYANT = 0.95
MAX_FLOOD_LOSS = 0.02
MAX_LIMIT_USE = 1.05
MAX_WASTED_SHARE = 0.05
MIN_GOODPUT_TO_PEAK = 0.9
MAX_REPEAT_SHARE = 0.1
MAX_ROUTING_US = 50
MAX_ADMISSION_US = 20
MAX_CRASHES = 2
BOUNDS = (
    Bound(
        'ratio_to_clairvoyant_at_80', MIN_RATIO_TO_CLAIRVOYANT, at_most=False
    ),
    Bound('margin_to_best_baseline', 0, at_most=False),
    Bound('flood_loss_of_others', MAX_FLOOD_LOSS),
    Bound('crashes_by_one_digest', MAX_CRASHES),
    Bound('innocents_quarantined', 0),
    Bound('repeat_share', MAX_REPEAT_SHARE),
    Bound('limit_use', MAX_LIMIT_USE),
    Bound('late_work_to_leaving', 0),
    Bound('wasted_share_at_95', MAX_WASTED_SHARE),
    Bound('overload_goodput_to_peak', MIN_GOODPUT_TO_PEAK, at_most=False),
    Bound('double_runs', 0),
    Bound('routing_us_at_100_targets', MAX_ROUTING_US),
    Bound('admission_us_at_5_organisations', MAX_ADMISSION_US),
)


class PolicyBench:
    """Runs scenarios and collects their figures."""

    def __init__(self, seed: int) -> None:
        """Starts without figures.

        Args:
            seed: Seed of load and policies.
        """
        self._seed = seed
        self.measured: dict[str, Mapping[str, RunFigures]] = {}
        self._limit_uses: list[float] = []
        self._others_at_usual_load: float = 0

    def run_all(self) -> None:
        """Runs every scenario with every policy."""
        main = ScenarioBuilder(HUNDAGANGA, EXAMPLES, self._seed)
        for scenario in main.all_scenarios():
            self.run(scenario)
        other = ScenarioBuilder(VEMBANAD, EXAMPLES, self._seed)
        for steady in other.steady_scenarios():
            self.run(steady)

    def run(self, scenario: Scenario) -> None:
        """Runs a scenario with every policy.

        Args:
            scenario: Scenario to run.
        """
        measured = {}
        excluded_organisation = FLOODED if FLOOD in scenario.name else ''
        for name, build in POLICIES.items():
            run = run_virtual(run_scenario(scenario, build, self._seed))
            measured[name] = compute_figures(run, excluded_organisation)
            if name == SHIPPED:
                self._record_limits(scenario, run)
        self.measured[scenario.name] = measured

    def figures(self) -> dict[str, Any]:
        """Returns the figures with bounds, then those of each run."""
        figures = {
            **self._comparisons(),
            **self._guarantees(),
            **measure_decision_times(),
        }
        for scenario, measured in self.measured.items():
            for policy, run in measured.items():
                run_name = f'{scenario}/{policy}'
                figures[f'{run_name}.attainment'] = run.attainment
                figures[f'{run_name}.wasted_share'] = run.wasted_share
                figures[f'{run_name}.work_ms'] = run.work_ms_per_answer
        return figures

    def _record_limits(self, scenario: Scenario, run: ExperimentRun) -> None:
        if (
            scenario.name.endswith(USUAL_LOAD)
            and not self._others_at_usual_load
        ):
            self._others_at_usual_load = compute_figures(
                run, FLOODED
            ).attainment
        if FLOOD in scenario.name:
            allowed = FLOOD_LIMIT_PER_S * LIMIT_WINDOW_S + FLOOD_BURST
            self._limit_uses.append(limit_use(run, FLOODED, allowed))

    def _comparisons(self) -> dict[str, Any]:
        margins = {
            name: _margin_to_best_baseline(run)
            for name, run in self.measured.items()
        }
        worst = min(margins, key=lambda name: margins[name])
        floods = [run.attainment for run in self._shipped_runs(FLOOD)]
        return {
            'ratio_to_clairvoyant_at_80': min(
                map(_ratio_to_clairvoyant, self._usual_load_runs())
            ),
            'margin_to_best_baseline': margins[worst],
            'margin_is_worst_in': worst,
            'flood_loss_of_others': self._others_at_usual_load - min(floods),
            'overload_goodput_to_peak': min(
                self._goodput_to_peak(site.name)
                for site in (HUNDAGANGA, VEMBANAD)
            ),
        }

    def _guarantees(self) -> dict[str, Any]:
        runs = list(self._shipped_runs(''))
        crashing = list(self._shipped_runs(CRASHING))
        high = list(self._shipped_runs(HIGH_LOAD))
        return {
            'crashes_by_one_digest': max(run.crashes for run in crashing),
            'innocents_quarantined': sum(
                run.innocents_quarantined for run in runs
            ),
            'repeat_share': max(run.repeat_share for run in runs),
            'limit_use': max(self._limit_uses),
            'late_work_to_leaving': sum(
                run.late_work_to_leaving for run in runs
            ),
            'wasted_share_at_95': max(run.wasted_share for run in high),
            'double_runs': sum(run.double_runs for run in runs),
        }

    def _shipped_runs(self, name_part: str) -> Iterator[RunFigures]:
        for name, measured in self.measured.items():
            if name_part in name:
                yield measured[SHIPPED]

    def _usual_load_runs(self) -> list[Mapping[str, RunFigures]]:
        return [
            measured
            for name, measured in self.measured.items()
            if name.endswith(USUAL_LOAD)
        ]

    def _goodput_to_peak(self, site: str) -> float:
        over = next(self._shipped_runs(f'{site}/{OVERLOAD}'))
        steady = self._shipped_runs(f'{site}/{STEADY}')
        peak = max(run.attained_per_s for run in steady)
        return over.attained_per_s / max(peak, over.attained_per_s)


def _margin_to_best_baseline(measured: Mapping[str, RunFigures]) -> float:
    """Returns the attainment of the policy above that of the best baseline."""
    best = max(measured[name].attainment for name in BASELINES)
    return measured[SHIPPED].attainment - best


def _ratio_to_clairvoyant(measured: Mapping[str, RunFigures]) -> float:
    return measured[SHIPPED].attainment / measured[CLAIRVOYANT].attainment


def run_policy(seed: int) -> BenchReport:
    """Runs the policy experiment.

    Args:
        seed: Seed of load and policies.
    """
    bench = PolicyBench(seed)
    bench.run_all()
    return BenchReport('policy', seed, bench.figures(), BOUNDS)
