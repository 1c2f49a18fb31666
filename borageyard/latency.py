"""Quantiles of service times, learned from recent samples."""

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

    ``planned_ms`` is the time of a typical call. ``cautious_ms`` is used for
    planning while other calls wait for the same targets, and ``best_ms`` is
    the time that may be expected while none does.
    """

    best_ms: float
    planned_ms: float
    cautious_ms: float


class RecentQuantiles:
    """Quantiles over the most recent samples of a time."""

    def __init__(self) -> None:
        """Starts without samples."""
        self._samples: collections.deque[float] = collections.deque(
            maxlen=WINDOW_SAMPLES,
        )
        self._sorted: Sequence[float] = ()
        self._unsorted_samples = 0
        self._cached_quantiles: TimeQuantiles | None = None

    def add(self, duration_ms: float) -> None:
        """Adds a sample."""
        self._samples.append(duration_ms)
        self._unsorted_samples += 1

    def quantile_ms(self, fraction: float, default_ms: float) -> float:
        """Returns a quantile, or the default if there are too few samples.

        Args:
            fraction: Quantile to return, from 0 to 1.
            default_ms: Result with fewer than ``MIN_SAMPLES`` samples.
        """
        if len(self._samples) < MIN_SAMPLES:
            return default_ms
        self._refresh()
        return self._value_at(fraction)

    def time_quantiles(self, default_ms: float) -> TimeQuantiles:
        """Returns the quantiles that scheduling decisions use.

        Args:
            default_ms: Value of all quantiles before there are enough samples.
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
    """Quantiles of the duration of attempts, by service."""

    def __init__(self) -> None:
        """Starts without samples."""
        self._quantiles: dict[str, RecentQuantiles] = {}

    def note(self, service: str, duration_ms: float) -> None:
        """Records the duration of a finished attempt.

        Args:
            service: Service that ran it.
            duration_ms: Time from sending the call to its complete answer.
        """
        quantiles = self._quantiles.setdefault(service, RecentQuantiles())
        quantiles.add(duration_ms)

    def time_quantiles(self, service: str, default_ms: float) -> TimeQuantiles:
        """Returns the quantiles of a service's time for decisions.

        Args:
            service: Name of the service.
            default_ms: Value of all quantiles before there are enough samples.
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
            fraction: Quantile to return, from 0 to 1.
            default_ms: Result before there are enough samples.
        """
        quantiles = self._quantiles.get(service)
        if quantiles is None:
            return default_ms
        return quantiles.quantile_ms(fraction, default_ms)
