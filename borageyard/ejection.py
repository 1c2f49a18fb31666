"""Ejection of targets that fail or are slow, with probing back."""

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
BACKOFF = 2


@dataclasses.dataclass(slots=True)
class TargetHealth:
    """Recent outcomes of one target."""

    failures: int = 0
    ejected_until_ms: float = 0
    ejections: int = 0
    probing: bool = False


class OutlierDetector:
    """Ejects outliers of a service for a time that grows."""

    def __init__(self) -> None:
        """Starts with every target in."""
        self._health: dict[str, TargetHealth] = {}
        self._suspected: set[str] = set()

    def is_ejected(self, target_id: str, now_ms: float) -> bool:
        """Tells whether a target is out at a time."""
        health = self._health.get(target_id)
        return health is not None and health.ejected_until_ms > now_ms

    def note_success(
        self,
        target: TargetState,
        service: Sequence[TargetState],
        now_ms: float,
    ) -> bool:
        """Takes in an answer; its time is already in the target's state.

        Args:
            target: Who answered.
            service: All targets of its service.
            now_ms: Steady time.

        Returns:
            Whether the target has just been ejected as too slow.
        """
        health = self._find(target.target_id)
        health.failures = 0
        if _is_slow(target, service):
            return self._eject(target, health, now_ms)
        self._suspected.discard(target.target_id)
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
        """Takes in a failure.

        Args:
            target: Who failed.
            kind: How.
            now_ms: Steady time.

        Returns:
            Whether the target has just been ejected.
        """
        health = self._find(target.target_id)
        health.failures += 1
        gone = kind in {FailureKind.CONNECT, FailureKind.CRASH}
        if gone or health.probing or health.failures >= FAILURES_TO_EJECT:
            return self._eject(target, health, now_ms)
        return False

    def keep_healthy(
        self,
        candidates: Sequence[TargetState],
        now_ms: float,
    ) -> Sequence[TargetState]:
        """Leaves out ejected targets, up to the capped share.

        Args:
            candidates: Targets of a service.
            now_ms: Steady time.

        Returns:
            Those that may be chosen; never none if there were some.
        """
        if not self._suspected:
            return candidates
        healthy = [
            state for state in candidates if self._may_take(state, now_ms)
        ]
        out = len(candidates) - len(healthy)
        allowed = math.ceil(len(candidates) * MAX_EJECTED_SHARE)
        if out <= allowed and healthy:
            return healthy
        ranked = sorted(candidates, key=self._ejected_until_ms)
        return ranked[: max(len(candidates) - allowed, 1)]

    def _may_take(self, state: TargetState, now_ms: float) -> bool:
        if state.target_id not in self._suspected:
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
        self._suspected.add(target.target_id)
        if health.ejected_until_ms > now_ms:
            return False
        lasts_ms = FIRST_EJECTION_MS * BACKOFF**health.ejections
        health.ejected_until_ms = now_ms + min(lasts_ms, MAX_EJECTION_MS)
        health.ejections += 1
        health.probing = True
        health.failures = 0
        return True

    def _find(self, target_id: str) -> TargetHealth:
        return self._health.setdefault(target_id, TargetHealth())


def _is_slow(target: TargetState, service: Sequence[TargetState]) -> bool:
    """Compares a target's learned time with those of its service."""
    if target.samples < MIN_SLOW_SAMPLES:
        return False
    others = [
        state.duration_ms
        for state in service
        if state is not target and state.samples >= MIN_SLOW_SAMPLES
    ]
    if not others:
        return False
    return target.duration_ms > SLOW_FACTOR * statistics.median(others)
