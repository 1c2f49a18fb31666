"""Slots of a service that an entry may use."""

import dataclasses

from .targets import TargetDirectory

# Time for which a sum over all targets is used again.
USAGE_TTL_MS = 50


@dataclasses.dataclass(slots=True)
class ServiceUsage:
    """Own running calls and the slots that this entry may use."""

    running: float
    slots: float
    summed_at_ms: float


class ServiceCapacity:
    """Sums what is known of a service's targets."""

    def __init__(self, directory: TargetDirectory) -> None:
        """Wraps what is known.

        Args:
            directory: Known targets.
        """
        self._directory = directory
        self._usage: dict[str, ServiceUsage] = {}

    def usage(
        self,
        service: str,
        entries: int,
        now_ms: float,
    ) -> ServiceUsage:
        """Returns the sums, which may be some milliseconds old.

        Args:
            service: Name of the service.
            entries: Entries that share its targets.
            now_ms: Steady time.
        """
        known = self._usage.get(service)
        if known is not None and now_ms - known.summed_at_ms < USAGE_TTL_MS:
            return known
        summed = self._sum(service, entries, now_ms)
        self._usage[service] = summed
        return summed

    def _sum(self, service: str, entries: int, now_ms: float) -> ServiceUsage:
        running: float = 0
        slots: float = 0
        for state in self._directory.candidates(service):
            running += state.in_flight
            equal = state.slots / entries
            slots += max(state.slots - state.others_load(now_ms), equal)
        return ServiceUsage(running, slots, now_ms)
