"""Queues of stages that wait for a target."""

import asyncio
import dataclasses
from collections.abc import Awaitable

from .clock import MS_PER_S, Clock
from .ejection import OutlierDetector
from .errors import ErrorKind, Refusal, RefusalError
from .fair_queue import FairQueue, QueuedCall
from .routing import Route, RouteQuery, Router
from .targets import TargetDirectory

RECHECK_INTERVAL_MS = 10
# Calls that are tried without success before the queue counts as blocked.
MAX_BLOCKED_CALLS = 4
RETRY_AFTER_MS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementRequest:
    """Request of a stage for a slot on a target.

    ``latest_start_ms`` is a time of the monotonic clock.
    """

    service: str
    organisation: str
    weight: float
    latest_start_ms: float
    query: RouteQuery


@dataclasses.dataclass(slots=True)
class Waiter:
    """A waiting request and the future of its route."""

    request: PlacementRequest
    granted: asyncio.Future[Route]


class ServiceQueues:
    """Places waiting stages on targets that have a free slot."""

    def __init__(
        self,
        directory: TargetDirectory,
        router: Router,
        outliers: OutlierDetector,
        clock: Clock,
    ) -> None:
        """Initializes without queues.

        Args:
            directory: Known targets.
            router: Selects a target among those with a free slot.
            outliers: Filters out ejected targets.
            clock: Source of time.
        """
        self.router = router
        self._directory = directory
        self._outliers = outliers
        self._clock = clock
        self._queues: dict[str, FairQueue[Waiter]] = {}

    def waiting(self, service: str) -> int:
        """Returns the number of stages that wait for a service."""
        return len(self._queues.get(service, ()))

    async def acquire(self, request: PlacementRequest) -> Route:
        """Waits for a target with a free slot and occupies the slot.

        Args:
            request: Stage to place.

        Returns:
            The route; the caller must ``release`` it after use.

        Raises:
            RefusalError: If no target is known that could run it, or none
                has a free slot before the latest start.
        """
        self.require_target(request)
        if not self.waiting(request.service):
            route = self.try_acquire(request)
            if route is not None:
                return route
        waiter = Waiter(request, asyncio.get_running_loop().create_future())
        self._enqueue(waiter)
        try:
            return await self._wait_until_latest_start(request, waiter.granted)
        except BaseException:
            self._cancel_wait(waiter)
            raise

    def try_acquire(self, request: PlacementRequest) -> Route | None:
        """Occupies a slot if one is free now, else returns ``None``.

        Args:
            request: Stage to place.
        """
        now_ms = self._clock.steady_ms()
        candidates = self._directory.candidates(request.service)
        healthy = self._outliers.filter_healthy(candidates, now_ms)
        request.query.now_ms = now_ms
        route = self.router.choose(healthy, request.query)
        if route is not None:
            route.target.change_in_flight(1, now_ms)
        return route

    def require_target(self, request: PlacementRequest) -> None:
        """Refuses a request that no known target can run.

        Args:
            request: Stage to place.

        Raises:
            RefusalError: If all targets have failed it, or there is none.
        """
        candidates = self._directory.candidates(request.service)
        excluded = request.query.excluded
        if any(state.target_id not in excluded for state in candidates):
            return
        kind = ErrorKind.TARGET_FAILED if excluded else ErrorKind.NO_TARGET
        refusal = Refusal(
            kind,
            detail=request.service,
            retry_after_ms=RETRY_AFTER_MS,
        )
        raise RefusalError(refusal)

    def release(self, route: Route) -> None:
        """Frees the slot of a route and serves the waiting stages.

        Args:
            route: Route that was acquired.
        """
        target = route.target
        target.change_in_flight(-1, self._clock.steady_ms())
        self.serve_queue(target.instance.service)

    def serve_queue(self, service: str) -> None:
        """Places waiting stages of a service while targets have free slots.

        Args:
            service: Name of the service.
        """
        queue = self._queues.get(service)
        if queue is None:
            return
        blocked_calls: list[QueuedCall[Waiter]] = []
        continuing = True
        while continuing:
            continuing = self._serve_next(queue, blocked_calls)
        for left in reversed(blocked_calls):
            queue.put_back(left)

    async def watch(self) -> None:
        """Serves all queues periodically.

        Load reports and gossip of peers change which targets have free slots.
        """
        while True:
            await asyncio.sleep(RECHECK_INTERVAL_MS / MS_PER_S)
            for service in tuple(self._queues):
                if self.waiting(service):
                    self.serve_queue(service)

    def _serve_next(
        self,
        queue: FairQueue[Waiter],
        blocked_calls: list[QueuedCall[Waiter]],
    ) -> bool:
        """Serves the next call; returns whether to try another one."""
        call = queue.pop()
        if call is None:
            return False
        if self._try_grant(call.waiter):
            return True
        blocked_calls.append(call)
        has_exclusions = bool(call.waiter.request.query.excluded)
        return has_exclusions and len(blocked_calls) < MAX_BLOCKED_CALLS

    def _enqueue(self, waiter: Waiter) -> None:
        request = waiter.request
        queue = self._queues.setdefault(request.service, FairQueue())
        call = QueuedCall(
            organisation=request.organisation,
            weight=request.weight,
            latest_start_ms=request.latest_start_ms,
            waiter=waiter,
        )
        queue.push(call)

    async def _wait_until_latest_start(
        self, request: PlacementRequest, granted: Awaitable[Route]
    ) -> Route:
        try:
            async with asyncio.timeout(self._remaining_s(request)):
                return await granted
        except TimeoutError as error:
            refusal = Refusal(
                ErrorKind.DEADLINE_UNREACHABLE,
                detail=f'waited for {request.service}',
                retry_after_ms=RETRY_AFTER_MS,
            )
            raise RefusalError(refusal) from error

    def _cancel_wait(self, waiter: Waiter) -> None:
        granted = waiter.granted
        if granted.done() and not granted.cancelled():
            self.release(granted.result())
        granted.cancel()

    def _try_grant(self, waiter: Waiter) -> bool:
        """Returns whether the waiter no longer needs to wait."""
        if waiter.granted.done():
            return True
        route = self.try_acquire(waiter.request)
        if route is None:
            return False
        waiter.granted.set_result(route)
        return True

    def _remaining_s(self, request: PlacementRequest) -> float:
        remaining_ms = request.latest_start_ms - self._clock.steady_ms()
        return max(remaining_ms, 0) / MS_PER_S
