"""Decides right before a send whether a target may get new work."""

from ..fleet_state import FleetState
from .cold_targets import ColdTargets


class WorkGuard:
    """Keeps new work from targets that must not get it any more.

    Load pattern: requests that were chosen a target, or wait for its answer on
    a connection that breaks off, when its failure domain is evacuated.
    """

    def __init__(self, state: FleetState, cold: ColdTargets) -> None:
        """Stores the dependencies.

        Args:
            state: Knows the evacuated failure domains.
            cold: Knows the cold targets.
        """
        self._state = state
        self._cold = cold

    def check(self, target_id: str, is_repeat: bool) -> str:
        """Returns why a target must not get work; empty if it may.

        Args:
            target_id: Id of the target.
            is_repeat: Whether the HTTP client sends the work again by itself,
                without a permit.
        """
        if self._state.roster.evacuated.has(target_id):
            return 'the failure domain of the target is evacuated'
        if is_repeat and self._cold.is_cold(target_id):
            return 'a repeated send needs a permit of the target'
        return ''
