"""Exchanges limits of targets and permits to send to them between entries."""

import asyncio
import dataclasses
from collections.abc import Sequence

from .clock import MS_PER_S, Clock
from .election_service import ElectionService
from .events import Event, log_event
from .failure_domains.cold_targets import ColdTargets
from .fleet_state import FleetState
from .generated.peer_limits import (
    SendPermitBody,
    SendPermitReplyBody,
    TargetLimitBody,
    TargetLimitsBody,
)
from .peers import GossipSection, PeerError, PeerLink
from .roster import RosterRow
from .send_permits import SendClass, SendPermits
from .target_limits import RETENTION_MS, TargetLimit, TargetLimits

# Delay in which several changes are passed on together.
ANNOUNCE_DELAY_MS = 20
# Time limit for the answer of the entry that issues permits.
REQUEST_TIMEOUT_MS = 150
# Wait after which to ask again if that entry is unknown or does not answer.
NO_ISSUER_WAIT_MS = 300


class PermitService:
    """Issues and requests permits to send to targets with limits.

    The entry that schedules the group of a service issues the permits for its
    targets, so there is one account of a target in the fleet. It uses them for
    its own decisions and gives them to entries that choose a target themselves.
    """

    def __init__(
        self,
        instance_id: str,
        permits: SendPermits,
        limits: TargetLimits,
        state: FleetState,
        elections: ElectionService,
        link: PeerLink,
        clock: Clock,
    ) -> None:
        """Registers its messages on the link and its listeners.

        Args:
            instance_id: Id of this entry.
            permits: Permits that this entry issues.
            limits: Limits of targets.
            state: Targets and groups of services.
            elections: Elects the schedulers, which issue the permits.
            link: Link to the peers.
            clock: Source of monotonic time.
        """
        # Number of entries that may send to the same targets.
        self.entry_count = 1
        # Cold targets, whose limits they need not have stated.
        self.cold: ColdTargets | None = None
        self._instance_id = instance_id
        self._permits = permits
        self._limits = limits
        self._state = state
        self._elections = elections
        self._link = link
        self._clock = clock
        self._announcement: asyncio.TimerHandle | None = None
        self._groups_issued: frozenset[str] = frozenset()
        # Monotonic time before which there is no permit, by target and class.
        self._refused_until_ms: dict[tuple[str, SendClass], float] = {}
        link.register(SendPermitBody, self._handle_request)
        link.add_gossip_section(
            GossipSection(
                TargetLimitsBody,
                self._provide,
                self._consume,
                urgent=True,
            ),
        )
        limits.add_listener(self._on_news)
        elections.add_listener(self._on_election)

    def close(self) -> None:
        """Cancels a pending announcement."""
        if self._announcement is not None:
            self._announcement.cancel()
            self._announcement = None

    async def acquire(self, target: RosterRow, send_class: SendClass) -> float:
        """Requests a permit for one send.

        Args:
            target: Target to send to.
            send_class: Kind of the send.

        Returns:
            0 if the request may be sent, else the time in ms until there may
            be a permit.
        """
        pause_ms = self._limits.backoffs.remaining_ms(target)
        if pause_ms or not self._permits.is_limited(target):
            return pause_ms
        now_ms = self._clock.steady_ms()
        kind = (target.target_id, send_class)
        refused_until_ms = self._refused_until_ms.get(kind, 0)
        if now_ms < refused_until_ms:
            return refused_until_ms - now_ms
        wait_ms = await self._acquire(target, send_class)
        if wait_ms:
            now_ms = self._clock.steady_ms()
            self._refused_until_ms[kind] = now_ms + wait_ms
        else:
            self._refused_until_ms.pop(kind, None)
        return wait_ms

    async def _acquire(self, target: RosterRow, send_class: SendClass) -> float:
        issuer_id = self._elections.find(target.service)
        if issuer_id == self._instance_id:
            return self._permits.take(
                target, self._clock.steady_ms(), send_class
            )
        if not issuer_id:
            return NO_ISSUER_WAIT_MS
        request = SendPermitBody(
            limit=self._stated_limit(target),
            secondary=send_class is SendClass.SECONDARY,
            cold_left_ms=self.cold.left_ms(target) if self.cold else 0,
        )
        try:
            reply = await self._link.request(
                issuer_id, request, SendPermitReplyBody, REQUEST_TIMEOUT_MS
            )
        except PeerError as error:
            log_event(
                Event.PEER_UNANSWERED,
                peer_id=issuer_id,
                request_id='',
                reason=str(error),
            )
            return NO_ISSUER_WAIT_MS
        return reply.wait_ms

    async def _handle_request(
        self, peer_id: str, request: SendPermitBody
    ) -> SendPermitReplyBody:
        limit = request.limit
        if not limit.ended:
            self._merge(peer_id, [limit])
        if self.cold is not None:
            self.cold.note_told(
                limit.target_id, limit.incarnation, request.cold_left_ms
            )
        row = self._state.roster.find(limit.target_id)
        if row is None or not self._is_issuer(row.service):
            return SendPermitReplyBody(wait_ms=NO_ISSUER_WAIT_MS)
        incarnation = max(row.incarnation, limit.incarnation)
        wait_ms = self._permits.take(
            dataclasses.replace(row, incarnation=incarnation),
            self._clock.steady_ms(),
            SendClass.SECONDARY if request.secondary else SendClass.FIRST,
        )
        return SendPermitReplyBody(wait_ms=wait_ms)

    def _is_issuer(self, service: str) -> bool:
        return self._elections.find(service) == self._instance_id

    def _on_election(self) -> None:
        """Starts to issue permits for the groups that are scheduled here."""
        isolated = self._elections.isolated
        self._permits.share = 1 / max(self.entry_count, 1) if isolated else 1
        issued = frozenset(
            group
            for group, scheduler_id in self._elections.schedulers.items()
            if scheduler_id == self._instance_id
        )
        started = issued - self._groups_issued
        self._groups_issued = issued
        now_ms = self._clock.steady_ms()
        for service, group in self._state.groups.items():
            if group in started:
                rows = [
                    row
                    for row in self._state.roster.rows()
                    if row.service == service
                ]
                self._permits.restart(rows, now_ms)

    def _on_news(self) -> None:
        """Sends the limits to the neighbours after a short delay."""
        # Computed with the former limits.
        self._refused_until_ms.clear()
        if self._announcement is None:
            loop = asyncio.get_running_loop()
            self._announcement = loop.call_later(
                ANNOUNCE_DELAY_MS / MS_PER_S, self._send
            )

    def _send(self) -> None:
        self._announcement = None
        self._link.send_section(TargetLimitsBody)

    def _provide(self) -> TargetLimitsBody | None:
        limits = self._encode()
        return TargetLimitsBody(limits=limits) if limits else None

    def _consume(self, peer_id: str, gossip: TargetLimitsBody) -> None:
        self._merge(peer_id, gossip.limits)

    def _merge(self, peer_id: str, bodies: Sequence[TargetLimitBody]) -> None:
        now_ms = self._clock.steady_ms()
        self._limits.merge(
            [
                TargetLimit(
                    body.target_id,
                    body.incarnation,
                    None if body.ended else body.requests_per_s,
                    now_ms - body.age_ms,
                )
                for body in bodies
            ],
            peer_id,
        )

    def _stated_limit(self, target: RosterRow) -> TargetLimitBody:
        """Returns the limit of a target, which it states unless it is cold."""
        for limit in self._encode(target.target_id):
            if limit.incarnation >= target.incarnation:
                return limit
        # Entries of earlier builds take it for an observation that any other
        # one replaces.
        return TargetLimitBody(
            target_id=target.target_id,
            incarnation=target.incarnation,
            ended=True,
            age_ms=RETENTION_MS,
        )

    def _encode(self, target_id: str = '') -> list[TargetLimitBody]:
        now_ms = self._clock.steady_ms()
        return [
            TargetLimitBody(
                target_id=limit.target_id,
                incarnation=limit.incarnation,
                requests_per_s=limit.requests_per_s or 0,
                ended=limit.requests_per_s is None,
                age_ms=max(round(now_ms - limit.observed_at_ms), 0),
            )
            for limit in self._limits.observations()
            if target_id in {'', limit.target_id}
        ]
