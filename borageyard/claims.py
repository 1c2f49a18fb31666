"""Fold of the claim records: which attempt of a key may run."""

import dataclasses
import heapq

from .errors import ErrorKind
from .identifiers import identifier_time_ms

# Offset and index of a claim's first record; claims are ordered by it.
ClaimOrder = tuple[int, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """An attempt's claim to a key, with its place in the log."""

    key: str
    attempt_id: str
    digest: str
    holder: str
    order: ClaimOrder


@dataclasses.dataclass(frozen=True, slots=True)
class RecordedOutcome:
    """How an attempt ended: the outcome itself or who holds it."""

    key: str
    attempt_id: str
    document: str = ''
    holders: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True)
class KeyState:
    """Everything that the records say of one key."""

    claims: dict[str, Claim] = dataclasses.field(default_factory=dict)
    voided: set[str] = dataclasses.field(default_factory=set)
    outcomes: dict[str, RecordedOutcome] = dataclasses.field(
        default_factory=dict,
    )

    def winner(self) -> Claim | None:
        """Returns the first claim that is not void."""
        live = (
            claim
            for claim in self.claims.values()
            if claim.attempt_id not in self.voided
        )
        return min(live, key=_order_of, default=None)


@dataclasses.dataclass(frozen=True, slots=True)
class KeyWindow:
    """Which keys are accepted at a time."""

    window_ms: float
    skew_ms: float

    def check(self, key: str, now_ms: float) -> ErrorKind | None:
        """Returns why a key is refused, or none if it may be used.

        Args:
            key: Idempotency key of a request.
            now_ms: Wall time.
        """
        if not key:
            return ErrorKind.KEY_REQUIRED
        made_at_ms = identifier_time_ms(key)
        if made_at_ms is None:
            return ErrorKind.KEY_REQUIRED
        if made_at_ms > now_ms + self.skew_ms:
            return ErrorKind.KEY_IN_FUTURE
        if made_at_ms < now_ms - self.window_ms:
            return ErrorKind.KEY_EXPIRED
        return None

    @property
    def margin_ms(self) -> float:
        """Returns how far a claim's record may lie before its key's time.

        The caller, the entry and the log each have their own clock.
        """
        return self.skew_ms + self.skew_ms

    def oldest_ms(self, now_ms: float) -> float:
        """Returns the time of the oldest key that any entry may accept."""
        return now_ms - self.window_ms - self.margin_ms


class ClaimFold:
    """Folds claim records; their order and repetition do not matter.

    Each record joins a set, and the winner of a key is computed from the
    offsets of its claims, so records may be taken forwards, backwards or
    again from a checkpoint.
    """

    def __init__(self) -> None:
        """Starts without records."""
        self._keys: dict[str, KeyState] = {}
        self._by_time: list[tuple[int, str]] = []
        self.expired_before_ms: float = 0

    def __len__(self) -> int:
        """Returns the number of keys."""
        return len(self._keys)

    def add_claim(self, claim: Claim) -> None:
        """Takes a claim in; the earliest record of an attempt counts."""
        state = self._state(claim.key)
        if state is None:
            return
        known = state.claims.get(claim.attempt_id)
        if known is None or claim.order < known.order:
            state.claims[claim.attempt_id] = claim

    def add_void(self, key: str, attempt_id: str) -> None:
        """Kills an attempt's claim, wherever its record lies."""
        state = self._state(key)
        if state is not None:
            state.voided.add(attempt_id)

    def add_outcome(self, outcome: RecordedOutcome) -> None:
        """Takes an outcome in; the first one of an attempt counts."""
        state = self._state(outcome.key)
        if state is not None:
            state.outcomes.setdefault(outcome.attempt_id, outcome)

    def winner(self, key: str) -> Claim | None:
        """Returns the claim that holds a key, or none if it is free."""
        state = self._keys.get(key)
        return state.winner() if state else None

    def is_claimed(self, key: str, attempt_id: str) -> bool:
        """Tells whether an attempt's claim has been read."""
        state = self._keys.get(key)
        return state is not None and attempt_id in state.claims

    def is_void(self, key: str, attempt_id: str) -> bool:
        """Tells whether an attempt was given up."""
        state = self._keys.get(key)
        return state is not None and attempt_id in state.voided

    def outcome(self, claim: Claim) -> RecordedOutcome | None:
        """Returns the recorded outcome of a claim, if any."""
        return self.outcome_of(claim.key, claim.attempt_id)

    def outcome_of(self, key: str, attempt_id: str) -> RecordedOutcome | None:
        """Returns the recorded outcome of an attempt, if any."""
        state = self._keys.get(key)
        return state.outcomes.get(attempt_id) if state else None

    def keys_from(self, oldest_ms: float) -> dict[str, KeyState]:
        """Returns the keys made since a time with what is known of them."""
        return {
            key: state
            for key, state in self._keys.items()
            if (identifier_time_ms(key) or 0) >= oldest_ms
        }

    def expire(self, oldest_ms: float) -> None:
        """Drops the keys made before a time and refuses them from now on.

        Args:
            oldest_ms: Wall time; it never goes back.
        """
        self.expired_before_ms = max(self.expired_before_ms, oldest_ms)
        while self._by_time and self._by_time[0][0] < self.expired_before_ms:
            _, key = heapq.heappop(self._by_time)
            self._keys.pop(key, None)

    def _state(self, key: str) -> KeyState | None:
        state = self._keys.get(key)
        if state is not None:
            return state
        made_at_ms = identifier_time_ms(key)
        if made_at_ms is None or made_at_ms < self.expired_before_ms:
            return None
        heapq.heappush(self._by_time, (made_at_ms, key))
        return self._keys.setdefault(key, KeyState())


def _order_of(claim: Claim) -> ClaimOrder:
    return claim.order
