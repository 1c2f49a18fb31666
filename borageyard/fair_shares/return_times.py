"""Times at which refused callers are told to come back."""

import collections
import dataclasses
import math

SLOT_MS = 100
# Less work than this is a rounding error.
SMALLEST_WORK_MS = 1e-6
# Requests that are remembered; a burst refuses some hundred a second, and
# callers come back within a few seconds.
MAX_RESERVATIONS = 4096
# Callers come back after at most this share of the time that they have left.
MAX_LEFT_SHARE = 1 / 3
# Callers with much time left leave the next slots to those with little.
MIN_LEFT_SHARE = 0.05
# Part of the usable time after which callers come back without room.
OVERFLOW_FROM = 0.5
# A returning request may be this early: clocks and rounding differ.
TOLERANCE_MS = 20
# A request that has not come back this long after its time does not count.
KEEP_MS = 2000


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """Room that is kept for a refused request."""

    at_ms: float
    service: str
    slot: int
    work_ms: float
    # Whether there was room for it; else it is one attempt among others.
    kept: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ReturnQuery:
    """A request that was refused, and the room that there is for it."""

    caller_key: str
    service: str
    work_ms: float
    # Monotonic time from which on there is room.
    room_at_ms: float
    # Time of pieces for which there is room in a ms.
    room_per_ms: float
    left_ms: float


class ReturnTimes:
    """Spreads refused callers over the time in which there will be room.

    Designed for bursts in which hundreds of callers are refused within a
    second: if all were told the same time, they would be the next burst.
    """

    def __init__(self) -> None:
        """Creates times without any reservation."""
        self._reservations: collections.OrderedDict[str, Reservation] = (
            collections.OrderedDict()
        )
        self._slots: dict[str, dict[int, float]] = {}
        self._next_check_ms: float = 0

    def assign(self, query: ReturnQuery, now_ms: float) -> float:
        """Reserves room for a refused request.

        Args:
            query: The request.
            now_ms: Monotonic time.

        Returns:
            The time after which its caller is to come back, in ms.
        """
        self._expire(now_ms)
        self.release(query.caller_key)
        slots = self._slots.setdefault(query.service, {})
        room_ms = query.room_per_ms * SLOT_MS
        usable = _usable_slots(query, now_ms)
        # If there is not enough room in time, the least loaded of the later
        # slots: the overload may have ended by then.
        chosen = min(
            usable[int(len(usable) * OVERFLOW_FROM) :],
            key=lambda slot: slots.get(slot, 0),
        )
        for slot in usable:
            if slots.get(slot, 0) < room_ms:
                chosen = slot
                break
        kept = slots.get(chosen, 0) < room_ms
        slots[chosen] = slots.get(chosen, 0) + query.work_ms
        # Requests of a slot are spread over it.
        used = math.modf(slots[chosen] / max(room_ms, query.work_ms))[0]
        reservation = Reservation(
            now_ms
            + usable_wait_ms((chosen + used) * SLOT_MS - now_ms, query.left_ms),
            query.service,
            chosen,
            query.work_ms,
            kept,
        )
        self._reservations[query.caller_key] = reservation
        if len(self._reservations) > MAX_RESERVATIONS:
            self.release(next(iter(self._reservations)))
        return reservation.at_ms - now_ms

    def wait_ms(self, caller_key: str, now_ms: float) -> float | None:
        """Returns the time until the room of a request, or None without any.

        Args:
            caller_key: Key of a request, the same in its next attempt.
            now_ms: Monotonic time.
        """
        reservation = self._reservations.get(caller_key)
        if reservation is None:
            return None
        wait_ms = reservation.at_ms - now_ms
        return wait_ms if wait_ms > TOLERANCE_MS else 0

    def is_kept(self, caller_key: str) -> bool:
        """Returns whether room is kept for a request.

        Args:
            caller_key: Key of a request, the same in its next attempt.
        """
        reservation = self._reservations.get(caller_key)
        return reservation is not None and reservation.kept

    def reserved_ms(
        self, service: str, since_ms: float, until_ms: float
    ) -> float:
        """Returns the time of pieces that is reserved in a period, in ms.

        Args:
            service: The service that runs the pieces.
            since_ms: Monotonic time of the start of the period.
            until_ms: Monotonic time of its end.
        """
        first = since_ms // SLOT_MS
        last = until_ms // SLOT_MS
        slots = self._slots.get(service, {})
        return sum(
            work_ms for slot, work_ms in slots.items() if first <= slot <= last
        )

    def release(self, caller_key: str) -> None:
        """Frees the room of a request.

        Args:
            caller_key: Key of the request.
        """
        reservation = self._reservations.pop(caller_key, None)
        if reservation is None:
            return
        slots = self._slots[reservation.service]
        slots[reservation.slot] -= reservation.work_ms
        if slots[reservation.slot] < SMALLEST_WORK_MS:
            slots.pop(reservation.slot)

    def _expire(self, now_ms: float) -> None:
        """Frees the room of callers that did not come back."""
        if now_ms < self._next_check_ms:
            return
        self._next_check_ms = now_ms + SLOT_MS
        expired = [
            caller_key
            for caller_key, reservation in self._reservations.items()
            if reservation.at_ms + KEEP_MS < now_ms
        ]
        for caller_key in expired:
            self.release(caller_key)


def usable_wait_ms(wait_ms: float, left_ms: float) -> float:
    """Returns a time after which a caller still comes back, in ms.

    Args:
        wait_ms: Time after which there is room.
        left_ms: Time that the caller has left.
    """
    return min(wait_ms, max(left_ms, 0) * MAX_LEFT_SHARE)


def _usable_slots(query: ReturnQuery, now_ms: float) -> range:
    """Returns the slots in which a caller may come back, at least one."""
    first_ms = max(query.room_at_ms, now_ms + query.left_ms * MIN_LEFT_SHARE)
    last_ms = now_ms + query.left_ms * MAX_LEFT_SHARE
    nearest = int(now_ms // SLOT_MS) + 1
    last = max(int(last_ms // SLOT_MS) - 1, nearest)
    first = max(int(first_ms // SLOT_MS) + 1, nearest)
    return range(min(first, last), last + 1)
