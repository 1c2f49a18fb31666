"""Batches pieces of many requests into calls."""

from collections.abc import Mapping, Sequence

from .batch_targets import BatchCall, BatchTarget, BatchTargets
from .call_drafts import CallDraft, Candidate, DraftBoard, shortest_waits_ms
from .call_time_estimator import CallTimeEstimator
from .chains import Chain, StageState
from .failure_domains.piece_spill import queued_waits_ms
from .plans import Plan
from .send_permits import SendPermits

# Requests that can't be in time are sorted after all others by this where
# callers compete: what is served late must not make more requests late.
COMPETING_PENALTY_MS = 10_000
# Slack that equals one step of priority when requests are sorted.
SLACK_MS_PER_PRIORITY_STEP = 300
# Requests that can't be in time are sorted after those that can. The penalty
# is smaller once work has started, because its results hold memory.
LATE_PENALTY_MS = 2000
STARTED_LATE_PENALTY_MS = 600
# A request counts as late only beyond this, because estimates are rough.
LATENESS_TOLERANCE_MS = 0
# Longest time for which a call that is far from full waits for more pieces, at
# the last idle target: more than half of the fixed time of a call, which is
# 200 ms on the users' load sheets.
MAX_FILL_WAIT_MS = 120
# Share of the slack of its most urgent piece for which a call may wait.
FILL_WAIT_SLACK_RATIO = 0.15
# Fill ratio from which a call does not wait for more pieces.
SUFFICIENT_FILL_RATIO = 0.6
# Results of at least this size are produced just before they are needed, and
# close to their reader.
LARGE_RESULT_BYTES = 500_000
# Inputs that expire within this time might be gone when a call starts.
INPUT_EXPIRY_MARGIN_MS = 20
# Large results are started this long before their reader is expected.
LARGE_RESULT_LEAD_MS = 250


class CallPlanner:
    """Decides which pieces share a call, on which target, and in which order.

    Designed for many small requests whose stages have a high fixed cost per
    call: only full calls that combine all requests keep up with a burst.
    Requests that can still be in time go first, weighted by priority. A call
    that is nearly empty waits a little for more pieces.
    """

    def __init__(
        self,
        targets: BatchTargets,
        call_times: CallTimeEstimator,
        permits: SendPermits,
    ) -> None:
        """Creates a planner.

        Args:
            targets: State of the batching targets.
            call_times: Estimates the time of calls.
            permits: Permits to send to targets with limits.
        """
        self._permits = permits
        self._targets = targets
        self._call_times = call_times
        # Whether callers compete: requests that can be on time come first.
        self.competing = False

    def has_idle_target(self, service: str, plan: Plan, now_ms: float) -> bool:
        """Returns whether a target of a service may be called now.

        Args:
            service: The service.
            plan: Plan that is woken by the next permit of an idle target.
            now_ms: Monotonic time.
        """
        return bool(self._idle_targets(service, plan, now_ms))

    def plan_service(
        self,
        service: str,
        chains: Mapping[str, Chain],
        plan: Plan,
        now_ms: float,
    ) -> None:
        """Adds the calls to start now on the targets of a service to a plan.

        Args:
            service: The service.
            chains: The admitted requests, by id.
            plan: Plan that the calls are added to.
            now_ms: Monotonic time.
        """
        idle = self._idle_targets(service, plan, now_ms)
        if not idle:
            return
        candidates = self._candidates(service, chains, plan, now_ms)
        if not candidates:
            return
        queued_ms = queued_waits_ms(
            self._targets.of_service(service),
            candidates,
            self._call_times,
            now_ms,
        )
        waits_ms = self._domain_waits_ms(service, queued_ms, now_ms)
        board = DraftBoard(candidates, waits_ms, now_ms)
        while idle:
            draft = board.best(idle.values())
            if draft is None:
                return
            if self._should_wait(draft, len(idle), plan, now_ms):
                return
            self._start_call(draft, plan, now_ms)
            if not self._may_be_called(draft.target, plan, now_ms):
                idle.pop(draft.target.row.target_id)
            waits_ms = self._domain_waits_ms(service, queued_ms, now_ms)
            board.note_started(draft, waits_ms)

    def _domain_waits_ms(
        self, service: str, queued_ms: Mapping[str, float], now_ms: float
    ) -> Mapping[str, float]:
        """Returns the time until a target of each failure domain is idle.

        Args:
            service: The service.
            queued_ms: Time that pieces wait behind others, by domain.
            now_ms: Monotonic time.
        """
        return shortest_waits_ms(
            [
                (
                    target.row.failure_domain,
                    max(
                        target.expected_wait_ms(now_ms),
                        self._permits.wait_ms(target.row, now_ms),
                    )
                    + queued_ms.get(target.row.failure_domain, 0),
                )
                for target in self._targets.of_service(service)
                if not target.is_slow(now_ms)
                and not target.asked_for_pause(now_ms)
            ]
        )

    def _idle_targets(
        self,
        service: str,
        plan: Plan,
        now_ms: float,
    ) -> dict[str, BatchTarget]:
        """Returns the targets that may be called now, by id.

        Sets the wake-up time of the plan to the next permit of a target that
        is idle but limits its requests.
        """
        targets = self._targets.of_service(service)
        # Slow targets are used only if there are no others. A full target
        # still counts as one, because its pause is short.
        quick = [
            target
            for target in targets
            if not target.is_slow(now_ms)
            and not target.has_failed(now_ms)
            and not target.asked_for_pause(now_ms)
        ]
        # The order decides between equal calls.
        ordered = sorted(
            quick or targets,
            key=lambda one: self._call_times.slowdown(one.row, now_ms),
        )
        return {
            target.row.target_id: target
            for target in ordered
            if self._may_be_called(target, plan, now_ms)
        }

    def _may_be_called(
        self, target: BatchTarget, plan: Plan, now_ms: float
    ) -> bool:
        """Returns whether a target is idle, and its limit permits a call."""
        if not target.is_idle(now_ms):
            return False
        wait_ms = self._permits.wait_ms(target.row, now_ms)
        if wait_ms:
            plan.wake_by(now_ms + wait_ms)
        return not wait_ms

    def _start_call(self, draft: CallDraft, plan: Plan, now_ms: float) -> None:
        target = draft.target
        stages = draft.stages
        work_kinds = tuple(stage.work_kind for stage in stages)
        slowdown = self._call_times.slowdown(target.row, now_ms)
        expected_ms = self._call_times.call_ms(work_kinds, target.limits)
        call = BatchCall(
            target=target.row,
            limits=target.limits,
            pieces=tuple(draft.pieces),
            work_kinds=work_kinds,
            sizes_bytes=tuple(stage.result_bytes for stage in stages),
            sent_at_ms=now_ms,
            expected_ms=expected_ms * slowdown,
            slowdown=slowdown,
        )
        plan.calls.append(call)
        target.note_sent(call)
        self._permits.take(target.row, now_ms)
        for chain, piece in zip(draft.chains, draft.pieces, strict=True):
            chain.note_sent(piece)
        for candidate in draft.candidates:
            candidate.note_taken()

    def _candidates(
        self,
        service: str,
        chains: Mapping[str, Chain],
        plan: Plan,
        now_ms: float,
    ) -> Sequence[Candidate]:
        found = [
            self._candidate(chain, state, now_ms)
            for chain in chains.values()
            if not chain.granted
            for state in chain.startable()
            if state.stage.service == service
            and self._has_fresh_inputs(state, now_ms)
            and self._is_due(chain, state, plan, now_ms)
        ]
        found.sort(key=lambda candidate: candidate.sort_key_ms)
        return found

    def _has_fresh_inputs(self, state: StageState, now_ms: float) -> bool:
        """Returns whether inputs last long enough; resets them otherwise."""
        if state.inputs_expire_at_ms > now_ms + INPUT_EXPIRY_MARGIN_MS:
            return True
        for source in state.sources:
            source.reset()
        return False

    def _is_due(
        self,
        chain: Chain,
        state: StageState,
        plan: Plan,
        now_ms: float,
    ) -> bool:
        """Returns whether a stage may start; delays those with large results.

        Sets the wake-up time of the plan to when a delayed stage becomes due.
        """
        if state.stage.result_bytes < LARGE_RESULT_BYTES:
            return True
        others_ms = max(
            (
                other.critical_path_ms
                for other in chain.unfinished()
                if other is not state
            ),
            default=0,
        )
        early_ms = others_ms - state.critical_path_ms - LARGE_RESULT_LEAD_MS
        if early_ms <= 0:
            return True
        plan.wake_by(now_ms + early_ms)
        return False

    def _candidate(
        self,
        chain: Chain,
        state: StageState,
        now_ms: float,
    ) -> Candidate:
        spec = chain.spec
        if state.ready_at_ms is None:
            state.ready_at_ms = now_ms
        slack_ms = spec.soft_deadline_at_ms - now_ms - state.critical_path_ms
        sort_key_ms = slack_ms + spec.priority * SLACK_MS_PER_PRIORITY_STEP
        if slack_ms < -LATENESS_TOLERANCE_MS or chain.admitted_late:
            late_ms = self._late_penalty_ms(chain)
            sort_key_ms = (
                late_ms + spec.deadline_at_ms - now_ms - state.critical_path_ms
            )
        # Inputs that expire have to be produced again, so their readers are
        # to run before that.
        sort_key_ms = min(sort_key_ms, state.inputs_expire_at_ms - now_ms)
        transferred_bytes = state.inputs_bytes()
        size_bytes = state.stage.result_bytes
        if chain.expected_engine_domain and size_bytes >= LARGE_RESULT_BYTES:
            transferred_bytes = {chain.expected_engine_domain: size_bytes}
        return Candidate(
            chain,
            state,
            sort_key_ms,
            slack_ms,
            state.ready_at_ms,
            transferred_bytes,
        )

    def _late_penalty_ms(self, chain: Chain) -> float:
        if chain.work_started:
            return STARTED_LATE_PENALTY_MS
        return COMPETING_PENALTY_MS if self.competing else LATE_PENALTY_MS

    def _should_wait(
        self,
        draft: CallDraft,
        idle_count: int,
        plan: Plan,
        now_ms: float,
    ) -> bool:
        """Returns whether a call should wait for more pieces."""
        target = draft.target
        if len(draft.pieces) >= SUFFICIENT_FILL_RATIO * target.limits.size:
            return False
        count = len(self._targets.of_service(target.row.service))
        scarcity = 1 - (idle_count - 1) / max(count, 1)
        slack_ms = min(candidate.slack_ms for candidate in draft.candidates)
        allowed_ms = min(
            MAX_FILL_WAIT_MS * scarcity,
            max(slack_ms, 0) * FILL_WAIT_SLACK_RATIO,
        )
        ready_at_ms = min(
            candidate.ready_at_ms for candidate in draft.candidates
        )
        until_ms = ready_at_ms + allowed_ms
        if until_ms <= now_ms:
            return False
        plan.wake_by(until_ms)
        return True
