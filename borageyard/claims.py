"""Fold of claim records, which decides which attempt of a key may run."""

import dataclasses
import heapq

from .errors import ErrorKind
from .identifiers import identifier_time_ms

# Log offset and index within the batch of a claim's first record. Claims are
# ordered by it.
ClaimOrder = tuple[int, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Claim of an attempt to an idempotency key, with its log position."""

    key: str
    attempt_id: str
    digest: str
    holder: str
    order: ClaimOrder


@dataclasses.dataclass(frozen=True, slots=True)
class RecordedOutcome:
    """Outcome of an attempt: its document, or the instances that hold it."""

    key: str
    attempt_id: str
    document: str = ''
    holders: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True)
class KeyState:
    """Claims, voids and outcomes recorded for one key."""

    claims: dict[str, Claim] = dataclasses.field(default_factory=dict)
    voided: set[str] = dataclasses.field(default_factory=set)
    outcomes: dict[str, RecordedOutcome] = dataclasses.field(
        default_factory=dict,
    )

    def winner(self) -> Claim | None:
        """Returns the claim earliest in the log that is not void, or None."""
        live = (
            claim
            for claim in self.claims.values()
            if claim.attempt_id not in self.voided
        )
        return min(live, key=_order_of, default=None)


@dataclasses.dataclass(frozen=True, slots=True)
class KeyWindow:
    """Range of key creation times that is accepted."""

    window_ms: float
    skew_ms: float

    def check(self, key: str, now_ms: float) -> ErrorKind | None:
        """Returns the error for a key, or None if the key is acceptable.

        Args:
            key: Idempotency key of a request, a UUID of version 7.
            now_ms: Wall clock time in milliseconds.
        """
        if not key:
            return ErrorKind.KEY_REQUIRED
        created_at_ms = identifier_time_ms(key)
        if created_at_ms is None:
            return ErrorKind.KEY_REQUIRED
        if created_at_ms > now_ms + self.skew_ms:
            return ErrorKind.KEY_IN_FUTURE
        if created_at_ms < now_ms - self.window_ms:
            return ErrorKind.KEY_EXPIRED
        return None

    @property
    def margin_ms(self) -> float:
        """Returns how far a record's time may precede its key's time.

        The margin is twice the permitted skew because the caller, the entry
        and the log each have their own clock.
        """
        return self.skew_ms + self.skew_ms

    def oldest_ms(self, now_ms: float) -> float:
        """Returns the creation time of the oldest key any entry may accept."""
        return now_ms - self.window_ms - self.margin_ms


class ClaimFold:
    """Folds claim records into key states; order and repetition don't matter.

    Each record is added to a set, and the winner of a key is computed from
    the offsets of its claims. Records may therefore be added in log order, in
    reverse order or again from a checkpoint.
    """

    def __init__(self) -> None:
        """Creates an empty fold."""
        self._keys: dict[str, KeyState] = {}
        self._by_time: list[tuple[int, str]] = []
        self.expired_before_ms: float = 0

    def __len__(self) -> int:
        """Returns the number of keys."""
        return len(self._keys)

    def add_claim(self, claim: Claim) -> None:
        """Adds a claim; the earliest record of an attempt counts."""
        state = self._state(claim.key)
        if state is None:
            return
        earlier = state.claims.get(claim.attempt_id)
        if earlier is None or claim.order < earlier.order:
            state.claims[claim.attempt_id] = claim

    def add_void(self, key: str, attempt_id: str) -> None:
        """Voids the claim of an attempt, before or after it in the log.

        Args:
            key: Idempotency key of the claim.
            attempt_id: Id of the attempt.
        """
        state = self._state(key)
        if state is not None:
            state.voided.add(attempt_id)

    def add_outcome(self, outcome: RecordedOutcome) -> None:
        """Adds an outcome; the first one added for an attempt counts."""
        state = self._state(outcome.key)
        if state is not None:
            state.outcomes.setdefault(outcome.attempt_id, outcome)

    def winner(self, key: str) -> Claim | None:
        """Returns the claim that holds a key, or None if the key is free."""
        state = self._keys.get(key)
        return state.winner() if state else None

    def is_claimed(self, key: str, attempt_id: str) -> bool:
        """Returns whether the claim of an attempt has been read."""
        state = self._keys.get(key)
        return state is not None and attempt_id in state.claims

    def is_void(self, key: str, attempt_id: str) -> bool:
        """Returns whether the claim of an attempt is void."""
        state = self._keys.get(key)
        return state is not None and attempt_id in state.voided

    def outcome(self, claim: Claim) -> RecordedOutcome | None:
        """Returns the recorded outcome of a claim, or None."""
        return self.outcome_of(claim.key, claim.attempt_id)

    def outcome_of(self, key: str, attempt_id: str) -> RecordedOutcome | None:
        """Returns the recorded outcome of an attempt, or None."""
        state = self._keys.get(key)
        return state.outcomes.get(attempt_id) if state else None

    def keys_from(self, oldest_ms: float) -> dict[str, KeyState]:
        """Returns the state of each key created at or after a time.

        Args:
            oldest_ms: Wall clock time in milliseconds.
        """
        return {
            key: state
            for key, state in self._keys.items()
            if (identifier_time_ms(key) or 0) >= oldest_ms
        }

    def expire(self, oldest_ms: float) -> None:
        """Drops keys created before a time and ignores their later records.

        Args:
            oldest_ms: Wall clock time in milliseconds. A time before that of
                an earlier call has no effect.
        """
        self.expired_before_ms = max(self.expired_before_ms, oldest_ms)
        while self._by_time and self._by_time[0][0] < self.expired_before_ms:
            _, key = heapq.heappop(self._by_time)
            self._keys.pop(key, None)

    def _state(self, key: str) -> KeyState | None:
        state = self._keys.get(key)
        if state is not None:
            return state
        created_at_ms = identifier_time_ms(key)
        if created_at_ms is None or created_at_ms < self.expired_before_ms:
            return None
        heapq.heappush(self._by_time, (created_at_ms, key))
        return self._keys.setdefault(key, KeyState())


def _order_of(claim: Claim) -> ClaimOrder:
    return claim.order
