"""Routing: selects a target for an attempt."""

import dataclasses
import random
from collections.abc import Collection, Sequence
from typing import Protocol

from .affinity import PrefixAffinity
from .targets import TargetState

# Targets whose predicted finish is compared for a choice.
CHOICES = 3
# Targets sampled per target compared, because some have no free slot.
SAMPLES_PER_CHOICE = 2
# Relative growth of a call's duration from an idle to a full target.
BATCH_SLOWDOWN = 0.5
# Added to the predicted time of a target in another failure domain.
CROSS_DOMAIN_PENALTY_MS = 1.0


@dataclasses.dataclass(slots=True)
class RouteQuery:
    """Inputs of a routing decision besides the targets.

    ``now_ms`` is updated for each decision while a stage waits.
    """

    now_ms: float
    typical_ms: float
    excluded: Collection[str] = ()
    cache_prefix: str = ''
    model: str = ''
    model_version: str = ''
    entries: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A chosen target and the prediction behind the choice.

    ``isolated`` is set if no other suspect runs on the target.
    """

    target: TargetState
    predicted_ms: float = 0
    saved_ms: float = 0
    isolated: bool = False


class Router(Protocol):
    """Chooses a target among those that may receive new calls."""

    def choose(
        self,
        candidates: Sequence[TargetState],
        query: RouteQuery,
    ) -> Route | None:
        """Returns a route, or ``None`` if no target has a free slot.

        Args:
            candidates: Targets of the service.
            query: Other inputs of the decision.
        """


class PredictedFinishRouter:
    """Picks the earliest predicted finish among random free targets."""

    def __init__(
        self,
        failure_domain: str,
        affinity: PrefixAffinity,
        seed: int,
        choices: int = CHOICES,
    ) -> None:
        """Initializes the router.

        Args:
            failure_domain: Failure domain of this entry.
            affinity: Prefixes that targets have cached.
            seed: Seed of the random number generator.
            choices: Number of targets to compare.
        """
        self._failure_domain = failure_domain
        self._affinity = affinity
        self._random = random.Random(seed)
        self._choices = choices

    def choose(
        self,
        candidates: Sequence[TargetState],
        query: RouteQuery,
    ) -> Route | None:
        """Returns the best route, or ``None`` if no target has a free slot."""
        pool = candidates
        if query.excluded:
            pool = [
                state
                for state in candidates
                if state.target_id not in query.excluded
            ]
        sampled = self._sample(pool, query)
        if query.model:
            sampled = _prefer_version(sampled, pool, query)
        if not sampled:
            return None
        routes = [self._predict(state, query) for state in sampled]
        return min(routes, key=_predicted_ms)

    def _sample(
        self,
        pool: Sequence[TargetState],
        query: RouteQuery,
    ) -> list[TargetState]:
        """Returns random targets and prefix holders, all with a free slot."""
        count = min(self._choices * SAMPLES_PER_CHOICE, len(pool))
        sampled = [
            state
            for state in self._random.sample(pool, count)
            if has_free_slot(state, query)
        ]
        if not sampled:
            sampled = [state for state in pool if has_free_slot(state, query)]
        holders = self._affinity.holders(query.cache_prefix)
        if not holders:
            return sampled[: self._choices]
        return sampled[: self._choices] + [
            state
            for state in pool
            if state.target_id in holders and has_free_slot(state, query)
        ]

    def _predict(self, state: TargetState, query: RouteQuery) -> Route:
        service_ms = state.duration_ms or query.typical_ms
        load = state.load(query.now_ms)
        waiting = max(load + 1 - state.slots, 0)
        growth = (BATCH_SLOWDOWN * load + waiting) / state.slots
        saved_ms = self._affinity.saved_ms(
            state.target_id,
            query.cache_prefix,
            query.now_ms,
        )
        predicted_ms = service_ms * (1 + growth) - saved_ms
        if state.instance.failure_domain != self._failure_domain:
            predicted_ms += CROSS_DOMAIN_PENALTY_MS
        return Route(state, predicted_ms, saved_ms)


def has_free_slot(state: TargetState, query: RouteQuery) -> bool:
    """Returns whether a target's concurrency limit admits another call.

    Every entry may always use an equal share of the slots, so that a high
    estimate of the other entries' load can't block it.

    Args:
        state: The target.
        query: Supplies the time and the number of entries.
    """
    if not state.slots:
        return False
    if state.in_flight < max(state.slots // query.entries, 1):
        return True
    return state.load(query.now_ms) < state.slots


def _prefer_version(
    sampled: list[TargetState],
    pool: Sequence[TargetState],
    query: RouteQuery,
) -> list[TargetState]:
    """Prefers targets that have the required version loaded, if any has.

    A target that reports only other versions is never used: it would run a
    version that the configuration does not declare. One that reports none is
    used as a last resort.
    """
    loaded = [state for state in sampled if _has_version(state, query)]
    if loaded:
        return loaded
    loaded_in_pool = [
        state
        for state in pool
        if _has_version(state, query) and has_free_slot(state, query)
    ]
    if loaded_in_pool:
        return loaded_in_pool
    return [
        state for state in sampled if not _has_only_other_versions(state, query)
    ]


def _has_version(state: TargetState, query: RouteQuery) -> bool:
    if state.report is None:
        return False
    versions = state.report.models.get(query.model, ())
    return query.model_version in versions


def _has_only_other_versions(state: TargetState, query: RouteQuery) -> bool:
    if state.report is None:
        return False
    versions = state.report.models.get(query.model, ())
    return bool(versions) and query.model_version not in versions


def _predicted_ms(route: Route) -> float:
    return route.predicted_ms
