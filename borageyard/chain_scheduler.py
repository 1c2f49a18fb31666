"""Schedules the stages of requests on batching targets and engines."""

import collections
import math
from collections.abc import Iterable, Mapping, Sequence

from .batch_targets import BatchCall, BatchTargets
from .call_planner import LARGE_RESULT_BYTES, CallPlanner
from .chain_admission import (
    MIN_RETRY_AFTER_MS,
    NO_TARGET_RETRY_AFTER_MS,
    ChainAdmission,
)
from .chain_handover import ChainHandover, handover_results
from .chain_time_estimator import ChainTimeEstimator
from .chains import (
    ENGINE_START_MS,
    Chain,
    ChainSpec,
    HandoverResult,
    PieceId,
    PieceResult,
)
from .engine_placer import EnginePlacer
from .fair_shares.fair_admission import FairAdmission
from .plans import ChainRefusal, Denial, FleetView, Grant, Plan
from .send_permits import FixedLimits, SendPermits
from .target_speed.target_speeds import EngineStart, FleetSpeeds, is_usual
from .waiting_chains import WaitingChains
from .waiting_work import WaitingWork

# Time after its deadline at which a request is removed in any case.
FORGET_AFTER_DEADLINE_MS = 3000
# Time after the start of a call by which its target has certainly fetched the
# inputs: some megabytes over links of 10 Gbit/s.
INPUT_READ_MS = 80
# A target is slow if a call took more than this many times its expected time.
SLOW_CALL_FACTOR = 1.8
# Interval of the checks for requests that can't be served any more.
EXPIRY_CHECK_INTERVAL_MS = 25


class ChainScheduler:
    """Admits or refuses requests, and schedules them up to their engine.

    Designed for bursts beyond the capacity of the targets: requests
    that can't be served by their deadline are refused before they cost
    anything, and work on a request that can no longer be served stops before
    its next call.
    """

    def __init__(
        self, permits: SendPermits | None = None, *, competing: bool = False
    ) -> None:
        """Creates a scheduler without requests and targets.

        Args:
            permits: Permits to send to targets with limits; by default no
                target has one.
            competing: Whether callers compete for room, so that their shares
                are kept.
        """
        self.permits = permits or SendPermits(FixedLimits({}))
        self.speeds = FleetSpeeds()
        self.placer = EnginePlacer(self.speeds)
        self.targets = BatchTargets()
        self.chains: dict[str, Chain] = {}
        self._waiting = WaitingChains(self.chains)
        self.handover = ChainHandover(self.targets)
        self._times = ChainTimeEstimator(
            self.targets, self.permits, self.speeds
        )
        self._planner = CallPlanner(
            self.targets, self._times.call_times, self.permits
        )
        self.work = WaitingWork(self.chains)
        self.admission = ChainAdmission(
            self.targets, self.placer, self._times, self.work
        )
        self._planner.competing = competing
        if competing:
            self.admission.fair = FairAdmission(self._times, self.work)
        self._results_to_free: list[PieceResult] = []
        self._next_expiry_check_ms: float = 0
        # Calls in flight, with the times by which their inputs are read.
        self._input_reads: collections.deque[tuple[float, BatchCall]] = (
            collections.deque()
        )

    def update_fleet(self, view: FleetView) -> None:
        """Replaces the set of targets.

        Args:
            view: Targets that take new work.
        """
        self._times.view = view
        self.targets.update(view.batching)
        self.placer.slots = view.engine_slots
        batching = {name: rows for name, (_, rows) in view.batching.items()}
        self.speeds.keep({**view.engines, **batching})

    def submit(self, spec: ChainSpec, now_ms: float) -> Denial | None:
        """Admits a request, or refuses it at once.

        Args:
            spec: What the request needs.
            now_ms: Monotonic time.

        Returns:
            Why it is refused, or None if it was admitted.
        """
        existing = self.chains.get(spec.chain_id)
        if existing is not None:
            existing.spec = spec.updated_from(existing.spec)
            existing.granted = False
            existing.note_changed()
            return None
        chain = Chain(spec)
        if self.handover.is_released(chain):
            return _moved_denial(spec.chain_id, spec.results)
        self.handover.adopt_results(chain)
        denial = self.admission.admit(chain, now_ms)
        if denial is None:
            self._waiting.add(chain)
            self.work.watch(chain)
            self._next_expiry_check_ms = now_ms
        else:
            self._results_to_free.extend(chain.results)
        return denial

    def remove(self, chain_id: str) -> None:
        """Removes a request: frees its results and starts no more pieces."""
        chain = self._waiting.pop(chain_id)
        self.placer.note_ended(chain_id)
        if chain is not None:
            self._results_to_free.extend(chain.results)

    def note_started(
        self,
        chain_id: str,
        start: EngineStart | None = None,
        now_ms: float = 0,
    ) -> None:
        """Records that the engine of a request has started its answer.

        It has read its inputs by then, so the results are freed.

        Args:
            chain_id: Id of the request.
            start: What its entry saw, if it said so.
            now_ms: Monotonic time.
        """
        chain = self._waiting.pop(chain_id)
        prefill_ms = _prefill_ms(chain, start)
        self.placer.note_started(chain_id, start, prefill_ms, now_ms)
        if chain is not None:
            self._results_to_free.extend(chain.results)

    def note_call_answered(
        self,
        call: BatchCall,
        results: Mapping[PieceId, PieceResult],
        now_ms: float,
        slowdown_ratio: float | None = None,
    ) -> None:
        """Records a call that was answered.

        Args:
            call: The call.
            results: Results of the pieces that have one.
            now_ms: Monotonic time.
            slowdown_ratio: How long work takes there now, if it was stated.
        """
        self.speeds.note_stated(call.target, slowdown_ratio, now_ms)
        target = self.targets.find(call.target.target_id)
        if target is not None:
            target.note_ended(call, tuple(results.values()), now_ms)
        if len(results) == len(call.pieces):
            self._learn_call_time(call, now_ms, slowdown_ratio)
        for piece in call.pieces:
            self._record_piece(piece, results.get(piece))

    def note_no_room(
        self,
        target_id: str,
        size_bytes: float,
        now_ms: float,
        *,
        no_results: bool,
    ) -> None:
        """Records that a target had no memory for results.

        Args:
            target_id: The target.
            size_bytes: Size of the smallest result that did not fit.
            now_ms: Monotonic time.
            no_results: Whether the call has no results at all.
        """
        target = self.targets.find(target_id)
        if target is not None:
            target.note_no_room(size_bytes, now_ms)
            if no_results:
                target.note_full(now_ms)

    def note_lost_inputs(self, piece: PieceId) -> None:
        """Records that inputs of a piece are gone; they are produced again."""
        chain = self.chains.get(piece.chain_id)
        if chain is not None:
            # Inputs that still exist would hold memory until they expire.
            self._results_to_free.extend(chain.drop_inputs_of(piece.stage))

    def note_overdue(self, call: BatchCall, now_ms: float) -> None:
        """Records that a call takes much longer than expected.

        Its pieces are sent to other targets if their inputs are still held.
        Results of the overdue call are used if they arrive first. The target
        is avoided only if those of its service do not state slowdowns.

        Args:
            call: A call in flight.
            now_ms: Monotonic time.
        """
        target = self.targets.find(call.target.target_id)
        is_stated = self.speeds.of_service(call.target.service).stated
        if target is not None and not is_stated:
            target.note_slow(now_ms)
        for piece in call.pieces:
            chain = self.chains.get(piece.chain_id)
            if chain is not None and chain.may_rerun(piece):
                chain.return_to_missing(piece)

    def note_call_failed(
        self,
        call: BatchCall,
        now_ms: float,
        *,
        full: bool,
    ) -> None:
        """Records a call that failed without results.

        Args:
            call: The call.
            now_ms: Monotonic time.
            full: Whether the only reason was that the target had no free slot.
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
            chain.return_to_missing(piece)
            if not full:
                chain.failures += 1
                chain.drop_results_at(call.target.target_id)

    def note_freed(self, target_id: str, handles: Iterable[str]) -> None:
        """Records that a target has freed results.

        Args:
            target_id: The target.
            handles: Handles of the results.
        """
        target = self.targets.find(target_id)
        if target is not None:
            for handle in handles:
                target.note_freed(handle)

    def plan(self, now_ms: float) -> Plan:
        """Returns what is to be done now, and records it as done.

        Args:
            now_ms: Monotonic time.
        """
        plan = Plan()
        self._expire(plan, now_ms)
        for moved in self.handover.releasable(self.chains):
            chain_id = moved.spec.chain_id
            plan.denials.append(
                _moved_denial(chain_id, handover_results(moved))
            )
            self._waiting.pop(chain_id)
        # Only targets with limits let requests wait here.
        complete = sorted(
            self._waiting.complete(), key=lambda chain: chain.spec.priority
        )
        # Number of those that wait, by service of their engine.
        waiting: collections.Counter[str] = collections.Counter()
        for chain in complete:
            service = chain.spec.engine_service
            self._grant(chain, waiting[service], plan, now_ms)
            if not chain.granted and chain.spec.chain_id in self.chains:
                waiting[service] += 1
        self._free_read_inputs(plan, now_ms)
        for service in self._times.view.batching:
            if self._planner.has_idle_target(service, plan, now_ms):
                self._planner.plan_service(
                    service,
                    self.handover.scheduled_here(
                        self._waiting.startable(service)
                    ),
                    plan,
                    now_ms,
                )
        for call in plan.calls:
            self._input_reads.append((now_ms + INPUT_READ_MS, call))
            plan.wake_by(now_ms + INPUT_READ_MS)
        plan.results_to_free.extend(self._results_to_free)
        self._results_to_free.clear()
        return plan

    def _learn_call_time(
        self, call: BatchCall, now_ms: float, slowdown_ratio: float | None
    ) -> None:
        """Learns from a call with all results, unless its target is slow.

        A target that states the present slowdown of its machine is not blamed
        for a slow call: what it states decides how it is used.
        """
        took_ms = now_ms - call.sent_at_ms
        target = self.targets.find(call.target.target_id)
        is_slow = took_ms > call.expected_ms * SLOW_CALL_FACTOR
        is_stated = slowdown_ratio is not None
        if target is not None:
            if is_slow and not is_stated:
                target.note_slow(now_ms)
            else:
                target.note_quick(is_stated=is_stated)
        if not is_usual(slowdown_ratio):
            return
        times = self._times.call_times
        if is_stated or not is_slow:
            self.speeds.of_service(call.target.service).note_run(
                call.target.target_id,
                call.target.incarnation,
                times.call_ms(call.work_kinds, call.limits),
                took_ms,
            )
        if not is_slow:
            times.note_call(
                call.work_kinds, took_ms / call.slowdown, call.limits
            )

    def _free_read_inputs(self, plan: Plan, now_ms: float) -> None:
        """Frees results that calls in flight have read by now."""
        while self._input_reads and self._input_reads[0][0] <= now_ms:
            call = self._input_reads.popleft()[1]
            for piece in call.pieces:
                chain = self.chains.get(piece.chain_id)
                if chain is not None:
                    self._results_to_free.extend(chain.drop_consumed())
        if self._input_reads:
            plan.wake_by(self._input_reads[0][0])

    def _record_piece(self, piece: PieceId, result: PieceResult | None) -> None:
        chain = self.chains.get(piece.chain_id)
        if chain is None:
            if result is not None:
                self._results_to_free.append(result)
            return
        if result is None:
            chain.return_to_missing(piece)
            return
        if chain.granted or not chain.note_result(piece, result):
            self._results_to_free.append(result)
        self._results_to_free.extend(chain.drop_consumed())

    def _expire(self, plan: Plan, now_ms: float) -> None:
        due = now_ms >= self._next_expiry_check_ms
        if due:
            self._next_expiry_check_ms = now_ms + EXPIRY_CHECK_INTERVAL_MS
        if self.chains:
            # Set even if a timer fired early: there may be no other timer.
            plan.wake_by(self._next_expiry_check_ms)
        if not due:
            return
        longest_ms = self._times.longest_min_remaining_ms()
        if self._times.view.evacuated_services:
            longest_ms = math.inf
        for chain in _expirable(self.chains.values(), longest_ms, now_ms):
            spec = chain.spec
            if chain.granted:
                if spec.deadline_at_ms + FORGET_AFTER_DEADLINE_MS < now_ms:
                    self.remove(spec.chain_id)
                continue
            denial = _deny_unservable(
                chain, self.admission, self._times.view, now_ms
            )
            if denial is not None:
                plan.denials.append(denial)
                self._withdraw(chain)

    def _withdraw(self, chain: Chain) -> None:
        """Ends the search for an engine, but not the run at an earlier one."""
        chain.note_changed()
        chain_id = chain.spec.chain_id
        if chain.sent and self.placer.is_sent(chain_id):
            # That engine may still have to read the results.
            chain.granted = True
            return
        self._waiting.pop(chain_id)
        self._results_to_free.extend(chain.results)

    def _grant(
        self, chain: Chain, ahead: int, plan: Plan, now_ms: float
    ) -> None:
        results = chain.final_results()
        spec = chain.spec
        placement = self.admission.place(spec, results, now_ms)
        if placement is None:
            denial = self.admission.deny_unplaced(spec, ahead, plan, now_ms)
            if denial is not None:
                plan.denials.append(denial)
                self._withdraw(chain)
            return
        chain.granted = True
        chain.note_changed()
        chain.sent = True
        self.permits.take(placement.engine, now_ms)
        self.placer.note_sent(spec.chain_id, spec.prompt, placement, now_ms)
        handles = tuple(result.handle for result in results)
        plan.grants.append(Grant(spec.chain_id, placement, handles))


def _prefill_ms(chain: Chain | None, start: EngineStart | None) -> float | None:
    """Returns the time that an engine took for a prompt, if it is known.

    The time until its first event includes that of reading its inputs, which
    is long for large ones.
    """
    if start is None or start.after_ms is None:
        return None
    if chain is not None and any(
        result.size_bytes >= LARGE_RESULT_BYTES for result in chain.results
    ):
        return None
    return start.after_ms - ENGINE_START_MS


def _moved_denial(chain_id: str, results: tuple[HandoverResult, ...]) -> Denial:
    return Denial(chain_id, ChainRefusal.MOVED, 0, results)


def _expirable(
    chains: Iterable[Chain], longest_ms: float, now_ms: float
) -> Sequence[Chain]:
    """Returns the requests that may be unservable, whatever they wait for."""
    return [
        chain
        for chain in chains
        if chain.failures or chain.spec.deadline_at_ms - now_ms <= longest_ms
    ]


def _deny_unservable(
    chain: Chain, admission: ChainAdmission, view: FleetView, now_ms: float
) -> Denial | None:
    """Returns the denial of a request that can't be served any more."""
    chain_id = chain.spec.chain_id
    needed = {
        state.stage.service for state in chain.unfinished() if state.missing
    }
    needed.add(chain.spec.engine_service)
    if not needed.isdisjoint(view.evacuated_services):
        # Unlike crashed targets, these are not back in a moment.
        retry_after_ms = admission.retry_after_ms(
            chain.spec, NO_TARGET_RETRY_AFTER_MS, now_ms
        )
        return Denial(chain_id, ChainRefusal.NO_TARGET, retry_after_ms)
    reason = admission.find_unservable_reason(chain, now_ms)
    if reason is None:
        return None
    retry_after_ms = admission.retry_after_ms(
        chain.spec, MIN_RETRY_AFTER_MS, now_ms
    )
    return Denial(chain_id, reason, retry_after_ms)
