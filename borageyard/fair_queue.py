"""Weighted fair queue of calls: least slack first per organisation."""

import dataclasses
import heapq
import itertools
from collections.abc import Iterator
from typing import Generic, TypeVar

WaiterT = TypeVar('WaiterT')


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedCall(Generic[WaiterT]):
    """A waiting call; ``latest_start_ms`` is a time of the monotonic clock."""

    organisation: str
    weight: float
    latest_start_ms: float
    waiter: WaiterT


@dataclasses.dataclass(slots=True)
class OrganisationQueue(Generic[WaiterT]):
    """Waiting calls of one organisation and its virtual finish time."""

    virtual_finish: float = 0
    heap: list[tuple[float, int, QueuedCall[WaiterT]]] = dataclasses.field(
        default_factory=list,
    )


class FairQueue(Generic[WaiterT]):
    """Serves organisations by weight and the calls of each by least slack."""

    def __init__(self) -> None:
        """Starts empty."""
        self._queues: dict[str, OrganisationQueue[WaiterT]] = {}
        self._virtual_time: float = 0
        self._order = itertools.count()
        self._length = 0

    def __len__(self) -> int:
        """Returns the number of waiting calls."""
        return self._length

    def push(self, call: QueuedCall[WaiterT]) -> None:
        """Adds a waiting call.

        Args:
            call: The call and its organisation, weight and latest start.
        """
        queue = self._queues.setdefault(call.organisation, OrganisationQueue())
        if not queue.heap:
            queue.virtual_finish = max(queue.virtual_finish, self._virtual_time)
        heap_item = (call.latest_start_ms, next(self._order), call)
        heapq.heappush(queue.heap, heap_item)
        self._length += 1

    def pop(self) -> QueuedCall[WaiterT] | None:
        """Removes and returns the next call, or ``None`` if none waits."""
        waiting = [queue for queue in self._queues.values() if queue.heap]
        if not waiting:
            return None
        queue = min(waiting, key=_virtual_finish)
        call = heapq.heappop(queue.heap)[-1]
        self._virtual_time = queue.virtual_finish
        queue.virtual_finish += 1 / call.weight
        self._length -= 1
        self._drop_idle()
        return call

    def put_back(self, call: QueuedCall[WaiterT]) -> None:
        """Requeues a call that could not start and undoes its charge."""
        self.push(call)
        self._queues[call.organisation].virtual_finish -= 1 / call.weight

    def queued_calls(self) -> Iterator[QueuedCall[WaiterT]]:
        """Yields all waiting calls in arbitrary order."""
        for queue in self._queues.values():
            for heap_item in queue.heap:
                yield heap_item[-1]

    def _drop_idle(self) -> None:
        idle = [
            name
            for name, queue in self._queues.items()
            if not queue.heap and queue.virtual_finish <= self._virtual_time
        ]
        for name in idle:
            self._queues.pop(name)


def _virtual_finish(queue: OrganisationQueue[WaiterT]) -> float:
    return queue.virtual_finish
