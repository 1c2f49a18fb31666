"""Records that wait for an append, and when to try the log again."""

import asyncio
import collections
import dataclasses
import random
from collections.abc import Callable, Iterable, Sequence
from typing import Any

MAX_BACKLOG_ITEMS = 50_000
BASE_BACKOFF_MS = 20
MAX_BACKOFF_MS = 2000
# Failures in a row after which the log is taken to be down.
DOWN_AFTER_FAILURES = 2


@dataclasses.dataclass(slots=True, eq=False)
class QueuedItem:
    """Records on their way to the log, which stay together.

    A required item is tried until it is appended. Another one is given up
    when the log certainly did not take it.
    """

    body: Sequence[Any]
    required: bool = True
    write_needed: bool = True
    refused: bool = False
    unconfirmed_appends: int = 0
    on_refused: Callable[[], None] | None = None

    @property
    def possibly_logged(self) -> bool:
        """Tells whether an append may have put it into the log."""
        return self.unconfirmed_appends > 0

    def refuse(self) -> None:
        """Gives the records up."""
        self.write_needed = False
        self.refused = True
        if self.on_refused is not None:
            self.on_refused()


class AppendQueue:
    """Bounded queue of records; the oldest are dropped when it is full."""

    def __init__(self) -> None:
        """Starts empty."""
        self.dropped = 0
        self.not_empty = asyncio.Event()
        self._items: collections.deque[QueuedItem] = collections.deque()

    def __len__(self) -> int:
        """Returns how many items wait."""
        return len(self._items)

    def add(self, item: QueuedItem) -> None:
        """Queues an item."""
        if len(self._items) >= MAX_BACKLOG_ITEMS:
            self._drop(self._items.popleft())
        self._items.append(item)
        self.not_empty.set()

    def take_batch(self, max_items: int) -> list[QueuedItem]:
        """Takes the items of the next append out, leaving unwanted ones.

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
        """Queues items again, before all others."""
        write_needed = [item for item in batch if item.write_needed]
        self._items.extendleft(reversed(write_needed))
        if self._items:
            self.not_empty.set()

    def refuse_optional(self, batch: Iterable[QueuedItem]) -> None:
        """Gives up every item that is not required.

        Args:
            batch: Items taken out, beside those that wait.
        """
        for item in (*batch, *self._items):
            if item.write_needed and not item.required:
                item.refuse()

    def _drop(self, item: QueuedItem) -> None:
        self.dropped += 1
        if not item.required:
            item.refuse()


class AppendBackoff:
    """Decides when the log may be tried again after failures."""

    def __init__(self, seed: str) -> None:
        """Starts without failures.

        Args:
            seed: Seed of the jitter.
        """
        self.failures = 0
        self._retry_at_ms: float = 0
        self._random = random.Random(seed)

    @property
    def is_down(self) -> bool:
        """Tells whether the last appends all failed."""
        return self.failures >= DOWN_AFTER_FAILURES

    def note_success(self) -> None:
        """Takes note of an append that worked."""
        self.failures = 0
        self._retry_at_ms = 0

    def note_failure(self, now_ms: float) -> None:
        """Takes note of an append that failed.

        Args:
            now_ms: Steady time.
        """
        self.failures += 1
        longest_ms = min(BASE_BACKOFF_MS * 2**self.failures, MAX_BACKOFF_MS)
        self._retry_at_ms = now_ms + self._random.uniform(
            longest_ms / 2,
            longest_ms,
        )

    def wait_ms(self, now_ms: float) -> float:
        """Returns how long to leave the log alone."""
        return max(self._retry_at_ms - now_ms, 0)
