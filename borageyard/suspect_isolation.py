"""Isolation of requests that are suspected of crashing targets."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Sequence

from .clock import MS_PER_S
from .errors import ErrorKind, Refusal, RefusalError
from .generated.peer_policy import (
    CrashNotedBody,
    CrashNoticeBody,
    ReservationBody,
    ReservedBody,
)
from .peers import PeerError, PeerLink
from .policy import EntryPolicy
from .policy_gossip import crash_suspicions, merge_crash_suspicions
from .routing import Route
from .service_queue import RETRY_AFTER_MS, PlacementRequest
from .targets import TargetState

PEER_REPLY_TIMEOUT_MS = 100
RESERVATION_RETRY_MS = 20


class SuspectIsolation:
    """Reserves for a suspect a target on which no other suspect runs."""

    def __init__(
        self,
        instance_id: str,
        policy: EntryPolicy,
        peers: PeerLink,
    ) -> None:
        """Registers the handlers for messages of peers.

        Args:
            instance_id: Id of this entry.
            policy: Supplies the targets, their queues and the quarantine.
            peers: The link to the other entries.
        """
        self._instance_id = instance_id
        self._policy = policy
        self._peers = peers
        # Targets of suspects by id; true once no peer has objected.
        self._reservations: dict[str, bool] = {}
        self._notifications: set[asyncio.Future[None]] = set()
        peers.register(CrashNoticeBody, self._handle_notice)
        peers.register(ReservationBody, self._handle_reservation)

    def start_notifying_peers(self) -> Awaitable[None]:
        """Starts to send the crash suspicions to all peers concurrently.

        Returns:
            An awaitable that completes when each peer has acknowledged them
            or has not replied in time.
        """
        task = asyncio.ensure_future(self._notify_peers())
        self._notifications.add(task)
        task.add_done_callback(self._notifications.discard)
        return task

    @contextlib.asynccontextmanager
    async def exclusive_route(
        self, request: PlacementRequest
    ) -> AsyncIterator[Route]:
        """Holds a slot on a target on which no other suspect runs.

        Args:
            request: The stage that needs a target.

        Raises:
            RefusalError: If no target is free before the latest start, or there
                is none on which the stage has not failed.
        """
        async with contextlib.AsyncExitStack() as stack:
            route = await self._reserve_in_time(request, stack)
            stack.callback(self._policy.queues.release, route)
            yield route

    async def _reserve_in_time(
        self,
        request: PlacementRequest,
        stack: contextlib.AsyncExitStack,
    ) -> Route:
        remaining_ms = request.latest_start_ms - self._policy.clock.steady_ms()
        try:
            async with asyncio.timeout(max(remaining_ms, 0) / MS_PER_S):
                return await self._reserve_least_loaded(request, stack)
        except TimeoutError as error:
            refusal = Refusal(
                ErrorKind.DEADLINE_UNREACHABLE,
                detail=f'no free target of {request.service} for a suspect',
                retry_after_ms=RETRY_AFTER_MS,
            )
            raise RefusalError(refusal) from error

    async def _reserve_least_loaded(
        self,
        request: PlacementRequest,
        stack: contextlib.AsyncExitStack,
    ) -> Route:
        """Reserves the least loaded target on which no entry runs a suspect.

        If none is free, all but the excluded ones are tried again after
        ``RESERVATION_RETRY_MS``.
        """
        tried = list(request.query.excluded)
        while True:
            target = self._least_loaded_candidate(request, tried)
            if target is None:
                await asyncio.sleep(RESERVATION_RETRY_MS / MS_PER_S)
                tried = list(request.query.excluded)
                continue
            tried.append(target.target_id)
            if await self._reserve(target.target_id, stack):
                break
        target.change_in_flight(1, self._policy.clock.steady_ms())
        return Route(target, isolated=True)

    def _least_loaded_candidate(
        self,
        request: PlacementRequest,
        tried: Sequence[str],
    ) -> TargetState | None:
        now_ms = self._policy.clock.steady_ms()
        self._policy.queues.require_target(request)
        candidates = self._policy.outliers.filter_healthy(
            self._policy.directory.candidates(request.service),
            now_ms,
        )
        free = [
            state
            for state in candidates
            if state.target_id not in tried
            and state.target_id not in self._reservations
        ]
        return min(free, key=lambda state: state.load(now_ms), default=None)

    async def _reserve(
        self,
        target_id: str,
        stack: contextlib.AsyncExitStack,
    ) -> bool:
        """Reserves a target unless a peer runs a suspect on it.

        A peer that doesn't reply in time doesn't prevent the reservation.

        Returns:
            Whether the target is reserved until the stack is closed.
        """
        self._reservations[target_id] = False
        replies = await self._request_reservations(
            ReservationBody(target_id=target_id)
        )
        if any(reply.conflict for reply in replies):
            self._reservations.pop(target_id)
            return False
        self._reservations[target_id] = True
        stack.callback(self._reservations.pop, target_id)
        return True

    async def _request_reservations(
        self,
        reservation: ReservationBody,
    ) -> Sequence[ReservedBody]:
        calls = [
            self._request_reservation(peer_id, reservation)
            for peer_id in self._peers.peer_ids()
        ]
        replies = await asyncio.gather(*calls)
        return [reply for reply in replies if reply is not None]

    async def _request_reservation(
        self,
        peer_id: str,
        reservation: ReservationBody,
    ) -> ReservedBody | None:
        try:
            return await self._peers.request(
                peer_id,
                reservation,
                ReservedBody,
                PEER_REPLY_TIMEOUT_MS,
            )
        except PeerError:
            return None

    async def _notify_peers(self) -> None:
        notice = CrashNoticeBody(
            crashes=crash_suspicions(
                self._policy.quarantine,
                self._policy.clock.steady_ms(),
            )
        )
        calls = [
            self._notify_peer(peer_id, notice)
            for peer_id in self._peers.peer_ids()
        ]
        await asyncio.gather(*calls)

    async def _notify_peer(self, peer_id: str, notice: CrashNoticeBody) -> None:
        with contextlib.suppress(PeerError):
            await self._peers.request(
                peer_id,
                notice,
                CrashNotedBody,
                PEER_REPLY_TIMEOUT_MS,
            )

    async def _handle_notice(
        self,
        peer_id: str,
        notice: CrashNoticeBody,
    ) -> CrashNotedBody:
        merge_crash_suspicions(self._policy, notice.crashes)
        return CrashNotedBody()

    async def _handle_reservation(
        self,
        peer_id: str,
        reservation: ReservationBody,
    ) -> ReservedBody:
        confirmed = self._reservations.get(reservation.target_id)
        if confirmed is None:
            return ReservedBody(conflict=False)
        # Of two entries that reserve concurrently, the lower id wins.
        return ReservedBody(conflict=confirmed or self._instance_id < peer_id)
