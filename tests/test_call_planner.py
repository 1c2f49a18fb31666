"""Tests of calls that are planned at many targets."""

import random

import pytest

from borageyard.call_drafts import CallDraft, DraftBoard
from borageyard.call_planner import CallPlanner
from borageyard.chain_scheduler import ChainScheduler
from borageyard.chains import ChainStage
from borageyard.plans import FleetView
from borageyard.serving_configuration import BatchLimits

from .test_chain_scheduler import finish, order, row

DOMAINS = 'abcde'
SERVICES = ('planner', 'notes')
LARGE_BYTES = 1_500_000


class ExhaustivePlanner(CallPlanner):
    """Fills a call to each idle target anew before each call."""

    def plan_service(self, service, chains, plan, now_ms):
        """Adds the calls to start now."""
        idle = self._idle_targets(service, plan, now_ms)
        candidates = []
        if idle:
            candidates = self._candidates(service, chains, plan, now_ms)
        while idle and candidates:
            drafts = [
                self._fill_call(target, candidates, now_ms)
                for target in idle.values()
            ]
            drafts = [draft for draft in drafts if draft.pieces]
            if not drafts:
                return
            draft = min(drafts, key=lambda one: one.sort_key)
            if self._should_wait(draft, len(idle), plan, now_ms):
                return
            self._start_call(draft, plan, now_ms)
            idle = self._idle_targets(service, plan, now_ms)
            candidates = [one for one in candidates if one.state.startable]

    def _fill_call(self, target, candidates, now_ms):
        free_bytes = target.free_bytes(now_ms)
        draft = CallDraft(target)
        domain = target.row.failure_domain
        ordered = sorted(
            (
                one
                for one in candidates
                if not self._is_better_elsewhere(one, target, now_ms)
            ),
            key=lambda one: one.sort_key_ms + one.transfer_cost_ms(domain),
        )
        for candidate in ordered:
            size_bytes = candidate.state.stage.result_bytes
            fitting = target.limits.size - len(draft.pieces)
            if size_bytes:
                fitting = min(fitting, int(free_bytes // size_bytes))
            chosen = candidate.state.missing[: max(fitting, 0)]
            draft.add(candidate, size_bytes * len(chosen) + draft.needed_bytes)
            free_bytes -= size_bytes * len(chosen)
        return draft

    def _is_better_elsewhere(self, candidate, target, now_ms):
        cost_ms = candidate.transfer_cost_ms(target.row.failure_domain)
        for other in self._targets.of_service(target.row.service):
            if other.is_slow(now_ms) or other.asked_for_pause(now_ms):
                continue
            wait_ms = other.expected_wait_ms(now_ms)
            other_ms = wait_ms + candidate.transfer_cost_ms(
                other.row.failure_domain
            )
            if other_ms < cost_ms and wait_ms < candidate.slack_ms:
                return True
        return False


def build(planner_type, targets, domains, memory_bytes=1e9, slots=1):
    """Returns a scheduler with so many targets of each service."""
    scheduler = ChainScheduler()
    scheduler._planner = planner_type(
        scheduler.targets, scheduler._times.call_times, scheduler.permits
    )
    limits = BatchLimits(slots, 2, 6, 200, 10, memory_bytes, 4000)
    batching = {
        service: (
            limits,
            [
                row(
                    f'{service}{number}',
                    service,
                    domains[number % len(domains)],
                )
                for number in range(targets)
            ],
        )
        for service in SERVICES
    }
    engines = {'model': [row('m1', 'model'), row('m2', 'model', 'b')]}
    scheduler.update_fleet(FleetView(engines, batching))
    return scheduler


def chain(number, drawn):
    """Returns a request whose stages have drawn sizes."""
    return order(
        f'c{number}',
        (
            ChainStage(
                'planner',
                drawn.randint(1, 9),
                (),
                drawn.choice([0, 1000, LARGE_BYTES]),
                'r/0',
            ),
            ChainStage('notes', drawn.randint(1, 4), (0,), 1000, 'r/1'),
        ),
        priority=drawn.randint(0, 2),
        soft_deadline_at_ms=drawn.randint(500, 3000),
    )


class Play:
    """Drawn requests and answers, played on one scheduler."""

    def __init__(self, scheduler, seed):
        """Starts without requests."""
        self.plans = []
        self._scheduler = scheduler
        self._drawn = random.Random(seed)
        self._submitted = 0
        self._calls = []

    def run(self, steps):
        """Plays so many steps of 40 ms; keeps the calls of each plan."""
        for step in range(steps):
            now_ms = step * 40
            for _ in range(self._drawn.randint(0, 4)):
                self._submitted += 1
                spec = chain(self._submitted, self._drawn)
                self._scheduler.submit(spec, now_ms)
            plan = self._scheduler.plan(now_ms)
            self.plans.append(
                [(call.target.target_id, call.pieces) for call in plan.calls]
            )
            self._calls.extend(plan.calls)
            self._drawn.shuffle(self._calls)
            for _ in range(min(self._drawn.randint(0, 3), len(self._calls))):
                call = self._calls.pop()
                if not self._drawn.randrange(10):
                    self._scheduler.note_overdue(call, now_ms)
                finish(self._scheduler, call, now_ms)


class TestDecisions:
    """The same calls as if each draft were filled anew each time."""

    @pytest.mark.parametrize('memory_bytes', [4e6, 1e9])
    @pytest.mark.parametrize('slots', [1, 2])
    @pytest.mark.parametrize('seed', range(12))
    def test_calls_are_those_of_the_exhaustive_planner(
        self, seed, slots, memory_bytes
    ):
        """Drawn loads at up to nine targets in up to five failure domains."""
        drawn = random.Random(seed)
        targets = drawn.randint(2, 9)
        domains = DOMAINS[: drawn.randint(1, 5)]
        plays = []
        for planner_type in (CallPlanner, ExhaustivePlanner):
            scheduler = build(
                planner_type, targets, domains, memory_bytes, slots
            )
            plays.append(Play(scheduler, seed))
            plays[-1].run(60)
        assert plays[0].plans == plays[1].plans
        assert sum(map(len, plays[0].plans)) > 10


class TestCost:
    """Candidates that a plan looks at while it fills all idle targets."""

    def steps(self, targets, waiting, monkeypatch):
        """Returns how many that are."""
        boards = []
        monkeypatch.setattr(
            'borageyard.call_planner.DraftBoard',
            lambda *arguments: (
                boards.append(DraftBoard(*arguments)) or boards[-1]
            ),
        )
        scheduler = build(CallPlanner, targets, DOMAINS)
        drawn = random.Random(1)
        for number in range(waiting):
            scheduler.submit(chain(number, drawn), 0)
        plan = scheduler.plan(0)
        monkeypatch.undo()
        assert len(plan.calls) >= targets
        return sum(board.steps for board in boards)

    @pytest.mark.parametrize('targets', [18, 70])
    def test_twice_the_queue_costs_at_most_a_little_more_than_twice(
        self, targets, monkeypatch
    ):
        """Load pattern: a burst at a large fleet."""
        once = self.steps(targets, 400, monkeypatch)
        assert self.steps(targets, 800, monkeypatch) <= 2.2 * once

    def test_cost_does_not_multiply_targets_and_queue(self, monkeypatch):
        """Four times the targets do not cost four times as much."""
        few = self.steps(18, 400, monkeypatch)
        assert self.steps(72, 400, monkeypatch) <= 2.2 * few
