"""Queues of the stages that wait for a target."""

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
# Waiting calls that are tried before the queue counts as blocked.
MAX_BLOCKED_CALLS = 4
RETRY_AFTER_MS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A stage that needs a target."""

    service: str
    organisation: str
    weight: float
    latest_start_ms: float
    query: RouteQuery


@dataclasses.dataclass(slots=True)
class Waiter:
    """A stage in a queue."""

    request: PlacementRequest
    granted: asyncio.Future[Route]


class ServiceQueues:
    """Gives waiting stages to targets that have room."""

    def __init__(
        self,
        directory: TargetDirectory,
        router: Router,
        outliers: OutlierDetector,
        clock: Clock,
    ) -> None:
        """Wraps the ways to choose.

        Args:
            directory: Known targets.
            router: Chooses among those with room.
            outliers: Leaves out bad ones.
            clock: Source of time.
        """
        self.router = router
        self._directory = directory
        self._outliers = outliers
        self._clock = clock
        self._queues: dict[str, FairQueue[Waiter]] = {}

    def waiting(self, service: str) -> int:
        """Returns how many stages wait for a service."""
        return len(self._queues.get(service, ()))

    async def acquire(self, request: PlacementRequest) -> Route:
        """Waits for a target and takes a place on it.

        Args:
            ask: What is needed.

        Returns:
            The route; ``release`` must be called when it is no longer used.

        Raises:
            RefusalError: If there is no target, or none in time.
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
        """Takes a place on a target if one has room now.

        Args:
            ask: What is needed.
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
        """Refuses what no known target could run.

        Args:
            ask: What is needed.

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
        """Gives the place of a route back.

        Args:
            route: What was acquired.
        """
        target = route.target
        target.change_in_flight(-1, self._clock.steady_ms())
        self.serve_queue(target.instance.service)

    def serve_queue(self, service: str) -> None:
        """Gives places to waiting stages while there are some.

        Args:
            service: Whose queue is looked at.
        """
        queue = self._queues.get(service)
        if queue is None:
            return
        blocked: list[QueuedCall[Waiter]] = []
        continuing = True
        while continuing:
            continuing = self._serve_next(queue, blocked)
        for left in reversed(blocked):
            queue.put_back(left)

    async def watch(self) -> None:
        """Looks at all queues for ever, for news change what has room."""
        while True:
            await asyncio.sleep(RECHECK_INTERVAL_MS / MS_PER_S)
            for service in tuple(self._queues):
                if self.waiting(service):
                    self.serve_queue(service)

    def _serve_next(
        self,
        queue: FairQueue[Waiter],
        blocked: list[QueuedCall[Waiter]],
    ) -> bool:
        """Tells whether it is worth to try the next one."""
        ticket = queue.pop()
        if ticket is None:
            return False
        if self._try_grant(ticket.waiter):
            return True
        blocked.append(ticket)
        has_exclusions = bool(ticket.waiter.request.query.excluded)
        return has_exclusions and len(blocked) < MAX_BLOCKED_CALLS

    def _enqueue(self, waiter: Waiter) -> None:
        request = waiter.request
        queue = self._queues.setdefault(request.service, FairQueue())
        ticket = QueuedCall(
            organisation=request.organisation,
            weight=request.weight,
            latest_start_ms=request.latest_start_ms,
            waiter=waiter,
        )
        queue.push(ticket)

    async def _wait_until_latest_start(
        self, request: PlacementRequest, work: Awaitable[Route]
    ) -> Route:
        try:
            async with asyncio.timeout(self._remaining_s(request)):
                return await work
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
        """Tells whether the waiter no longer needs to wait."""
        if waiter.granted.done():
            return True
        route = self.try_acquire(waiter.request)
        if route is None:
            return False
        waiter.granted.set_result(route)
        return True

    def _remaining_s(self, request: PlacementRequest) -> float:
        left_ms = request.latest_start_ms - self._clock.steady_ms()
        return max(left_ms, 0) / MS_PER_S
