"""Learned times of services."""

import collections
from collections.abc import Sequence
from typing import NamedTuple

WINDOW_SAMPLES = 64
REFRESH_SAMPLES = 8
MIN_SAMPLES = 8
PLANNED_QUANTILE = 0.5
CAUTIOUS_QUANTILE = 0.75
BEST_QUANTILE = 0.1


class TimeQuantiles(NamedTuple):
    """Quantiles of a time.

    The planned one is that of a usual call, the cautious one is planned with
    while others wait for the same targets, and the best one may be hoped for
    while none does.
    """

    best_ms: float
    planned_ms: float
    cautious_ms: float


class RecentQuantiles:
    """Quantiles over the newest samples of a time."""

    def __init__(self) -> None:
        """Starts without samples."""
        self._samples: collections.deque[float] = collections.deque(
            maxlen=WINDOW_SAMPLES,
        )
        self._sorted: Sequence[float] = ()
        self._unsorted_samples = 0
        self._cached_quantiles: TimeQuantiles | None = None

    def add(self, duration_ms: float) -> None:
        """Takes in a sample."""
        self._samples.append(duration_ms)
        self._unsorted_samples += 1

    def quantile_ms(self, fraction: float, default_ms: float) -> float:
        """Returns a quantile, or the default while there are few samples.

        Args:
            share: Which quantile, from 0 to 1.
            default_ms: Answer before enough is known.
        """
        if len(self._samples) < MIN_SAMPLES:
            return default_ms
        self._refresh()
        return self._value_at(fraction)

    def time_quantiles(self, default_ms: float) -> TimeQuantiles:
        """Returns the quantiles that decisions use.

        Args:
            default_ms: All of them, before enough is known.
        """
        if len(self._samples) < MIN_SAMPLES:
            return TimeQuantiles(default_ms, default_ms, default_ms)
        self._refresh()
        if self._cached_quantiles is None:
            self._cached_quantiles = TimeQuantiles(
                self._value_at(BEST_QUANTILE),
                self._value_at(PLANNED_QUANTILE),
                self._value_at(CAUTIOUS_QUANTILE),
            )
        return self._cached_quantiles

    def _refresh(self) -> None:
        if self._unsorted_samples >= REFRESH_SAMPLES or not self._sorted:
            self._sorted = sorted(self._samples)
            self._unsorted_samples = 0
            self._cached_quantiles = None

    def _value_at(self, fraction: float) -> float:
        index = int(fraction * len(self._sorted))
        return self._sorted[min(index, len(self._sorted) - 1)]


class ServiceTimes:
    """Quantiles of the time of an attempt, by service."""

    def __init__(self) -> None:
        """Starts without samples."""
        self._quantiles: dict[str, RecentQuantiles] = {}

    def note(self, service: str, duration_ms: float) -> None:
        """Takes in the time of a finished attempt.

        Args:
            service: Service that ran it.
            duration_ms: From sending to the whole answer.
        """
        quantiles = self._quantiles.setdefault(service, RecentQuantiles())
        quantiles.add(duration_ms)

    def time_quantiles(self, service: str, default_ms: float) -> TimeQuantiles:
        """Returns the quantiles of a service's time that decisions use.

        Args:
            service: Name of the service.
            default_ms: All of them, before enough is known.
        """
        quantiles = self._quantiles.get(service)
        if quantiles is None:
            return TimeQuantiles(default_ms, default_ms, default_ms)
        return quantiles.time_quantiles(default_ms)

    def quantile_ms(
        self,
        service: str,
        fraction: float,
        default_ms: float,
    ) -> float:
        """Returns a quantile of a service's time.

        Args:
            service: Name of the service.
            share: Which quantile, from 0 to 1.
            default_ms: Answer before enough is known.
        """
        quantiles = self._quantiles.get(service)
        if quantiles is None:
            return default_ms
        return quantiles.quantile_ms(fraction, default_ms)
