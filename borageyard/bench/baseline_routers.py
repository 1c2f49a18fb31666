"""Baseline routers that the shipped policy is compared with."""

import itertools
import random
from collections.abc import Mapping, Sequence

from ..routing import Route, RouteQuery
from ..targets import TargetState
from .sized_target import SizedTarget


class RandomRouter:
    """Chooses any target at random."""

    def __init__(self, seed: int) -> None:
        """Seeds the random source.

        Args:
            seed: Seed of the random source.
        """
        self._random = random.Random(seed)

    def choose(
        self,
        candidates: Sequence[TargetState],
        query: RouteQuery,
    ) -> Route | None:
        """Returns a random target, or None if all are excluded."""
        permitted = _drop_excluded(candidates, query)
        return Route(self._random.choice(permitted)) if permitted else None


class RoundRobinRouter:
    """Chooses the targets in turn."""

    def __init__(self) -> None:
        """Starts at the first target."""
        self._next_index = itertools.count()

    def choose(
        self,
        candidates: Sequence[TargetState],
        query: RouteQuery,
    ) -> Route | None:
        """Returns the next target, or None if all are excluded."""
        permitted = _drop_excluded(candidates, query)
        if not permitted:
            return None
        return Route(permitted[next(self._next_index) % len(permitted)])


class LeastInFlightRouter:
    """Chooses the target with the fewest calls in flight from this entry."""

    def __init__(self, seed: int) -> None:
        """Seeds the choice between equally loaded targets.

        Args:
            seed: Seed of the random source.
        """
        self._random = random.Random(seed)

    def choose(
        self,
        candidates: Sequence[TargetState],
        query: RouteQuery,
    ) -> Route | None:
        """Returns a target with the fewest own calls in flight, or None."""
        permitted = _drop_excluded(candidates, query)
        if not permitted:
            return None
        self._random.shuffle(permitted)
        return Route(min(permitted, key=lambda state: state.in_flight))


class ClairvoyantRouter:
    """Chooses by the true state of the targets, which no entry can see."""

    def __init__(self, targets: Mapping[str, SizedTarget]) -> None:
        """Keeps the stand-in targets to read their state.

        Args:
            targets: All stand-in targets by id.
        """
        self._targets = targets

    def choose(
        self,
        candidates: Sequence[TargetState],
        query: RouteQuery,
    ) -> Route | None:
        """Returns the target that would finish first, if any has a slot."""
        available = [
            state
            for state in _drop_excluded(candidates, query)
            if self._has_free_slot(state)
        ]
        if not available:
            return None
        return Route(min(available, key=self._cost))

    def _has_free_slot(self, state: TargetState) -> bool:
        target = self._targets[state.target_id]
        return target.alive and self._calls(state) < target.profile.slots

    def _cost(self, state: TargetState) -> float:
        target = self._targets[state.target_id]
        return target.faults.slow_factor * (1 + self._calls(state))

    def _calls(self, state: TargetState) -> int:
        return max(self._targets[state.target_id].call_count, state.in_flight)


def _drop_excluded(
    candidates: Sequence[TargetState],
    query: RouteQuery,
) -> list[TargetState]:
    return [
        state for state in candidates if state.target_id not in query.excluded
    ]
