"""Concurrency slots of a service that an entry may use."""

import dataclasses

from .targets import TargetDirectory

# Time for which a sum over all targets is cached.
USAGE_TTL_MS = 50


@dataclasses.dataclass(slots=True)
class ServiceUsage:
    """Running calls of this entry and the slots that it may use."""

    running: float
    slots: float
    summed_at_ms: float


class ServiceCapacity:
    """Sums running calls and usable slots over the targets of a service."""

    def __init__(self, directory: TargetDirectory) -> None:
        """Initializes without cached sums.

        Args:
            directory: Targets known to this entry.
        """
        self._directory = directory
        self._usage: dict[str, ServiceUsage] = {}

    def usage(
        self,
        service: str,
        entries: int,
        now_ms: float,
    ) -> ServiceUsage:
        """Returns the sums, which may be up to ``USAGE_TTL_MS`` old.

        Args:
            service: Name of the service.
            entries: Number of entries that share its targets.
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
