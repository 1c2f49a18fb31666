"""Waits of pieces for targets near to their inputs."""

import collections
from collections.abc import Iterable, Mapping, Sequence

from ..batch_targets import BatchTarget
from ..call_drafts import Candidate
from ..call_time_estimator import CallTimeEstimator
from .domain_spill import DomainLoad, are_even, queue_waits_ms


def queued_waits_ms(
    targets: Sequence[BatchTarget],
    candidates: Iterable[Candidate],
    call_times: CallTimeEstimator,
    now_ms: float,
) -> Mapping[str, float]:
    """Returns how long pieces wait behind others for each failure domain.

    A target near to the inputs may soon be idle, but not for all pieces that
    have inputs there. It is empty if the domains have about the same capacity:
    then pieces that wait elsewhere gain little.

    Args:
        targets: Targets of a service.
        candidates: Stages with pieces for them.
        call_times: Knows how quick the targets are.
        now_ms: Monotonic time.
    """
    capacities: dict[str, float] = collections.defaultdict(float)
    calls: dict[str, float] = collections.defaultdict(float)
    for target in targets:
        slowdown = call_times.slowdown(target.row, now_ms)
        capacities[target.row.failure_domain] += target.limits.slots / slowdown
        calls[target.row.failure_domain] += target.call_count
    limits = targets[0].limits
    if are_even(capacities, limits.slots):
        return {}
    for candidate in candidates:
        home = _home_of(candidate)
        calls[home] += len(candidate.state.missing) / limits.size
    return queue_waits_ms(
        {
            domain: DomainLoad(capacity, calls[domain])
            for domain, capacity in capacities.items()
        },
        limits.call_ms + limits.piece_ms * limits.size,
    )


def _home_of(candidate: Candidate) -> str:
    """Returns the domain with most input of a piece; empty without inputs."""
    sizes = candidate.transferred_bytes.items()
    return max((size, name) for name, size in sizes)[1] if sizes else ''
