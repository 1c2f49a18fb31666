"""Choice among the targets of a plain service."""

import contextlib
import dataclasses
import random
from collections.abc import Collection, Iterator, Sequence

from .inbound import TargetLoad
from .roster import RosterRow

# Time for which what a target said of its load counts, fading linearly.
LOAD_KEEP_MS = 1000
# Time for which a target that failed is tried last, doubled at each failure.
FAILURE_PAUSE_MS = 300
MAX_PAUSE_MS = 5000
# Calls that a target in another failure domain must have less to be chosen.
REMOTE_CALLS = 0.5


@dataclasses.dataclass(slots=True)
class _Seen:
    in_flight: int = 0
    told_calls: float = 0
    told_at_ms: float = 0
    paused_until_ms: float = 0
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
        self._seen: dict[str, _Seen] = {}

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
        fitting = [row for row in rows if row.target_id not in excluded]
        sound = [
            row for row in fitting if self._of(row).paused_until_ms <= now_ms
        ]
        return min(
            sound or fitting,
            key=lambda row: self._weigh(row, domain, now_ms),
            default=None,
        )

    @contextlib.contextmanager
    def counted(self, row: RosterRow) -> Iterator[None]:
        """Counts a call to a target while the scope lasts."""
        seen = self._of(row)
        seen.in_flight += 1
        try:
            yield
        finally:
            seen.in_flight -= 1

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
        seen = self._of(row)
        others = load.running + load.waiting - seen.in_flight
        seen.told_calls = max(others, 0)
        seen.told_at_ms = now_ms

    def note_success(self, row: RosterRow) -> None:
        """Takes in a good answer."""
        self._of(row).failures = 0

    def note_failure(self, row: RosterRow, now_ms: float) -> None:
        """Takes in that a target failed a call.

        Args:
            row: The target.
            now_ms: Steady time.
        """
        seen = self._of(row)
        pause_ms = FAILURE_PAUSE_MS * 2**seen.failures
        seen.paused_until_ms = now_ms + min(pause_ms, MAX_PAUSE_MS)
        seen.failures += 1

    def _of(self, row: RosterRow) -> _Seen:
        return self._seen.setdefault(row.target_id, _Seen())

    def _weigh(self, row: RosterRow, domain: str, now_ms: float) -> float:
        seen = self._of(row)
        freshness = max(1 - (now_ms - seen.told_at_ms) / LOAD_KEEP_MS, 0)
        calls = seen.in_flight + seen.told_calls * freshness
        calls += self._random.random() / 2
        if row.failure_domain == domain:
            return calls
        return calls + REMOTE_CALLS
