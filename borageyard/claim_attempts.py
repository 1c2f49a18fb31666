"""Attempts of this entry to claim keys, from the append to the end."""

import asyncio
import dataclasses

from .append_queue import QueuedItem
from .claim_log import ClaimShard
from .clock import MS_PER_S, Clock
from .errors import ErrorKind, Refusal, RefusalError, RunStatus
from .events import Event, log_event
from .generated.log_claims import ClaimRecord, VoidRecord
from .identifiers import new_identifier
from .pipeline_interfaces import ClaimGrant, Outcome
from .requests import PipelineRequest

DEFAULT_RETRY_AFTER_MS = 500
# Also ends attempts whose caller disconnected or that lost to an earlier claim.
# The claim gate recognises this object by identity and then retries the
# requests attached to them.
DEADLINE_REFUSAL = Refusal(ErrorKind.DEADLINE_EXCEEDED)


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """Unfinished attempt of this entry to run a request."""

    key: str
    attempt_id: str
    digest: str
    request_id: str
    ended: asyncio.Future[Outcome]
    granted: bool = False

    def end(self, outcome: Outcome) -> None:
        """Resolves the future that other requests wait for."""
        if not self.ended.done():
            self.ended.set_result(outcome)


class ClaimAttempts:
    """Unfinished attempts of an entry, by key."""

    def __init__(self, instance_id: str, clock: Clock) -> None:
        """Creates an empty set of attempts.

        Args:
            instance_id: Id of this entry.
            clock: Source of time.
        """
        self.granted = 0
        self.abandoned = 0
        self._instance_id = instance_id
        self._clock = clock
        self._running: dict[str, Attempt] = {}
        self._granted_requests: set[str] = set()

    def __len__(self) -> int:
        """Returns the number of unfinished attempts."""
        return len(self._running)

    def find(self, key: str) -> Attempt | None:
        """Returns the unfinished attempt of a key, or None."""
        return self._running.get(key)

    def is_granted(self, request_id: str) -> bool:
        """Returns whether a request runs under a granted claim."""
        return request_id in self._granted_requests

    async def claim(
        self,
        shard: ClaimShard,
        request: PipelineRequest,
        digest: str,
    ) -> ClaimGrant | None:
        """Claims the key of a request.

        Args:
            shard: Shard that holds the records of the key.
            request: Request to run.
            digest: Digest of the request.

        Returns:
            The grant, or None if another attempt has the key.

        Raises:
            RefusalError: If the claim is not read back before the deadline of
                the request, or if the log is unavailable.
        """
        attempt = Attempt(
            key=request.idempotency_key,
            attempt_id=new_identifier(),
            digest=digest,
            request_id=request.request_id,
            ended=asyncio.get_running_loop().create_future(),
        )
        self._running[attempt.key] = attempt
        item = self._queue_claim(shard, attempt)
        try:
            await self._wait_until_read(
                shard, attempt, item, request.expires_at_ms
            )
        except BaseException:
            self._abandon_ungranted(shard, attempt, item, DEADLINE_REFUSAL)
            raise
        if item.refused:
            refusal = log_unavailable_refusal(shard, attempt.key)
            self._abandon_ungranted(shard, attempt, item, refusal)
            raise RefusalError(refusal)
        return self._decide(shard, attempt, item)

    def abandon(
        self,
        shard: ClaimShard,
        grant: ClaimGrant,
        refusal: Refusal,
    ) -> None:
        """Voids the claim of a granted attempt under which no call ran.

        Args:
            shard: Shard that holds the records of the key.
            grant: Grant of the attempt.
            refusal: Outcome for the requests attached to the attempt.
        """
        attempt = self._running.get(grant.key)
        if attempt is not None and attempt.attempt_id == grant.attempt_id:
            self._void(shard, attempt)
            self.end(grant, refusal)

    def end(self, grant: ClaimGrant, outcome: Outcome) -> None:
        """Ends a granted attempt and resolves the requests attached to it.

        Args:
            grant: Grant of the attempt.
            outcome: Outcome for the attached requests.
        """
        attempt = self._running.pop(grant.key, None)
        if attempt is not None:
            self._granted_requests.discard(attempt.request_id)
            attempt.end(outcome)

    def _queue_claim(self, shard: ClaimShard, attempt: Attempt) -> QueuedItem:
        record = ClaimRecord(
            key=attempt.key,
            attempt_id=attempt.attempt_id,
            digest=attempt.digest,
            holder=self._instance_id,
        )
        item = QueuedItem(
            (record,),
            required=False,
            on_refused=lambda: shard.waiters.wake(attempt.key),
        )
        shard.writer.queue.add(item)
        return item

    async def _wait_until_read(
        self,
        shard: ClaimShard,
        attempt: Attempt,
        item: QueuedItem,
        expires_at_ms: float,
    ) -> None:
        """Waits until the claim and all earlier records of its key are read."""
        remaining_ms = expires_at_ms - self._clock.steady_ms()
        try:
            async with asyncio.timeout(remaining_ms / MS_PER_S):
                while not (item.refused or _is_claim_read(shard, attempt)):
                    await shard.waiters.wait(attempt.key)
        except TimeoutError as error:
            raise RefusalError(DEADLINE_REFUSAL) from error

    def _decide(
        self,
        shard: ClaimShard,
        attempt: Attempt,
        item: QueuedItem,
    ) -> ClaimGrant | None:
        """Grants the attempt unless an earlier claim to the key is valid."""
        winner = shard.fold.winner(attempt.key)
        if winner is None or winner.attempt_id != attempt.attempt_id:
            self._abandon_ungranted(shard, attempt, item, DEADLINE_REFUSAL)
            return None
        item.write_needed = False
        attempt.granted = True
        self.granted += 1
        self._granted_requests.add(attempt.request_id)
        return ClaimGrant(attempt.key, attempt.attempt_id)

    def _abandon_ungranted(
        self,
        shard: ClaimShard,
        attempt: Attempt,
        item: QueuedItem,
        refusal: Refusal,
    ) -> None:
        """Ends an attempt that was not granted and voids its claim.

        No void is written if the claim can't be in the log.
        """
        item.write_needed = False
        if item.possibly_logged:
            self._void(shard, attempt)
        self._running.pop(attempt.key, None)
        attempt.end(refusal)

    def _void(self, shard: ClaimShard, attempt: Attempt) -> None:
        self.abandoned += 1
        shard.fold.add_void(attempt.key, attempt.attempt_id)
        shard.write(VoidRecord(key=attempt.key, attempt_id=attempt.attempt_id))
        log_event(
            Event.CLAIM_ABANDONED,
            request_id=attempt.request_id,
            attempt_id=attempt.attempt_id,
        )


def is_log_down(shard: ClaimShard) -> bool:
    """Returns whether the log of a shard is unavailable."""
    return not shard.reader.healthy or shard.writer.retry_after_ms() > 0


def log_unavailable_refusal(shard: ClaimShard, key: str) -> Refusal:
    """Returns the refusal for a key while the log is unavailable.

    The refusal says *not run* only if all records of the key have been read.

    Args:
        shard: Shard that holds the records of the key.
        key: Idempotency key of the request.
    """
    retry_ms = shard.writer.retry_after_ms() or DEFAULT_RETRY_AFTER_MS
    return Refusal(
        ErrorKind.LOG_UNAVAILABLE,
        ran=RunStatus.NOT_RUN if shard.covers_key(key) else RunStatus.UNKNOWN,
        retry_after_ms=int(retry_ms),
    )


def _is_claim_read(shard: ClaimShard, attempt: Attempt) -> bool:
    claimed = shard.fold.is_claimed(attempt.key, attempt.attempt_id)
    return claimed and shard.covers_key(attempt.key)
