"""Records the outcomes of claimed requests."""

import asyncio
import dataclasses

from .claim_log import ClaimLog, ClaimShard
from .claim_peers import ClaimPeers
from .claim_records import encode_recorded_outcome
from .claims import RecordedOutcome
from .outcomes import encode_document
from .pipeline_interfaces import ClaimGrant, Outcome


class OutcomeRecorder:
    """Writes small outcomes to the log, and the holders of large ones."""

    def __init__(
        self,
        instance_id: str,
        log: ClaimLog,
        peers: ClaimPeers,
        inline_bytes: int,
    ) -> None:
        """Creates the recorder.

        Args:
            instance_id: Id of this entry.
            log: The claim streams.
            peers: Hold large outcomes in memory.
            inline_bytes: Length of the largest outcome document, in characters,
                that is written to the log.
        """
        self._instance_id = instance_id
        self._log = log
        self._peers = peers
        self._inline_bytes = inline_bytes
        self._replications: set[asyncio.Task[None]] = set()

    def record(self, grant: ClaimGrant, outcome: Outcome) -> None:
        """Records an outcome; replication runs in the background.

        Args:
            grant: Grant under which the request ran.
            outcome: Outcome of the request.
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
            self._record_large(shard, recorded)

    def _record_large(
        self, shard: ClaimShard, recorded: RecordedOutcome
    ) -> None:
        self._peers.hold(recorded.attempt_id, recorded.document)
        shard.fold.add_outcome(self._with_holders(recorded))
        task = asyncio.ensure_future(self._replicate(shard, recorded))
        self._replications.add(task)
        task.add_done_callback(self._replications.discard)

    async def _replicate(
        self,
        shard: ClaimShard,
        recorded: RecordedOutcome,
    ) -> None:
        copies = await self._peers.replicate(recorded)
        shard.write(
            encode_recorded_outcome(self._with_holders(recorded, *copies))
        )

    def _with_holders(
        self,
        recorded: RecordedOutcome,
        *copies: str,
    ) -> RecordedOutcome:
        holders = (self._instance_id, *copies)
        return dataclasses.replace(recorded, document='', holders=holders)
