"""Drafts of calls with pieces, by failure domain of their targets."""

import bisect
import dataclasses
import math
from collections.abc import Collection, Mapping, Sequence

from .batch_targets import BatchTarget
from .chains import Chain, ChainStage, PieceId, StageState
from .failure_domains.domain_spill import BYTES_PER_MB, TRANSFER_COST_MS_PER_MB

# Longest wait that a transfer is worth.
MAX_TRANSFER_COST_MS = 400


@dataclasses.dataclass(slots=True)
class Candidate:
    """Missing pieces of one stage of a request, with their sort key."""

    chain: Chain
    state: StageState
    sort_key_ms: float
    slack_ms: float
    # When the stage became ready to start.
    ready_at_ms: float
    # Bytes that each piece reads, by failure domain. For a large result it is
    # instead what the engine will read, in the engine's expected domain.
    transferred_bytes: Mapping[str, float]
    # Costs of the present missing pieces, by failure domain.
    _costs_ms: dict[str, float] = dataclasses.field(default_factory=dict)

    def transfer_cost_ms(self, domain: str) -> float:
        """Returns the cost of moving bytes between failure domains, in ms.

        Args:
            domain: Failure domain of a target that could run the pieces.
        """
        if not self.transferred_bytes:
            return 0
        cost_ms = self._costs_ms.get(domain)
        if cost_ms is None:
            cost_ms = self._compute_cost_ms(domain)
            self._costs_ms[domain] = cost_ms
        return cost_ms

    def note_taken(self) -> None:
        """Records that some of its pieces are no longer missing."""
        self._costs_ms.clear()

    def is_better_elsewhere(
        self, domain: str, waits_ms: Mapping[str, float]
    ) -> bool:
        """Returns whether pieces should wait for a target that is closer.

        Args:
            domain: Failure domain of a target that could run the pieces.
            waits_ms: Time until a target of each failure domain is idle.
        """
        cost_ms = self.transfer_cost_ms(domain)
        return bool(cost_ms) and any(
            self.transfer_cost_ms(other) + wait_ms < cost_ms
            and wait_ms < self.slack_ms
            for other, wait_ms in waits_ms.items()
        )

    def _compute_cost_ms(self, domain: str) -> float:
        remote_bytes = sum(
            size_bytes
            for other, size_bytes in self.transferred_bytes.items()
            if other != domain
        )
        transferred_mb = remote_bytes * len(self.state.missing) / BYTES_PER_MB
        return min(
            transferred_mb * TRANSFER_COST_MS_PER_MB, MAX_TRANSFER_COST_MS
        )


@dataclasses.dataclass(slots=True)
class CallDraft:
    """Candidate call to a target, before it is sent."""

    target: BatchTarget
    pieces: list[PieceId] = dataclasses.field(default_factory=list)
    # Request and stage of each piece, in the order of the pieces.
    chains: list[Chain] = dataclasses.field(default_factory=list)
    stages: list[ChainStage] = dataclasses.field(default_factory=list)
    candidates: list[Candidate] = dataclasses.field(default_factory=list)
    transfer_cost_ms: float = 0
    needed_bytes: float = 0
    # Whether pieces were left out because their results would not fit.
    lacks_memory: bool = False

    def add(self, candidate: Candidate, free_bytes: float) -> None:
        """Adds the pieces of a stage that fit.

        Args:
            candidate: The stage.
            free_bytes: Memory of the target for the results of all pieces.
        """
        state = candidate.state
        numbers = state.missing[: self.target.limits.size - len(self.pieces)]
        size_bytes = state.stage.result_bytes
        if size_bytes:
            fitting = int((free_bytes - self.needed_bytes) // size_bytes)
            self.lacks_memory = self.lacks_memory or fitting < len(numbers)
            numbers = numbers[: max(fitting, 0)]
        if not numbers:
            return
        domain = self.target.row.failure_domain
        self.transfer_cost_ms += candidate.transfer_cost_ms(domain)
        self.needed_bytes += size_bytes * len(numbers)
        self.candidates.append(candidate)
        for number in numbers:
            self.pieces.append(
                PieceId(candidate.chain.spec.chain_id, state.number, number)
            )
            self.chains.append(candidate.chain)
            self.stages.append(state.stage)

    def fits_as_well(self, target: BatchTarget, free_bytes: float) -> bool:
        """Returns whether another target would get the same pieces.

        This is a draft that no lack of memory has limited.

        Args:
            target: Target of the same service and failure domain.
            free_bytes: Its memory that is left for results.
        """
        same_size = self.target.limits.size == target.limits.size
        return same_size and self.needed_bytes <= free_bytes

    @property
    def sort_key(self) -> tuple[float, int]:
        """Sorts drafts by transfer cost per stage, then by most pieces."""
        return self.transfer_cost_ms / len(self.candidates), -len(self.pieces)


class DraftBoard:
    """Orders candidates once for each failure domain, and fills calls.

    Designed for bursts at many targets: a call that starts changes the place
    of the stage that it takes only in part, and the rest of the order holds.
    """

    def __init__(
        self,
        candidates: Sequence[Candidate],
        waits_ms: Mapping[str, float],
        now_ms: float,
    ) -> None:
        """Creates a board.

        Args:
            candidates: Stages with missing pieces, the most urgent ones first.
            waits_ms: Time until a target of each failure domain is idle.
            now_ms: Monotonic time.
        """
        self._candidates = candidates
        self._positions = {
            id(candidate): position
            for position, candidate in enumerate(candidates)
        }
        self._waits_ms = dict(waits_ms)
        self._now_ms = now_ms
        # Sort keys and positions of the candidates, by failure domain.
        self._orders: dict[str, list[tuple[float, int]]] = {}
        self._free_bytes: dict[str, float] = {}
        self._smallest_bytes = min(
            (one.state.stage.result_bytes for one in candidates), default=0
        )
        # Candidates that were looked at; the cost of a plan grows with it.
        self.steps = 0

    def best(self, idle: Collection[BatchTarget]) -> CallDraft | None:
        """Returns the best call to start next, or None if nothing fits.

        Args:
            idle: Targets that may be called now.
        """
        drafts: list[CallDraft] = []
        whole: dict[str, CallDraft] = {}
        for target in idle:
            domain = target.row.failure_domain
            earlier = whole.get(domain)
            free_bytes = self._free(target)
            if earlier and earlier.fits_as_well(target, free_bytes):
                continue
            draft = self._fill(target, free_bytes)
            if draft.pieces:
                drafts.append(draft)
                if not draft.lacks_memory:
                    whole[domain] = draft
        return min(drafts, key=lambda draft: draft.sort_key, default=None)

    def note_started(
        self, draft: CallDraft, waits_ms: Mapping[str, float]
    ) -> None:
        """Takes the pieces of a call that has started off the board.

        Args:
            draft: The call.
            waits_ms: Time until a target of each failure domain is idle.
        """
        self._free_bytes.pop(draft.target.row.target_id, None)
        if waits_ms != self._waits_ms:
            # Pieces that waited for one of these targets may go elsewhere.
            self._waits_ms = dict(waits_ms)
            self._orders.clear()
            return
        for candidate in draft.candidates:
            if candidate.transferred_bytes and candidate.state.missing:
                self._reorder(candidate)

    def _free(self, target: BatchTarget) -> float:
        target_id = target.row.target_id
        free_bytes = self._free_bytes.get(target_id)
        if free_bytes is None:
            free_bytes = target.free_bytes(self._now_ms)
            self._free_bytes[target_id] = free_bytes
        return free_bytes

    def _order(self, domain: str) -> list[tuple[float, int]]:
        """Returns the order of the candidates for the targets of a domain."""
        order = self._orders.get(domain)
        if order is None:
            self.steps += len(self._candidates)
            order = sorted(
                (
                    candidate.sort_key_ms + candidate.transfer_cost_ms(domain),
                    position,
                )
                for position, candidate in enumerate(self._candidates)
                if candidate.state.missing
                and not candidate.is_better_elsewhere(domain, self._waits_ms)
            )
            self._orders[domain] = order
        return order

    def _reorder(self, candidate: Candidate) -> None:
        """Moves a candidate whose transfers have become fewer."""
        position = self._positions[id(candidate)]
        for domain, order in self._orders.items():
            self.steps += 1
            for place, (_, other) in enumerate(order):
                if other == position:
                    order.pop(place)
                    break
            if candidate.is_better_elsewhere(domain, self._waits_ms):
                continue
            key_ms = candidate.sort_key_ms + candidate.transfer_cost_ms(domain)
            bisect.insort(order, (key_ms, position))

    def _fill(self, target: BatchTarget, free_bytes: float) -> CallDraft:
        """Returns the most urgent pieces that fit into a call to a target."""
        draft = CallDraft(target)
        domain = target.row.failure_domain
        order = self._order(domain)
        taken = 0
        for _, position in order:
            self.steps += 1
            candidate = self._candidates[position]
            taken += not candidate.state.missing
            draft.add(candidate, free_bytes)
            if self._is_full(draft, free_bytes):
                break
        if taken:
            self._orders[domain] = [
                place
                for place in order
                if self._candidates[place[1]].state.missing
            ]
        return draft

    def _is_full(self, draft: CallDraft, free_bytes: float) -> bool:
        """Returns whether no further candidate fits into a call."""
        if len(draft.pieces) >= draft.target.limits.size:
            return True
        left_bytes = max(free_bytes - draft.needed_bytes, 0)
        return draft.lacks_memory and left_bytes < self._smallest_bytes


def shortest_waits_ms(
    waits: Collection[tuple[str, float]],
) -> Mapping[str, float]:
    """Returns the shortest wait for a target of each failure domain.

    Args:
        waits: Failure domain of each target, and the time until it is idle.
    """
    shortest: dict[str, float] = {}
    for domain, wait_ms in waits:
        shortest[domain] = min(shortest.get(domain, math.inf), wait_ms)
    return shortest
