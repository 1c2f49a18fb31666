"""Outlier ejection of failing or slow targets, readmitted by a probe."""

import dataclasses
import math
import statistics
from collections.abc import Sequence

from .target_client import FailureKind
from .targets import TargetState

FAILURES_TO_EJECT = 3
SLOW_FACTOR = 3.0
MIN_SLOW_SAMPLES = 5
MAX_EJECTED_SHARE = 0.5
FIRST_EJECTION_MS = 1000
MAX_EJECTION_MS = 30_000
EJECTION_BACKOFF_FACTOR = 2


@dataclasses.dataclass(slots=True)
class TargetHealth:
    """Recent failures and ejections of one target."""

    failures: int = 0
    ejected_until_ms: float = 0
    ejections: int = 0
    probing: bool = False


class OutlierDetector:
    """Ejects the outliers of a service with exponential backoff."""

    def __init__(self) -> None:
        """Starts with no target ejected."""
        self._health: dict[str, TargetHealth] = {}
        self._unrecovered: set[str] = set()

    def is_ejected(self, target_id: str, now_ms: float) -> bool:
        """Returns whether a target is ejected at a given time."""
        health = self._health.get(target_id)
        return health is not None and health.ejected_until_ms > now_ms

    def note_success(
        self,
        target: TargetState,
        service_targets: Sequence[TargetState],
        now_ms: float,
    ) -> bool:
        """Records an answer whose duration is already in the target's state.

        Args:
            target: Target that answered.
            service_targets: All targets of its service.
            now_ms: Steady time.

        Returns:
            Whether the target has just been ejected as too slow.
        """
        health = self._find(target.target_id)
        health.failures = 0
        if _is_slow(target, service_targets):
            return self._eject(target, health, now_ms)
        self._unrecovered.discard(target.target_id)
        health.probing = False
        health.ejections = 0
        health.ejected_until_ms = 0
        return False

    def note_failure(
        self,
        target: TargetState,
        kind: FailureKind,
        now_ms: float,
    ) -> bool:
        """Records a failed attempt.

        A connection failure, a crash or a failed probe ejects at once, other
        failures after ``FAILURES_TO_EJECT`` in a row.

        Args:
            target: Target that failed.
            kind: Kind of the failure.
            now_ms: Steady time.

        Returns:
            Whether the target has just been ejected.
        """
        health = self._find(target.target_id)
        health.failures += 1
        unreachable = kind in {FailureKind.CONNECT, FailureKind.CRASH}
        if (
            unreachable
            or health.probing
            or health.failures >= FAILURES_TO_EJECT
        ):
            return self._eject(target, health, now_ms)
        return False

    def filter_healthy(
        self,
        candidates: Sequence[TargetState],
        now_ms: float,
    ) -> Sequence[TargetState]:
        """Filters out ejected targets, up to ``MAX_EJECTED_SHARE`` of them all.

        Args:
            candidates: Targets of a service.
            now_ms: Steady time.

        Returns:
            Targets that may be chosen; never empty unless ``candidates`` is.
        """
        if not self._unrecovered:
            return candidates
        healthy = [
            state for state in candidates if self._is_eligible(state, now_ms)
        ]
        ejected_count = len(candidates) - len(healthy)
        max_ejected = math.ceil(len(candidates) * MAX_EJECTED_SHARE)
        if ejected_count <= max_ejected and healthy:
            return healthy
        ranked = sorted(candidates, key=self._ejected_until_ms)
        return ranked[: max(len(candidates) - max_ejected, 1)]

    def _is_eligible(self, state: TargetState, now_ms: float) -> bool:
        if state.target_id not in self._unrecovered:
            return True
        health = self._find(state.target_id)
        if health.ejected_until_ms > now_ms:
            return False
        return not (health.probing and state.in_flight)

    def _ejected_until_ms(self, state: TargetState) -> float:
        health = self._health.get(state.target_id)
        return health.ejected_until_ms if health else 0

    def _eject(
        self,
        target: TargetState,
        health: TargetHealth,
        now_ms: float,
    ) -> bool:
        self._unrecovered.add(target.target_id)
        if health.ejected_until_ms > now_ms:
            return False
        lasts_ms = FIRST_EJECTION_MS * EJECTION_BACKOFF_FACTOR**health.ejections
        health.ejected_until_ms = now_ms + min(lasts_ms, MAX_EJECTION_MS)
        health.ejections += 1
        health.probing = True
        health.failures = 0
        return True

    def _find(self, target_id: str) -> TargetHealth:
        return self._health.setdefault(target_id, TargetHealth())


def _is_slow(
    target: TargetState, service_targets: Sequence[TargetState]
) -> bool:
    """Compares a target's average time with the median of the others."""
    if target.samples < MIN_SLOW_SAMPLES:
        return False
    others = [
        state.duration_ms
        for state in service_targets
        if state is not target and state.samples >= MIN_SLOW_SAMPLES
    ]
    if not others:
        return False
    return target.duration_ms > SLOW_FACTOR * statistics.median(others)
