"""Bounded memory of stage results saved for other entries."""

import dataclasses

import msgpack

from .generated.peer_handover import (
    HandoverEndBody,
    HandoverSaveBody,
    HandoverStartBody,
    HandoverStartedBody,
    KeptStageBody,
)

# Time after its deadline in which a request may still be retried.
EXPIRY_GRACE_MS = 1000
EXPIRE_INTERVAL_MS = 500
# Memory that a saved request takes in addition to its results.
REQUEST_OVERHEAD_BYTES = 512


@dataclasses.dataclass(slots=True)
class SavedRequest:
    """Runner, finished stages and tokens of one request."""

    runner: str
    expires_at_ms: float
    version: int = 0
    size_bytes: int = REQUEST_OVERHEAD_BYTES
    stages: dict[str, KeptStageBody] = dataclasses.field(default_factory=dict)
    tokens: list[str] = dataclasses.field(default_factory=list)


class HandoverMemory:
    """Saved requests by key; each has at most one runner at a time."""

    def __init__(self, max_bytes: int) -> None:
        """Initializes an empty memory.

        Args:
            max_bytes: Bound on the size of all saved requests in bytes.
        """
        self.size_bytes = 0
        self.overflows = 0
        self._max_bytes = max_bytes
        self._expired_at_ms: float = -EXPIRE_INTERVAL_MS
        self._saved: dict[str, SavedRequest] = {}

    def __len__(self) -> int:
        """Returns the number of saved requests."""
        return len(self._saved)

    def start(
        self,
        message: HandoverStartBody,
        now_ms: float,
    ) -> HandoverStartedBody:
        """Registers the runner of a request unless another entry runs it.

        Args:
            message: The new runner, and the runner that it replaces.
            now_ms: Monotonic time in milliseconds.

        Returns:
            The runner, and what earlier runners finished.
        """
        self._expire(now_ms)
        expires_at_ms = now_ms + message.left_ms + EXPIRY_GRACE_MS
        saved = self._saved.get(message.key)
        if saved is None:
            if self._has_capacity(REQUEST_OVERHEAD_BYTES):
                created = SavedRequest(message.runner, expires_at_ms)
                self._saved[message.key] = created
                self.size_bytes += REQUEST_OVERHEAD_BYTES
            return HandoverStartedBody(runner=message.runner)
        if saved.runner in {'', message.replaces}:
            saved.runner = message.runner
            saved.expires_at_ms = max(saved.expires_at_ms, expires_at_ms)
        return HandoverStartedBody(
            runner=saved.runner,
            version=saved.version,
            stages=list(saved.stages.values()),
            tokens=list(saved.tokens),
        )

    def save(self, message: HandoverSaveBody, now_ms: float) -> bool:
        """Saves finished stages or tokens.

        Args:
            message: Stages and tokens that a runner has finished.
            now_ms: Monotonic time in milliseconds.

        Returns:
            Whether they were saved; false if the memory is full or the
            sender is not the runner.
        """
        self._expire(now_ms)
        size_bytes = _size(message)
        if not self._has_capacity(size_bytes):
            return False
        saved = self._saved.get(message.key)
        if saved is None:
            expires_at_ms = now_ms + message.left_ms + EXPIRY_GRACE_MS
            saved = SavedRequest(message.runner, expires_at_ms, size_bytes=0)
            self._saved[message.key] = saved
        if saved.runner != message.runner:
            return False
        if saved.version != message.version:
            saved.stages.clear()
            saved.tokens.clear()
            saved.version = message.version
        saved.stages.update({stage.stage: stage for stage in message.stages})
        if message.tokens and message.offset <= len(saved.tokens):
            # Tokens after a gap cannot be replayed.
            earlier = saved.tokens[: message.offset]
            saved.tokens = [*earlier, *message.tokens]
        saved.size_bytes += size_bytes
        self.size_bytes += size_bytes
        return True

    def end(self, message: HandoverEndBody) -> None:
        """Drops an answered request, or releases it for the next runner.

        Messages of entries other than the runner are ignored.

        Args:
            message: The run that ended, and whether it was answered.
        """
        saved = self._saved.get(message.key)
        if saved is None or saved.runner != message.runner:
            return
        if message.answered:
            self._drop(message.key)
        else:
            saved.runner = ''

    def _has_capacity(self, size_bytes: int) -> bool:
        if self.size_bytes + size_bytes <= self._max_bytes:
            return True
        self.overflows += 1
        return False

    def _expire(self, now_ms: float) -> None:
        if now_ms - self._expired_at_ms < EXPIRE_INTERVAL_MS:
            return
        self._expired_at_ms = now_ms
        expired = [
            key
            for key, saved in self._saved.items()
            if saved.expires_at_ms < now_ms
        ]
        for key in expired:
            self._drop(key)

    def _drop(self, key: str) -> None:
        self.size_bytes -= self._saved.pop(key).size_bytes


def _size(message: HandoverSaveBody) -> int:
    return len(msgpack.packb(message.model_dump(exclude_defaults=True)))
