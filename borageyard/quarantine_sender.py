"""Sends to targets and notifies all entries of requests that crash targets."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from .clock import Clock
from .crash_correlator import CrashCorrelator, request_digest
from .errors import ErrorKind, Refusal, RefusalError
from .events import Event, log_event
from .fleet_state import FleetState
from .generated.peer_policy import (
    CrashNotedBody,
    CrashNoticeBody,
)
from .inbound import (
    InboundRequest,
    SendError,
    SendFailure,
    TargetAnswer,
    TargetSend,
    TargetSender,
)
from .path_witnesses import PathWitnesses, RefusalCause
from .peer_link import TcpPeerLink
from .peer_notifier import PeerNotifier
from .peers import GossipSection
from .policy_gossip import crash_suspicions
from .roster import RosterRow
from .shared_table import Table

FIRST_SERVER_ERROR = 500


class QuarantineSender:
    """Target sender that quarantines requests which crash targets."""

    def __init__(
        self,
        sender: TargetSender,
        state: FleetState,
        link: TcpPeerLink,
        clock: Clock,
        witnesses: PathWitnesses,
    ) -> None:
        """Wraps a target sender.

        Args:
            sender: Sends requests to targets.
            state: Holds the target roster.
            link: Streams to the other entries.
            clock: Monotonic clock.
            witnesses: Tell crashes from a partition of this entry.
        """
        self._witnesses = witnesses
        # Checks of targets that refuse connections, by target id.
        self._checks: dict[str, asyncio.Task[None]] = {}
        self.correlator = CrashCorrelator()
        self._sender = sender
        self._state = state
        self._link = link
        self._clock = clock
        self._incarnations: dict[str, int] = {}
        self._notifier = PeerNotifier(link)
        link.register(CrashNoticeBody, self._handle_notice)
        link.add_gossip_section(
            GossipSection(
                CrashNoticeBody,
                self._crash_notice,
                self._merge_crashes,
                urgent=True,
            ),
        )
        state.add_listener(self._on_table_change)

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Cancels its checks on exit."""
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self._close)
            yield

    def require_not_quarantined(self, request: InboundRequest) -> None:
        """Refuses a request that is quarantined for crashing targets.

        Args:
            request: The caller's request.

        Raises:
            RefusalError: If the request is quarantined. It was not run.
        """
        if self.correlator.quarantine.is_empty:
            return
        now_ms = self._clock.steady_ms()
        quarantine_remaining_ms = self.correlator.quarantine_remaining_ms(
            request_digest(request),
            now_ms,
        )
        if quarantine_remaining_ms:
            raise RefusalError(
                Refusal(
                    ErrorKind.NO_TARGET,
                    detail='it has crashed its targets',
                    retry_after_ms=round(quarantine_remaining_ms),
                ),
            )

    @contextlib.asynccontextmanager
    async def send(self, send: TargetSend) -> AsyncIterator[TargetAnswer]:
        """Sends a request; exiting the context early cancels it.

        Records sends that may have run without an answer, targets that are
        down, and answers that clear the request of suspicion.
        """
        target = send.target
        digest = request_digest(send.request)
        self._incarnations[target.target_id] = target.incarnation
        async with contextlib.AsyncExitStack() as stack:
            try:
                answer = await stack.enter_async_context(
                    self._sender.send(send),
                )
            except SendError as error:
                self._record_error(digest, target, error)
                raise
            except asyncio.CancelledError:
                self._record_given_up(digest, target)
                raise
            try:
                yield answer
            except SendError as error:
                if error.failure is SendFailure.UNKNOWN:
                    self._record_error(digest, target, error)
                raise
            except asyncio.CancelledError:
                self._record_given_up(digest, target)
                raise
            if answer.status < FIRST_SERVER_ERROR:
                self.correlator.note_answered(digest, self._clock.steady_ms())

    def _record_error(
        self,
        digest: str,
        target: RosterRow,
        error: SendError,
    ) -> None:
        target_id = target.target_id
        now_ms = self._clock.steady_ms()
        if error.failure is SendFailure.UNKNOWN:
            self.correlator.note_lost_send(digest, target_id, now_ms)
        elif target_id not in self._checks:
            if target_id in self.correlator.targets_with_lost_sends():
                self._checks[target_id] = asyncio.ensure_future(
                    self._check_refused(target)
                )

    def _record_given_up(self, digest: str, target: RosterRow) -> None:
        """Records a send whose target may have crashed in silence."""
        if self._state.roster.has_drained(target):
            return
        target_id = target.target_id
        self.correlator.note_lost_send(
            digest, target_id, self._clock.steady_ms()
        )
        row = self._state.roster.find(target_id)
        if row is None or row.incarnation != target.incarnation:
            self._on_target_down(target_id)

    async def _check_refused(self, target: RosterRow) -> None:
        """Counts a target that refuses connections if nobody reaches it."""
        target_id = target.target_id
        with contextlib.ExitStack() as stack:
            stack.callback(self._checks.pop, target_id)
            cause = await self._witnesses.explain_refusal(
                target_id,
                target.address,
                self.correlator.targets_with_lost_sends(),
            )
        if cause is RefusalCause.DOWN:
            self._on_target_down(target_id)
        else:
            log_event(
                Event.CRASH_UNCONFIRMED,
                target_id=target_id,
                cause=cause.value,
            )

    async def _close(self) -> None:
        tasks = tuple(self._checks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _on_table_change(self, table: Table) -> None:
        """Detects targets that left or restarted after a lost send."""
        if table is not Table.TARGETS:
            return
        for target_id in self.correlator.targets_with_lost_sends():
            row = self._state.roster.find(target_id)
            last_incarnation = self._incarnations.get(target_id)
            if row is None or row.incarnation != last_incarnation:
                self._on_target_down(target_id)
            elif self._state.roster.has_drained(row):
                self.correlator.note_leaving(target_id)

    def _on_target_down(self, target_id: str) -> None:
        crashed = self.correlator.note_target_down(
            target_id,
            self._clock.steady_ms(),
        )
        for digest in crashed:
            log_event(
                Event.TARGET_CRASHED,
                target_id=target_id,
                digest=digest,
            )
        notice = self._crash_notice()
        if not crashed or notice is None:
            return
        for peer_id in self._link.connected_ids():
            self._notifier.notify(peer_id, notice, CrashNotedBody)

    async def _handle_notice(
        self,
        peer_id: str,
        notice: CrashNoticeBody,
    ) -> CrashNotedBody:
        self._merge_crashes(peer_id, notice)
        return CrashNotedBody()

    def _crash_notice(self) -> CrashNoticeBody | None:
        now_ms = self._clock.steady_ms()
        crashes = crash_suspicions(self.correlator.quarantine, now_ms)
        return CrashNoticeBody(crashes=crashes) if crashes else None

    def _merge_crashes(self, peer_id: str, notice: CrashNoticeBody) -> None:
        now_ms = self._clock.steady_ms()
        for suspicion in notice.crashes:
            self.correlator.merge(
                suspicion.digest, suspicion.crashes, suspicion.left_ms, now_ms
            )
