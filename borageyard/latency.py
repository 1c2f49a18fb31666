"""Learned times of services."""

import collections
from collections.abc import Sequence
from typing import NamedTuple

WINDOW_SAMPLES = 64
REFRESH_SAMPLES = 8
MIN_SAMPLES = 8
PLANNED_SHARE = 0.5
CAUTIOUS_SHARE = 0.75
BEST_SHARE = 0.1


class UsualTimes(NamedTuple):
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
        self._unread = 0
        self._usual: UsualTimes | None = None

    def add(self, duration_ms: float) -> None:
        """Takes in a sample."""
        self._samples.append(duration_ms)
        self._unread += 1

    def quantile_ms(self, share: float, default_ms: float) -> float:
        """Returns a quantile, or the default while there are few samples.

        Args:
            share: Which quantile, from 0 to 1.
            default_ms: Answer before enough is known.
        """
        if len(self._samples) < MIN_SAMPLES:
            return default_ms
        self._refresh()
        return self._at(share)

    def usual_times(self, default_ms: float) -> UsualTimes:
        """Returns the quantiles that decisions use.

        Args:
            default_ms: All of them, before enough is known.
        """
        if len(self._samples) < MIN_SAMPLES:
            return UsualTimes(default_ms, default_ms, default_ms)
        self._refresh()
        if self._usual is None:
            self._usual = UsualTimes(
                self._at(BEST_SHARE),
                self._at(PLANNED_SHARE),
                self._at(CAUTIOUS_SHARE),
            )
        return self._usual

    def _refresh(self) -> None:
        if self._unread >= REFRESH_SAMPLES or not self._sorted:
            self._sorted = sorted(self._samples)
            self._unread = 0
            self._usual = None

    def _at(self, share: float) -> float:
        index = int(share * len(self._sorted))
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

    def usual_times(self, service: str, default_ms: float) -> UsualTimes:
        """Returns the quantiles of a service's time that decisions use.

        Args:
            service: Name of the service.
            default_ms: All of them, before enough is known.
        """
        quantiles = self._quantiles.get(service)
        if quantiles is None:
            return UsualTimes(default_ms, default_ms, default_ms)
        return quantiles.usual_times(default_ms)

    def quantile_ms(
        self,
        service: str,
        share: float,
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
        return quantiles.quantile_ms(share, default_ms)
