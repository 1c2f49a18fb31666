"""Software versions of the targets of each service, over time."""

import dataclasses
import math
from collections.abc import Collection, Iterable

from .roster import RosterRow


@dataclasses.dataclass(slots=True)
class _ServiceHistory:
    # Time at which the last target of a version was gone, infinite for present
    # ones.
    seen_until_ms: dict[str, float] = dataclasses.field(default_factory=dict)

    def end(self, now_ms: float) -> None:
        """Removes all targets; their versions have been seen until now."""
        self.seen_until_ms = {
            version: min(until_ms, now_ms)
            for version, until_ms in self.seen_until_ms.items()
        }

    def add(self, row: RosterRow) -> None:
        """Adds a target that is present."""
        self.seen_until_ms[row.software_version] = math.inf


class VersionHistory:
    """Which versions of a service have been serving, as one entry saw it."""

    def __init__(self) -> None:
        """Starts without targets."""
        self._services: dict[str, _ServiceHistory] = {}

    def update(self, rows: Iterable[RosterRow], now_ms: float) -> None:
        """Records the present targets.

        Args:
            rows: All targets, also those that take no new work.
            now_ms: Monotonic time.
        """
        for known in self._services.values():
            known.end(now_ms)
        for row in rows:
            history = self._services.setdefault(row.service, _ServiceHistory())
            history.add(row)

    def recent(
        self, service: str, span_ms: float, now_ms: float
    ) -> Collection[str]:
        """Returns the versions that served within a time.

        Args:
            service: Name of the service.
            span_ms: The time in milliseconds.
            now_ms: Monotonic time.
        """
        history = self._services.get(service)
        if history is None:
            return frozenset()
        return frozenset(
            version
            for version, until_ms in history.seen_until_ms.items()
            if until_ms > now_ms - span_ms
        )
