"""Claim shards: each is a stream of the log with its fold and writer."""

import asyncio
import dataclasses
import hashlib
from collections.abc import Callable, Sequence

from .append_budget import AppendBudget
from .append_queue import QueuedItem
from .backing_services import LogRecord, LogService, PlatformError
from .checkpoints import CheckpointSpan, CheckpointTracker, build_checkpoint
from .claim_records import (
    BatchItem,
    affected_keys,
    decode_batch,
    encode_batch,
    fold_batch,
)
from .claims import ClaimFold, KeyWindow
from .clock import MS_PER_S, Clock
from .events import Event, log_event
from .generated.settings import ClaimsSettings
from .identifiers import identifier_time_ms, new_identifier
from .key_waiters import KeyWaiters
from .log_reader import READ_RETRY_MS, StreamReader
from .log_writer import BatchWriter, WriterSettings
from .tasks import Work

STREAM_PREFIX = 'claims'
# Shares of the log's retention: the age of the last checkpoint at which the
# next one is due, and the interval of checks for it.
CHECKPOINT_AGE_SHARE = 0.5
CHECKPOINT_CHECK_SHARE = 0.05
EXPIRE_INTERVAL_MS = 1000
BACKFILL_IDLE_MS = 100

WindowSource = Callable[[], KeyWindow]


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimLogDependencies:
    """Services and settings shared by the claim shards."""

    log: LogService
    clock: Clock
    settings: ClaimsSettings
    window: WindowSource
    count_entries: Callable[[], int]


class ClaimShard:
    """One claim stream with the state an entry has read from it."""

    def __init__(
        self,
        dependencies: ClaimLogDependencies,
        budget: AppendBudget,
        index: int,
    ) -> None:
        """Creates a shard that has not read any records.

        Args:
            dependencies: Services and settings.
            budget: Append rate limit, shared by the shards.
            index: Number of the shard, from 0.
        """
        stream = f'{STREAM_PREFIX}-{index}'
        self.fold = ClaimFold()
        self.waiters = KeyWaiters()
        self.checkpoints = CheckpointTracker()
        self.reader = StreamReader(
            dependencies.log,
            stream,
            self._consume,
            dependencies.clock,
            self.waiters.wake_all,
        )
        self.writer = BatchWriter(
            dependencies.log,
            encode_batch,
            budget,
            dependencies.clock,
            WriterSettings(
                stream,
                dependencies.settings.commit_window_ms,
                dependencies.settings.batch_items,
            ),
        )
        self._dependencies = dependencies

    def covers(self, key_time_ms: float) -> bool:
        """Returns whether all records of keys created since a time were read.

        Args:
            key_time_ms: Wall clock time in milliseconds.
        """
        coverage = self.reader.coverage
        if coverage is None or key_time_ms < self.fold.expired_before_ms:
            return False
        margin_ms = self._dependencies.window().margin_ms
        if (
            coverage.is_complete
            or key_time_ms - margin_ms >= coverage.first_time_ms
        ):
            return True
        checkpointed_from_ms = self.checkpoints.keys_from_ms(
            coverage.first_offset
        )
        return (
            checkpointed_from_ms is not None
            and checkpointed_from_ms <= key_time_ms
        )

    def covers_key(self, key: str) -> bool:
        """Returns whether all records of a key have been read."""
        return self.covers(identifier_time_ms(key) or 0)

    def records_may_be_lost(self, key: str) -> bool:
        """Returns whether records of a key may have expired before a read."""
        if self.covers_key(key):
            return False
        key_time_ms = identifier_time_ms(key) or 0
        if key_time_ms < self.fold.expired_before_ms:
            return True
        coverage = self.reader.coverage
        return coverage is not None and coverage.is_exhausted

    def write(self, *items: BatchItem) -> QueuedItem:
        """Queues records, whose append is retried until the log has them.

        Args:
            items: Records to append in one batch.

        Returns:
            The queued item.
        """
        item = QueuedItem(items)
        self.writer.queue.add(item)
        return item

    def background(self) -> Sequence[Work]:
        """Returns the work to run for the lifetime of the entry."""
        return (
            self.reader.follow,
            self.writer.run,
            self._backfill,
            self._expire,
            self._run_checkpoints,
        )

    async def checkpoint_if_due(self) -> bool:
        """Queues a checkpoint if records are about to expire.

        Returns:
            Whether a checkpoint was queued.
        """
        keys_from_ms = self._oldest_key_ms()
        if not self._is_due(keys_from_ms):
            return False
        coverage = self.reader.coverage
        span = CheckpointSpan(
            checkpoint_id=new_identifier(),
            through_offset=coverage.next_offset if coverage else 0,
            keys_from_ms=keys_from_ms,
        )
        parts = build_checkpoint(span, self.fold)
        for part in parts:
            self.write(*part)
        log_event(
            Event.CHECKPOINT_WRITTEN,
            stream=self.reader.stream,
            checkpoint_id=span.checkpoint_id,
            parts=len(parts),
        )
        return True

    def _is_due(self, keys_from_ms: float) -> bool:
        """Returns whether the last checkpoint is half the retention old.

        No checkpoint is due until all records of the keys have been read.
        """
        coverage = self.reader.coverage
        if coverage is None or not coverage.next_offset:
            return False
        age_ms = (
            self._dependencies.clock.wall_ms() - self.checkpoints.latest_at_ms
        )
        checkpoint_after_ms = (
            self._dependencies.settings.retention_ms * CHECKPOINT_AGE_SHARE
        )
        return age_ms >= checkpoint_after_ms and self.covers(keys_from_ms)

    def _oldest_key_ms(self) -> float:
        oldest_ms = self._dependencies.window().oldest_ms(
            self._dependencies.clock.wall_ms()
        )
        return max(oldest_ms, self.fold.expired_before_ms)

    def _consume(self, stored: LogRecord) -> None:
        batch = decode_batch(stored)
        if batch is None:
            return
        fold_batch(self.fold, stored.offset, batch)
        for part in batch.checkpoints:
            self.checkpoints.add_part(part, stored.appended_at_ms)
        self.writer.note_batch_read(batch.batch_id)
        for key in affected_keys(batch):
            self.waiters.wake(key)

    async def _backfill(self) -> None:
        while True:
            coverage = self.reader.coverage
            if coverage is None or self._is_backfilled():
                await asyncio.sleep(BACKFILL_IDLE_MS / MS_PER_S)
                continue
            try:
                await self.reader.backfill_once()
            except PlatformError:
                await asyncio.sleep(READ_RETRY_MS / MS_PER_S)

    def _is_backfilled(self) -> bool:
        coverage = self.reader.coverage
        exhausted = coverage is not None and coverage.is_exhausted
        return exhausted or self.covers(self._oldest_key_ms())

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRE_INTERVAL_MS / MS_PER_S)
            self.fold.expire(self._oldest_key_ms())

    async def _run_checkpoints(self) -> None:
        interval_ms = (
            self._dependencies.settings.retention_ms * CHECKPOINT_CHECK_SHARE
        )
        while True:
            await asyncio.sleep(interval_ms / MS_PER_S)
            await self.checkpoint_if_due()


class ClaimLog:
    """All claim shards; each key belongs to one of them."""

    def __init__(self, dependencies: ClaimLogDependencies) -> None:
        """Creates the shards.

        Args:
            dependencies: Services and settings.
        """
        budget = AppendBudget(
            dependencies.settings.appends_per_s,
            dependencies.count_entries,
        )
        self.shards = tuple(
            ClaimShard(dependencies, budget, index)
            for index in range(dependencies.settings.shards)
        )

    def shard_of(self, key: str) -> ClaimShard:
        """Returns the shard that holds the records of a key."""
        digest = hashlib.blake2b(key.encode(), digest_size=4).digest()
        index = int.from_bytes(digest) % len(self.shards)
        return self.shards[index]

    def background(self) -> Sequence[Work]:
        """Returns the work to run for the lifetime of the entry."""
        return tuple(
            work for shard in self.shards for work in shard.background()
        )
