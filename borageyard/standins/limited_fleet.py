"""In-memory fleet that sends to a target which limits its requests."""

import asyncio
import contextlib
import itertools
import random
from collections.abc import AsyncIterator, Collection

from ..clock import LoopClock
from ..failure_domains.cold_targets import ColdTargets
from ..machine_capacity.machine_limits import NO_COLD_BURST
from ..memory_peers import MemoryPeerNetwork
from ..permit_service import PermitService
from ..roster import RosterChange, RosterRow, TargetPhase
from ..send_permits import SendClass, SendPermits
from ..target_limits import TargetLimits
from ..tasks import running_tasks
from .electing_fleet import GROUP, ElectingEntry, ElectingFleet

ENGINE = RosterRow('engine', GROUP, 'h:1', 'a', TargetPhase.READY)
GOSSIP_S = 0.5
ANSWER_S = 0.02
# Requests a second from all callers together, far more than the limits.
CALLERS_PER_S = 60
# Length of the window in which the users count the requests at a target.
WINDOW_S = 4
# Time after a fault of an entry in which the users do not count its requests.
SETTLING_S = 3


class LimitedEntry(ElectingEntry):
    """Entry that asks for permits, besides taking part in elections."""

    def __init__(
        self,
        name: str,
        incarnation: int,
        listed: Collection[str],
        network: MemoryPeerNetwork,
    ) -> None:
        """Joins the network; ``start`` starts its tasks."""
        super().__init__(name, incarnation, listed, network)
        clock = LoopClock()
        self.state.roster.apply([RosterChange(1, ENGINE.target_id, ENGINE)], 2)
        self.limits = TargetLimits(clock)
        self.cold = ColdTargets(self.limits, clock, NO_COLD_BURST)
        self.permits = SendPermits(self.cold)
        self.permit_service = PermitService(
            name,
            self.permits,
            self.limits,
            self.state,
            self.service,
            self.link,
            clock,
        )
        self.permit_service.entry_count = len(listed)
        self.permit_service.cold = self.cold

    async def start(self) -> None:
        """Starts its tasks."""
        await super().start()
        self._stack.callback(self.permit_service.close)
        await self._stack.enter_async_context(running_tasks(self._gossip))

    async def _gossip(self) -> None:
        while True:
            self.link.send_gossip()
            await asyncio.sleep(GOSSIP_S)


class LimitedFleet(ElectingFleet):
    """Entries whose callers together want more than the target takes.

    Every second request chooses the target itself and asks for a permit, the
    others are placed by the scheduler, which takes one.
    """

    def __init__(self, size: int, seed: int) -> None:
        """Creates a fleet that is not started.

        Args:
            size: Number of entries.
            seed: Seed of the entries that get the requests.
        """
        super().__init__(size, LimitedEntry)
        # Limit that the target states, in requests a second; None for none.
        self.limit_per_s: float | None = None
        # Times of the requests that the target got, without those of entries
        # that had a fault shortly before.
        self.arrivals_s: list[float] = []
        self._random = random.Random(seed)
        self._faulted_at_s: dict[str, float] = {}
        self._frozen: set[str] = set()
        self._cut_off: frozenset[str] = frozenset()

    @contextlib.asynccontextmanager
    async def serving(self) -> AsyncIterator['LimitedFleet']:
        """Runs the fleet and its callers within the scope."""
        async with self.running(), running_tasks(self._send_requests):
            yield self

    async def kill(self, name: str, *, refused: bool = False) -> None:
        """Ends an entry without notice."""
        await super().kill(name, refused=refused)
        self._note_faults([name])

    async def start(self, name: str) -> None:
        """Starts an entry."""
        self._note_faults([name])
        await super().start(name)

    async def freeze(self, name: str, span_s: float) -> None:
        """Suspends an entry while the clocks go on."""
        self._frozen.add(name)
        await super().freeze(name, span_s)
        self._frozen.discard(name)
        self._note_faults([name])

    def cut(self, names: Collection[str]) -> None:
        """Cuts some entries off from all others."""
        self._cut_off |= frozenset(names)
        super().cut(names)

    def most_arrivals(self, since_s: float) -> int:
        """Returns the maximum of requests in a window, as the users count them.

        Args:
            since_s: Start of the first window.
        """
        times_s = [at_s for at_s in self.arrivals_s if at_s >= since_s]
        return max(
            (
                sum(start_s <= at_s < start_s + WINDOW_S for at_s in times_s)
                for start_s in times_s
            ),
            default=0,
        )

    def _note_faults(self, names: Collection[str]) -> None:
        now_s = asyncio.get_running_loop().time()
        self._faulted_at_s.update(dict.fromkeys(names, now_s))

    async def _send_requests(self) -> None:
        async with asyncio.TaskGroup() as group:
            for number in itertools.count():
                await asyncio.sleep(1 / CALLERS_PER_S)
                if self.network.cuts:
                    self._note_faults(self._cut_off)
                else:
                    self._cut_off = frozenset()
                running = sorted(self.entries.keys() - self._frozen)
                if running:
                    entry = self.entries[self._random.choice(running)]
                    group.create_task(self._send(entry, number))

    async def _send(self, entry: ElectingEntry, number: int) -> None:
        if not isinstance(entry, LimitedEntry):
            return
        if number % 2:
            permitted = not await entry.permit_service.acquire(
                ENGINE, SendClass.FIRST
            )
        else:
            permitted = self._place(entry)
        if not permitted:
            return
        now_s = asyncio.get_running_loop().time()
        if now_s - self._faulted_at_s[entry.name] > SETTLING_S:
            self.arrivals_s.append(now_s)
        limit_per_s = self.limit_per_s
        await asyncio.sleep(ANSWER_S)
        if self.entries.get(entry.name) is entry:
            entry.limits.note_answer(ENGINE, limit_per_s)

    def _place(self, entry: LimitedEntry) -> bool:
        """Returns whether the scheduler of an entry places a request."""
        scheduler_id = entry.scheduler_id
        scheduler = self.entries.get(scheduler_id)
        if not isinstance(scheduler, LimitedEntry):
            return False
        reached = scheduler is entry or (
            scheduler_id not in self._frozen
            and self.network.reaches(entry.name, scheduler_id)
        )
        if not reached or scheduler.scheduler_id != scheduler_id:
            return False
        now_ms = LoopClock().steady_ms()
        return not scheduler.permits.take(ENGINE, now_ms)
