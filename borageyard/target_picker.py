"""Choice among the targets of a plain service."""

import contextlib
import dataclasses
import random
from collections.abc import Collection, Iterator, Sequence

from .inbound import TargetLoad
from .roster import RosterRow

# Time for which what a target said of its load counts, fading linearly.
LOAD_REPORT_TTL_MS = 1000
# Time for which a target that failed is tried last, doubled at each failure.
FAILURE_BACKOFF_MS = 300
MAX_FAILURE_BACKOFF_MS = 5000
# Calls that a target in another failure domain must have less to be chosen.
REMOTE_DOMAIN_PENALTY_CALLS = 0.5


@dataclasses.dataclass(slots=True)
class _TargetStats:
    in_flight: int = 0
    reported_calls: float = 0
    reported_at_ms: float = 0
    backoff_until_ms: float = 0
    failures: int = 0


class TargetPicker:
    """Picks the least loaded target by own calls and by what targets tell.

    Answers the load pattern of a target that is slow or fails while its
    health check is good: it is judged by real answers only.
    """

    def __init__(self, seed: str) -> None:
        """Starts without targets.

        Args:
            seed: Seed for choosing among equals.
        """
        self._random = random.Random(seed)
        self._stats: dict[str, _TargetStats] = {}

    def pick(
        self,
        rows: Sequence[RosterRow],
        excluded: Collection[str],
        domain: str,
        now_ms: float,
    ) -> RosterRow | None:
        """Returns a target, or none if there is none left.

        Args:
            rows: Targets that take new work.
            excluded: Ids of those that were tried.
            domain: Failure domain of this entry.
            now_ms: Steady time.
        """
        candidates = [row for row in rows if row.target_id not in excluded]
        healthy = [
            row
            for row in candidates
            if self._stats_of(row).backoff_until_ms <= now_ms
        ]
        return min(
            healthy or candidates,
            key=lambda row: self._score(row, domain, now_ms),
            default=None,
        )

    @contextlib.contextmanager
    def count_in_flight(self, row: RosterRow) -> Iterator[None]:
        """Counts a call to a target while the scope lasts."""
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
        """Takes in what a target said of its load.

        Args:
            row: The target.
            load: What it said.
            now_ms: Steady time.
        """
        stats = self._stats_of(row)
        others = load.running + load.waiting - stats.in_flight
        stats.reported_calls = max(others, 0)
        stats.reported_at_ms = now_ms

    def note_success(self, row: RosterRow) -> None:
        """Takes in a good answer."""
        self._stats_of(row).failures = 0

    def note_failure(self, row: RosterRow, now_ms: float) -> None:
        """Takes in that a target failed a call.

        Args:
            row: The target.
            now_ms: Steady time.
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

    def _score(self, row: RosterRow, domain: str, now_ms: float) -> float:
        stats = self._stats_of(row)
        freshness = max(
            1 - (now_ms - stats.reported_at_ms) / LOAD_REPORT_TTL_MS,
            0,
        )
        calls = stats.in_flight + stats.reported_calls * freshness
        calls += self._random.random() / 2
        if row.failure_domain == domain:
            return calls
        return calls + REMOTE_DOMAIN_PENALTY_CALLS
