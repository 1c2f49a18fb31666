"""Replays a trace in virtual time and checks its stated outcomes."""

import asyncio
import dataclasses
import pathlib
from typing import Any

from ..clock import MS_PER_S
from ..commands.demo import load_plan
from ..configuration_changes import ChangeOutcome
from ..generated.trace import (
    TraceApplyRecord,
    TraceCrashesRecord,
    TraceEndingRecord,
    TraceRequestRecord,
    TraceRunsRecord,
    TraceShareRecord,
    TraceVersionRecord,
)
from ..standins.virtual_time import run_virtual
from .replay_environment import WARM_UP_MS, ReplayEnvironment
from .trace import Trace


@dataclasses.dataclass(frozen=True, slots=True)
class ReplayReport:
    """Result of a replay."""

    name: str
    requests: int
    endings: dict[str, int]
    differing: tuple[str, ...]


def replay(trace: Trace, examples: pathlib.Path) -> ReplayReport:
    """Replays a trace in virtual time.

    Args:
        trace: Validated trace.
        examples: Directory of the example configurations.

    Returns:
        The counts of the endings and, in ``differing``, a message for each
        event that failed and each stated outcome that was not met, in the
        order of the trace.
    """
    return run_virtual(_replay(trace, examples))


async def _replay(trace: Trace, examples: pathlib.Path) -> ReplayReport:
    plan = load_plan(trace.header.example, examples)
    environment = ReplayEnvironment(trace.header, plan)
    async with environment.deployment:
        await asyncio.sleep(WARM_UP_MS / MS_PER_S)
        event_tasks = [
            asyncio.ensure_future(_run_event(environment, event))
            for event in trace.events
        ]
        await asyncio.sleep(trace.header.lasts_ms / MS_PER_S)
        for task in event_tasks:
            task.cancel()
        failed = await asyncio.gather(*event_tasks, return_exceptions=True)
        differing = [
            f'event failed: {error!r}'
            for error in failed
            if isinstance(error, Exception)
        ]
        for outcome in trace.outcomes:
            differing.extend(_compare(environment, outcome))
    counts = [ending.value for ending in environment.endings('')]
    return ReplayReport(
        name=trace.header.name,
        requests=sum(
            isinstance(event, TraceRequestRecord) for event in trace.events
        ),
        endings={name: counts.count(name) for name in sorted(set(counts))},
        differing=tuple(differing),
    )


async def _run_event(environment: ReplayEnvironment, event: Any) -> None:
    await asyncio.sleep(event.at_ms / MS_PER_S)
    if isinstance(event, TraceRequestRecord):
        await environment.request(event)
    elif isinstance(event, TraceApplyRecord):
        await environment.apply(event)
    else:
        await environment.start_fault(event)


def _compare(environment: ReplayEnvironment, outcome: Any) -> list[str]:
    match outcome:
        case TraceEndingRecord():
            return _compare_ending(environment, outcome)
        case TraceRunsRecord():
            return _compare_runs(environment, outcome)
        case TraceShareRecord():
            return _compare_share(environment, outcome)
        case TraceVersionRecord():
            return _compare_version(environment, outcome)
    return _compare_crashes(environment, outcome)


def _compare_ending(
    environment: ReplayEnvironment,
    outcome: TraceEndingRecord,
) -> list[str]:
    view = environment.views.get(outcome.request)
    ending = 'none' if view is None else view.ending.value
    if ending in outcome.endings:
        return []
    return [f'request {outcome.request} ended with {ending}']


def _compare_runs(
    environment: ReplayEnvironment, outcome: TraceRunsRecord
) -> list[str]:
    runs = environment.count_runs(outcome.key, outcome.stage)
    if outcome.at_least <= runs <= outcome.at_most:
        return []
    return [f'key {outcome.key} ran {runs} times']


def _compare_share(
    environment: ReplayEnvironment, outcome: TraceShareRecord
) -> list[str]:
    endings = environment.endings(outcome.prefix)
    matching = sum(ending.value == outcome.ending for ending in endings)
    share = matching / max(len(endings), 1)
    if endings and outcome.at_least <= share <= outcome.at_most:
        return []
    return [f'share of {outcome.ending} is {share} of {len(endings)}']


def _compare_version(
    environment: ReplayEnvironment,
    outcome: TraceVersionRecord,
) -> list[str]:
    differing = [
        ' '.join((name, 'has version', str(entry.core.fold.version)))
        for name, entry in environment.deployment.entries.items()
        if entry.core.fold.version != outcome.version
    ]
    accepted = list(environment.changes.values()).count(ChangeOutcome.ACCEPTED)
    if accepted != outcome.accepted:
        differing.append(f'{accepted} changes were accepted')
    return differing


def _compare_crashes(
    environment: ReplayEnvironment,
    outcome: TraceCrashesRecord,
) -> list[str]:
    crashed = sum(
        not target.alive for target in environment.deployment.targets.values()
    )
    if crashed <= outcome.at_most:
        return []
    return [f'{crashed} targets are dead']
