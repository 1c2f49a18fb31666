"""Records how claimed requests ended."""

import asyncio
import dataclasses

from .claim_log import ClaimLog, ClaimShard
from .claim_peers import ClaimPeers
from .claim_records import encode_recorded_outcome
from .claims import RecordedOutcome
from .gates import ClaimGrant, Outcome
from .outcomes import encode_document


class OutcomeRecorder:
    """Puts small outcomes into the log, and who holds the large ones."""

    def __init__(
        self,
        instance_id: str,
        log: ClaimLog,
        peers: ClaimPeers,
        inline_bytes: int,
    ) -> None:
        """Wraps the ways to keep an outcome.

        Args:
            instance_id: Id of this entry.
            log: The claim streams.
            peers: Hold large outcomes.
            inline_bytes: Largest outcome that is written to the log.
        """
        self._instance_id = instance_id
        self._log = log
        self._peers = peers
        self._inline_bytes = inline_bytes
        self._tasks: set[asyncio.Task[None]] = set()

    def record(self, grant: ClaimGrant, outcome: Outcome) -> None:
        """Keeps an outcome; what takes time is done in the background.

        Args:
            grant: Leave under which the request ran.
            outcome: How it ended.
        """
        recorded = RecordedOutcome(
            key=grant.key,
            attempt_id=grant.attempt_id,
            document=encode_document(outcome),
        )
        shard = self._log.shard_of(grant.key)
        if len(recorded.document) <= self._inline_bytes:
            shard.fold.add_outcome(recorded)
            shard.write(encode_recorded_outcome(recorded))
        else:
            self._hold(shard, recorded)

    def _hold(self, shard: ClaimShard, recorded: RecordedOutcome) -> None:
        self._peers.hold(recorded.attempt_id, recorded.document)
        shard.fold.add_outcome(self._held_by(recorded))
        task = asyncio.ensure_future(self._replicate(shard, recorded))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _replicate(
        self,
        shard: ClaimShard,
        recorded: RecordedOutcome,
    ) -> None:
        copies = await self._peers.replicate(recorded)
        shard.write(encode_recorded_outcome(self._held_by(recorded, *copies)))

    def _held_by(
        self,
        recorded: RecordedOutcome,
        *copies: str,
    ) -> RecordedOutcome:
        holders = (self._instance_id, *copies)
        return dataclasses.replace(recorded, document='', holders=holders)
