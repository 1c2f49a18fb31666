"""Series of overlapping faults for a fleet that elects schedulers."""

import asyncio
import random

from .electing_fleet import ElectingFleet

FAULTS = 12
# Range of the time between the starts of two faults; each lasts up to 4 s.
PAUSE_S = (0.1, 2.0)
LONG_S = (0.5, 4.0)
SHORT_S = (0.2, 2.0)
# Entries that keep running.
MIN_RUNNING = 3


class ElectionSoak:
    """Faults that are drawn from a seed, half of them at the scheduler."""

    def __init__(self, fleet: ElectingFleet, seed: int) -> None:
        """Creates a soak of a running fleet.

        Args:
            fleet: The fleet.
            seed: Seed of the faults.
        """
        self._fleet = fleet
        self._random = random.Random(seed)
        # Entries that do not run at present.
        self._down: set[str] = set()

    async def run(self) -> None:
        """Injects the faults and waits until the last one is over."""
        async with asyncio.TaskGroup() as group:
            for _ in range(FAULTS):
                fault = self._random.choice(
                    [self._restart, self._freeze, self._leave, self._cut],
                )
                group.create_task(fault(self._pick()))
                await self._pause(PAUSE_S)

    def _pick(self) -> str:
        running = sorted(self._fleet.entries.keys() - self._down)
        schedulers = sorted(self._fleet.schedulers() & frozenset(running))
        return self._random.choice(
            self._random.choice([schedulers, running]) or running,
        )

    async def _restart(self, name: str) -> None:
        running = self._fleet.entries.keys() - self._down
        if name not in running or len(running) <= MIN_RUNNING:
            return
        self._down.add(name)
        await self._fleet.kill(name, refused=self._random.choice((True, False)))
        await self._pause(LONG_S)
        await self._fleet.start(name)
        self._down.discard(name)

    async def _leave(self, name: str) -> None:
        leaving = self._fleet.entries[name]
        leaving.leave()
        await self._pause(SHORT_S)
        if self._fleet.entries.get(name) is leaving:
            await self._restart(name)

    async def _freeze(self, name: str) -> None:
        if name in self._down:
            return
        self._down.add(name)
        await self._fleet.freeze(name, self._random.uniform(*LONG_S))
        self._down.discard(name)

    async def _cut(self, name: str) -> None:
        count = self._random.randrange(1, len(self._fleet.names) // 2)
        others = self._random.sample(self._fleet.names, count)
        self._fleet.cut([name, *others])
        await self._pause(LONG_S)
        self._fleet.network.heal()

    async def _pause(self, span_s: tuple[float, float]) -> None:
        await asyncio.sleep(self._random.uniform(*span_s))
