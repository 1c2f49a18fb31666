"""Clocks behind one protocol, so that tests can use virtual time."""

import asyncio
import time
from typing import Protocol

MS_PER_S = 1000
STEADY_CLOCK = getattr(time, 'CLOCK_BOOTTIME', time.CLOCK_MONOTONIC)


class Clock(Protocol):
    """Source of wall time and of steady time."""

    def wall_ms(self) -> float:
        """Returns milliseconds since the Unix epoch."""

    def steady_ms(self) -> float:
        """Returns milliseconds of a clock that never goes back."""


class SystemClock:
    """The clocks of the machine."""

    def wall_ms(self) -> float:
        """Returns milliseconds since the Unix epoch."""
        return time.time() * MS_PER_S

    def steady_ms(self) -> float:
        """Returns milliseconds of a clock that never goes back.

        It counts the time for which the machine was suspended, where the
        system has such a clock: deadlines go on meanwhile.
        """
        return time.clock_gettime(STEADY_CLOCK) * MS_PER_S


class LoopClock:
    """Clock that follows the running event loop, for virtual time."""

    def __init__(self, epoch_ms: float = 0) -> None:
        """Starts wall time at an epoch.

        Args:
            epoch_ms: Wall time when the loop's time is zero.
        """
        self.epoch_ms = epoch_ms

    def wall_ms(self) -> float:
        """Returns the loop's time from the epoch on."""
        return self.epoch_ms + self.steady_ms()

    def steady_ms(self) -> float:
        """Returns the loop's time."""
        return asyncio.get_running_loop().time() * MS_PER_S


class ManualClock:
    """Clock that moves only when told, for tests of decisions."""

    def __init__(self, now_ms: float = 0) -> None:
        """Starts both clocks at the same time.

        Args:
            now_ms: The first time that is shown.
        """
        self.now_ms = now_ms

    def wall_ms(self) -> float:
        """Returns the set time."""
        return self.now_ms

    def steady_ms(self) -> float:
        """Returns the set time."""
        return self.now_ms

    def advance(self, by_ms: float) -> None:
        """Moves the clocks on.

        Args:
            by_ms: How far, in milliseconds.
        """
        self.now_ms += by_ms
