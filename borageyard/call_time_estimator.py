"""Estimates the time of calls on batching targets from completed calls."""

from collections.abc import Mapping, Sequence

from .roster import RosterRow
from .serving_configuration import BatchLimits
from .target_speed.target_speeds import FleetSpeeds

# Share of the difference between expected and observed time that is learned.
LEARNING_RATE = 0.3
# A learned time stays within these factors of the declared one.
MIN_TIME_FACTOR = 0.1
MAX_TIME_FACTOR = 4


class CallTimeEstimator:
    """Learns the time of a piece per kind of work, from the declared one."""

    def __init__(self, speeds: FleetSpeeds | None = None) -> None:
        """Creates an estimator that has only declared times.

        Args:
            speeds: Speeds of the targets.
        """
        self._speeds = speeds or FleetSpeeds()
        self._learned_ms: dict[str, float] = {}

    def slowdown(self, row: RosterRow, now_ms: float) -> float:
        """Returns the time of a call relative to that on a typical target.

        Args:
            row: The target.
            now_ms: Monotonic time.
        """
        speeds = self._speeds.of_service(row.service)
        return speeds.relative_slowdown(row.target_id, now_ms)

    def piece_ms(self, work_kind: str, limits: BatchLimits) -> float:
        """Returns the time that a piece adds to its call, in ms.

        Args:
            work_kind: Kind of work: route and stage.
            limits: Declared limits of the service.
        """
        return self._learned_ms.get(work_kind, limits.piece_ms)

    def call_ms(self, work_kinds: Sequence[str], limits: BatchLimits) -> float:
        """Returns the expected time of a call on a typical target, in ms.

        Args:
            work_kinds: Kind of work of each piece.
            limits: Declared limits of the service.
        """
        pieces_ms = sum(
            self.piece_ms(work_kind, limits) for work_kind in work_kinds
        )
        return limits.call_ms + pieces_ms

    def note_call(
        self,
        work_kinds: Sequence[str],
        took_ms: float,
        limits: BatchLimits,
    ) -> None:
        """Learns from a call that succeeded on a typical target.

        The error is distributed over the kinds of work by their counts
        (normalised least mean squares, Widrow and Hoff 1960).

        Args:
            work_kinds: Kind of work of each piece.
            took_ms: How long the call took.
            limits: Declared limits of the service.
        """
        counts: dict[str, int] = {}
        for work_kind in work_kinds:
            counts[work_kind] = counts.get(work_kind, 0) + 1
        residual_ms = took_ms - self.call_ms(work_kinds, limits)
        power = sum(count * count for count in counts.values())
        for work_kind, count in counts.items():
            step_ms = LEARNING_RATE * residual_ms * count / power
            learned_ms = self.piece_ms(work_kind, limits) + step_ms
            least_ms = MIN_TIME_FACTOR * limits.piece_ms
            most_ms = MAX_TIME_FACTOR * limits.piece_ms
            self._learned_ms[work_kind] = min(
                max(learned_ms, least_ms), most_ms
            )

    @property
    def learned_ms(self) -> Mapping[str, float]:
        """Returns the learned time of a piece by kind of work, in ms."""
        return self._learned_ms
