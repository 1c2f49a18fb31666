"""Fair shares of scarce services, by measured work."""

import collections
import dataclasses
from collections.abc import Iterable, Mapping

# Less work than this is a rounding error of the sums.
SMALLEST_WORK_MS = 1e-6
# Work counts for this time. It has to be long against the time of a request,
# and short against the time for which callers wait.
WINDOW_MS = 4000
SLOT_MS = 250
# The level changes slowly, and is computed once for many requests.
LEVEL_MS = 50
# A service that admits at least this share of the work is not short.
AMPLE_SHARE = 0.98
# A name that is served less often than this, relative to all, is not held
# back any more. Users call it starved at a quarter.
MIN_RELATIVE_SHARE = 0.4


@dataclasses.dataclass(slots=True)
class _Work:
    """Time of the pieces that were wanted and admitted, in ms."""

    wanted_ms: float = 0
    admitted_ms: float = 0


@dataclasses.dataclass(slots=True)
class _Slot:
    number: int
    by_key: dict[tuple[str, str], _Work] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class _Level:
    """Fair share of a service, and the share of all work that it admits."""

    at_ms: float
    fair_ms: float
    admitted_share: float


class OrganisationShares:
    """Work by organisation and service over a sliding window.

    Designed for callers that compete: an organisation that asks for most of
    the work may have what the others leave, but no part of their shares. The
    fair share is the level at which the admitted work would be distributed
    if each organisation got what it wants up to the level (max-min fairness).
    """

    def __init__(self) -> None:
        """Creates shares without any work."""
        self._slots: collections.deque[_Slot] = collections.deque()
        self._sums: dict[str, dict[str, _Work]] = {}
        self._levels: dict[str, _Level] = {}

    def note(
        self,
        organisation: str,
        work: Mapping[str, float],
        now_ms: float,
        *,
        admitted: bool,
    ) -> None:
        """Records a request that was admitted or refused.

        Args:
            organisation: Who sent it.
            work: Time of its pieces in ms, by service.
            now_ms: Monotonic time.
            admitted: Whether it was admitted.
        """
        self._expire(now_ms)
        number = int(now_ms // SLOT_MS)
        if not self._slots or self._slots[-1].number != number:
            self._slots.append(_Slot(number))
        slot = self._slots[-1]
        for service, work_ms in work.items():
            sums = self._sums.setdefault(service, {})
            for counted in (
                slot.by_key.setdefault((service, organisation), _Work()),
                sums.setdefault(organisation, _Work()),
            ):
                counted.wanted_ms += work_ms
                counted.admitted_ms += work_ms * admitted

    def exceeds(
        self, organisation: str, services: Iterable[str], now_ms: float
    ) -> bool:
        """Returns whether an organisation has its share of a short service.

        Args:
            organisation: Who sent the request.
            services: Services that it needs.
            now_ms: Monotonic time.
        """
        self._expire(now_ms)
        for service in services:
            work = self._sums.get(service, {}).get(organisation)
            level = self._level(service, now_ms)
            if work is None or level.admitted_share >= AMPLE_SHARE:
                continue
            least_ms = (
                work.wanted_ms * level.admitted_share * MIN_RELATIVE_SHARE
            )
            if work.admitted_ms > max(level.fair_ms, least_ms):
                return True
        return False

    def is_starved(
        self, organisation: str, services: Iterable[str], now_ms: float
    ) -> bool:
        """Returns whether far less of its work is admitted than of all.

        Args:
            organisation: Who sent the request.
            services: Services that it needs.
            now_ms: Monotonic time.
        """
        self._expire(now_ms)
        for service in services:
            work = self._sums.get(service, {}).get(organisation)
            level = self._level(service, now_ms)
            if work is not None and (
                work.admitted_ms
                < work.wanted_ms * level.admitted_share * MIN_RELATIVE_SHARE
            ):
                return True
        return False

    def _level(self, service: str, now_ms: float) -> _Level:
        level = self._levels.get(service)
        if level is None or now_ms - level.at_ms >= LEVEL_MS:
            works = self._sums.get(service, {}).values()
            wanted_ms = sum(work.wanted_ms for work in works)
            admitted_ms = sum(work.admitted_ms for work in works)
            level = _Level(
                now_ms,
                fair_level([work.wanted_ms for work in works], admitted_ms),
                admitted_ms / wanted_ms if wanted_ms else 1,
            )
            self._levels[service] = level
        return level

    def _expire(self, now_ms: float) -> None:
        oldest = int((now_ms - WINDOW_MS) // SLOT_MS)
        while self._slots and self._slots[0].number <= oldest:
            for key, work in self._slots.popleft().by_key.items():
                sums = self._sums[key[0]]
                total = sums.get(key[1])
                if total is None:
                    continue
                total.wanted_ms -= work.wanted_ms
                total.admitted_ms -= work.admitted_ms
                if total.wanted_ms < SMALLEST_WORK_MS:
                    sums.pop(key[1])


def fair_level(wanted: Iterable[float], available: float) -> float:
    """Returns the level up to which all get what they want.

    Args:
        wanted: What each one wants.
        available: What there is for all of them.
    """
    ascending = sorted(wanted)
    left = available
    level: float = 0
    for index, amount in enumerate(ascending):
        level = left / (len(ascending) - index)
        if amount > level:
            break
        left -= amount
    return level
