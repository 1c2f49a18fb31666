"""Experiment: the scheduler under the users' load at its worst."""

import dataclasses
import types
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from ..chain_scheduler import ChainScheduler
from ..chains import ChainOrder
from ..plans import Denial
from .load_patterns import Burst, LoadPattern, ReplayResult, Trouble
from .load_replay import LoadReplay
from .load_sheets import SHEETS, SheetLoad
from .report import BenchReport, Bound

# Entries of the users' deployments; apart, each sees a part of the requests.
ENTRIES = 4
LENGTH_S = 24
BURST = 2.5
# When bursts and troubles begin, and how long they last.
EARLY_S = 4
MIDDLE_S = 8
LATE_S = 12
FOR_S = 6
SLOWNESS = 5
# Bounds from the users' rules: no kind is served less than a quarter as often
# as all, and a less urgent one not more often by over five in a hundred.
LEAST_SERVED = 0.25
MOST_INVERSION = 0.05


class FirstComeScheduler(ChainScheduler):
    """Baseline: every request is as urgent as it is old."""

    def submit(self, order: ChainOrder, now_ms: float) -> Denial | None:
        """Takes in a request without its aim and its priority."""
        blind = dataclasses.replace(
            order,
            soft_deadline_at_ms=now_ms
            + order.deadline_at_ms
            - order.received_at_ms,
            priority=0,
        )
        return super().submit(blind, now_ms)


def _patterns(sheet: SheetLoad) -> Sequence[LoadPattern]:
    """Returns the load patterns of a deployment."""
    service = next(iter(sheet.services))
    first, second, *_ = (kind.name for kind in sheet.kinds)
    bursts = (
        Burst(EARLY_S, FOR_S, BURST, first),
        Burst(LATE_S, FOR_S, BURST, second),
    )
    everything = (Burst(FOR_S, FOR_S, 2),)
    lost = Trouble(MIDDLE_S, FOR_S, service)
    slow = Trouble(MIDDLE_S, FOR_S, service, slowness=SLOWNESS)
    return (
        LoadPattern('steady', LENGTH_S),
        LoadPattern('kind-bursts', LENGTH_S, bursts),
        LoadPattern('burst', LENGTH_S, everything),
        LoadPattern('lost', LENGTH_S, everything, (lost,)),
        LoadPattern('slow', LENGTH_S, everything, (slow,)),
    )


def _together() -> Sequence[ChainScheduler]:
    return [ChainScheduler()]


def _apart() -> Sequence[ChainScheduler]:
    return [ChainScheduler() for _ in range(ENTRIES)]


def _first_come() -> Sequence[ChainScheduler]:
    return [FirstComeScheduler()]


WAYS: Mapping[str, Callable[[], Sequence[ChainScheduler]]] = (
    types.MappingProxyType(
        {'policy': _together, 'apart': _apart, 'first_come': _first_come},
    )
)


BOUNDS = (
    Bound('margin_to_best_baseline', 0, at_most=False),
    Bound('least_served_kind', LEAST_SERVED, at_most=False),
    Bound('most_inverted_priority', MOST_INVERSION),
)


def run_load(seed: int) -> BenchReport:
    """Replays both deployments' loads with the policy and its baselines.

    Args:
        seed: Seed of all randomness.
    """
    figures: dict[str, Any] = {}
    margins: list[float] = []
    fared: list[tuple[SheetLoad, ReplayResult]] = []
    for sheet in SHEETS.values():
        for pattern in _patterns(sheet):
            ways = _replay_all(sheet, pattern, seed)
            figures.update(_name_shares(f'{sheet.name}/{pattern.name}', ways))
            fared.append((sheet, ways['policy']))
            margins.append(_margin(ways))
    figures.update(_worst_figures(fared))
    figures['margin_to_best_baseline'] = min(margins)
    return BenchReport('load', seed, figures, BOUNDS)


def _replay_all(
    sheet: SheetLoad,
    pattern: LoadPattern,
    seed: int,
) -> Mapping[str, ReplayResult]:
    return {
        way: LoadReplay(sheet, pattern, seed, build()).run()
        for way, build in WAYS.items()
    }


def _margin(ways: Mapping[str, ReplayResult]) -> float:
    """Returns how much more the policy earns than the best baseline."""
    best = max(
        fared.earned_share for way, fared in ways.items() if way != 'policy'
    )
    return ways['policy'].earned_share - best


def _name_shares(
    prefix: str,
    ways: Mapping[str, ReplayResult],
) -> Mapping[str, float]:
    return {
        f'{prefix}/{way}': fared.earned_share for way, fared in ways.items()
    }


def _worst_figures(
    fared: Sequence[tuple[SheetLoad, ReplayResult]],
) -> Mapping[str, float]:
    served = [_least_served(policy) for _, policy in fared]
    inversions = [_inversion(sheet, policy) for sheet, policy in fared]
    return {
        'least_served_kind': min(served),
        'most_inverted_priority': max(inversions),
    }


def _least_served(fared: ReplayResult) -> float:
    """Returns the served share of the worst kind against that of all."""
    kinds = fared.kinds.values()
    answered = sum(kind.in_time + kind.late for kind in kinds)
    overall = answered / sum(kind.asked for kind in kinds)
    return min(kind.served_share for kind in kinds) / overall


def _inversion(sheet: SheetLoad, fared: ReplayResult) -> float:
    """Returns how much more often a less urgent kind is served."""
    kinds = [(kind.priority, fared.kinds[kind.name]) for kind in sheet.kinds]
    return max(
        other.served_share - kind.served_share
        for priority, kind in kinds
        for other_priority, other in kinds
        if other_priority >= priority
    )
