"""In-memory engine that crashes under a part of prompts."""

import asyncio
import itertools
import random
from collections.abc import AsyncIterator, Sequence

from ..tasks import Work

# Ranges of the times from the arrival of a request to the head of its answer,
# from the head to a crash, and between the first and the last event.
QUEUE_S = (0.02, 0.5)
CRASH_S = (0.02, 0.12)
WRITE_S = (0.1, 2.5)
FIRST_EVENT_S = 0.02
EVENT = b'data: x\n\n'
ENGINES = 6
RESTART_S = (2, 5)
# Mean time between crashes of other causes.
OTHER_CRASHES_S = 5


class EngineCrashedError(Exception):
    """The connection to an engine ended."""


class MemoryEngine:
    """One incarnation of an engine."""

    def __init__(self, name: str, source: random.Random) -> None:
        """Starts an engine.

        Args:
            name: Its id and address.
            source: Source of the times that it takes.
        """
        self.name = name
        self.crashed = asyncio.Event()
        self.crashed_by_part = False
        self._random = source

    @property
    def is_up(self) -> bool:
        """Whether it has not crashed."""
        return not self.crashed.is_set()

    def crash(self) -> None:
        """Ends the engine and all connections."""
        self.crashed.set()

    async def begin(self) -> None:
        """Waits until the answer to a request begins.

        Raises:
            EngineCrashedError: If the engine crashes.
        """
        await self._sleep(self._random.uniform(*QUEUE_S))

    async def write(self, *, bad: bool) -> AsyncIterator[bytes]:
        """Yields the events of an answer that has begun.

        Args:
            bad: Whether the prompt has the part under which it crashes.

        Raises:
            EngineCrashedError: If the engine crashes.
        """
        if bad:
            await self._sleep(self._random.uniform(*CRASH_S))
            self.crashed_by_part = True
            self.crash()
            raise EngineCrashedError
        await self._sleep(FIRST_EVENT_S)
        yield EVENT
        await self._sleep(self._random.uniform(*WRITE_S))
        yield EVENT

    async def _sleep(self, span_s: float) -> None:
        """Waits; raises EngineCrashedError if the engine crashes meanwhile."""
        try:
            async with asyncio.timeout(span_s):
                await self.crashed.wait()
        except TimeoutError:
            return
        raise EngineCrashedError


class MemoryEngines:
    """Engines that start again, under new ids, whenever they have crashed."""

    def __init__(self, source: random.Random) -> None:
        """Creates a pool without engines.

        Args:
            source: Source of times and of the engines that crash.
        """
        # Times of the crashes under the bad part.
        self.bad_crashes_s: list[float] = []
        self._random = source
        self._running: dict[str, MemoryEngine] = {}
        self._numbers = itertools.count()

    def work(self) -> Sequence[Work]:
        """Returns the work that runs the engines and crashes some of them."""
        return (
            self._crash_some,
            *(self._run_one for _ in range(ENGINES)),
        )

    def is_up(self, name: str) -> bool:
        """Returns whether an engine runs.

        Args:
            name: Its id.
        """
        return name in self._running

    def pick(self) -> MemoryEngine | None:
        """Returns an engine that runs, or None without one."""
        running = tuple(self._running.values())
        return self._random.choice(running) if running else None

    async def _run_one(self) -> None:
        while True:
            name = f'engine-{next(self._numbers)}'
            engine = MemoryEngine(name, self._random)
            self._running[name] = engine
            await engine.crashed.wait()
            self._running.pop(name)
            if engine.crashed_by_part:
                now_s = asyncio.get_running_loop().time()
                self.bad_crashes_s.append(now_s)
            await asyncio.sleep(self._random.uniform(*RESTART_S))

    async def _crash_some(self) -> None:
        while True:
            await asyncio.sleep(self._random.expovariate(1 / OTHER_CRASHES_S))
            engine = self.pick()
            if engine is not None:
                engine.crash()
