"""Queue of records to append, and backoff after failed appends."""

import asyncio
import collections
import dataclasses
import random
from collections.abc import Callable, Iterable, Sequence
from typing import Any

MAX_BACKLOG_ITEMS = 50_000
BASE_BACKOFF_MS = 20
MAX_BACKOFF_MS = 2000
# Consecutive failures after which the log is considered down.
DOWN_AFTER_FAILURES = 2


@dataclasses.dataclass(slots=True, eq=False)
class QueuedItem:
    """Records to append to the log in the same batch.

    A required item is retried until it is appended. An optional item is
    refused when the log is down and has refused an append, so that the append
    certainly had no effect, or when the full queue drops the item.
    """

    body: Sequence[Any]
    required: bool = True
    write_needed: bool = True
    refused: bool = False
    unconfirmed_appends: int = 0
    on_refused: Callable[[], None] | None = None

    @property
    def possibly_logged(self) -> bool:
        """Returns whether an append of the records may have succeeded."""
        return self.unconfirmed_appends > 0

    def refuse(self) -> None:
        """Marks the item as refused, not to be written; calls `on_refused`."""
        self.write_needed = False
        self.refused = True
        if self.on_refused is not None:
            self.on_refused()


class AppendQueue:
    """Bounded queue of records that drops the oldest item when full."""

    def __init__(self) -> None:
        """Creates an empty queue."""
        self.dropped = 0
        self.not_empty = asyncio.Event()
        self._items: collections.deque[QueuedItem] = collections.deque()

    def __len__(self) -> int:
        """Returns the number of queued items."""
        return len(self._items)

    def add(self, item: QueuedItem) -> None:
        """Queues an item; drops the oldest one if the queue is full."""
        if len(self._items) >= MAX_BACKLOG_ITEMS:
            self._drop(self._items.popleft())
        self._items.append(item)
        self.not_empty.set()

    def take_batch(self, max_items: int) -> list[QueuedItem]:
        """Removes and returns the items of the next append.

        Items that need no write any more are removed but not returned.

        Args:
            max_items: Number of records at which the append is full.
        """
        batch: list[QueuedItem] = []
        size = 0
        while self._items and size < max_items:
            item = self._items.popleft()
            if item.write_needed:
                batch.append(item)
                size += len(item.body)
        if not self._items:
            self.not_empty.clear()
        return batch

    def requeue(self, batch: Iterable[QueuedItem]) -> None:
        """Puts items back at the front of the queue, in their order."""
        write_needed = [item for item in batch if item.write_needed]
        self._items.extendleft(reversed(write_needed))
        if self._items:
            self.not_empty.set()

    def refuse_optional(self, batch: Iterable[QueuedItem]) -> None:
        """Refuses every optional item in a batch and in the queue.

        Args:
            batch: Items that were removed from the queue.
        """
        for item in (*batch, *self._items):
            if item.write_needed and not item.required:
                item.refuse()

    def _drop(self, item: QueuedItem) -> None:
        self.dropped += 1
        if not item.required:
            item.refuse()


class AppendBackoff:
    """Exponential backoff with jitter after failed appends."""

    def __init__(self, seed: str) -> None:
        """Creates a backoff without failures.

        Args:
            seed: Seed of the jitter.
        """
        self.failures = 0
        self._retry_at_ms: float = 0
        self._random = random.Random(seed)

    @property
    def is_down(self) -> bool:
        """Returns whether the last appends all failed."""
        return self.failures >= DOWN_AFTER_FAILURES

    def note_success(self) -> None:
        """Resets the backoff after a successful append."""
        self.failures = 0
        self._retry_at_ms = 0

    def note_failure(self, now_ms: float) -> None:
        """Extends the backoff after a failed append.

        Args:
            now_ms: Steady clock time in milliseconds.
        """
        self.failures += 1
        longest_ms = min(BASE_BACKOFF_MS * 2**self.failures, MAX_BACKOFF_MS)
        self._retry_at_ms = now_ms + self._random.uniform(
            longest_ms / 2,
            longest_ms,
        )

    def wait_ms(self, now_ms: float) -> float:
        """Returns the time until the next append, in milliseconds."""
        return max(self._retry_at_ms - now_ms, 0)
