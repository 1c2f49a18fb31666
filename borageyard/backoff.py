"""Delays between attempts of calls to the shared store."""

import itertools
from collections.abc import Iterator

RETRY_MIN_MS = 100
RETRY_MAX_MS = 1000


def retry_delays() -> Iterator[float]:
    """Returns increasing delays in milliseconds; the last one repeats."""
    increasing: list[float] = []
    delay_ms: float = RETRY_MIN_MS
    while delay_ms < RETRY_MAX_MS:
        increasing.append(delay_ms)
        delay_ms *= 2
    return itertools.chain(increasing, itertools.repeat(RETRY_MAX_MS))
