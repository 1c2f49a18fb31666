"""Schedules the stages of requests on batching targets and engines."""

import dataclasses
import enum
from collections.abc import Iterable, Mapping, Sequence

from .batch_targets import BatchCall, BatchTarget, BatchTargets
from .chains import (
    ENGINE_START_MS,
    Chain,
    ChainOrder,
    PieceId,
    PieceResult,
    StageState,
)
from .engine_board import (
    PREFILL_TOKENS_PER_MS,
    EngineBoard,
    Placement,
    PlacementQuery,
)
from .roster import RosterRow
from .serving import BatchLimits
from .work_times import WorkTimes

# Each step of priority goes before the next like this much less slack.
PRIORITY_MS = 120
# Requests that can't be in time go after those that can, a begun one less so:
# its results hold memory.
LATE_MS = 2000
BEGUN_LATE_MS = 600
# Estimates are rough: a request counts as late only beyond this.
LATE_MARGIN_MS = 250
# Longest wait of a call that is far from full for further pieces, at the last
# idle target; nearly half of the fixed time of a call (200 ms on the sheets).
FILL_WAIT_MS = 120
# Part of the slack of its most urgent piece that a call may wait.
FILL_WAIT_SLACK = 0.15
# Fill from which a call does not wait for more.
FULL_ENOUGH = 0.6
# Fill of a call that is assumed when time is predicted.
TYPICAL_FILL = 0.6
# Results from this size on are made when they are needed and near to it.
LARGE_RESULT_BYTES = 500_000
REMOTE_MAKER_MS = 90
# Large results are begun this long before their reader is expected.
EARLY_MS = 250
# Part of the time left that the predicted time may take.
ADMIT_SHARE = 0.85
# Calls that a request may fail before it is refused.
MAX_FAILURES = 6
# Time after its deadline at which a request is forgotten in any case.
FORGET_MS = 3000
MIN_RETRY_AFTER_MS = 200
# Pause between looks for requests that can't be served any more.
EXPIRY_INTERVAL_MS = 25


class ChainRefusal(enum.Enum):
    """Why a request gets no engine."""

    NO_TIME = 'no_time'
    NO_TARGET = 'no_target'
    FAILING = 'failing'


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """An engine for a request, and the inputs that it is to fetch."""

    chain_id: str
    placement: Placement
    handles: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Denial:
    """A request that can't be served."""

    chain_id: str
    reason: ChainRefusal
    retry_after_ms: float


@dataclasses.dataclass(slots=True)
class Plan:
    """What is to be done now."""

    calls: list[BatchCall] = dataclasses.field(default_factory=list)
    grants: list[Grant] = dataclasses.field(default_factory=list)
    denials: list[Denial] = dataclasses.field(default_factory=list)
    # Results that are no longer needed.
    freed: list[PieceResult] = dataclasses.field(default_factory=list)
    # When to plan again at the latest.
    wake_at_ms: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class FleetView:
    """Targets that take new work, and what is declared of them."""

    engines: Mapping[str, Sequence[RosterRow]]
    batching: Mapping[str, tuple[BatchLimits, Sequence[RosterRow]]]


@dataclasses.dataclass(slots=True)
class _Candidate:
    """Missing pieces of one stage of a request, in the order of urgency."""

    chain: Chain
    state: StageState
    key_ms: float
    slack_ms: float
    # Where the engine is that will read the results, if they are large.
    domain: str

    def remote_ms(self, target: BatchTarget) -> float:
        """Returns what making the results far from their reader costs."""
        if self.domain in {'', target.row.failure_domain}:
            return 0
        return REMOTE_MAKER_MS


@dataclasses.dataclass(slots=True)
class _Draft:
    """Pieces that a call to a target would hold."""

    target: BatchTarget
    pieces: list[PieceId]
    candidates: list[_Candidate]
    remote_ms: float = 0

    @property
    def order_key(self) -> tuple[float, int]:
        """Orders drafts: near to the readers first, then full ones."""
        return self.remote_ms / len(self.pieces), -len(self.pieces)


class ChainScheduler:
    """Decides which pieces share a call, where, and in which order.

    Answers the load pattern of many small requests whose stages have a high
    fixed cost for each call: only full calls of all requests together keep
    up with a burst. What can still be in time goes first, weighted with its
    priority; what can't be served at all is refused before it costs anything.
    """

    def __init__(self, board: EngineBoard | None = None) -> None:
        """Starts without requests and targets.

        Args:
            board: Knows the engines.
        """
        self.board = board or EngineBoard()
        self.times = WorkTimes()
        self.targets = BatchTargets()
        self.chains: dict[str, Chain] = {}
        self._view = FleetView({}, {})
        self._freed: list[PieceResult] = []
        self._next_expiry_ms: float = 0

    def update_fleet(self, view: FleetView) -> Sequence[RosterRow]:
        """Takes in which targets there are.

        Args:
            view: Targets that take new work.

        Returns:
            Batching targets that are new or have started anew.
        """
        self._view = view
        return self.targets.update(view.batching)

    def submit(self, order: ChainOrder, now_ms: float) -> Denial | None:
        """Takes in a request, or refuses it at once.

        Args:
            order: What it needs.
            now_ms: Steady time.

        Returns:
            Why it is refused, or none if it was accepted.
        """
        known = self.chains.get(order.chain_id)
        if known is not None:
            known.order = order
            known.granted = False
            return None
        chain = Chain(order)
        self._predict(chain, now_ms)
        denial = self._admit(chain, now_ms)
        if denial is None:
            self.chains[order.chain_id] = chain
            self._next_expiry_ms = now_ms
        return denial

    def remove(self, chain_id: str) -> None:
        """Ends a request: its results are freed, its pieces not begun."""
        chain = self.chains.pop(chain_id, None)
        self.board.note_ended(chain_id)
        if chain is not None:
            self._freed.extend(chain.results)

    def note_started(self, chain_id: str) -> None:
        """Takes in that the engine has read the inputs of a request."""
        self.board.note_started(chain_id)
        chain = self.chains.pop(chain_id, None)
        if chain is not None:
            self._freed.extend(chain.results)

    def note_made(
        self,
        call: BatchCall,
        results: Mapping[PieceId, PieceResult],
        now_ms: float,
    ) -> None:
        """Takes in a call that was answered.

        Args:
            call: The call.
            results: Results of the pieces that were made.
            now_ms: Steady time.
        """
        target = self.targets.find(call.target.target_id)
        if target is not None:
            target.note_ended(call, tuple(results.values()), now_ms)
        if len(results) == len(call.pieces):
            took_ms = now_ms - call.sent_at_ms
            self.times.note_call(call.works, took_ms, call.limits)
        for piece in call.pieces:
            self._settle(piece, results.get(piece))

    def note_no_room(self, target_id: str, now_ms: float) -> None:
        """Takes in that a target had no room for results."""
        target = self.targets.find(target_id)
        if target is not None:
            target.note_no_room(now_ms)

    def note_lost_inputs(self, piece: PieceId) -> None:
        """Takes in that inputs of a piece are gone; they are made again."""
        chain = self.chains.get(piece.chain_id)
        if chain is not None:
            chain.drop_inputs_of(piece.stage)

    def note_call_failed(
        self,
        call: BatchCall,
        now_ms: float,
        *,
        full: bool,
    ) -> None:
        """Takes in a call without results.

        Args:
            call: The call.
            now_ms: Steady time.
            full: Whether the target only had no slot for it.
        """
        target = self.targets.find(call.target.target_id)
        if target is not None:
            target.note_ended(call, (), now_ms)
            if full:
                target.note_full(now_ms)
            else:
                target.note_failed(now_ms)
        for piece in call.pieces:
            chain = self.chains.get(piece.chain_id)
            if chain is None:
                continue
            chain.note_missed(piece)
            if not full:
                chain.failures += 1
                chain.drop_results_at(call.target.target_id)

    def note_freed(self, target_id: str, handles: Iterable[str]) -> None:
        """Takes in that a target has freed results.

        Args:
            target_id: The target.
            handles: The results.
        """
        target = self.targets.find(target_id)
        if target is not None:
            for handle in handles:
                target.release(handle)

    def plan(self, now_ms: float) -> Plan:
        """Decides what is to be done now.

        Args:
            now_ms: Steady time.
        """
        plan = Plan()
        self._expire(plan, now_ms)
        for chain in tuple(self.chains.values()):
            if not chain.granted and chain.complete:
                self._grant(chain, plan, now_ms)
        for service in self._view.batching:
            self._plan_service(service, plan, now_ms)
        plan.freed, self._freed = self._freed, []
        return plan

    def _settle(self, piece: PieceId, made: PieceResult | None) -> None:
        chain = self.chains.get(piece.chain_id)
        if chain is None:
            if made is not None:
                self._freed.append(made)
            return
        if made is None:
            chain.note_missed(piece)
            return
        chain.note_result(piece, made)
        self._freed.extend(chain.drop_unneeded())

    def _admit(self, chain: Chain, now_ms: float) -> Denial | None:
        order = chain.order
        services = {stage.service for stage in order.stages if stage.pieces}
        missing = [
            service
            for service in services
            if not self.targets.of_service(service)
        ]
        engines = self._view.engines.get(order.engine_service)
        if missing or not engines:
            return Denial(order.chain_id, ChainRefusal.NO_TARGET, 1000)
        left_ms = order.deadline_at_ms - now_ms
        wait_ms = max(
            (self._backlog_ms(service, now_ms) for service in services),
            default=0,
        )
        needed_ms = wait_ms + self._chain_ms(chain)
        if needed_ms <= left_ms * ADMIT_SHARE:
            return None
        retry_after_ms = max(needed_ms - left_ms / 2, MIN_RETRY_AFTER_MS)
        return Denial(order.chain_id, ChainRefusal.NO_TIME, retry_after_ms)

    def _predict(self, chain: Chain, now_ms: float) -> None:
        """Sets how long each stage will take to the first token."""
        for state in chain.stages.values():
            state.path_ms = self._path_ms(chain, state)
        largest = max(
            (state.stage.result_bytes for state in chain.stages.values()),
            default=0,
        )
        if largest >= LARGE_RESULT_BYTES:
            chain.reader_domain = self._reader_domain(chain, now_ms)

    def _path_ms(self, chain: Chain, state: StageState) -> float:
        after_ms = max(
            (self._path_ms(chain, other) for other in state.followers),
            default=self._engine_ms(chain),
        )
        stage = state.stage
        return self._stage_ms(stage.service, stage.work) + after_ms

    def _backlog_ms(self, service: str, now_ms: float) -> float:
        """Returns how long the work that waits keeps a service busy."""
        targets = self.targets.of_service(service)
        limits = self._view.batching[service][0]
        call_ms = limits.call_ms / (limits.size * TYPICAL_FILL)
        pieces_ms = sum(
            len(state.missing)
            * (self.times.piece_ms(state.stage.work, limits) + call_ms)
            for chain in self.chains.values()
            if not chain.granted
            for state in chain.stages.values()
            if state.stage.service == service and not state.done
        )
        busy_ms = sum(target.busy_ms(now_ms) for target in targets)
        return (pieces_ms + busy_ms) / len(targets)

    def _chain_ms(self, chain: Chain) -> float:
        return max(
            (state.path_ms for state in chain.unfinished()),
            default=self._engine_ms(chain),
        )

    def _engine_ms(self, chain: Chain) -> float:
        tokens = chain.order.prompt.prompt_tokens
        return ENGINE_START_MS + tokens / PREFILL_TOKENS_PER_MS

    def _stage_ms(self, service: str, work: str) -> float:
        known = self._view.batching.get(service)
        if known is None:
            return 0
        limits = known[0]
        pieces_ms = self.times.piece_ms(work, limits) * limits.size
        return limits.call_ms + pieces_ms * TYPICAL_FILL

    def _expire(self, plan: Plan, now_ms: float) -> None:
        if now_ms < self._next_expiry_ms:
            return
        self._next_expiry_ms = now_ms + EXPIRY_INTERVAL_MS
        if self.chains:
            _wake(plan, self._next_expiry_ms)
        for chain_id, chain in tuple(self.chains.items()):
            order = chain.order
            if chain.granted:
                if order.deadline_at_ms + FORGET_MS < now_ms:
                    self.remove(chain_id)
                continue
            least_ms = self._least_ms(chain)
            if order.deadline_at_ms - now_ms < least_ms:
                reason = ChainRefusal.NO_TIME
            elif chain.failures > MAX_FAILURES:
                reason = ChainRefusal.FAILING
            else:
                continue
            plan.denials.append(Denial(chain_id, reason, MIN_RETRY_AFTER_MS))
            self.remove(chain_id)

    def _least_ms(self, chain: Chain) -> float:
        """Returns a lower bound of the time that is still needed."""
        if chain.running or chain.complete:
            return ENGINE_START_MS
        return ENGINE_START_MS + max(
            (
                self._view.batching[state.stage.service][0].call_ms
                for state in chain.unfinished()
                if state.stage.service in self._view.batching
            ),
            default=0,
        )

    def _grant(self, chain: Chain, plan: Plan, now_ms: float) -> None:
        order = chain.order
        results = chain.final_results()
        inputs_bytes: dict[str, float] = {}
        for made in results:
            before = inputs_bytes.get(made.failure_domain, 0)
            inputs_bytes[made.failure_domain] = before + made.size_bytes
        query = PlacementQuery(
            order.prompt,
            self._view.engines.get(order.engine_service, ()),
            inputs_bytes,
        )
        placement = self.board.place(query, now_ms)
        if placement is None:
            denial = Denial(order.chain_id, ChainRefusal.NO_TARGET, 1000)
            plan.denials.append(denial)
            self.remove(order.chain_id)
            return
        chain.granted = True
        self.board.note_sent(order.chain_id, order.prompt, placement, now_ms)
        handles = tuple(made.handle for made in results)
        plan.grants.append(Grant(order.chain_id, placement, handles))

    def _plan_service(self, service: str, plan: Plan, now_ms: float) -> None:
        idle = self._idle_targets(service, now_ms)
        if not idle:
            return
        candidates = self._candidates(service, plan, now_ms)
        while idle and candidates:
            draft = self._choose_draft(candidates, idle, now_ms)
            if draft is None:
                return
            if self._should_wait(draft, len(idle), plan, now_ms):
                return
            self._start(draft, plan, now_ms)
            idle = self._idle_targets(service, now_ms)
            candidates = [
                candidate
                for candidate in candidates
                if candidate.state.startable
            ]

    def _idle_targets(
        self,
        service: str,
        now_ms: float,
    ) -> Sequence[BatchTarget]:
        return [
            target
            for target in self.targets.of_service(service)
            if target.is_idle(now_ms)
        ]

    def _start(self, draft: _Draft, plan: Plan, now_ms: float) -> None:
        target = draft.target
        stages = [
            self.chains[piece.chain_id].stages[piece.stage].stage
            for piece in draft.pieces
        ]
        works = tuple(stage.work for stage in stages)
        call = BatchCall(
            target=target.row,
            limits=target.limits,
            pieces=tuple(draft.pieces),
            works=works,
            sizes_bytes=tuple(stage.result_bytes for stage in stages),
            sent_at_ms=now_ms,
            expected_ms=self.times.call_ms(works, target.limits),
        )
        plan.calls.append(call)
        target.note_sent(call)
        for piece in call.pieces:
            self.chains[piece.chain_id].note_sent(piece)

    def _candidates(
        self,
        service: str,
        plan: Plan,
        now_ms: float,
    ) -> Sequence[_Candidate]:
        found = [
            self._candidate(chain, state, now_ms)
            for chain in self.chains.values()
            if not chain.granted
            for state in chain.stages.values()
            if state.stage.service == service
            and state.startable
            and self._is_due(chain, state, plan, now_ms)
        ]
        found.sort(key=lambda candidate: candidate.key_ms)
        return found

    def _is_due(
        self,
        chain: Chain,
        state: StageState,
        plan: Plan,
        now_ms: float,
    ) -> bool:
        """Tells whether a result may be begun: large ones not too early."""
        if state.stage.result_bytes < LARGE_RESULT_BYTES:
            return True
        others_ms = max(
            (
                other.path_ms
                for other in chain.unfinished()
                if other is not state
            ),
            default=0,
        )
        early_ms = others_ms - state.path_ms - EARLY_MS
        if early_ms <= 0:
            return True
        _wake(plan, now_ms + early_ms)
        return False

    def _candidate(
        self,
        chain: Chain,
        state: StageState,
        now_ms: float,
    ) -> _Candidate:
        order = chain.order
        if state.ready_at_ms is None:
            state.ready_at_ms = now_ms
        slack_ms = order.aim_at_ms - now_ms - state.path_ms
        key_ms = slack_ms + order.priority * PRIORITY_MS
        if slack_ms < -LATE_MARGIN_MS:
            late_ms = BEGUN_LATE_MS if chain.begun else LATE_MS
            key_ms = late_ms + order.deadline_at_ms - now_ms - state.path_ms
        large = state.stage.result_bytes >= LARGE_RESULT_BYTES
        domain = chain.reader_domain if large else ''
        return _Candidate(chain, state, key_ms, slack_ms, domain)

    def _reader_domain(self, chain: Chain, now_ms: float) -> str:
        """Returns where the engine is that a request will likely get."""
        order = chain.order
        engines = self._view.engines.get(order.engine_service, ())
        query = PlacementQuery(order.prompt, engines)
        placement = self.board.place(query, now_ms)
        return placement.engine.failure_domain if placement else ''

    def _choose_draft(
        self,
        candidates: Sequence[_Candidate],
        idle: Sequence[BatchTarget],
        now_ms: float,
    ) -> _Draft | None:
        """Returns the next call of a service, or none without room."""
        drafts = [self._fill(target, candidates, now_ms) for target in idle]
        return min(
            (draft for draft in drafts if draft.pieces),
            key=lambda draft: draft.order_key,
            default=None,
        )

    def _fill(
        self,
        target: BatchTarget,
        candidates: Sequence[_Candidate],
        now_ms: float,
    ) -> _Draft:
        """Returns the pieces that a call to a target would hold."""
        room_bytes = target.free_bytes(now_ms)
        draft = _Draft(target, [], [])
        ordered = candidates
        if any(candidate.domain for candidate in candidates):
            ordered = sorted(
                candidates,
                key=lambda candidate: candidate.key_ms
                + candidate.remote_ms(target),
            )
        for candidate in ordered:
            size_bytes = candidate.state.stage.result_bytes
            fitting = target.limits.size - len(draft.pieces)
            if size_bytes:
                fitting = min(fitting, int(room_bytes // size_bytes))
            chosen = candidate.state.missing[: max(fitting, 0)]
            if not chosen:
                continue
            room_bytes -= size_bytes * len(chosen)
            draft.remote_ms += candidate.remote_ms(target) * len(chosen)
            draft.candidates.append(candidate)
            draft.pieces.extend(
                PieceId(
                    candidate.chain.order.chain_id,
                    candidate.state.number,
                    number,
                )
                for number in chosen
            )
            if len(draft.pieces) >= target.limits.size:
                break
        return draft

    def _should_wait(
        self,
        draft: _Draft,
        idle_count: int,
        plan: Plan,
        now_ms: float,
    ) -> bool:
        """Tells whether a call waits for more pieces."""
        target = draft.target
        if len(draft.pieces) >= FULL_ENOUGH * target.limits.size:
            return False
        count = len(self.targets.of_service(target.row.service))
        scarcity = 1 - (idle_count - 1) / max(count, 1)
        slack_ms = min(candidate.slack_ms for candidate in draft.candidates)
        allowed_ms = min(
            FILL_WAIT_MS * scarcity,
            max(slack_ms, 0) * FILL_WAIT_SLACK,
        )
        ready_at_ms = min(
            candidate.state.ready_at_ms or now_ms
            for candidate in draft.candidates
        )
        until_ms = ready_at_ms + allowed_ms
        if until_ms <= now_ms:
            return False
        _wake(plan, until_ms)
        return True


def _wake(plan: Plan, at_ms: float) -> None:
    if plan.wake_at_ms is None or at_ms < plan.wake_at_ms:
        plan.wake_at_ms = at_ms
