"""Series of restores of a shared store, beside other faults, from a seed."""

import asyncio
import random
from collections.abc import Callable

from .restored_fleet import RestoredFleet

# Changes of the configuration in a run; a restore follows on each third.
CHANGES = 12
CHANGES_PER_RESTORE = 3
# Shares of the changes with which a target starts, drains and stops.
STARTING_SHARE = 0.5
DRAINING_SHARE = 0.4
STOPPING_SHARE = 0.3
MAX_TARGETS = 6
# Bounds in milliseconds.
MAX_COPY_AGE_MS = 5000
AWAY_MS = (0, 200, 2000)
MAX_REWRITE_AFTER_MS = 1500
ANSWER_DELAYS_MS = (0, 200)
# Pauses in seconds between changes, and between faults.
CHANGE_PAUSE_S = (0.1, 1.5)
FAULT_PAUSE_S = (0.05, 0.5)


class RestoreSoak:
    """Operates a fleet and injects faults into it."""

    def __init__(self, fleet: RestoredFleet, seed: int) -> None:
        """Creates a soak that is not started.

        Args:
            fleet: Running fleet.
            seed: Seed of all draws.
        """
        self._fleet = fleet
        self._random = random.Random(seed)
        self._names = tuple(sorted(fleet.entries))
        self._faults: tuple[Callable[[str], None], ...] = (
            self._cut_from_store,
            self._slow_store,
            self._kill,
            self._start_former,
            self._cut_peers,
        )

    async def run(self) -> None:
        """Runs all changes and ends all faults."""
        operating = asyncio.ensure_future(self._operate())
        while not operating.done():
            name = self._random.choice(sorted(self._fleet.entries))
            self._random.choice(self._faults)(name)
            await asyncio.sleep(self._random.uniform(*FAULT_PAUSE_S))
        await operating
        self._heal()

    async def _operate(self) -> None:
        for number in range(1, CHANGES + 1):
            await asyncio.sleep(self._random.uniform(*CHANGE_PAUSE_S))
            self._fleet.configure()
            self._change_targets()
            if not number % CHANGES_PER_RESTORE:
                for _ in range(self._random.choice((1, 1, 2))):
                    await self._restore()

    async def _restore(self) -> None:
        await self._fleet.restore(
            self._random.uniform(0, MAX_COPY_AGE_MS),
            self._random.choice(AWAY_MS),
            self._random.uniform(0, MAX_REWRITE_AFTER_MS),
        )

    def _change_targets(self) -> None:
        fleet = self._fleet
        if self._random.random() < STARTING_SHARE:
            number = self._random.randrange(MAX_TARGETS)
            fleet.start_target(f'target-{number}')
        if self._draws_target(DRAINING_SHARE):
            name = self._random.choice(sorted(fleet.targets))
            fleet.announce(name, 'draining')
        if self._draws_target(STOPPING_SHARE):
            fleet.stop_target(self._random.choice(sorted(fleet.targets)))

    def _draws_target(self, share: float) -> bool:
        """Returns whether a target is drawn; the last one never is."""
        return self._random.random() < share and len(self._fleet.targets) > 1

    def _cut_from_store(self, name: str) -> None:
        tables = self._fleet.entries[name].tables
        tables.cut = not tables.cut

    def _slow_store(self, name: str) -> None:
        tables = self._fleet.entries[name].tables
        tables.delay_ms = self._random.choice(ANSWER_DELAYS_MS)

    def _kill(self, name: str) -> None:
        if len(self._fleet.entries) > 2:
            self._fleet.kill_entry(name)

    def _start_former(self, name: str) -> None:
        missing = [
            former
            for former in self._names
            if former not in self._fleet.entries
        ]
        if missing:
            self._fleet.start_entry(self._random.choice(missing))

    def _cut_peers(self, name: str) -> None:
        for other in self._random.sample(sorted(self._fleet.entries), 2):
            self._fleet.network.cut(name, other)

    def _heal(self) -> None:
        self._fleet.network.heal()
        for entry in self._fleet.entries.values():
            entry.tables.cut = False
            entry.tables.delay_ms = 0
        for name in self._names:
            if name not in self._fleet.entries:
                self._fleet.start_entry(name)
