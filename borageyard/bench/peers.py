"""Experiment: cost of peer traffic by the size of the fleet."""

import asyncio
import dataclasses
import json
import pathlib
import statistics
import time
from collections.abc import Sequence
from typing import Any

from ..clock import MS_PER_S
from ..commands.demo import HUNDAGANGA, load_plan
from .peer_fleet import FleetEntry, FleetSize, PeerFleet
from .report import BenchReport, Bound

EXAMPLES = pathlib.Path('examples')
WARM_UP_S = 2.0
MEASURE_S = 6.0
MAX_BYTES_PER_S = 3000
ENTRIES = (4, 8, 16)
TARGETS = (24, 96, 192)
ORGANISATIONS = (5, 50, 200)


@dataclasses.dataclass(frozen=True, slots=True)
class PeerCost:
    """Cost of peer traffic for one entry, on average over a fleet."""

    size: FleetSize
    sent_bytes_per_s: float
    received_bytes_per_s: float
    news_age_ms: float
    cpu_share: float
    json_bytes_per_s: float


def run_peers(seed: int) -> BenchReport:
    """Measures fleets that differ in one dimension at a time.

    Args:
        seed: Recorded in the report only; sizes and gossip are fixed.
    """
    by_entries = [_measure(FleetSize(entries=count)) for count in ENTRIES]
    base = by_entries[0]
    by_targets = [
        base,
        *(_measure(FleetSize(targets=count)) for count in TARGETS[1:]),
    ]
    by_organisations = [
        base,
        *(
            _measure(FleetSize(organisations=count))
            for count in ORGANISATIONS[1:]
        ),
    ]
    points = [*by_entries, *by_targets[1:], *by_organisations[1:]]
    figures: dict[str, Any] = {
        'sent_bytes_per_s': max(point.sent_bytes_per_s for point in points),
        **_fit_slopes('entry', ENTRIES, by_entries),
        **_fit_slopes('target', TARGETS, by_targets),
        **_fit_slopes('organisation', ORGANISATIONS, by_organisations),
        'json_all_to_all_bytes_per_s': max(
            point.json_bytes_per_s for point in points
        ),
        'points': [dataclasses.asdict(point) for point in points],
    }
    bounds = (Bound('sent_bytes_per_s', MAX_BYTES_PER_S),)
    return BenchReport('peers', seed, figures, bounds)


def _fit_slopes(
    name: str,
    sizes: Sequence[int],
    costs: Sequence[PeerCost],
) -> dict[str, float]:
    """Returns the cost of each additional entry, target or organisation."""
    return {
        f'sent_bytes_per_s_per_{name}': statistics.linear_regression(
            sizes,
            [cost.sent_bytes_per_s for cost in costs],
        ).slope,
        f'news_age_ms_per_{name}': statistics.linear_regression(
            sizes,
            [cost.news_age_ms for cost in costs],
        ).slope,
        f'cpu_share_per_{name}': statistics.linear_regression(
            sizes,
            [cost.cpu_share for cost in costs],
        ).slope,
    }


def _measure(size: FleetSize) -> PeerCost:
    return asyncio.run(_run_fleet(size))


async def _run_fleet(size: FleetSize) -> PeerCost:
    plan = load_plan(HUNDAGANGA, EXAMPLES)
    async with PeerFleet(plan, size) as fleet:
        await asyncio.sleep(WARM_UP_S)
        before = _totals(fleet)
        started_s = time.process_time()
        await asyncio.sleep(MEASURE_S)
        cpu_s = time.process_time() - started_s
        rates = [
            (later - earlier) / MEASURE_S / size.entries
            for earlier, later in zip(before, _totals(fleet), strict=True)
        ]
        return _build_cost(size, rates, cpu_s, fleet.entries[0])


def _build_cost(
    size: FleetSize,
    rates: Sequence[float],
    cpu_s: float,
    entry: FleetEntry,
) -> PeerCost:
    peers = size.entries - 1
    gossip_per_s = rates[2]
    interval_ms = entry.link.context.settings.news_interval_ms
    return PeerCost(
        size=size,
        sent_bytes_per_s=rates[0],
        received_bytes_per_s=rates[1],
        news_age_ms=MS_PER_S * len(entry.link.fanout.neighbours) / gossip_per_s,
        cpu_share=cpu_s / MEASURE_S / size.entries,
        json_bytes_per_s=_json_bytes(entry) * peers * MS_PER_S / interval_ms,
    )


def _json_bytes(entry: FleetEntry) -> int:
    """Returns the size of the same gossip as JSON with all its fields."""
    document = {
        type(message).__name__: message.model_dump()
        for urgent in (True, False)
        for message in entry.link.gossip_messages(urgent=urgent)
    }
    return len(json.dumps(document))


def _totals(fleet: PeerFleet) -> tuple[int, int, int]:
    counters = [entry.counters for entry in fleet.entries]
    return (
        sum(counter.sent_bytes for counter in counters),
        sum(counter.received_bytes for counter in counters),
        sum(counter.bulk_sent for counter in counters),
    )
