"""Stages of one request: what is done, what may begin, how long is left."""

import dataclasses
import math
from collections.abc import Mapping, Sequence

from .engine_placer import Prompt

# Time from the hand-over to an engine to its first token on an idle engine,
# without the reading of the prompt (sheets of both users).
ENGINE_START_MS = 70
# Results from this size on are freed as soon as they were read: their memory
# is what bounds a burst (2.3 MB for 38 results on the sheets).
EARLY_FREE_BYTES = 16_384


@dataclasses.dataclass(frozen=True, slots=True)
class ChainStage:
    """One stage of a request, with the number of its pieces."""

    service: str
    pieces: int
    after: tuple[int, ...]
    result_bytes: float
    # Kind of work, under which times are learned.
    work: str


@dataclasses.dataclass(frozen=True, slots=True)
class HandoverResult:
    """A result that another scheduler had made for a request."""

    stage: int
    number: int
    handle: str
    target_id: str
    # Steady time at which its maker drops it.
    expires_at_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class ChainOrder:
    """What a request needs before and from an engine."""

    chain_id: str
    piece_key: str
    stages: tuple[ChainStage, ...]
    engine_service: str
    prompt: Prompt
    # 0 is the most urgent.
    priority: int
    soft_deadline_at_ms: float
    deadline_at_ms: float
    received_at_ms: float
    results: tuple[HandoverResult, ...] = ()
    # Whether the entry that should schedule it did not.
    passed_over: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PieceId:
    """Names a piece among all."""

    chain_id: str
    stage: int
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class PieceResult:
    """Where the result of a piece is held."""

    handle: str
    target_id: str
    # Where its maker listens.
    address: str
    failure_domain: str
    size_bytes: float
    # Steady time at which its maker drops it.
    expires_at_ms: float


class StageState:
    """Pieces of one stage: missing, running and made."""

    def __init__(self, number: int, stage: ChainStage) -> None:
        """Starts with all pieces missing.

        Args:
            number: Number of the stage.
            stage: What it needs.
        """
        self.number = number
        self.stage = stage
        self.missing = list(range(stage.pieces))
        self.running: set[int] = set()
        self.made: dict[int, PieceResult] = {}
        self.followers: tuple[StageState, ...] = ()
        self.sources: tuple[StageState, ...] = ()
        # Expected time from its begin to the first token of the request.
        self.critical_path_ms: float = 0
        # Since when its inputs are there; none if they are not.
        self.ready_at_ms: float | None = None
        # When the first of its results expires at its maker.
        self.expires_at_ms = math.inf

    @property
    def has_all(self) -> bool:
        """Tells whether all results are held."""
        return len(self.made) == self.stage.pieces

    @property
    def done(self) -> bool:
        """Tells whether nothing needs it to be run any more."""
        return self.has_all or self.is_consumed

    @property
    def is_consumed(self) -> bool:
        """Tells whether its results are needed by nothing to come.

        Small results are kept until their readers have ended, so that these
        can be run again elsewhere.
        """
        if not self.followers:
            return False
        early = self.stage.result_bytes >= EARLY_FREE_BYTES
        return all(
            follower.done
            or (early and follower.running and not follower.missing)
            for follower in self.followers
        )

    @property
    def startable(self) -> bool:
        """Tells whether pieces are missing whose inputs are there."""
        if not self.missing or self.done:
            return False
        return all(source.has_all for source in self.sources)

    @property
    def inputs_expire_at_ms(self) -> float:
        """Returns when the first of its inputs expires."""
        return min(
            (source.expires_at_ms for source in self.sources),
            default=math.inf,
        )

    def inputs_bytes(self) -> Mapping[str, float]:
        """Returns the size of what each piece reads, by failure domain."""
        sizes: dict[str, float] = {}
        for source in self.sources:
            for made in source.made.values():
                before = sizes.get(made.failure_domain, 0)
                sizes[made.failure_domain] = before + made.size_bytes
        return sizes

    def results(self) -> Sequence[PieceResult]:
        """Returns the results in the order of the pieces."""
        return [self.made[number] for number in sorted(self.made)]

    def reset(self) -> None:
        """Forgets the results, so that they are made again."""
        self.missing = sorted({*self.missing, *self.made})
        self.made.clear()
        self.ready_at_ms = None
        self.expires_at_ms = math.inf


class Chain:
    """State of the stages of one request."""

    def __init__(self, order: ChainOrder) -> None:
        """Starts with nothing done.

        Args:
            order: What is needed.
        """
        self.order = order
        self.failures = 0
        self.granted = False
        # Failure domain of the engine that will likely be chosen.
        self.expected_engine_domain = ''
        self.stages: Mapping[int, StageState] = {
            number: StageState(number, stage)
            for number, stage in enumerate(order.stages)
            if stage.pieces
        }
        for state in self.stages.values():
            state.sources = tuple(
                self.stages[number]
                for number in state.stage.after
                if number in self.stages
            )
            state.followers = tuple(
                other
                for number, other in self.stages.items()
                if state.number in other.stage.after
            )

    @property
    def work_started(self) -> bool:
        """Tells whether work was spent on it."""
        return any(
            state.made or state.running for state in self.stages.values()
        )

    @property
    def running(self) -> bool:
        """Tells whether a piece is being made."""
        return any(state.running for state in self.stages.values())

    @property
    def complete(self) -> bool:
        """Tells whether all stages are done."""
        return all(state.done for state in self.stages.values())

    @property
    def results(self) -> Sequence[PieceResult]:
        """Returns the results that are held."""
        return [
            made
            for state in self.stages.values()
            for made in state.made.values()
        ]

    def unfinished(self) -> Sequence[StageState]:
        """Returns the stages that are not done."""
        return [state for state in self.stages.values() if not state.done]

    def inputs_of(self, number: int) -> Sequence[PieceResult]:
        """Returns the results that the pieces of a stage need."""
        return [
            made
            for source in self.stages[number].sources
            for made in source.results()
        ]

    def final_results(self) -> Sequence[PieceResult]:
        """Returns the results of the stages that no other one follows."""
        return [
            made
            for state in self.stages.values()
            if not state.followers
            for made in state.results()
        ]

    def note_sent(self, piece: PieceId) -> None:
        """Takes in that a piece is in a call."""
        state = self.stages[piece.stage]
        state.missing.remove(piece.number)
        state.running.add(piece.number)

    def note_missed(self, piece: PieceId) -> None:
        """Takes in that a call ended without the result of a piece."""
        state = self.stages[piece.stage]
        if piece.number in state.running:
            state.running.remove(piece.number)
            state.missing.append(piece.number)
            state.missing.sort()

    def may_rerun(self, piece: PieceId) -> bool:
        """Tells whether the inputs of a piece are still held."""
        sources = self.stages[piece.stage].sources
        return all(source.has_all for source in sources)

    def note_result(self, piece: PieceId, made: PieceResult) -> bool:
        """Takes in the result of a piece.

        Args:
            piece: The piece.
            made: Its result.

        Returns:
            Whether it is needed; a piece may have been run twice.
        """
        state = self.stages[piece.stage]
        state.running.discard(piece.number)
        if piece.number in state.made or state.is_consumed:
            return False
        if piece.number in state.missing:
            state.missing.remove(piece.number)
        state.made[piece.number] = made
        state.expires_at_ms = min(state.expires_at_ms, made.expires_at_ms)
        return True

    def drop_consumed(self) -> Sequence[PieceResult]:
        """Removes results that all pieces which need them have read.

        Inputs are read when a call begins; if the call fails later, they are
        made again.

        Returns:
            What was removed.
        """
        removed: list[PieceResult] = []
        for state in self.stages.values():
            if state.made and state.is_consumed:
                removed.extend(state.made.values())
                state.reset()
        return removed

    def drop_results_at(self, target_id: str) -> None:
        """Forgets results that vanished with their maker."""
        for state in self.stages.values():
            lost = [
                number
                for number, made in state.made.items()
                if made.target_id == target_id
            ]
            for number in lost:
                state.made.pop(number)
            if lost:
                state.missing = sorted((*state.missing, *lost))

    def drop_inputs_of(self, number: int) -> Sequence[PieceResult]:
        """Forgets the inputs of a stage, so that they are made again.

        Args:
            number: The stage.

        Returns:
            What was held of them.
        """
        removed = self.inputs_of(number)
        for source in self.stages[number].sources:
            source.reset()
        return removed
