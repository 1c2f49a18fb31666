"""Claim streams of the log: one shard is a stream, its fold and writer."""

import asyncio
import dataclasses
import hashlib
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

from .append_budget import AppendBudget
from .append_queue import QueuedItem
from .backing_services import LogRecord, LogService, PlatformError
from .checkpoints import CheckpointSpan, CheckpointTracker, build_checkpoint
from .claim_records import (
    BatchItem,
    decode_batch,
    encode_batch,
    fold_batch,
    touched_keys,
)
from .claims import ClaimFold, KeyWindow
from .clock import MS_PER_S, Clock
from .events import Event, log_event
from .generated.settings import ClaimsSettings
from .identifiers import identifier_time_ms, new_identifier
from .key_waiters import KeyWaiters
from .log_reader import RETRY_MS, StreamReader
from .log_writer import GroupWriter, WriterSettings

STREAM_PREFIX = 'claims'
# Parts of the retention: age at which records are carried forward, and how
# often that is looked at.
CARRY_SHARE = 0.5
CHECK_SHARE = 0.05
EXPIRE_EVERY_MS = 1000
BACKFILL_IDLE_MS = 100

WindowSource = Callable[[], KeyWindow]


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimLogPorts:
    """What the claim streams are made of."""

    log: LogService
    clock: Clock
    settings: ClaimsSettings
    window: WindowSource
    count_entries: Callable[[], int]


class ClaimShard:
    """One claim stream as an entry sees it."""

    def __init__(
        self,
        ports: ClaimLogPorts,
        budget: AppendBudget,
        index: int,
    ) -> None:
        """Starts without records.

        Args:
            ports: The outside.
            budget: Leave to append, shared by the shards.
            index: Number of the shard.
        """
        stream = f'{STREAM_PREFIX}-{index}'
        self.fold = ClaimFold()
        self.waiters = KeyWaiters()
        self.checkpoints = CheckpointTracker()
        self.reader = StreamReader(
            ports.log,
            stream,
            self._consume,
            ports.clock,
            self.waiters.wake_all,
        )
        self.writer = GroupWriter(
            ports.log,
            encode_batch,
            budget,
            ports.clock,
            WriterSettings(
                stream,
                ports.settings.commit_window_ms,
                ports.settings.batch_items,
            ),
        )
        self._ports = ports

    def covers(self, key_time_ms: float) -> bool:
        """Tells whether every record of keys made since a time is known."""
        coverage = self.reader.coverage
        if coverage is None or key_time_ms < self.fold.expired_before_ms:
            return False
        margin_ms = self._ports.window().margin_ms
        if coverage.whole or key_time_ms - margin_ms >= coverage.low_time_ms:
            return True
        carried_ms = self.checkpoints.keys_from_ms(coverage.low)
        return carried_ms is not None and carried_ms <= key_time_ms

    def covers_key(self, key: str) -> bool:
        """Tells whether every record of a key is known."""
        return self.covers(identifier_time_ms(key) or 0)

    def is_lost(self, key: str) -> bool:
        """Tells whether records of a key may have expired unread."""
        if self.covers_key(key):
            return False
        key_time_ms = identifier_time_ms(key) or 0
        if key_time_ms < self.fold.expired_before_ms:
            return True
        coverage = self.reader.coverage
        return coverage is not None and coverage.exhausted

    def write(self, *items: BatchItem) -> QueuedItem:
        """Queues records that must reach the log."""
        item = QueuedItem(items)
        self.writer.queue.add(item)
        return item

    def background(self) -> Sequence[Coroutine[Any, Any, None]]:
        """Returns the work that runs while the entry does."""
        return (
            self.reader.follow(),
            self.writer.run(),
            self._read_back(),
            self._expire(),
            self._carry_forward(),
        )

    async def carry_forward_once(self) -> bool:
        """Writes a checkpoint if records are about to expire.

        Returns:
            Whether one was written.
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
        """Tells whether the last checkpoint has reached half the retention."""
        coverage = self.reader.coverage
        if coverage is None or not coverage.next_offset:
            return False
        age_ms = self._ports.clock.wall_ms() - self.checkpoints.latest_at_ms
        carry_after_ms = self._ports.settings.retention_ms * CARRY_SHARE
        return age_ms >= carry_after_ms and self.covers(keys_from_ms)

    def _oldest_key_ms(self) -> float:
        oldest_ms = self._ports.window().oldest_ms(self._ports.clock.wall_ms())
        return max(oldest_ms, self.fold.expired_before_ms)

    def _consume(self, stored: LogRecord) -> None:
        batch = decode_batch(stored)
        if batch is None:
            return
        fold_batch(self.fold, stored.offset, batch)
        for part in batch.checkpoints:
            self.checkpoints.take(part, stored.appended_at_ms)
        self.writer.note_batch(batch.batch_id)
        for key in touched_keys(batch):
            self.waiters.wake(key)

    async def _read_back(self) -> None:
        while True:
            coverage = self.reader.coverage
            if coverage is None or self._is_read_back():
                await asyncio.sleep(BACKFILL_IDLE_MS / MS_PER_S)
                continue
            try:
                await self.reader.read_back_once()
            except PlatformError:
                await asyncio.sleep(RETRY_MS / MS_PER_S)

    def _is_read_back(self) -> bool:
        coverage = self.reader.coverage
        exhausted = coverage is not None and coverage.exhausted
        return exhausted or self.covers(self._oldest_key_ms())

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRE_EVERY_MS / MS_PER_S)
            self.fold.expire(self._oldest_key_ms())

    async def _carry_forward(self) -> None:
        every_ms = self._ports.settings.retention_ms * CHECK_SHARE
        while True:
            await asyncio.sleep(every_ms / MS_PER_S)
            await self.carry_forward_once()


class ClaimLog:
    """All claim streams; a key belongs to one of them."""

    def __init__(self, ports: ClaimLogPorts) -> None:
        """Composes the shards.

        Args:
            ports: The outside.
        """
        budget = AppendBudget(
            ports.settings.appends_per_s,
            ports.count_entries,
        )
        self.shards = tuple(
            ClaimShard(ports, budget, index)
            for index in range(ports.settings.shards)
        )

    def shard_of(self, key: str) -> ClaimShard:
        """Returns the shard of a key."""
        digest = hashlib.blake2b(key.encode(), digest_size=4).digest()
        index = int.from_bytes(digest) % len(self.shards)
        return self.shards[index]

    def background(self) -> Sequence[Coroutine[Any, Any, None]]:
        """Returns the work that runs while the entry does."""
        return tuple(
            work for shard in self.shards for work in shard.background()
        )
