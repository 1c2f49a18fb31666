"""Accounts for the cost of stages by organisation and pipeline."""

import collections
import dataclasses
import enum
from collections.abc import Iterable

MAX_ACCOUNTS = 10_000
OVERFLOW_ORGANISATION = 'other'


class WasteReason(enum.StrEnum):
    """Why work did not contribute to a caller's answer."""

    RETRY = 'retry'
    HEDGE = 'hedge'
    EXPIRED = 'expired'


@dataclasses.dataclass(frozen=True, slots=True)
class CostKey:
    """Key of the account to which work is charged."""

    organisation: str
    pipeline: str
    stage: str


@dataclasses.dataclass(frozen=True, slots=True)
class StageCost:
    """Time and tokens used by one attempt of a stage."""

    duration_ms: float
    tokens: int = 0
    cached_tokens: int = 0


@dataclasses.dataclass(slots=True)
class CostAccount:
    """Totals of useful and wasted work."""

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
    """Cost accounts of one entry, bounded in number.

    Once there are ``MAX_ACCOUNTS``, work of new keys is charged to the
    organisation ``other``.
    """

    def __init__(self) -> None:
        """Starts without accounts."""
        self.accounts: dict[CostKey, CostAccount] = {}

    def note_useful(self, key: CostKey, cost: StageCost) -> None:
        """Adds work that contributed to a caller's answer.

        Args:
            key: Account to charge.
            cost: Time and tokens used.
        """
        account = self._account(key)
        account.calls += 1
        account.duration_ms += cost.duration_ms
        account.tokens += cost.tokens
        account.cached_tokens += cost.cached_tokens

    def note_wasted(
        self, key: CostKey, cost: StageCost, reason: WasteReason
    ) -> None:
        """Adds work that did not contribute to an answer.

        Args:
            key: Account to charge.
            cost: Time and tokens used.
            reason: Why the work was wasted.
        """
        account = self._account(key)
        account.wasted_calls[reason] += 1
        wasted_ms = account.wasted_ms.get(reason, 0)
        account.wasted_ms[reason] = wasted_ms + cost.duration_ms
        account.wasted_tokens += cost.tokens

    def record_stages(
        self,
        stage_costs: Iterable[tuple[CostKey, StageCost]],
        *,
        useful: bool,
    ) -> None:
        """Charges the finished stages of a request that has ended.

        Args:
            stage_costs: Account and cost of each stage.
            useful: Whether the caller got an answer; if not, they count as
                wasted by expiry.
        """
        for key, cost in stage_costs:
            if useful:
                self.note_useful(key, cost)
            else:
                self.note_wasted(key, cost, WasteReason.EXPIRED)

    def _account(self, key: CostKey) -> CostAccount:
        if key not in self.accounts and len(self.accounts) >= MAX_ACCOUNTS:
            key = CostKey(OVERFLOW_ORGANISATION, key.pipeline, key.stage)
        return self.accounts.setdefault(key, CostAccount())
