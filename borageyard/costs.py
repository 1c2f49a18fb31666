"""What each stage spends, by organisation and pipeline."""

import collections
import dataclasses
import enum
from collections.abc import Iterable

MAX_ACCOUNTS = 10_000
OTHER = 'other'


class WasteReason(enum.StrEnum):
    """Why work was of no use to its caller."""

    RETRY = 'retry'
    HEDGE = 'hedge'
    EXPIRED = 'expired'


@dataclasses.dataclass(frozen=True, slots=True)
class CostKey:
    """Whom work is accounted to."""

    organisation: str
    pipeline: str
    stage: str


@dataclasses.dataclass(frozen=True, slots=True)
class StageCost:
    """What one attempt of a stage spent."""

    duration_ms: float
    tokens: int = 0
    cached_tokens: int = 0


@dataclasses.dataclass(slots=True)
class CostAccount:
    """Sums of useful and of wasted work."""

    calls: int = 0
    duration_ms: float = 0
    tokens: int = 0
    cached_tokens: int = 0
    wasted_ms: dict[WasteReason, float] = dataclasses.field(
        default_factory=dict
    )
    wasted_calls: collections.Counter[WasteReason] = dataclasses.field(
        default_factory=collections.Counter,
    )
    wasted_tokens: int = 0


class CostAccounts:
    """Accounts of one entry; their number is bounded."""

    def __init__(self) -> None:
        """Starts with nothing spent."""
        self.accounts: dict[CostKey, CostAccount] = {}

    def note_useful(self, key: CostKey, cost: StageCost) -> None:
        """Adds work that its caller's answer was made of.

        Args:
            key: Whom it is accounted to.
            cost: What was spent.
        """
        account = self._account(key)
        account.calls += 1
        account.duration_ms += cost.duration_ms
        account.tokens += cost.tokens
        account.cached_tokens += cost.cached_tokens

    def note_wasted(
        self, key: CostKey, cost: StageCost, reason: WasteReason
    ) -> None:
        """Adds work that was of no use.

        Args:
            key: Whom it is accounted to.
            cost: What was spent.
            why: Why it was of no use.
        """
        account = self._account(key)
        account.wasted_calls[reason] += 1
        wasted_ms = account.wasted_ms.get(reason, 0)
        account.wasted_ms[reason] = wasted_ms + cost.duration_ms
        account.wasted_tokens += cost.tokens

    def record_stages(
        self,
        spent: Iterable[tuple[CostKey, StageCost]],
        *,
        useful: bool,
    ) -> None:
        """Books the finished stages of a request that has ended.

        Args:
            spent: What each stage spent.
            useful: Whether the caller got an answer made of them.
        """
        for key, cost in spent:
            if useful:
                self.note_useful(key, cost)
            else:
                self.note_wasted(key, cost, WasteReason.EXPIRED)

    def _account(self, key: CostKey) -> CostAccount:
        if key not in self.accounts and len(self.accounts) >= MAX_ACCOUNTS:
            key = CostKey(OTHER, key.pipeline, key.stage)
        return self.accounts.setdefault(key, CostAccount())
