"""Request rates that targets state as their limits, as one entry knows them."""

import dataclasses
from collections.abc import Callable, Iterable, Sequence

from .clock import Clock
from .events import Event, log_event
from .field_checks import parse_finite
from .roster import RosterRow
from .send_permits import usual_burst
from .target_backoffs import TargetBackoffs

# An answer without a limit ends it only if it came this much later than the
# last answer with one. Answers overtake each other, and entries convert the
# ages of each other's observations.
END_MARGIN_MS = 500
# Time for which an observation that is not repeated is kept.
RETENTION_MS = 600_000
# Relative change of a limit from which it counts as news.
NEWS_RATIO = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class TargetLimit:
    """Limit that an incarnation of a target stated in an answer."""

    target_id: str
    incarnation: int
    # Requests a second from all entries together; None after its end.
    requests_per_s: float | None
    # Monotonic time of the answer.
    observed_at_ms: float

    @property
    def precedence(self) -> tuple[int, float]:
        """Returns the key that orders observations; the greatest one holds."""
        margin_ms = 0 if self.requests_per_s is None else END_MARGIN_MS
        return self.incarnation, self.observed_at_ms + margin_ms


# Called after a limit was stated for the first time, changed or ended.
LimitListener = Callable[[], None]


class TargetLimits:
    """The limits in force, from answers to this entry and from peers.

    A limit stays in force until the target answers without one, or starts
    again: while nothing is sent to a target, nothing shows that it ended.
    """

    def __init__(self, clock: Clock) -> None:
        """Starts without limits.

        Args:
            clock: Source of monotonic time.
        """
        # Pauses that targets ask this entry for, besides limits.
        self.backoffs = TargetBackoffs(clock)
        self._clock = clock
        self._limits: dict[str, TargetLimit] = {}
        self._listeners: list[LimitListener] = []

    def add_listener(self, listener: LimitListener) -> None:
        """Registers a callback that runs after a limit changed."""
        self._listeners.append(listener)

    def note_answer(
        self, target: RosterRow, requests_per_s: float | None
    ) -> None:
        """Records the limit in an answer of a target.

        Args:
            target: The target that answered.
            requests_per_s: Its limit, or None if the answer states none.
        """
        if requests_per_s is None and target.target_id not in self._limits:
            return
        observed = TargetLimit(
            target.target_id,
            target.incarnation,
            requests_per_s,
            self._clock.steady_ms(),
        )
        self.merge([observed], '')

    def note_header(self, target: RosterRow, header_value: str | None) -> None:
        """Records the limit that an answer states, or that it states none.

        Args:
            target: The target that answered.
            header_value: Requests a second; None if the answer states none.
        """
        requests_per_s = None
        if header_value is not None:
            requests_per_s = parse_finite(header_value)
            if requests_per_s is None or requests_per_s < 0:
                log_event(
                    Event.TARGET_LIMIT_INVALID,
                    target_id=target.target_id,
                    value=header_value,
                )
                return
        self.note_answer(target, requests_per_s)

    def merge(self, limits: Iterable[TargetLimit], source_id: str) -> None:
        """Merges observations of this entry or of a peer.

        Args:
            limits: The observations.
            source_id: Id of the peer; empty for this entry.
        """
        news = [limit for limit in limits if self._merge(limit)]
        for limit in news:
            log_event(
                Event.TARGET_LIMIT_CHANGED,
                target_id=limit.target_id,
                requests_per_s=limit.requests_per_s,
                source_id=source_id,
                age_ms=round(self._clock.steady_ms() - limit.observed_at_ms),
            )
        if news:
            for listener in self._listeners:
                listener()

    def rate_of(self, target: RosterRow) -> float | None:
        """Returns the limit of a target in requests a second, or None.

        Args:
            target: The target. A limit ends with its incarnation; the row may
                be older than the limit.
        """
        limit = self._limits.get(target.target_id)
        if limit is None or limit.incarnation < target.incarnation:
            return None
        return limit.requests_per_s

    def burst_of(self, target: RosterRow, rate_per_s: float) -> float:
        """Returns how many permits of a target may accumulate."""
        return usual_burst(rate_per_s)

    def is_limited(self, target_id: str) -> bool:
        """Returns whether some incarnation of a target stated a limit."""
        limit = self._limits.get(target_id)
        return limit is not None and limit.requests_per_s is not None

    def count(self) -> int:
        """Returns the number of targets with limits."""
        return sum(map(self.is_limited, self._limits))

    def observations(self) -> Sequence[TargetLimit]:
        """Returns what is known; drops observations that are too old."""
        oldest_ms = self._clock.steady_ms() - RETENTION_MS
        self._limits = {
            target_id: limit
            for target_id, limit in self._limits.items()
            if limit.observed_at_ms > oldest_ms
        }
        return tuple(self._limits.values())

    def _merge(self, limit: TargetLimit) -> bool:
        """Keeps the newer observation; returns whether it is news."""
        known = self._limits.get(limit.target_id)
        if known is not None and limit.precedence <= known.precedence:
            return False
        self._limits[limit.target_id] = limit
        return known is None or _differs(known, limit)


def _differs(known: TargetLimit, limit: TargetLimit) -> bool:
    """Returns whether a newer observation is worth passing on at once."""
    if known.incarnation != limit.incarnation:
        return True
    before, after = known.requests_per_s, limit.requests_per_s
    if before is None or after is None:
        return before is not after
    return abs(after - before) > NEWS_RATIO * before
