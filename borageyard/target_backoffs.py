"""Targets that asked this entry for a pause when they rejected a request."""

from collections.abc import Iterable

from .clock import MS_PER_S, Clock
from .events import Event, log_event
from .field_checks import parse_finite
from .roster import RosterRow

# Longest pause that is granted, so that a wrong value does not exclude a target
# for good.
MAX_PAUSE_MS = 3_600_000


def read_pause_ms(target_id: str, header_value: str | None) -> float:
    """Returns the pause that a rejection asks for; 0 without a valid one.

    Args:
        target_id: Target that rejected a request.
        header_value: Seconds of the pause; None if there is no such header.
    """
    if header_value is None:
        return 0
    pause_s = parse_finite(header_value)
    if pause_s is not None and pause_s >= 0:
        return pause_s * MS_PER_S
    log_event(
        Event.TARGET_PAUSE_INVALID, target_id=target_id, value=header_value
    )
    return 0


class TargetBackoffs:
    """The pauses that targets asked this entry for.

    They hold for this entry only: a target asks each caller that it rejects.
    """

    def __init__(self, clock: Clock) -> None:
        """Starts without pauses.

        Args:
            clock: Monotonic clock.
        """
        self._clock = clock
        # By id and incarnation of the target.
        self._until_ms: dict[tuple[str, int], float] = {}

    def note_rejection(self, target: RosterRow, pause_ms: float) -> None:
        """Records a pause; a shorter one does not end a longer one.

        Args:
            target: The target.
            pause_ms: Time for which it wants no requests.
        """
        now_ms = self._clock.steady_ms()
        self._until_ms = {
            key: until_ms
            for key, until_ms in self._until_ms.items()
            if until_ms > now_ms
        }
        granted_ms = min(pause_ms, MAX_PAUSE_MS)
        until_ms = now_ms + granted_ms
        key = (target.target_id, target.incarnation)
        if key not in self._until_ms:
            log_event(
                Event.TARGET_PAUSED,
                target_id=target.target_id,
                pause_ms=round(granted_ms),
            )
        self._until_ms[key] = max(self._until_ms.get(key, 0), until_ms)

    def remaining_ms(self, target: RosterRow) -> float:
        """Returns the rest of the pause of a target; 0 without one.

        Args:
            target: The target.
        """
        until_ms = self._until_ms.get((target.target_id, target.incarnation), 0)
        return max(until_ms - self._clock.steady_ms(), 0)

    def paused_ids(self, targets: Iterable[RosterRow]) -> frozenset[str]:
        """Returns the ids of those targets that pause.

        Args:
            targets: The targets.
        """
        return frozenset(
            row.target_id for row in targets if self.remaining_ms(row)
        )
