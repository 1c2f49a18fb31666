"""Targets that have started lately and sustain few requests until warm."""

import dataclasses
import math
from collections.abc import Callable, Iterable, Sequence

from ..clock import Clock
from ..events import Event, log_event
from ..field_checks import parse_finite
from ..machine_capacity.machine_limits import ColdBurst
from ..roster import RosterRow
from ..send_permits import LimitSource, usual_burst
from ..serving_configuration import ColdStart, TargetService

# Time by which one send may take longer than another one from its permit to its
# target: two hops between entries and a new connection on a busy machine.
# Permits that are a second apart may arrive that much closer.
TRANSIT_S = 0.2
# Longest time for which a target is cold by its own statement, so that a wrong
# value does not throttle it for good.
MAX_COLD_MS = 3_600_000
# What an entry is told counts only if it ends this much later than what it
# knows: each message makes a statement late by its own travel time.
NEWS_MARGIN_MS = 500
# Targets that are remembered after they left, the latest ones.
MAX_FORMER_TARGETS = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class _Pace:
    """Requests a second to a cold target, and permits that may accumulate."""

    rate_per_s: float
    burst: float


@dataclasses.dataclass(slots=True)
class _KnownTarget:
    """An incarnation of a target and what shows that it is cold."""

    row: RosterRow
    # Monotonic time at which it was first seen; infinitely early for those that
    # were there before this entry.
    seen_at_ms: float
    # Ends of what its record, its answers and other entries state.
    record_until_ms: float = -math.inf
    answer_until_ms: float = -math.inf
    told_until_ms: float = -math.inf


def pace_of(cold: ColdStart, tolerance: ColdBurst) -> _Pace:
    """Returns the pace at which no second has more requests than are allowed.

    Args:
        cold: What targets of a service declare.
        tolerance: Requests that are allowed beyond that.
    """
    allowed = max(
        math.floor(
            cold.requests_per_s * tolerance.overrun_ratio
            + tolerance.slack_requests
        ),
        1,
    )
    span_s = 1 + TRANSIT_S
    # A bucket of one permit lets no more than ceil(rate x span) through.
    rate_per_s = min(cold.requests_per_s, allowed / span_s)
    burst = 1 + allowed - math.ceil(rate_per_s * span_s)
    return _Pace(rate_per_s, max(min(burst, usual_burst(rate_per_s)), 1))


class ColdTargets:
    """Limits of targets, with those of cold ones in front of stated ones.

    A target is cold for some time after it started, and for as long as its
    record or an answer says so. What was there when this entry read the targets
    for the first time has not just started.

    Load pattern: all targets of a failure domain come back at once, as the
    quickest choice of all entries, and would crash again under a burst.
    """

    def __init__(
        self, limits: LimitSource, clock: Clock, tolerance: ColdBurst
    ) -> None:
        """Starts without targets.

        Args:
            limits: Limits that targets state.
            clock: Source of monotonic time.
            tolerance: Requests that are allowed beyond the declared rate.
        """
        self._limits = limits
        self._clock = clock
        self._tolerance = tolerance
        self._services: dict[str, ColdStart] = {}
        self._paces: dict[str, _Pace] = {}
        self._known: dict[str, _KnownTarget] = {}
        # Ids of the targets that were cold at the last refresh.
        self._cold_ids: frozenset[str] = frozenset()

    def configure(self, services: Iterable[TargetService]) -> None:
        """Applies what the configuration declares.

        Args:
            services: All services; those without a rate have no limit.
        """
        self._services = {
            service.name: service.cold_start
            for service in services
            if service.cold_start.requests_per_s > 0
        }
        self._paces = {
            name: pace_of(cold, self._tolerance)
            for name, cold in self._services.items()
        }

    def note_targets(
        self, rows: Sequence[RosterRow], *, initial: bool = False
    ) -> None:
        """Records the targets that are listed.

        Args:
            rows: All targets, evacuated and draining ones included.
            initial: Whether they may have been there before this entry.
        """
        now_ms = self._clock.steady_ms()
        seen_at_ms = -math.inf if initial else now_ms
        for row in rows:
            known = self._known.pop(row.target_id, None)
            if known is None or known.row.incarnation != row.incarnation:
                known = _KnownTarget(row, seen_at_ms)
                _note_record(known, row, now_ms)
            elif known.row.version_key != row.version_key:
                _note_record(known, row, now_ms)
            # Listed targets come last, so that former ones are dropped first.
            self._known[row.target_id] = known
        excess = len(self._known) - len(rows) - MAX_FORMER_TARGETS
        for target_id in tuple(self._known)[: max(excess, 0)]:
            self._known.pop(target_id)

    def note_answer(self, target_id: str, header_value: str | None) -> None:
        """Records what an answer of a target says of its being cold.

        Args:
            target_id: Id of the target.
            header_value: Time in ms for which it is cold; None if it says
                nothing of it.
        """
        known = self._known.get(target_id)
        if header_value is None or known is None:
            return
        left_ms = parse_finite(header_value)
        if left_ms is None or left_ms < 0:
            log_event(
                Event.TARGET_COLD_INVALID,
                target_id=target_id,
                value=header_value,
            )
            return
        known.answer_until_ms = _end_of(left_ms, self._clock.steady_ms())

    def note_told(
        self, target_id: str, incarnation: int, left_ms: float
    ) -> None:
        """Records what another entry says of a target.

        Args:
            target_id: Id of the target.
            incarnation: Incarnation that it speaks of.
            left_ms: Time for which it is cold; 0 if it isn't.
        """
        known = self._known.get(target_id)
        if known is None or known.row.incarnation != incarnation:
            return
        until_ms = _end_of(left_ms, self._clock.steady_ms())
        if until_ms > self._until_ms(known) + NEWS_MARGIN_MS:
            known.told_until_ms = until_ms

    def left_ms(self, target: RosterRow) -> float:
        """Returns for how long a target is still cold; 0 if it is warm.

        Args:
            target: The target. Its row may be older than what is known of it;
                an incarnation that is not known yet has just started.
        """
        cold = self._services.get(target.service)
        known = self._known.get(target.target_id)
        if cold is None or known is None:
            return 0
        if known.row.incarnation < target.incarnation:
            return cold.duration_ms
        return max(self._until_ms(known) - self._clock.steady_ms(), 0)

    def rate_of(self, target: RosterRow) -> float | None:
        """Returns the limit of a target in requests a second, or None.

        Args:
            target: The target.
        """
        stated_per_s = self._limits.rate_of(target)
        if not self.left_ms(target):
            return stated_per_s
        cold_per_s = self._paces[target.service].rate_per_s
        if stated_per_s is None:
            return cold_per_s
        return min(cold_per_s, stated_per_s)

    def burst_of(self, target: RosterRow, rate_per_s: float) -> float:
        """Returns how many permits of a target may accumulate.

        Args:
            target: The target.
            rate_per_s: Rate at which this entry issues them.
        """
        if not self.left_ms(target):
            return self._limits.burst_of(target, rate_per_s)
        pace = self._paces[target.service]
        return max(pace.burst * min(rate_per_s / pace.rate_per_s, 1), 1)

    def is_cold(self, target_id: str) -> bool:
        """Returns whether a target is cold and limited for it.

        Args:
            target_id: Id of the target.
        """
        known = self._known.get(target_id)
        return known is not None and self.left_ms(known.row) > 0

    def count(self) -> int:
        """Returns the number of cold targets at the last refresh."""
        return len(self._cold_ids)

    def refresh(self, is_listed: Callable[[str], bool]) -> None:
        """Finds out which targets are cold now, and logs the changes.

        Args:
            is_listed: Returns whether a target still has a record.
        """
        cold_ids = frozenset(
            target_id
            for target_id in self._known
            if self.is_cold(target_id) and is_listed(target_id)
        )
        for became_cold in sorted(cold_ids - self._cold_ids):
            row = self._known[became_cold].row
            log_event(
                Event.TARGET_COLD,
                target_id=became_cold,
                service=row.service,
                failure_domain=row.failure_domain,
                left_ms=round(self.left_ms(row)),
                requests_per_s=self._services[row.service].requests_per_s,
            )
        for warm_id in sorted(self._cold_ids - cold_ids):
            log_event(Event.TARGET_WARM, target_id=warm_id)
        self._cold_ids = cold_ids

    def _until_ms(self, known: _KnownTarget) -> float:
        """Returns the end of the time in which a target is cold."""
        cold = self._services.get(known.row.service)
        started_until_ms = -math.inf
        if cold is not None:
            started_until_ms = known.seen_at_ms + cold.duration_ms
        return max(
            started_until_ms,
            known.record_until_ms,
            known.answer_until_ms,
            known.told_until_ms,
        )


def _note_record(known: _KnownTarget, row: RosterRow, now_ms: float) -> None:
    """Records what the latest announcement of an incarnation states."""
    known.row = row
    known.record_until_ms = _end_of(row.cold_left_ms, now_ms)


def _end_of(left_ms: float, now_ms: float) -> float:
    """Returns the end of a stated time; infinitely early for 0."""
    if left_ms <= 0:
        return -math.inf
    return now_ms + min(left_ms, MAX_COLD_MS)
