"""Running sums of the pieces that wait, by service and priority."""

import collections
import dataclasses
from collections.abc import Callable, Iterator, Mapping
from typing import TypeVar

from .chains import Chain, StageState

# Width of the classes of latest start times that pieces are summed by.
START_CLASS_MS = 50
US_PER_MS = 1000
_KeyT = TypeVar('_KeyT')
# Returns the time that a piece of a stage takes from its service, in ms.
PieceCost = Callable[[StageState], float]


@dataclasses.dataclass(frozen=True, slots=True)
class _Share:
    """What the missing pieces of one stage add to the sums."""

    service: str
    priority: int
    work_kind: str
    count: int
    # Time of the pieces; an integer, so that sums don't drift.
    work_us: int
    # Class of the latest start time; None if the request is late.
    start_class: int | None


@dataclasses.dataclass(slots=True)
class ServiceWork:
    """Time of the pieces that wait for a service, in microseconds."""

    # By the class of the time by which they have to start to be on time.
    by_start: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    # Pieces of requests that were admitted to be served late.
    late_us: int = 0

    @property
    def total_us(self) -> int:
        """Returns the time of all pieces."""
        return self.by_start.total() + self.late_us


class WaitingRoom:
    """Room between the pieces that wait for a service.

    Pieces run in the order of their latest starts (earliest deadline first),
    so all that have to start by some time need to fit into the time until
    then.
    """

    def __init__(
        self, waiting: ServiceWork, start_ms: float, rate: float
    ) -> None:
        """Creates the room of one moment.

        Args:
            waiting: Work that waits.
            start_ms: Monotonic time at which targets take further work.
            rate: Work in ms that they do in a ms.
        """
        self._waiting = waiting
        self._start_ms = start_ms
        self._rate = rate

    def excess_ms(self, latest_start_ms: float, *, alone: bool) -> float:
        """Returns by how much pieces would be late, at most 0 if they fit.

        Their own size does not count, else large requests would starve.

        Args:
            latest_start_ms: Time by which the pieces have to start.
            alone: Whether pieces that have to start later may become late.
        """
        by_start = self._waiting.by_start
        own = start_class_of(latest_start_ms)
        first = start_class_of(self._start_ms)
        ahead_us = sum(
            work_us
            for start_class, work_us in by_start.items()
            if first <= start_class <= own
        )
        excess_ms = self._excess_ms(ahead_us, latest_start_ms)
        if alone:
            return excess_ms
        for start_class in sorted(by_start):
            if start_class > own:
                ahead_us += by_start[start_class]
                end_ms = (start_class + 1) * START_CLASS_MS
                excess_ms = max(excess_ms, self._excess_ms(ahead_us, end_ms))
        return excess_ms

    def _excess_ms(self, ahead_us: int, until_ms: float) -> float:
        needed_ms = ahead_us / US_PER_MS / self._rate
        return needed_ms - (until_ms - self._start_ms)


class WaitingWork:
    """Sums the missing pieces of the admitted requests.

    Designed for bursts in which hundreds of requests wait while each new one
    has to be admitted or refused: only requests that have changed since the
    last decision are looked at.
    """

    def __init__(self, chains: Mapping[str, Chain]) -> None:
        """Creates sums of requests that are added and removed elsewhere.

        Args:
            chains: The admitted requests, by id.
        """
        self._changed_ids: set[str] = set()
        # Set where work is also summed by its latest start time.
        self.piece_cost: PieceCost | None = None
        self._chains = chains
        self._shares: dict[str, tuple[list[_Share], tuple[str, int]]] = {}
        self._pieces: dict[str, collections.Counter[tuple[int, str]]] = {}
        self._requests: collections.Counter[tuple[str, int]] = (
            collections.Counter()
        )
        self._services: dict[str, ServiceWork] = {}

    def watch(self, chain: Chain) -> None:
        """Follows the changes of a request.

        Args:
            chain: The request.
        """
        chain.listeners.append(self._note_change)
        self._note_change(chain)

    def pieces_ahead(self, service: str, priority: int) -> Mapping[str, int]:
        """Returns the number of missing pieces by kind of work.

        Args:
            service: The service that they wait for.
            priority: Requests that are less urgent do not count.
        """
        self._refresh()
        ahead: collections.Counter[str] = collections.Counter()
        for key, count in self._pieces.get(service, {}).items():
            if key[0] <= priority:
                ahead[key[1]] += count
        return ahead

    def requests_ahead(self, engine_service: str, priority: int) -> int:
        """Returns the number of requests that have no engine yet.

        Args:
            engine_service: Service of their engine.
            priority: Requests that are less urgent do not count.
        """
        self._refresh()
        return sum(
            count
            for key, count in self._requests.items()
            if key[0] == engine_service and key[1] <= priority
        )

    def of_service(self, service: str) -> ServiceWork:
        """Returns the work that waits for a service."""
        self._refresh()
        return self._services.get(service) or ServiceWork()

    def _note_change(self, chain: Chain) -> None:
        self._changed_ids.add(chain.spec.chain_id)

    def _refresh(self) -> None:
        while self._changed_ids:
            chain_id = self._changed_ids.pop()
            earlier = self._shares.pop(chain_id, None)
            if earlier is not None:
                self._add(*earlier, -1)
            chain = self._chains.get(chain_id)
            if chain is not None and not chain.granted:
                spec = chain.spec
                key = (spec.engine_service, spec.priority)
                shares = list(self._shares_of(chain))
                self._shares[chain_id] = (shares, key)
                self._add(shares, key, 1)

    def _add(
        self, shares: list[_Share], key: tuple[str, int], sign: int
    ) -> None:
        _adjust(self._requests, key, sign)
        for share in shares:
            pieces = self._pieces.setdefault(
                share.service, collections.Counter()
            )
            _adjust(
                pieces, (share.priority, share.work_kind), sign * share.count
            )
            if self.piece_cost is None:
                continue
            work = self._services.setdefault(share.service, ServiceWork())
            if share.start_class is None:
                work.late_us += sign * share.work_us
            else:
                _adjust(work.by_start, share.start_class, sign * share.work_us)

    def _shares_of(self, chain: Chain) -> Iterator[_Share]:
        spec = chain.spec
        for state in chain.unfinished():
            count = len(state.missing)
            if not count:
                continue
            work_us = 0
            start_class = None
            if self.piece_cost is not None:
                work_us = round(self.piece_cost(state) * count * US_PER_MS)
                if not chain.admitted_late:
                    start_class = start_class_of(
                        spec.soft_deadline_at_ms - state.critical_path_ms
                    )
            yield _Share(
                state.stage.service,
                spec.priority,
                state.stage.work_kind,
                count,
                work_us,
                start_class,
            )


def start_class_of(latest_start_at_ms: float) -> int:
    """Returns the class of a time by which pieces have to start.

    Args:
        latest_start_at_ms: Monotonic time.
    """
    return int(latest_start_at_ms // START_CLASS_MS)


def _adjust(
    counts: collections.Counter[_KeyT], key: _KeyT, change: int
) -> None:
    counts[key] += change
    if not counts[key]:
        counts.pop(key)
