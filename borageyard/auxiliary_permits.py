"""Permits for calls to batching targets that run no pieces."""

import math

from .chain_handover import ChainHandover
from .clock import Clock
from .fleet_state import FleetState
from .send_permits import SendClass, SendPermits


class AuxiliaryPermits:
    """Permits for freeing results and for probes of the scheduler.

    They count like calls with pieces, for which a permit is left.
    """

    def __init__(
        self,
        state: FleetState,
        permits: SendPermits,
        handover: ChainHandover,
        clock: Clock,
    ) -> None:
        """Stores the dependencies.

        Args:
            state: Holds the targets.
            permits: Permits to send to targets with limits.
            handover: Knows the services that another entry schedules, which
                issues the permits for their targets.
            clock: Source of monotonic time.
        """
        self._state = state
        self._permits = permits
        self._handover = handover
        self._clock = clock

    def take(self, target_id: str) -> float:
        """Takes a permit for one call.

        Args:
            target_id: Id of the target.

        Returns:
            The time in ms until there is one; 0 if it was taken. Infinite if
            another entry issues the permits.
        """
        row = self._state.roster.find(target_id)
        if row is None or not self._permits.is_limited(row):
            return 0
        if row.service in self._handover.released_services:
            return math.inf
        now_ms = self._clock.steady_ms()
        return self._permits.take(row, now_ms, SendClass.SECONDARY)
