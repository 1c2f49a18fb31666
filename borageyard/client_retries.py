"""Decides whether and when a caller retries, and what it reports."""

import dataclasses
import random

from .errors import ErrorKind, Refusal, RunStatus
from .requests import Answer

MAX_ATTEMPTS = 8
BACKOFF_MIN_MS = 20
BACKOFF_MAX_MS = 1000
# Refusals that concern one entry only; another entry may serve at once.
ENTRY_SPECIFIC_KINDS = frozenset(
    (ErrorKind.DRAINING, ErrorKind.NOT_READY, ErrorKind.NO_PERMISSION),
)


@dataclasses.dataclass(frozen=True, slots=True)
class RetryAfter:
    """Decision to retry after a delay."""

    wait_ms: float


class RequestAttempts:
    """The attempts of one request; all carry the same ids."""

    def __init__(self, expires_at_ms: float, seed: int) -> None:
        """Starts before the first attempt.

        Args:
            expires_at_ms: Deadline as monotonic time in milliseconds.
            seed: Seed of the random backoff delays.
        """
        self.count = 0
        self._expires_at_ms = expires_at_ms
        self._random = random.Random(seed)
        # Whether an attempt that an entry may have seen got no response.
        self._sent_without_response = False

    def remaining_ms(self, now_ms: float) -> float:
        """Returns the milliseconds left to the deadline."""
        return self._expires_at_ms - now_ms

    def note_no_response(
        self,
        reason: str,
        now_ms: float,
        *,
        sent: bool,
    ) -> RetryAfter | Refusal:
        """Decides what follows an attempt without a response.

        The next attempt carries the same ids, so it can't run anything
        twice.

        Args:
            reason: Why there was no response.
            now_ms: Monotonic time in milliseconds.
            sent: Whether the entry may have seen the request.

        Returns:
            A retry, or the refusal to report if there is no time or no
            attempt left.
        """
        self.count += 1
        self._sent_without_response = self._sent_without_response or sent
        refusal = Refusal(
            ErrorKind.OUTCOME_UNKNOWN
            if self._sent_without_response
            else ErrorKind.NOT_READY,
            detail=reason,
        )
        # One failed entry does not imply that others fail: retry at once.
        wait_ms = 0 if self.count == 1 else self._backoff_ms()
        return self._retry_or_end(refusal, wait_ms, now_ms)

    def note_outcome(
        self,
        outcome: Answer | Refusal,
        now_ms: float,
    ) -> RetryAfter | Answer | Refusal:
        """Decides what follows a response.

        Args:
            outcome: The outcome that the entry returned.
            now_ms: Monotonic time in milliseconds.

        Returns:
            A retry, or the outcome to report.
        """
        self.count += 1
        if isinstance(outcome, Answer):
            return outcome
        retryable = (
            outcome.ran is RunStatus.NOT_RUN and outcome.answer.may_retry
        )
        if not retryable:
            return self._correct_not_run(outcome)
        wait_ms: float = outcome.retry_after_ms
        if not wait_ms:
            retry_now = outcome.kind in ENTRY_SPECIFIC_KINDS and self.count == 1
            wait_ms = 0 if retry_now else self._backoff_ms()
        return self._retry_or_end(outcome, wait_ms, now_ms)

    def _retry_or_end(
        self,
        refusal: Refusal,
        wait_ms: float,
        now_ms: float,
    ) -> RetryAfter | Refusal:
        late = now_ms + wait_ms >= self._expires_at_ms
        if late or self.count >= MAX_ATTEMPTS:
            return self._correct_not_run(refusal)
        return RetryAfter(wait_ms)

    def _correct_not_run(self, refusal: Refusal) -> Refusal:
        """Reports "not run" as unknown if an earlier attempt may have run."""
        if self._sent_without_response and refusal.ran is RunStatus.NOT_RUN:
            return dataclasses.replace(refusal, ran=RunStatus.UNKNOWN)
        return refusal

    def _backoff_ms(self) -> float:
        limit_ms = min(BACKOFF_MIN_MS * 2**self.count, BACKOFF_MAX_MS)
        return self._random.uniform(limit_ms / 2, limit_ms)
