"""Log events and figures about the speeds of targets."""

import collections
import dataclasses
from collections.abc import Mapping, Sequence

from ..events import Event, log_event
from .target_speeds import FleetSpeeds


@dataclasses.dataclass(frozen=True, slots=True)
class SpeedReport:
    """What the parts of an entry know of the speeds of targets."""

    speeds: Sequence[FleetSpeeds]
    # Sends to other failure domains, by service.
    sends: Sequence[collections.Counter[str]]

    def highest_slowdowns(self, now_ms: float) -> Mapping[str, float]:
        """Returns the highest slowdown that is stated now, by service.

        Args:
            now_ms: Monotonic time.
        """
        highest: dict[str, float] = {}
        for speeds in self.speeds:
            for service, ratio in speeds.highest_present(now_ms).items():
                highest[service] = max(highest.get(service, 1), ratio)
        return highest

    def remote_sends(self) -> Mapping[str, int]:
        """Returns the number of sends to other failure domains, by service."""
        total: collections.Counter[str] = collections.Counter()
        for counts in self.sends:
            total.update(counts)
        return total


def log_speed_changes(speeds: FleetSpeeds) -> None:
    """Logs for which services speeds began or ceased to be used.

    Args:
        speeds: The speeds of all targets.
    """
    for service, active in speeds.take_changes().items():
        log_event(Event.TARGET_SPEEDS_USED, service=service, active=active)
