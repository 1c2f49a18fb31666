"""Departures that targets announce in their answers."""

import dataclasses
from collections.abc import Callable, Iterable, Sequence

from .clock import Clock
from .events import Event, log_event
from .roster import RosterRow

# Time for which a departure is remembered; its record goes well before.
RETENTION_MS = 60_000


@dataclasses.dataclass(frozen=True, slots=True)
class Departure:
    """An incarnation of a target that leaves."""

    target_id: str
    incarnation: int


# Called with what was not known before.
DepartureListener = Callable[[Sequence[Departure]], None]


class TargetDepartures:
    """The departures that answers to this entry or to peers announced.

    A departure is final for its incarnation, whatever its record says.
    """

    def __init__(self, clock: Clock) -> None:
        """Starts without departures.

        Args:
            clock: Monotonic clock.
        """
        self._clock = clock
        self._known_at_ms: dict[Departure, float] = {}
        self._listeners: list[DepartureListener] = []

    def add_listener(self, listener: DepartureListener) -> None:
        """Registers a callback for departures that were not known."""
        self._listeners.append(listener)

    def note_leaving(self, target: RosterRow) -> None:
        """Records that a target announced its departure.

        Args:
            target: The target that answered.
        """
        self.merge([Departure(target.target_id, target.incarnation)], '')

    def merge(self, departures: Iterable[Departure], source_id: str) -> None:
        """Merges departures that this entry or a peer heard of.

        Args:
            departures: The departures.
            source_id: Id of the peer; empty for this entry.
        """
        news = [one for one in departures if one not in self._known_at_ms]
        if not news:
            return
        self._known_at_ms.update(dict.fromkeys(news, self._clock.steady_ms()))
        for departure in news:
            log_event(
                Event.TARGET_LEAVING,
                target_id=departure.target_id,
                source_id=source_id,
            )
        for listener in self._listeners:
            listener(news)

    def keep(self, departures: Iterable[Departure]) -> None:
        """Remembers departures for longer, as they are still needed.

        Args:
            departures: The departures.
        """
        now_ms = self._clock.steady_ms()
        self._known_at_ms.update(dict.fromkeys(departures, now_ms))

    def known(self) -> Sequence[Departure]:
        """Returns the departures that are remembered."""
        now_ms = self._clock.steady_ms()
        self._known_at_ms = {
            departure: at_ms
            for departure, at_ms in self._known_at_ms.items()
            if now_ms - at_ms < RETENTION_MS
        }
        return tuple(self._known_at_ms)
