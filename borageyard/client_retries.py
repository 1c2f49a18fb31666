"""Decides whether a caller tries a request again, when and what it says."""

import dataclasses
import random

from .errors import ErrorKind, Refusal, RunStatus
from .requests import Answer

MAX_ATTEMPTS = 8
BACKOFF_MIN_MS = 20
BACKOFF_MAX_MS = 1000
# Refusals that speak of one entry; another one may serve at once.
ENTRY_KINDS = frozenset(
    (ErrorKind.DRAINING, ErrorKind.NOT_READY, ErrorKind.NO_PERMISSION),
)


@dataclasses.dataclass(frozen=True, slots=True)
class RetryAfter:
    """Another attempt after a pause."""

    wait_ms: float


class RequestAttempts:
    """The attempts of one request, all under the same ids."""

    def __init__(self, expires_at_ms: float, seed: int) -> None:
        """Starts before the first attempt.

        Args:
            expires_at_ms: Steady time of the deadline.
            seed: Seed of the pauses.
        """
        self.count = 0
        self._expires_at_ms = expires_at_ms
        self._random = random.Random(seed)
        # Whether an attempt ended without a word about its effect.
        self._lost = False

    def left_ms(self, now_ms: float) -> float:
        """Returns the time left to the deadline."""
        return self._expires_at_ms - now_ms

    def note_lost(
        self,
        reason: str,
        now_ms: float,
        *,
        sent: bool,
    ) -> RetryAfter | Refusal:
        """Decides after an attempt without a response.

        The next attempt carries the same ids, so it can't run anything
        twice.

        Args:
            reason: What happened.
            now_ms: Steady time.
            sent: Whether the entry may have seen the request.
        """
        self.count += 1
        self._lost = self._lost or sent
        refusal = Refusal(
            ErrorKind.OUTCOME_UNKNOWN if self._lost else ErrorKind.NOT_READY,
            detail=reason,
        )
        # The first failure says little of the other entries.
        wait_ms = 0 if self.count == 1 else self._backoff_ms()
        return self._retry_or_end(refusal, wait_ms, now_ms)

    def note_outcome(
        self,
        outcome: Answer | Refusal,
        now_ms: float,
    ) -> RetryAfter | Answer | Refusal:
        """Decides after a response.

        Args:
            outcome: What the entry said.
            now_ms: Steady time.
        """
        self.count += 1
        if isinstance(outcome, Answer):
            return outcome
        repeatable = (
            outcome.ran is RunStatus.NOT_RUN and outcome.answer.may_retry
        )
        if not repeatable:
            return self._honest(outcome)
        wait_ms: float = outcome.retry_after_ms
        if not wait_ms:
            fresh = outcome.kind in ENTRY_KINDS and self.count == 1
            wait_ms = 0 if fresh else self._backoff_ms()
        return self._retry_or_end(outcome, wait_ms, now_ms)

    def _retry_or_end(
        self,
        refusal: Refusal,
        wait_ms: float,
        now_ms: float,
    ) -> RetryAfter | Refusal:
        late = now_ms + wait_ms >= self._expires_at_ms
        if late or self.count >= MAX_ATTEMPTS:
            return self._honest(refusal)
        return RetryAfter(wait_ms)

    def _honest(self, refusal: Refusal) -> Refusal:
        """Takes back a "not run" that an earlier attempt may belie."""
        if self._lost and refusal.ran is RunStatus.NOT_RUN:
            return dataclasses.replace(refusal, ran=RunStatus.UNKNOWN)
        return refusal

    def _backoff_ms(self) -> float:
        limit_ms = min(BACKOFF_MIN_MS * 2**self.count, BACKOFF_MAX_MS)
        return self._random.uniform(limit_ms / 2, limit_ms)
