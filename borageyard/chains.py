"""State of the stages of one request and of the pieces of each stage."""

import dataclasses
import math
from collections.abc import Callable, Mapping, Sequence

from .engine_placer import Prompt
from .roster import RosterRow

# Time from sending a request to an idle engine until its first token, without
# the prefill of the prompt (from the load sheets of both users).
ENGINE_START_MS = 70
# Results of at least this size are freed as soon as they have been read,
# because their memory limits a burst (2.3 MB for 38 results on the sheets).
EARLY_FREE_BYTES = 16_384


@dataclasses.dataclass(frozen=True, slots=True)
class ChainStage:
    """One stage of a request, and how many pieces it has."""

    service: str
    pieces: int
    # Numbers of the stages whose results are inputs of this one.
    after: tuple[int, ...]
    result_bytes: float
    # Kind of work; times are learned per kind.
    work_kind: str


@dataclasses.dataclass(frozen=True, slots=True)
class HandoverResult:
    """A result of a request as one scheduler hands it over to another."""

    stage: int
    number: int
    handle: str
    target_id: str
    # Monotonic time at which the target that holds the result drops it.
    expires_at_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class ChainSpec:
    """What a request needs: stages to run first, and an engine."""

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
    # Software version that the engine must have, because it began the stream;
    # None for any.
    software_version: str | None = None
    # Ids of the engines that broke its stream off; used if there is no other.
    avoided: frozenset[str] = frozenset()
    # Name of the caller's organisation; empty if it is unknown.
    organisation: str = ''

    def updated_from(self, earlier: 'ChainSpec') -> 'ChainSpec':
        """Returns what is known after two arrivals of a request.

        Arrivals may be out of order. The version of a stream stays what it was
        once it is known, and an engine that was to be avoided stays so.

        Args:
            earlier: What was known from the arrival before.
        """
        version = self.software_version
        return dataclasses.replace(
            self,
            software_version=(
                earlier.software_version if version is None else version
            ),
            avoided=self.avoided | earlier.avoided,
        )

    def fits(self, engine: RosterRow) -> bool:
        """Returns whether an engine may take the request.

        Args:
            engine: An engine of the service.
        """
        return self.software_version in {None, engine.software_version}


@dataclasses.dataclass(frozen=True, slots=True)
class PieceId:
    """Identifies a piece among those of all requests."""

    chain_id: str
    stage: int
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class PieceResult:
    """Where the result of a piece is held."""

    handle: str
    target_id: str
    # Address of the target that holds it.
    address: str
    failure_domain: str
    size_bytes: float
    # Monotonic time at which the target that holds the result drops it.
    expires_at_ms: float


class StageState:
    """Pieces of one stage: missing, running, or with a result."""

    def __init__(self, number: int, stage: ChainStage) -> None:
        """Creates the state of a stage, with all pieces missing.

        Args:
            number: Number of the stage.
            stage: What the stage needs.
        """
        self.number = number
        self.stage = stage
        self.missing = list(range(stage.pieces))
        self.running: set[int] = set()
        self.results_by_number: dict[int, PieceResult] = {}
        self.followers: tuple[StageState, ...] = ()
        self.sources: tuple[StageState, ...] = ()
        # Expected time from the start of the stage to the first token of the
        # request, along the longest path of stages.
        self.critical_path_ms: float = 0
        # When its inputs became available; None if they are not.
        self.ready_at_ms: float | None = None
        # When the first of its results expires at its target.
        self.expires_at_ms = math.inf
        # Called after its pieces or results changed.
        self.on_change: Callable[[], None] = _ignore_change
        # Derived until the next change; None if not known.
        self._consumed: bool | None = None
        self._inputs_bytes: Mapping[str, float] | None = None

    @property
    def has_all_results(self) -> bool:
        """Returns whether the results of all pieces are held."""
        return len(self.results_by_number) == self.stage.pieces

    @property
    def done(self) -> bool:
        """Returns whether no piece of the stage needs to run any more."""
        return self.has_all_results or self.is_consumed

    @property
    def is_consumed(self) -> bool:
        """Returns whether no later stage needs its results any more.

        Small results are kept until the stages that read them have ended, so
        that these can run again on another target.
        """
        if self._consumed is None:
            self._consumed = bool(self.followers) and self._is_read()
        return self._consumed

    @property
    def startable(self) -> bool:
        """Returns whether pieces are missing and their inputs are available."""
        # Whether a stage is done is found out last: it depends on all later
        # stages.
        if not self.missing:
            return False
        if not all(source.has_all_results for source in self.sources):
            return False
        return not self.done

    @property
    def inputs_expire_at_ms(self) -> float:
        """Returns when the first of its inputs expires."""
        return min(
            (source.expires_at_ms for source in self.sources),
            default=math.inf,
        )

    def inputs_bytes(self) -> Mapping[str, float]:
        """Returns the bytes that each piece reads, by failure domain."""
        if self._inputs_bytes is None:
            self._inputs_bytes = self._sum_inputs()
        return self._inputs_bytes

    def results(self) -> Sequence[PieceResult]:
        """Returns the results in the order of the pieces."""
        return [
            self.results_by_number[number]
            for number in sorted(self.results_by_number)
        ]

    def reset(self) -> None:
        """Drops the results, so that the pieces run again."""
        self.missing = sorted({*self.missing, *self.results_by_number})
        self.results_by_number.clear()
        self.ready_at_ms = None
        self.expires_at_ms = math.inf
        self.on_change()

    def forget_derived(self) -> None:
        """Drops what was derived from the state before a change."""
        self._consumed = None
        self._inputs_bytes = None

    def _is_read(self) -> bool:
        early = self.stage.result_bytes >= EARLY_FREE_BYTES
        return all(
            follower.done
            or (early and follower.running and not follower.missing)
            for follower in self.followers
        )

    def _sum_inputs(self) -> Mapping[str, float]:
        sizes: dict[str, float] = {}
        for source in self.sources:
            for result in source.results_by_number.values():
                previous_bytes = sizes.get(result.failure_domain, 0)
                sizes[result.failure_domain] = (
                    previous_bytes + result.size_bytes
                )
        return sizes


class Chain:
    """State of the stages of one request.

    What follows from the state of all stages is derived once after each
    change, because a plan looks at each waiting request.
    """

    def __init__(self, spec: ChainSpec) -> None:
        """Creates the state of a request, with no stage done.

        Args:
            spec: What the request needs.
        """
        self.spec = spec
        self.failures = 0
        self.granted = False
        # Whether an engine was granted and may read the results.
        self.sent = False
        # Whether it was admitted although it can't be on time.
        self.admitted_late = False
        # Failure domain of the engine that will probably be chosen.
        self.expected_engine_domain = ''
        self.stages: Mapping[int, StageState] = {
            number: StageState(number, stage)
            for number, stage in enumerate(spec.stages)
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
            state.on_change = self.note_changed
        # Called with the request after it changed.
        self.listeners: list[Callable[[Chain], None]] = []
        self._running: bool | None = None
        self._complete: bool | None = None
        self._unfinished: Sequence[StageState] | None = None

    @property
    def work_started(self) -> bool:
        """Returns whether any piece is running or has a result."""
        return any(
            state.results_by_number or state.running
            for state in self.stages.values()
        )

    @property
    def running(self) -> bool:
        """Returns whether any piece is running."""
        if self._running is None:
            self._running = any(state.running for state in self.stages.values())
        return self._running

    @property
    def complete(self) -> bool:
        """Returns whether all stages are done."""
        if self._complete is None:
            self._complete = self._are_all_done()
        return self._complete

    @property
    def results(self) -> Sequence[PieceResult]:
        """Returns all results that are held for the request."""
        return [
            result
            for state in self.stages.values()
            for result in state.results_by_number.values()
        ]

    def note_changed(self) -> None:
        """Records that its pieces or results, or what it needs, changed."""
        self._running = None
        self._complete = None
        self._unfinished = None
        for state in self.stages.values():
            state.forget_derived()
        for listener in self.listeners:
            listener(self)

    def unfinished(self) -> Sequence[StageState]:
        """Returns the stages that are not done."""
        if self._unfinished is None:
            started = self.work_started
            self._unfinished = tuple(
                state
                for state in self.stages.values()
                if not (started and state.done)
            )
        return self._unfinished

    def startable(self) -> Sequence[StageState]:
        """Returns the stages whose missing pieces could be sent now."""
        return [state for state in self.unfinished() if state.startable]

    def inputs_of(self, number: int) -> Sequence[PieceResult]:
        """Returns the results that the pieces of a stage read."""
        return [
            result
            for source in self.stages[number].sources
            for result in source.results()
        ]

    def final_results(self) -> Sequence[PieceResult]:
        """Returns the results of the stages without later stages."""
        return [
            result
            for state in self.stages.values()
            if not state.followers
            for result in state.results()
        ]

    def note_sent(self, piece: PieceId) -> None:
        """Records that a piece was sent in a call."""
        state = self.stages[piece.stage]
        state.missing.remove(piece.number)
        state.running.add(piece.number)
        self.note_changed()

    def return_to_missing(self, piece: PieceId) -> None:
        """Returns a running piece to the missing ones.

        Its call ended without its result, or is overdue.
        """
        state = self.stages[piece.stage]
        if piece.number in state.running:
            state.running.remove(piece.number)
            state.missing.append(piece.number)
            state.missing.sort()
            self.note_changed()

    def may_rerun(self, piece: PieceId) -> bool:
        """Returns whether the inputs of a piece are still held."""
        sources = self.stages[piece.stage].sources
        return all(source.has_all_results for source in sources)

    def note_result(self, piece: PieceId, result: PieceResult) -> bool:
        """Records the result of a piece.

        Args:
            piece: The piece.
            result: Its result.

        Returns:
            Whether the result is needed; a piece may have run twice.
        """
        state = self.stages[piece.stage]
        was_running = piece.number in state.running
        state.running.discard(piece.number)
        self.note_changed()
        if piece.number in state.results_by_number:
            return False
        if state.is_consumed:
            if was_running:
                # Its readers may lose their results, and then need it again.
                state.missing = sorted((*state.missing, piece.number))
                self.note_changed()
            return False
        if piece.number in state.missing:
            state.missing.remove(piece.number)
        state.results_by_number[piece.number] = result
        state.expires_at_ms = min(state.expires_at_ms, result.expires_at_ms)
        self.note_changed()
        return True

    def drop_consumed(self) -> Sequence[PieceResult]:
        """Drops results that have been read by all pieces that need them.

        Inputs are read when a call starts; if the call fails later, they are
        produced again.

        Returns:
            The results that were dropped.
        """
        removed: list[PieceResult] = []
        for state in self.stages.values():
            if state.results_by_number and state.is_consumed:
                removed.extend(state.results_by_number.values())
                state.reset()
        return removed

    def drop_results_at(self, target_id: str) -> None:
        """Drops the results that were lost with a target."""
        for state in self.stages.values():
            lost = [
                number
                for number, result in state.results_by_number.items()
                if result.target_id == target_id
            ]
            for number in lost:
                state.results_by_number.pop(number)
            if lost:
                state.missing = sorted((*state.missing, *lost))
                self.note_changed()

    def drop_inputs_of(self, number: int) -> Sequence[PieceResult]:
        """Drops the inputs of a stage, so that they are produced again.

        Args:
            number: Number of the stage.

        Returns:
            The inputs that were held.
        """
        removed = self.inputs_of(number)
        for source in self.stages[number].sources:
            source.reset()
        return removed

    def _are_all_done(self) -> bool:
        if not self.work_started:
            return not self.stages
        return all(state.done for state in self.stages.values())


def _ignore_change() -> None:
    """Is called for a stage that belongs to no request."""
