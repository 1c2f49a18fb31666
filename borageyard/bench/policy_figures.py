"""Computes the figures of a run of the policy experiment."""

import collections
import dataclasses
from collections.abc import Sequence

from ..clock import MS_PER_S
from ..errors import ErrorKind, Refusal
from .policy_experiment import CallerRecord, ExperimentRun

LIMIT_WINDOW_MS = 10_000
LEAVING_GRACE_MS = 3000


@dataclasses.dataclass(frozen=True, slots=True)
class RunFigures:
    """Figures of one run."""

    requests: int
    attainment: float
    attained_per_s: float
    wasted_share: float
    repeat_share: float
    double_runs: int
    crashes: int
    innocents_quarantined: int
    late_work_to_leaving: int
    work_ms_per_answer: float


def compute_figures(
    run: ExperimentRun, excluded_organisation: str = ''
) -> RunFigures:
    """Returns the figures of a finished run.

    Requests that are meant to crash are excluded from the attainment.

    Args:
        run: The finished run.
        excluded_organisation: Organisation whose requests are excluded as
            well.
    """
    callers = [
        caller
        for caller in run.callers
        if not caller.arrival.text
        and caller.arrival.organisation != excluded_organisation
    ]
    spent_ms = sum(work.duration_ms for work in run.work)
    attained = sum(caller.attained for caller in callers)
    last_ms = max(caller.arrival.at_ms for caller in callers)
    return RunFigures(
        requests=len(callers),
        attainment=attained / len(callers),
        attained_per_s=attained / last_ms * MS_PER_S,
        wasted_share=wasted_share(run),
        repeat_share=repeat_share(run),
        double_runs=double_runs(run),
        crashes=sum(not target.alive for target in run.targets.values()),
        innocents_quarantined=sum(map(_is_quarantined, callers)),
        late_work_to_leaving=_count_late_work(run),
        work_ms_per_answer=spent_ms / max(attained, 1),
    )


def wasted_share(run: ExperimentRun) -> float:
    """Returns the share of work that contributed to no answer in time."""
    answered = {
        caller.request_ids[-1] for caller in run.callers if caller.attained
    }
    useful: dict[tuple[str, str], float] = {}
    spent_ms: float = 0
    for work in run.work:
        spent_ms += work.duration_ms
        if work.complete and work.request_id in answered:
            useful.setdefault((work.request_id, work.stage), work.duration_ms)
    return 1 - sum(useful.values()) / spent_ms


def repeat_share(run: ExperimentRun) -> float:
    """Returns the largest ratio of repeats to first attempts of a service.

    Repeats are retries and hedges.
    """
    first: collections.Counter[str] = collections.Counter()
    repeats: collections.Counter[str] = collections.Counter()
    for core in run.cores:
        for service, account in core.policy.retries.accounts.items():
            first[service] += account.first_attempts
            repeats[service] += account.retries + account.hedges
    return max(repeats[name] / count for name, count in first.items())


def double_runs(run: ExperimentRun) -> int:
    """Returns how often calls of non-idempotent services ran again."""
    configuration = run.cores[0].fold.current()
    if configuration is None:
        return 0
    runs: collections.Counter[tuple[str, str]] = collections.Counter()
    for target in run.targets.values():
        service = configuration.services[target.profile.service]
        if not service.idempotent:
            runs.update(
                (work.key, work.stage) for work in target.executed_calls
            )
    return sum(count - 1 for count in runs.values())


def limit_use(
    run: ExperimentRun,
    organisation: str,
    allowed: float,
) -> float:
    """Returns the most starts in a window as a share of the allowed starts.

    Args:
        run: The finished run.
        organisation: Organisation that the limit applies to.
        allowed: Starts that the limit allows in the window.
    """
    ids = {
        request_id
        for caller in run.callers
        if caller.arrival.organisation == organisation
        for request_id in caller.request_ids
    }
    starts: dict[str, float] = {}
    for work in sorted(run.work, key=lambda item: item.started_ms):
        if work.request_id in ids:
            starts.setdefault(work.request_id, work.started_ms)
    return _most_in_window(sorted(starts.values())) / allowed


def _most_in_window(starts: Sequence[float]) -> int:
    most = 0
    first = 0
    for index, start_ms in enumerate(starts):
        while starts[first] <= start_ms - LIMIT_WINDOW_MS:
            first += 1
        most = max(most, index - first + 1)
    return most


def _is_quarantined(caller: CallerRecord) -> bool:
    outcome = caller.outcome
    return isinstance(outcome, Refusal) and (
        outcome.kind is ErrorKind.QUARANTINED
    )


def _count_late_work(run: ExperimentRun) -> int:
    return sum(
        work.started_ms > marked_ms + LEAVING_GRACE_MS
        for name, marked_ms in run.leaving_at_ms.items()
        for work in run.targets[name].executed_calls
    )
