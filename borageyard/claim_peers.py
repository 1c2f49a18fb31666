"""Messages between entries about the attempts and outcomes of claims."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Awaitable, Callable, Mapping

from .claim_log import ClaimShard
from .claims import Claim, RecordedOutcome
from .clock import MS_PER_S
from .generated.peer_claims import (
    AttachReplyBody,
    AttachRequestBody,
    HoldReplyBody,
    HoldRequestBody,
)
from .outcomes import OutcomeHolder
from .peers import PeerError, PeerLink

ATTACH_WAIT_MS = 1000
REPLY_GRACE_MS = 300
HOLD_TIMEOUT_MS = 500
MAX_ATTACH_FAILURES = 3
ATTACH_RETRY_MS = 50


@dataclasses.dataclass(frozen=True, slots=True)
class AttachResult:
    """State of an attempt; all fields have defaults if it is unknown."""

    document: str = ''
    abandoned: bool = False
    running: bool = False


AttachHandler = Callable[[str, str, float], Awaitable[AttachResult]]
# Returns the failure domains of the entries by instance id.
DomainSource = Callable[[], Mapping[str, str]]


class ClaimPeers:
    """Attaches to attempts at other entries and holds their outcomes."""

    def __init__(
        self,
        link: PeerLink,
        holder: OutcomeHolder,
        instance_id: str,
        domains: DomainSource,
    ) -> None:
        """Registers the message handlers on the link.

        Args:
            link: Link to the other entries.
            holder: Holds large outcomes in memory.
            instance_id: Id of this entry.
            domains: Returns the failure domains of the entries.
        """
        self._link = link
        self._holder = holder
        self._instance_id = instance_id
        self._domains = domains
        self._attach_handler: AttachHandler | None = None
        link.register(AttachRequestBody, self._handle_attach)
        link.register(HoldRequestBody, self._handle_hold)

    def register_attach_handler(self, handler: AttachHandler) -> None:
        """Registers the handler for requests to attach to an attempt.

        Args:
            handler: Called with a key, an attempt id and the longest wait in
                milliseconds; returns the state of the attempt.
        """
        self._attach_handler = handler

    def hold(self, attempt_id: str, document: str) -> bool:
        """Holds a document in memory; returns whether there is room for it."""
        return self._holder.hold(attempt_id, document)

    def find(self, shard: ClaimShard, key: str, attempt_id: str) -> str:
        """Returns the outcome document of an attempt, or '' if not found."""
        recorded = shard.fold.outcome_of(key, attempt_id)
        if recorded is not None and recorded.document:
            return recorded.document
        return self._holder.find(attempt_id)

    async def await_outcome(
        self,
        shard: ClaimShard,
        claim: Claim,
    ) -> AttachResult:
        """Waits for the outcome of an attempt.

        Args:
            shard: Shard of the claim's key.
            claim: Claim of the attempt.

        Returns:
            The state of the attempt, or an empty result if the outcome can't
            be found.
        """
        recorded = asyncio.ensure_future(_await_record(shard, claim))
        attached = asyncio.ensure_future(self._attach_to_holder(shard, claim))
        with contextlib.ExitStack() as stack:
            stack.callback(recorded.cancel)
            stack.callback(attached.cancel)
            await asyncio.wait(
                (recorded, attached),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if attached.done() and attached.result() != AttachResult():
                return attached.result()
            return await self._fetch(shard, claim)

    async def replicate(self, recorded: RecordedOutcome) -> tuple[str, ...]:
        """Copies an outcome to a peer, preferring other failure domains.

        Returns:
            The id of the peer that holds it, or an empty tuple if none does.
        """
        message = HoldRequestBody(
            key=recorded.key,
            attempt_id=recorded.attempt_id,
            document=recorded.document,
        )
        for peer_id in self._replication_order():
            with contextlib.suppress(PeerError):
                reply = await self._link.request(
                    peer_id,
                    message,
                    HoldReplyBody,
                    HOLD_TIMEOUT_MS,
                )
                if reply.held:
                    return (peer_id,)
        return ()

    def _replication_order(self) -> list[str]:
        domains = self._domains()
        own = domains.get(self._instance_id, '')
        return sorted(
            self._link.peer_ids(),
            key=lambda peer_id: (domains.get(peer_id, own) == own, peer_id),
        )

    async def _attach_to_holder(
        self,
        shard: ClaimShard,
        claim: Claim,
    ) -> AttachResult:
        failures = 0
        while failures < MAX_ATTACH_FAILURES:
            try:
                found = await self._request_attach(claim.holder, claim)
            except PeerError:
                failures += 1
                await asyncio.sleep(ATTACH_RETRY_MS / MS_PER_S)
                continue
            if not found.running:
                return found
        return AttachResult()

    async def _fetch(self, shard: ClaimShard, claim: Claim) -> AttachResult:
        """Gets an outcome from the log, from memory or from its holders."""
        document = self.find(shard, claim.key, claim.attempt_id)
        recorded = shard.fold.outcome(claim)
        if document or recorded is None:
            return AttachResult(document=document)
        for peer_id in recorded.holders:
            with contextlib.suppress(PeerError):
                found = await self._request_attach(peer_id, claim)
                if found.document:
                    return found
        return AttachResult()

    async def _request_attach(self, peer_id: str, claim: Claim) -> AttachResult:
        if peer_id == self._instance_id:
            return AttachResult()
        message = AttachRequestBody(
            key=claim.key,
            attempt_id=claim.attempt_id,
            wait_ms=ATTACH_WAIT_MS,
        )
        reply = await self._link.request(
            peer_id,
            message,
            AttachReplyBody,
            ATTACH_WAIT_MS + REPLY_GRACE_MS,
        )
        return AttachResult(
            document=reply.document,
            abandoned=reply.state == 'abandoned',
            running=reply.state == 'running',
        )

    async def _handle_attach(
        self,
        peer_id: str,
        message: AttachRequestBody,
    ) -> AttachReplyBody:
        if self._attach_handler is None:
            return AttachReplyBody(state='not_known')
        found = await self._attach_handler(
            message.key,
            message.attempt_id,
            message.wait_ms,
        )
        if found.abandoned:
            return AttachReplyBody(state='abandoned')
        if found.running:
            return AttachReplyBody(state='running')
        if not found.document:
            return AttachReplyBody(state='not_known')
        return AttachReplyBody(state='ended', document=found.document)

    async def _handle_hold(
        self,
        peer_id: str,
        message: HoldRequestBody,
    ) -> HoldReplyBody:
        held = self.hold(message.attempt_id, message.document)
        return HoldReplyBody(held=held)


async def _await_record(shard: ClaimShard, claim: Claim) -> None:
    while shard.fold.outcome(claim) is None:
        await shard.waiters.wait(claim.key)
