"""Admission where callers compete for services that are short of room."""

import collections
import dataclasses
import math
from collections.abc import Mapping

from ..chain_time_estimator import ChainTimeEstimator
from ..chains import Chain, ChainSpec, StageState
from ..plans import ChainRefusal, Denial
from ..waiting_work import (
    US_PER_MS,
    WaitingRoom,
    WaitingWork,
)
from .organisation_shares import OrganisationShares
from .return_times import ReturnQuery, ReturnTimes, usable_wait_ms

# Calls are nearly full while requests wait for them.
BUSY_FILL_RATIO = 1
# Share of the time of the targets that requests on time may take. A share
# learned from missed soft deadlines earned less in each replay of competing
# callers, because it stayed low after a fault.
ON_TIME_SHARE = 1
# Part of that which an organisation beyond its share may take.
BEYOND_SHARE_FACTOR = 0.75
# Share of the time left that the predicted time of a late request may take.
MAX_LATE_TIME_SHARE = 0.5
# Share of the time left that a request without other load may need.
MAX_PREDICTED_TIME_SHARE = 0.85
# Time over which the demand of requests on time is measured.
DEMAND_WINDOW_MS = 400
# Least share of the capacity that returning callers are spread over.
MIN_RETURN_SHARE = 0.1
MIN_RETRY_AFTER_MS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class _Room:
    """Room of a service for one request."""

    # Time by which the request would be too late to be on time, in ms.
    excess_ms: float
    # Work in ms that targets do in a ms, and what requests on time leave.
    capacity: float
    spare: float
    # Time until all that is admitted has been done.
    backlog_ms: float


class FairAdmission:
    """Admits requests into the room that there is for their callers.

    Designed for consecutive bursts, each beyond the capacity of the targets:
    requests are admitted while they can be on time; requests that would be
    late are admitted only into room that those on time leave. Otherwise they
    are refused at once with a time at which there is room, since what is
    served late takes the room from what could still be on time.
    """

    def __init__(self, times: ChainTimeEstimator, work: WaitingWork) -> None:
        """Creates an admission without history.

        Args:
            times: Predicts the time of requests.
            work: Sums of the waiting work.
        """
        self.share_refusals: collections.Counter[str] = collections.Counter()
        self._times = times
        self._work = work
        self._organisations = OrganisationShares()
        self._kinds = OrganisationShares()
        self._returns = ReturnTimes()
        self._demand: dict[str, _Demand] = {}
        work.piece_cost = self._piece_cost_ms

    def admit(
        self, chain: Chain, permit_wait_ms: float, now_ms: float
    ) -> Denial | None:
        """Admits a request, or refuses it with the time of its return.

        Args:
            chain: The request, with predicted times.
            permit_wait_ms: Time until an engine permits the request.
            now_ms: Monotonic time.

        Returns:
            Why it is refused, or None if it is admitted.
        """
        spec = chain.spec
        work = self._work_by_service(chain)
        beyond = self._organisations.exceeds(spec.organisation, work, now_ms)
        rooms = self._rooms(chain, work, now_ms, beyond=beyond)
        needed_ms = max(self._times.unloaded_time_ms(chain), permit_wait_ms)
        left_ms = spec.deadline_at_ms - now_ms
        admitted = (
            needed_ms <= left_ms * MAX_PREDICTED_TIME_SHARE
            and self._has_room(chain, rooms, now_ms, beyond=beyond)
        )
        self._organisations.note(
            spec.organisation, work, now_ms, admitted=admitted
        )
        self._kinds.note(_kind_of(chain), work, now_ms, admitted=admitted)
        if not admitted:
            self._note_refused(rooms, beyond=beyond)
            reason = ChainRefusal.SHARE if beyond else ChainRefusal.NO_TIME
            return Denial(
                spec.chain_id,
                reason,
                self._retry_after_ms(
                    chain, work, rooms, permit_wait_ms, now_ms
                ),
            )
        self._returns.release(_caller_key(spec))
        if not chain.admitted_late:
            self._note_demand(work, now_ms)
        return None

    def _has_room(
        self,
        chain: Chain,
        rooms: Mapping[str, _Room],
        now_ms: float,
        *,
        beyond: bool,
    ) -> bool:
        """Returns whether there is room for a request; marks it if late."""
        if _has_begun(chain):
            return True
        caller_key = _caller_key(chain.spec)
        wait_ms = self._returns.wait_ms(caller_key, now_ms)
        # Until its time, it comes after all callers that wait for theirs.
        until_ms = now_ms + (wait_ms or 0)
        reserved_ms = {
            service: self._returns.reserved_ms(service, now_ms, until_ms)
            for service in rooms
            if wait_ms
        }
        if all(
            room.excess_ms + reserved_ms.get(service, 0) / room.capacity <= 0
            for service, room in rooms.items()
        ):
            return True
        if wait_ms:
            return False
        chain.admitted_late = True
        kept = self._returns.is_kept(caller_key)
        if beyond and not kept:
            return False
        left_ms = chain.spec.deadline_at_ms - now_ms
        left_ms *= MAX_LATE_TIME_SHARE
        left_ms -= self._times.unloaded_time_ms(chain)
        if kept:
            return all(room.backlog_ms <= left_ms for room in rooms.values())
        until_ms = now_ms + left_ms
        return all(
            room.backlog_ms * room.capacity
            + self._returns.reserved_ms(service, now_ms, until_ms)
            <= room.spare * left_ms
            for service, room in rooms.items()
        )

    def _note_refused(
        self, rooms: Mapping[str, _Room], *, beyond: bool
    ) -> None:
        if beyond:
            self.share_refusals[_scarcest(rooms)] += 1

    def _retry_after_ms(
        self,
        chain: Chain,
        work: Mapping[str, float],
        rooms: Mapping[str, _Room],
        permit_wait_ms: float,
        now_ms: float,
    ) -> float:
        """Returns the time after which a refused request has room, in ms."""
        caller_key = _caller_key(chain.spec)
        wait_ms = self._returns.wait_ms(caller_key, now_ms)
        left_ms = chain.spec.deadline_at_ms - now_ms
        if wait_ms:
            # Requests with the same prompt share a reservation.
            return usable_wait_ms(wait_ms, left_ms)
        if not rooms:
            return usable_wait_ms(
                max(permit_wait_ms, MIN_RETRY_AFTER_MS), left_ms
            )
        service = _scarcest(rooms)
        room = rooms[service]
        query = ReturnQuery(
            caller_key=caller_key,
            service=service,
            work_ms=work[service],
            room_at_ms=now_ms + max(room.excess_ms, permit_wait_ms, 0),
            room_per_ms=max(room.spare, room.capacity * MIN_RETURN_SHARE),
            left_ms=max(left_ms, 0),
        )
        return self._returns.assign(query, now_ms)

    def _rooms(
        self,
        chain: Chain,
        work: Mapping[str, float],
        now_ms: float,
        *,
        beyond: bool,
    ) -> Mapping[str, _Room]:
        factor: float = ON_TIME_SHARE
        if beyond:
            factor *= BEYOND_SHARE_FACTOR
        starved = self._kinds.is_starved(_kind_of(chain), work, now_ms)
        rooms: dict[str, _Room] = {}
        for state in chain.unfinished():
            service = state.stage.service
            latest_ms = chain.spec.soft_deadline_at_ms - state.critical_path_ms
            room = self._room(service, latest_ms, factor, now_ms, alone=starved)
            earlier = rooms.get(service)
            if earlier is None or earlier.excess_ms < room.excess_ms:
                rooms[service] = room
        return rooms

    def _room(
        self,
        service: str,
        latest_start_ms: float,
        factor: float,
        now_ms: float,
        *,
        alone: bool,
    ) -> _Room:
        """Returns the room for pieces that have to start by some time.

        Args:
            service: The service that runs the pieces.
            latest_start_ms: Latest start of the pieces.
            factor: Share of the time that may be taken.
            now_ms: Monotonic time.
            alone: Whether pieces that have to start later may become late.
        """
        working, busy_ms = self._times.capacity(service, now_ms)
        start_ms = now_ms + busy_ms / working
        waiting = self._work.of_service(service)
        room = WaitingRoom(waiting, start_ms, working * factor)
        excess_ms = room.excess_ms(latest_start_ms, alone=alone)
        demand = self._demand.get(service)
        rate = demand.rate(now_ms) if demand else 0
        return _Room(
            max(excess_ms, start_ms - latest_start_ms),
            working,
            max(working * ON_TIME_SHARE - rate, 0),
            (busy_ms + waiting.total_us / US_PER_MS) / working,
        )

    def _note_demand(self, work: Mapping[str, float], now_ms: float) -> None:
        for service, work_ms in work.items():
            demand = self._demand.setdefault(service, _Demand())
            demand.note(work_ms, now_ms)

    def _work_by_service(self, chain: Chain) -> Mapping[str, float]:
        work: dict[str, float] = {}
        for state in chain.unfinished():
            service = state.stage.service
            work_ms = self._piece_cost_ms(state) * len(state.missing)
            work[service] = work.get(service, 0) + work_ms
        return work

    def _piece_cost_ms(self, state: StageState) -> float:
        return self._times.piece_cost_ms(state, BUSY_FILL_RATIO)


class _Demand:
    """Work that was admitted to be on time, with exponential decay."""

    def __init__(self) -> None:
        self._sum_ms: float = 0
        self._at_ms: float = 0

    def note(self, work_ms: float, now_ms: float) -> None:
        self._sum_ms = self.rate(now_ms) * DEMAND_WINDOW_MS + work_ms
        self._at_ms = now_ms

    def rate(self, now_ms: float) -> float:
        """Returns the work per time, without a unit."""
        passed = (now_ms - self._at_ms) / DEMAND_WINDOW_MS
        return self._sum_ms / DEMAND_WINDOW_MS * math.exp(-passed)


def _scarcest(rooms: Mapping[str, _Room]) -> str:
    """Returns the service for which a request would be latest."""
    return max(rooms, key=lambda service: rooms[service].excess_ms)


def _has_begun(chain: Chain) -> bool:
    """Returns whether work was done for a request, by any scheduler."""
    spec = chain.spec
    return chain.work_started or spec.software_version is not None


def _caller_key(spec: ChainSpec) -> str:
    """Returns what a request and its next attempt have in common.

    Each attempt has an id of its own, but the same prompt, whose last part
    belongs to this request.
    """
    if not spec.prompt.parts:
        return spec.chain_id
    return '/'.join((spec.organisation, spec.prompt.parts[-1].part_id))


def _kind_of(chain: Chain) -> str:
    """Returns the kind of a request: the route that its stages belong to."""
    kinds = (stage.work_kind for stage in chain.spec.stages)
    return next(kinds, '').rpartition('/')[0]
