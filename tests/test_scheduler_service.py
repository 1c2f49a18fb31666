"""Tests of carrying out the plans of the scheduler."""

import asyncio

from borageyard.chains import Chain, ChainSpec
from borageyard.clock import LoopClock
from borageyard.engine_placer import Placement, Prompt
from borageyard.fleet_state import FleetState
from borageyard.plans import ChainRefusal, Denial, Grant, Plan
from borageyard.platform.documents import DocumentDecoder
from borageyard.roster import RosterRow, TargetPhase
from borageyard.scheduler_service import (
    MAX_PLAN_INTERVAL_MS,
    MAX_PLANNING_SHARE,
    SchedulerService,
)
from borageyard.send_permits import FixedLimits, SendPermits
from borageyard.standins.virtual_time import in_virtual_time

PLAN_MS = 10


class BusyClock(LoopClock):
    """Clock that also advances while the process is busy."""

    def __init__(self):
        """Starts with an idle process."""
        super().__init__()
        self.busy_ms = 0

    def steady_ms(self):
        """Returns the time of the loop and that in which it was blocked."""
        return super().steady_ms() + self.busy_ms


class SlowPlanner:
    """Planner that takes a constant time and decides nothing."""

    def __init__(self, clock):
        """Starts without plans."""
        self.plans = 0
        self.took_ms = PLAN_MS
        self._clock = clock

    def plan(self, now_ms):
        """Makes a plan."""
        self.plans += 1
        self._clock.busy_ms += self.took_ms
        return Plan()


class TestPlanning:
    """A scheduler that holds a burst, so that a plan takes long."""

    def build(self, monkeypatch):
        """Returns a service whose plans take a while, and its planner."""
        clock = BusyClock()
        service = SchedulerService(
            FleetState(DocumentDecoder()),
            None,
            clock,
            SendPermits(FixedLimits({})),
        )
        planner = SlowPlanner(clock)
        monkeypatch.setattr(service.scheduler, 'plan', planner.plan)
        return service, planner

    @in_virtual_time
    async def test_events_in_quick_succession_share_a_plan(self, monkeypatch):
        """The last event is planned for without a further one."""
        service, planner = self.build(monkeypatch)
        for _ in range(100):
            service.note_started('c1')
        assert planner.plans == 1
        await asyncio.sleep(1)
        assert planner.plans == 2

    @in_virtual_time
    async def test_suspension_during_a_plan(self, monkeypatch):
        """A plan that took long by suspension does not end planning."""
        service, planner = self.build(monkeypatch)
        planner.took_ms = 4000
        service.note_started('c1')
        planner.took_ms = PLAN_MS
        service.note_started('c1')
        await asyncio.sleep(MAX_PLAN_INTERVAL_MS / 1000)
        assert planner.plans == 2

    @in_virtual_time
    async def test_planning_leaves_time_for_other_work(self, monkeypatch):
        """Events without end take no more than the share of planning."""
        service, planner = self.build(monkeypatch)
        for _ in range(1000):
            service.note_started('c1')
            await asyncio.sleep(0.001)
        elapsed_ms = 1000 + planner.plans * PLAN_MS
        # The pause after the last plan may lie ahead.
        planning_ms = (planner.plans - 1) * PLAN_MS
        assert planning_ms <= elapsed_ms * MAX_PLANNING_SHARE


class Granter:
    """Planner that grants each request once it is told to."""

    def __init__(self, scheduler):
        """Starts without permission to grant."""
        self.granting = False
        self._scheduler = scheduler

    def submit(self, spec, now_ms):
        """Admits each request."""
        self._scheduler.chains[spec.chain_id] = Chain(spec)

    def plan(self, now_ms):
        """Grants all requests, or none yet."""
        engine = RosterRow('m1', 'model', 't:1', 'a', TargetPhase.READY)
        plan = Plan()
        for chain in self._scheduler.chains.values():
            if self.granting and not chain.granted:
                chain.granted = True
                grant = Grant(chain.spec.chain_id, Placement(engine, 1, 0), ())
                plan.grants.append(grant)
        return plan


PROMPT = Prompt('', (), 0, 0)
SPEC = ChainSpec('r1', '', (), 'model', PROMPT, 0, 900, 900, 0)


class TestWaiters:
    """Who waits for the engine of a request, and how the wait ends."""

    def build(self, monkeypatch):
        """Returns a service, and the planner that decides for it."""
        service = SchedulerService(
            FleetState(DocumentDecoder()),
            None,
            LoopClock(),
            SendPermits(FixedLimits({})),
        )
        granter = Granter(service.scheduler)
        monkeypatch.setattr(service.scheduler, 'plan', granter.plan)
        monkeypatch.setattr(service.scheduler, 'submit', granter.submit)
        return service, granter

    async def wait(self, service, linger_ms=0):
        """Starts to wait for the engine of the request."""
        task = asyncio.ensure_future(
            service.place(SPEC, frozenset(), linger_ms)
        )
        await asyncio.sleep(0.01)
        return task

    @in_virtual_time
    async def test_later_wait_for_the_same_request_cancels_no_one(
        self, monkeypatch
    ):
        """Incident LOST: the connection of a caller was aborted."""
        service, granter = self.build(monkeypatch)
        waits = [await self.wait(service) for _ in range(2)]
        granter.granting = True
        service.note_started('another')
        async with asyncio.timeout(1):
            outcomes = await asyncio.gather(*waits, return_exceptions=True)
        assert [type(outcome) for outcome in outcomes] == [Grant, Grant]

    @in_virtual_time
    async def test_request_is_kept_while_someone_waits(self, monkeypatch):
        """One of two waits is cancelled, as when a peer stream breaks."""
        service, granter = self.build(monkeypatch)
        waits = [await self.wait(service) for _ in range(2)]
        waits[0].cancel()
        await asyncio.sleep(0.01)
        granter.granting = True
        service.note_started('another')
        async with asyncio.timeout(1):
            assert isinstance(await waits[1], Grant)

    @in_virtual_time
    async def test_late_news_of_an_earlier_send_wake_the_wait(
        self, monkeypatch
    ):
        """They remove the request, which is then placed anew."""
        service, _ = self.build(monkeypatch)
        wait = await self.wait(service)
        service.note_started('r1')
        async with asyncio.timeout(1):
            outcome = await wait
        assert outcome.reason is ChainRefusal.MOVED

    @in_virtual_time
    async def test_request_that_ends_wakes_its_wait(self, monkeypatch):
        """Its caller left; the wait would count as work of a peer for ever."""
        service, _ = self.build(monkeypatch)
        wait = await self.wait(service)
        service.note_ended('r1')
        async with asyncio.timeout(1):
            assert isinstance(await wait, Denial)
