"""Load balancing among the targets of a service that is not streamed."""

import contextlib
import dataclasses
import random
from collections.abc import Collection, Iterator, Sequence

from .inbound import TargetLoad
from .roster import RosterRow

# Time over which the weight of a load report falls linearly to zero.
LOAD_REPORT_TTL_MS = 1000
# Time for which a failed target is used only as a last resort; doubled at each
# failure in succession.
FAILURE_BACKOFF_MS = 300
MAX_FAILURE_BACKOFF_MS = 5000
# A target in another failure domain is chosen only if it has this many fewer
# requests.
REMOTE_DOMAIN_PENALTY_REQUESTS = 0.5


@dataclasses.dataclass(slots=True)
class _TargetStats:
    in_flight: int = 0
    reported_requests: float = 0
    reported_at_ms: float = 0
    backoff_until_ms: float = 0
    failures: int = 0


class TargetPicker:
    """Picks the target with the fewest requests, sent from here or reported.

    Some targets are slow or fail while their health check passes, so a target
    is rated only by its answers to callers' requests.
    """

    def __init__(self, seed: str) -> None:
        """Creates a picker without statistics.

        Args:
            seed: Seed of the random choice among equally loaded targets.
        """
        self._random = random.Random(seed)
        self._stats: dict[str, _TargetStats] = {}

    def pick(
        self,
        rows: Sequence[RosterRow],
        excluded: Collection[str],
        failure_domain: str,
        now_ms: float,
    ) -> RosterRow | None:
        """Returns a target, or None if all are excluded.

        Args:
            rows: Targets that take new work.
            excluded: Ids of the targets that were tried.
            failure_domain: Failure domain of this entry.
            now_ms: Monotonic time.
        """
        candidates = [row for row in rows if row.target_id not in excluded]
        healthy = [
            row
            for row in candidates
            if self._stats_of(row).backoff_until_ms <= now_ms
        ]
        return min(
            healthy or candidates,
            key=lambda row: self._score(row, failure_domain, now_ms),
            default=None,
        )

    @contextlib.contextmanager
    def count_in_flight(self, row: RosterRow) -> Iterator[None]:
        """Context manager that counts a request to a target as in flight."""
        stats = self._stats_of(row)
        stats.in_flight += 1
        try:
            yield
        finally:
            stats.in_flight -= 1

    def note_load(
        self,
        row: RosterRow,
        load: TargetLoad,
        now_ms: float,
    ) -> None:
        """Records the load that a target reported.

        Args:
            row: The target.
            load: Reported load, including the requests of this entry.
            now_ms: Monotonic time.
        """
        stats = self._stats_of(row)
        others = load.running + load.waiting - stats.in_flight
        stats.reported_requests = max(others, 0)
        stats.reported_at_ms = now_ms

    def note_success(self, row: RosterRow) -> None:
        """Records a successful answer."""
        self._stats_of(row).failures = 0

    def note_failure(self, row: RosterRow, now_ms: float) -> None:
        """Records that a target failed a request.

        Args:
            row: The target.
            now_ms: Monotonic time.
        """
        stats = self._stats_of(row)
        backoff_ms = FAILURE_BACKOFF_MS * 2**stats.failures
        stats.backoff_until_ms = now_ms + min(
            backoff_ms,
            MAX_FAILURE_BACKOFF_MS,
        )
        stats.failures += 1

    def _stats_of(self, row: RosterRow) -> _TargetStats:
        return self._stats.setdefault(row.target_id, _TargetStats())

    def _score(
        self, row: RosterRow, failure_domain: str, now_ms: float
    ) -> float:
        stats = self._stats_of(row)
        freshness = max(
            1 - (now_ms - stats.reported_at_ms) / LOAD_REPORT_TTL_MS,
            0,
        )
        calls = stats.in_flight + stats.reported_requests * freshness
        calls += self._random.random() / 2
        if row.failure_domain == failure_domain:
            return calls
        return calls + REMOTE_DOMAIN_PENALTY_REQUESTS
