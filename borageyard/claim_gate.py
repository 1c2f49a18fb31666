"""Claim gate, which runs a non-idempotent request at most once."""

import asyncio
import contextlib
import dataclasses
import hashlib
import json

from .claim_attempts import (
    DEADLINE_REFUSAL,
    Attempt,
    ClaimAttempts,
    is_log_down,
    log_unavailable_refusal,
)
from .claim_log import ClaimLog, ClaimShard
from .claim_peers import AttachResult, ClaimPeers
from .claims import Claim, KeyWindow
from .clock import MS_PER_S, Clock
from .document_validation import DocumentError
from .errors import ErrorKind, Refusal, RefusalError, RunStatus
from .outcome_recorder import OutcomeRecorder
from .outcomes import decode_document
from .pipeline_interfaces import ClaimGrant, Outcome
from .requests import AdmittedRequest, Answer, PipelineRequest

UNKNOWN_REFUSAL = Refusal(ErrorKind.OUTCOME_UNKNOWN, ran=RunStatus.UNKNOWN)


@dataclasses.dataclass(slots=True)
class ClaimCounts:
    """Counts of claim results since the entry started."""

    attached: int = 0
    replayed: int = 0
    unknown: int = 0
    conflicts: int = 0
    log_unavailable: int = 0


class LogClaimGate:
    """Claims keys in the log before the first non-idempotent call."""

    def __init__(
        self,
        log: ClaimLog,
        attempts: ClaimAttempts,
        recorder: OutcomeRecorder,
        peers: ClaimPeers,
        clock: Clock,
    ) -> None:
        """Creates the gate and registers it for requests from peers.

        Args:
            log: Claim streams.
            attempts: Unfinished attempts of this entry.
            recorder: Records outcomes.
            peers: Client and server for messages between entries.
            clock: Source of time.
        """
        self.counts = ClaimCounts()
        self._log = log
        self._attempts = attempts
        self._recorder = recorder
        self._peers = peers
        self._clock = clock
        peers.register_attach_handler(self._handle_attach)

    def is_granted(self, request_id: str) -> bool:
        """Returns whether a request runs under a granted claim."""
        return self._attempts.is_granted(request_id)

    async def recall(self, admitted: AdmittedRequest) -> Outcome | None:
        """Returns the outcome of another attempt of the key, or None.

        Args:
            admitted: Request that carries the key.

        Raises:
            RefusalError: If the key is not acceptable, belongs to another
                request or the log is unavailable.
        """
        request = admitted.request
        _check_key(admitted, self._clock.wall_ms())
        shard = self._log.shard_of(request.idempotency_key)
        grant = await self._attach(shard, request, digest_request(request))
        if grant is not None:
            return grant.outcome
        if is_log_down(shard):
            raise RefusalError(self._refuse_unavailable(shard, request))
        return None

    async def acquire(self, admitted: AdmittedRequest) -> ClaimGrant:
        """Claims the request's key or gets the outcome of another attempt.

        Args:
            admitted: Request that carries the key.

        Returns:
            A grant to run the request, or one with the outcome of another
            attempt.

        Raises:
            RefusalError: If the key can't be claimed.
        """
        request = admitted.request
        _check_key(admitted, self._clock.wall_ms())
        digest = digest_request(request)
        grant = None
        while grant is None:
            grant = await self._try_acquire(request, digest)
        return grant

    async def complete(self, grant: ClaimGrant, outcome: Outcome) -> None:
        """Records the outcome and ends the attempt.

        The outcome is written to the log in the background.

        Args:
            grant: Grant of the attempt.
            outcome: Outcome of the request.
        """
        self._recorder.record(grant, outcome)
        self._attempts.end(grant, outcome)

    async def abandon(self, grant: ClaimGrant, refusal: Refusal) -> None:
        """Voids the claim of a granted attempt under which no call ran.

        Args:
            grant: Grant of the attempt.
            refusal: Outcome for the requests attached to the attempt.
        """
        self._attempts.abandon(self._log.shard_of(grant.key), grant, refusal)

    async def _attach(
        self,
        shard: ClaimShard,
        request: PipelineRequest,
        digest: str,
    ) -> ClaimGrant | None:
        """Returns a grant with another attempt's outcome, or None."""
        running = self._attempts.find(request.idempotency_key)
        if running is not None:
            self._require_digest(running.digest, digest)
            return await self._await_local(running, request)
        winner = shard.fold.winner(request.idempotency_key)
        if winner is None:
            return None
        self._require_digest(winner.digest, digest)
        return await self._await_remote(shard, winner, request)

    async def _try_acquire(
        self,
        request: PipelineRequest,
        digest: str,
    ) -> ClaimGrant | None:
        """Tries to get a grant; returns None if the caller has to retry.

        A retry is due when the state of the key has changed meanwhile.
        """
        key = request.idempotency_key
        shard = self._log.shard_of(key)
        grant = await self._attach(shard, request, digest)
        if grant is not None or self._is_claimed(shard, key):
            return grant
        if is_log_down(shard) or not shard.covers_key(key):
            await self._wait_for_records(shard, request)
            return None
        return await self._attempts.claim(shard, request, digest)

    def _is_claimed(self, shard: ClaimShard, key: str) -> bool:
        running = self._attempts.find(key)
        return running is not None or shard.fold.winner(key) is not None

    async def _wait_for_records(
        self,
        shard: ClaimShard,
        request: PipelineRequest,
    ) -> None:
        """Waits until all records of the key have been read.

        Raises:
            RefusalError: If the log is unavailable, or if the records are
                lost or not read before the deadline.
        """
        key = request.idempotency_key
        with contextlib.suppress(TimeoutError):
            async with self._until_deadline(request):
                while _must_wait(shard, key):
                    await shard.waiters.wait(key)
        if is_log_down(shard):
            raise RefusalError(self._refuse_unavailable(shard, request))
        if not shard.covers_key(key):
            self.counts.unknown += 1
            detail = 'records of the key are not known'
            raise RefusalError(
                dataclasses.replace(UNKNOWN_REFUSAL, detail=detail)
            )

    def _refuse_unavailable(
        self,
        shard: ClaimShard,
        request: PipelineRequest,
    ) -> Refusal:
        self.counts.log_unavailable += 1
        return log_unavailable_refusal(shard, request.idempotency_key)

    async def _await_local(
        self,
        running: Attempt,
        request: PipelineRequest,
    ) -> ClaimGrant | None:
        """Waits for the outcome of an attempt at this entry.

        Returns None if the attempt was not granted because of its own
        deadline, a disconnect of its caller or an earlier claim.
        """
        self.counts.attached += 1
        outcome: Outcome = UNKNOWN_REFUSAL
        with contextlib.suppress(TimeoutError):
            async with self._until_deadline(request):
                outcome = await asyncio.shield(running.ended)
        if outcome is DEADLINE_REFUSAL and not running.granted:
            return None
        return _grant_with_outcome(running.key, outcome, request)

    async def _await_remote(
        self,
        shard: ClaimShard,
        winner: Claim,
        request: PipelineRequest,
    ) -> ClaimGrant | None:
        """Waits for the outcome of an attempt that is not running here.

        Returns None if the attempt was abandoned.
        """
        self.counts.attached += 1
        found = AttachResult()
        with contextlib.suppress(TimeoutError):
            async with self._until_deadline(request):
                found = await self._peers.await_outcome(shard, winner)
        if found.abandoned:
            shard.fold.add_void(winner.key, winner.attempt_id)
            return None
        outcome = _decode(found.document)
        if outcome is UNKNOWN_REFUSAL:
            self.counts.unknown += 1
        else:
            self.counts.replayed += 1
        return _grant_with_outcome(winner.key, outcome, request)

    async def _handle_attach(
        self,
        key: str,
        attempt_id: str,
        wait_ms: float,
    ) -> AttachResult:
        """Returns the state of an attempt to a peer that attaches to it.

        Args:
            key: Idempotency key.
            attempt_id: Id of the attempt.
            wait_ms: Longest wait for the attempt to end, in milliseconds.
        """
        shard = self._log.shard_of(key)
        attempt = self._attempts.find(key)
        if attempt is not None and attempt.attempt_id == attempt_id:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_ms / MS_PER_S):
                    await asyncio.shield(attempt.ended)
            if not attempt.ended.done():
                return AttachResult(running=True)
        if shard.fold.is_void(key, attempt_id):
            return AttachResult(abandoned=True)
        return AttachResult(document=self._peers.find(shard, key, attempt_id))

    def _require_digest(self, claimed_digest: str, digest: str) -> None:
        if claimed_digest != digest:
            self.counts.conflicts += 1
            raise RefusalError(Refusal(ErrorKind.KEY_CONFLICT))

    def _until_deadline(self, request: PipelineRequest) -> asyncio.Timeout:
        remaining_ms = request.expires_at_ms - self._clock.steady_ms()
        return asyncio.timeout(remaining_ms / MS_PER_S)


def digest_request(request: PipelineRequest) -> str:
    """Returns the hex SHA-256 of the organisation, pipeline and body.

    Two requests with the same key must have the same digest.

    Args:
        request: The request.
    """
    identity = [request.organisation, request.pipeline, request.body]
    text = json.dumps(identity, sort_keys=True, separators=(',', ':'))
    return hashlib.sha256(text.encode()).hexdigest()


def _check_key(admitted: AdmittedRequest, now_ms: float) -> None:
    configuration = admitted.configuration
    window = KeyWindow(
        configuration.claim_window_ms,
        configuration.clock_skew_ms,
    )
    kind = window.check(admitted.request.idempotency_key, now_ms)
    if kind is not None:
        raise RefusalError(Refusal(kind))


def _must_wait(shard: ClaimShard, key: str) -> bool:
    if is_log_down(shard) or shard.covers_key(key):
        return False
    return not shard.records_may_be_lost(key)


def _decode(document: str) -> Outcome:
    if not document:
        return UNKNOWN_REFUSAL
    try:
        return decode_document(document)
    except DocumentError:
        return UNKNOWN_REFUSAL


def _grant_with_outcome(
    key: str,
    outcome: Outcome,
    request: PipelineRequest,
) -> ClaimGrant:
    if isinstance(outcome, Answer):
        outcome = dataclasses.replace(outcome, request_id=request.request_id)
    return ClaimGrant(key, '', outcome)
