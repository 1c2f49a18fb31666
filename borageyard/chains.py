"""Stages of one request: what is done, what may begin, how long is left."""

import dataclasses
from collections.abc import Mapping, Sequence

from .engine_board import Prompt

# Time from the hand-over to an engine to its first token on an idle engine,
# without the reading of the prompt (sheets of both users).
ENGINE_START_MS = 70


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
class ChainOrder:
    """What a request needs before and from an engine."""

    chain_id: str
    piece_key: str
    stages: tuple[ChainStage, ...]
    engine_service: str
    prompt: Prompt
    # 0 is the most urgent.
    priority: int
    aim_at_ms: float
    deadline_at_ms: float
    received_at_ms: float


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
    failure_domain: str
    size_bytes: float


class Chain:
    """State of the stages of one request."""

    def __init__(self, order: ChainOrder) -> None:
        """Starts with nothing done.

        Args:
            order: What is needed.
        """
        self.order = order
        self.running: set[PieceId] = set()
        self.failures = 0
        self.granted = False
        self._ready_at_ms: dict[int, float] = {}
        self._results: dict[PieceId, PieceResult] = {}
        self._stages = {
            number: stage
            for number, stage in enumerate(order.stages)
            if stage.pieces
        }

    @property
    def begun(self) -> bool:
        """Tells whether work was spent on it."""
        return bool(self._results or self.running)

    @property
    def complete(self) -> bool:
        """Tells whether all stages are done."""
        return all(self._is_done(number) for number in self._stages)

    @property
    def results(self) -> Sequence[PieceResult]:
        """Returns the results that are held."""
        return tuple(self._results.values())

    def pending_pieces(self) -> Mapping[int, int]:
        """Returns how many pieces each stage still needs to be called for."""
        return {
            number: len(self._missing(number)) for number in self.unfinished()
        }

    def startable(self) -> Sequence[PieceId]:
        """Returns the pieces whose inputs are there and that do not run."""
        return tuple(
            piece
            for number in self.unfinished()
            if self._has_inputs(self._stages[number])
            for piece in self._missing(number)
        )

    def ready_at_ms(self, number: int, now_ms: float) -> float:
        """Returns since when a stage could have begun.

        Args:
            number: The stage, whose inputs are there.
            now_ms: Steady time.
        """
        return self._ready_at_ms.setdefault(number, now_ms)

    def stage(self, number: int) -> ChainStage:
        """Returns a stage by its number."""
        return self._stages[number]

    def unfinished(self) -> Sequence[int]:
        """Returns the stages that are not done."""
        return tuple(
            number for number in self._stages if not self._is_done(number)
        )

    def followers(self, number: int) -> Sequence[int]:
        """Returns the stages that need the results of a stage."""
        return tuple(
            other
            for other, stage in self._stages.items()
            if number in stage.after
        )

    def inputs_of(self, number: int) -> Sequence[PieceResult]:
        """Returns the results that the pieces of a stage need."""
        return self._results_of(
            [
                other
                for other in self._stages[number].after
                if other in self._stages
            ],
        )

    def final_results(self) -> Sequence[PieceResult]:
        """Returns the results of the stages that no other one follows."""
        return self._results_of(
            [number for number in self._stages if not self.followers(number)],
        )

    def note_result(self, piece: PieceId, piece_result: PieceResult) -> None:
        """Takes in the result of a piece."""
        self.running.discard(piece)
        self._results[piece] = piece_result

    def drop_unneeded(self) -> Sequence[PieceResult]:
        """Removes results that only finished stages needed.

        Returns:
            What was removed.
        """
        unneeded = [
            piece
            for piece in self._results
            if self.followers(piece.stage)
            and all(self._is_done(other) for other in self.followers(piece.stage))
        ]
        return tuple(self._results.pop(piece) for piece in unneeded)

    def drop_results_at(self, target_id: str) -> None:
        """Forgets results that vanished with their maker."""
        lost = [
            piece
            for piece, known in self._results.items()
            if known.target_id == target_id
        ]
        for piece in lost:
            self._results.pop(piece)

    def drop_inputs_of(self, number: int) -> None:
        """Forgets the inputs of a stage, so that they are made again."""
        stages = self._stages[number].after
        for piece in tuple(self._results):
            if piece.stage in stages:
                self._results.pop(piece)

    def _is_done(self, number: int) -> bool:
        followers = self.followers(number)
        if followers and all(self._is_done(other) for other in followers):
            return True
        stage = self._stages[number]
        return all(
            self._piece(number, index) in self._results
            for index in range(stage.pieces)
        )

    def _missing(self, number: int) -> Sequence[PieceId]:
        pieces = [
            self._piece(number, index)
            for index in range(self._stages[number].pieces)
        ]
        return tuple(
            piece
            for piece in pieces
            if piece not in self._results and piece not in self.running
        )

    def _has_inputs(self, stage: ChainStage) -> bool:
        return all(
            self._is_made(number)
            for number in stage.after
            if number in self._stages
        )

    def _is_made(self, number: int) -> bool:
        return all(
            self._piece(number, index) in self._results
            for index in range(self._stages[number].pieces)
        )

    def _results_of(self, numbers: Sequence[int]) -> Sequence[PieceResult]:
        return tuple(
            known
            for piece, known in sorted(
                self._results.items(),
                key=lambda pair: (pair[0].stage, pair[0].number),
            )
            if piece.stage in numbers
        )

    def _piece(self, number: int, index: int) -> PieceId:
        return PieceId(self.order.chain_id, number, index)
