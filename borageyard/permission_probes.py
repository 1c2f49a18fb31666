"""Exchanges configuration positions with peers."""

import asyncio
import contextlib

from .clock import MS_PER_S, Clock
from .configuration_log import ConfigurationFold
from .events import Event, log_event
from .generated.peer_permission import (
    ConfigurationStateBody,
    PermissionProbeBody,
    PermissionReplyBody,
    StateRequestBody,
)
from .peers import PeerError, PeerLink
from .permission import AcceptanceTracker, PeerPosition, PermissionHolder

PROBE_INTERVAL_MS = 50
PROBE_TIMEOUT_MS = 250
STATE_TIMEOUT_MS = 1000
# Remaining permission below which peers are probed to extend it.
LOW_PERMISSION_MS = 500


class PermissionProber:
    """Probes peers for their positions while that is needed.

    It is needed while a position is pending, a peer is ahead or the permission
    is about to expire.
    """

    def __init__(
        self,
        fold: ConfigurationFold,
        permission: PermissionHolder,
        tracker: AcceptanceTracker,
        peers: PeerLink,
        clock: Clock,
    ) -> None:
        """Creates the prober and registers its request handlers.

        Args:
            fold: Folded configuration stream of this entry.
            permission: Receives the positions of peers.
            tracker: Receives the positions as acknowledgements.
            peers: Connections to the peers.
            clock: Source of monotonic time.
        """
        self._fold = fold
        self._permission = permission
        self._tracker = tracker
        self._peers = peers
        self._clock = clock
        self._probing: set[str] = set()
        self._peers_ahead: set[str] = set()
        peers.register(PermissionProbeBody, self._handle_probe)
        peers.register(StateRequestBody, self._handle_state_request)

    async def run(self) -> None:
        """Probes peers until cancelled, in rounds, while that is needed."""
        async with asyncio.TaskGroup() as group:
            while True:
                for peer_id in self._peers_due():
                    group.create_task(self._probe(peer_id))
                self._evaluate()
                await self._wait()

    async def probe_all(self) -> None:
        """Probes every peer once and waits for the replies."""
        await asyncio.gather(*map(self._probe, self._peers.peer_ids()))

    def _peers_due(self) -> list[str]:
        """Returns the peers to probe now, without those being probed."""
        if not self._needs_probes():
            return []
        return [
            peer_id
            for peer_id in self._peers.peer_ids()
            if peer_id not in self._probing
        ]

    def _needs_probes(self) -> bool:
        if self._tracker.pending or self._peers_ahead:
            return True
        return self._permission.remaining_ms() < LOW_PERMISSION_MS

    async def _wait(self) -> None:
        """Waits for the next round or for a change of the folded state."""
        changed = self._fold.changed
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(PROBE_INTERVAL_MS / MS_PER_S):
                await changed.wait()

    async def _probe(self, peer_id: str) -> None:
        self._probing.add(peer_id)
        with contextlib.ExitStack() as stack:
            stack.callback(self._probing.discard, peer_id)
            stack.enter_context(contextlib.suppress(PeerError))
            await self._exchange_positions(peer_id)

    def _evaluate(self) -> None:
        accepted = self._tracker.accepted
        position = self._tracker.evaluate()
        if position > accepted:
            log_event(Event.CONFIGURATION_ACCEPTED, position=position)
            self._fold.notify()

    async def _exchange_positions(self, peer_id: str) -> None:
        sent_at_ms = self._clock.steady_ms()
        probe = PermissionProbeBody(
            position=self._fold.state.changed_at,
            is_member=self._permission.is_member,
        )
        reply = await self._peers.request(
            peer_id,
            probe,
            PermissionReplyBody,
            PROBE_TIMEOUT_MS,
        )
        self._peers_ahead.discard(peer_id)
        peer_position = PeerPosition(sent_at_ms, reply.position)
        self._permission.note_peer_position(reply.member, peer_position)
        self._tracker.note_ack(reply.member, reply.position, reply.guest_ms)
        self._evaluate()
        if reply.position > self._fold.state.changed_at:
            await self._fetch_state(peer_id)

    async def _fetch_state(self, peer_id: str) -> None:
        """Fetches and adopts the state of a peer that is ahead."""
        reply = await self._peers.request(
            peer_id,
            StateRequestBody(next_offset=self._fold.state.next_offset),
            ConfigurationStateBody,
            STATE_TIMEOUT_MS,
        )
        if self._fold.adopt(reply.state):
            self._tracker.note_fold()

    async def _handle_probe(
        self,
        peer_id: str,
        probe: PermissionProbeBody,
    ) -> PermissionReplyBody:
        position_reply = self._permission.reply_to_peer(
            requester_is_member=probe.is_member
        )
        if probe.position > position_reply.position:
            self._peers_ahead.add(peer_id)
        return PermissionReplyBody(
            member=self._permission.member,
            position=position_reply.position,
            guest_ms=position_reply.guest_ms,
        )

    async def _handle_state_request(
        self,
        peer_id: str,
        request: StateRequestBody,
    ) -> ConfigurationStateBody:
        return ConfigurationStateBody(state=self._fold.checkpoint())
