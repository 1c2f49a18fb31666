"""Order of waiting calls: least slack first within weighted fair shares."""

import dataclasses
import heapq
import itertools
from collections.abc import Iterator
from typing import Generic, TypeVar

WaiterT = TypeVar('WaiterT')


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket(Generic[WaiterT]):
    """A waiting call."""

    organisation: str
    weight: float
    latest_start_ms: float
    waiter: WaiterT


@dataclasses.dataclass(slots=True)
class Lane(Generic[WaiterT]):
    """Waiting calls of one organisation."""

    finish: float = 0
    heap: list[tuple[float, int, Ticket[WaiterT]]] = dataclasses.field(
        default_factory=list,
    )


class FairQueue(Generic[WaiterT]):
    """Serves organisations by weight, and each by least slack."""

    def __init__(self) -> None:
        """Starts empty."""
        self._lanes: dict[str, Lane[WaiterT]] = {}
        self._virtual: float = 0
        self._order = itertools.count()
        self._length = 0

    def __len__(self) -> int:
        """Returns how many calls wait."""
        return self._length

    def push(self, ticket: Ticket[WaiterT]) -> None:
        """Adds a waiting call.

        Args:
            ticket: The call.
        """
        lane = self._lanes.setdefault(ticket.organisation, Lane())
        if not lane.heap:
            lane.finish = max(lane.finish, self._virtual)
        entry = (ticket.latest_start_ms, next(self._order), ticket)
        heapq.heappush(lane.heap, entry)
        self._length += 1

    def pop(self) -> Ticket[WaiterT] | None:
        """Takes the call that goes next, or none if none waits."""
        waiting = [lane for lane in self._lanes.values() if lane.heap]
        if not waiting:
            return None
        lane = min(waiting, key=_finish)
        ticket = heapq.heappop(lane.heap)[-1]
        self._virtual = lane.finish
        lane.finish += 1 / ticket.weight
        self._length -= 1
        self._drop_idle()
        return ticket

    def put_back(self, ticket: Ticket[WaiterT]) -> None:
        """Returns a call that could not start after all."""
        self.push(ticket)
        self._lanes[ticket.organisation].finish -= 1 / ticket.weight

    def tickets(self) -> Iterator[Ticket[WaiterT]]:
        """Yields all waiting calls in no order."""
        for lane in self._lanes.values():
            for entry in lane.heap:
                yield entry[-1]

    def _drop_idle(self) -> None:
        idle = [
            name
            for name, lane in self._lanes.items()
            if not lane.heap and lane.finish <= self._virtual
        ]
        for name in idle:
            self._lanes.pop(name)


def _finish(lane: Lane[WaiterT]) -> float:
    return lane.finish
