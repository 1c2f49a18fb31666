"""Choice of a target for an attempt."""

import random
from collections.abc import Collection, Sequence
from typing import Protocol

from .targets import TargetState

CHOICES = 2


class Router(Protocol):
    """Chooses a target among those that may get new work."""

    def choose(
        self,
        candidates: Sequence[TargetState],
        excluded: Collection[str],
    ) -> TargetState | None:
        """Returns a target, or none if all are excluded.

        Args:
            candidates: Targets of the service.
            excluded: Ids of targets that already failed the request.
        """


class TwoChoicesRouter:
    """The less loaded of two random targets."""

    def __init__(self, seed: int) -> None:
        """Seeds the choice.

        Args:
            seed: Seed of the random source.
        """
        self._random = random.Random(seed)

    def choose(
        self,
        candidates: Sequence[TargetState],
        excluded: Collection[str],
    ) -> TargetState | None:
        """Returns a target, or none if all are excluded."""
        free = [
            state for state in candidates if state.target_id not in excluded
        ]
        if not free:
            return None
        drawn = self._random.sample(free, min(CHOICES, len(free)))
        return min(drawn, key=_load)


def _load(state: TargetState) -> int:
    reported = state.report
    if reported is None:
        return state.in_flight
    return state.in_flight + reported.running + reported.queued
