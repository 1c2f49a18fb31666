"""Clocks with one interface, so that tests can use virtual time."""

import asyncio
import time
from typing import Protocol

MS_PER_S = 1000
STEADY_CLOCK = getattr(time, 'CLOCK_BOOTTIME', time.CLOCK_MONOTONIC)


class Clock(Protocol):
    """Source of wall-clock time and of steady time."""

    def wall_ms(self) -> float:
        """Returns milliseconds since the Unix epoch."""

    def steady_ms(self) -> float:
        """Returns milliseconds of a clock that never goes back."""


class SystemClock:
    """Clock of the operating system."""

    def wall_ms(self) -> float:
        """Returns milliseconds since the Unix epoch."""
        return time.time() * MS_PER_S

    def steady_ms(self) -> float:
        """Returns milliseconds of a clock that never goes back.

        Where the system has such a clock, it includes the time for which the
        machine was suspended, since deadlines continue during suspension.
        """
        return time.clock_gettime(STEADY_CLOCK) * MS_PER_S


class LoopClock:
    """Clock driven by the running event loop, for virtual time."""

    def __init__(self, epoch_ms: float = 0) -> None:
        """Creates a clock.

        Args:
            epoch_ms: Wall-clock time when the loop time is 0.
        """
        self.epoch_ms = epoch_ms

    def wall_ms(self) -> float:
        """Returns the loop time plus the epoch, in milliseconds."""
        return self.epoch_ms + self.steady_ms()

    def steady_ms(self) -> float:
        """Returns the loop time in milliseconds."""
        return asyncio.get_running_loop().time() * MS_PER_S


class ManualClock:
    """Clock that moves only on demand, for tests of decisions."""

    def __init__(self, now_ms: float = 0) -> None:
        """Creates a clock whose wall and steady time are equal.

        Args:
            now_ms: Initial time of both, in milliseconds.
        """
        self.now_ms = now_ms

    def wall_ms(self) -> float:
        """Returns the set time."""
        return self.now_ms

    def steady_ms(self) -> float:
        """Returns the set time."""
        return self.now_ms

    def advance(self, by_ms: float) -> None:
        """Advances both times.

        Args:
            by_ms: Milliseconds to add.
        """
        self.now_ms += by_ms
