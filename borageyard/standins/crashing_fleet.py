"""In-memory fleet whose engines crash under a part of prompts."""

import asyncio
import contextlib
import itertools
import random
from collections.abc import AsyncIterator, Collection

from ..clock import LoopClock
from ..crash_suspects import CrashSuspects
from ..engine_placer import Prompt, PromptPart
from ..engine_watch import EngineWatch
from ..errors import RefusalError
from ..inbound import InboundRequest
from ..memory_peers import MemoryPeerNetwork
from ..quarantine_guard import QuarantinedError, QuarantineGuard
from ..roster import RosterRow, TargetPhase
from ..run_tracker import EngineSend
from ..tasks import running_tasks
from .electing_fleet import GROUP, ElectingEntry, ElectingFleet
from .memory_engine import EngineCrashedError, MemoryEngine, MemoryEngines

GOSSIP_S = 0.3
# Number of crashes from which the users count further requests.
FIFTH = 5
ATTEMPTS = 2
BAD_PART = 'bad'
SHARED_PART = 'shared'
SOUND_PART_COUNT = 12
SOUND_PARTS = tuple(f'sound-{number}' for number in range(SOUND_PART_COUNT))
SOUND_PER_S = 12
# Range of the time that a request waits for its stages.
WAIT_S = (0.02, 1.5)
PROBE_S = 0.015
# Time after a fault of an entry in which the users do not count its requests.
SETTLING_S = 3


class CrashingEntry(ElectingEntry):
    """Entry that keeps prompts which crash engines from them."""

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
        self.suspects = CrashSuspects(self.link, clock)
        self.guard = QuarantineGuard(name, self.suspects, self.link, clock)
        self.probe = MemoryProbe()
        self.watch = EngineWatch(self.state, self.suspects, clock, self.probe)

    async def start(self) -> None:
        """Starts its tasks."""
        await super().start()
        self._stack.callback(self.suspects.close)
        await self._stack.enter_async_context(self.watch.running())
        await self._stack.enter_async_context(running_tasks(self._gossip))

    async def _gossip(self) -> None:
        while True:
            self.link.send_gossip()
            await asyncio.sleep(GOSSIP_S)


class MemoryProbe:
    """Probe of in-memory engines."""

    def __init__(self) -> None:
        """Creates a probe without engines."""
        self.engines: MemoryEngines | None = None

    async def is_listening(self, address: str) -> bool | None:
        """Returns whether an engine is up."""
        await asyncio.sleep(PROBE_S)
        return self.engines.is_up(address) if self.engines else None

    async def can_connect(self, address: str) -> bool:
        """Returns whether an engine is up."""
        return bool(await self.is_listening(address))

    async def check_status(
        self, target_id: str, address: str, *, through_peer: bool = False
    ) -> str:
        """Returns why an engine does not answer."""
        listening = await self.is_listening(address)
        return '' if listening else 'down'


class CrashingFleet(ElectingFleet):
    """Entries whose callers send sound prompts, and later bad ones."""

    def __init__(self, size: int, seed: int) -> None:
        """Creates a fleet that is not started.

        Args:
            size: Number of entries.
            seed: Seed of requests and crashes.
        """
        super().__init__(size, CrashingEntry)
        self.bad_per_s: float = 0
        # Times of the sends of requests with the bad part, without those of
        # entries that had a fault shortly before.
        self.bad_sends_s: list[float] = []
        # Time of each sound request, and whether its first send began.
        self.sound: list[tuple[float, bool]] = []
        self._random = random.Random(seed)
        # Whether the part is the first one of the prompts.
        self._is_first = self._random.choice((True, False))
        self.engines = MemoryEngines(self._random)
        self._numbers = itertools.count()
        self._faulted_at_s: dict[str, float] = {}
        self._frozen: set[str] = set()
        self._cut_off: frozenset[str] = frozenset()

    @contextlib.asynccontextmanager
    async def serving(self) -> AsyncIterator['CrashingFleet']:
        """Runs the fleet, its engines and its callers within the scope."""
        async with (
            self.running(),
            running_tasks(self._send_requests, *self.engines.work()),
        ):
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

    def late_sends(self) -> int:
        """Returns the sends that the users count after the fifth crash."""
        if len(self.engines.bad_crashes_s) < FIFTH:
            return 0
        since_s = self.fifth_crash_s + SETTLING_S
        return sum(sent_s > since_s for sent_s in self.bad_sends_s)

    @property
    def fifth_crash_s(self) -> float:
        """Returns the time of the fifth crash, or of the last one before."""
        return (self.engines.bad_crashes_s[:FIFTH] or [0])[-1]

    def sound_share(self, since_s: float, until_s: float) -> float:
        """Returns the share of sound requests that began at the first send.

        Args:
            since_s: Time of the first requests.
            until_s: Time after the last ones.
        """
        begun = [
            has_begun
            for sent_s, has_begun in self.sound
            if since_s <= sent_s < until_s
        ]
        return sum(begun) / max(len(begun), 1)

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()

    def _note_faults(self, names: Collection[str]) -> None:
        self._faulted_at_s.update(dict.fromkeys(names, self._now_s()))

    def _is_in_touch(self, name: str) -> bool:
        return self._now_s() - self._faulted_at_s[name] > SETTLING_S

    async def _send_requests(self) -> None:
        async with asyncio.TaskGroup() as group:
            while True:
                per_s = SOUND_PER_S + self.bad_per_s
                await asyncio.sleep(self._random.expovariate(per_s))
                if self.network.cuts:
                    self._note_faults(self._cut_off)
                else:
                    self._cut_off = frozenset()
                running = sorted(self.entries.keys() - self._frozen)
                bad = self._random.random() < self.bad_per_s / per_s
                name = self._random.choice(running)
                group.create_task(self._send(name, bad=bad))

    async def _send(self, name: str, *, bad: bool) -> None:
        entry = self.entries[name]
        if not isinstance(entry, CrashingEntry):
            return
        entry.probe.engines = self.engines
        request = self._build_request(bad=bad)
        sent_s = self._now_s()
        in_touch = self._is_in_touch(name)
        has_begun = False
        with contextlib.suppress(RefusalError, QuarantinedError):
            entry.guard.require_admitted(request)
            has_begun = await self._attempt(entry, request, bad=bad)
        if not bad and in_touch and self.entries.get(name) is entry:
            self.sound.append((sent_s, has_begun))

    async def _attempt(
        self,
        entry: CrashingEntry,
        request: InboundRequest,
        *,
        bad: bool,
    ) -> bool:
        """Sends a request until an answer is complete, or for some times.

        Returns:
            Whether the answer to the first send began.
        """
        outcomes: list[bool] = []
        for _ in range(ATTEMPTS):
            async with entry.guard.watching(request):
                await asyncio.sleep(self._random.uniform(*WAIT_S))
            engine = self.engines.pick()
            if engine is None or self.entries.get(entry.name) is not entry:
                break
            send = entry.watch.start(request, _row(engine))
            whole = await self._exchange(entry, engine, send, request, bad=bad)
            outcomes.append(send.progress.begun_at_ms is not None)
            if whole:
                break
        return bool(outcomes) and outcomes[0]

    async def _exchange(
        self,
        entry: CrashingEntry,
        engine: MemoryEngine,
        send: EngineSend,
        request: InboundRequest,
        *,
        bad: bool,
    ) -> bool:
        """Relays the answer of an engine; returns whether it is whole."""
        if bad and self._is_in_touch(entry.name):
            self.bad_sends_s.append(self._now_s())
        with contextlib.ExitStack() as stack:
            stack.callback(entry.watch.note_given_up, send)
            try:
                async with entry.guard.watching(request):
                    await engine.begin()
                entry.watch.note_answering(send)
                async for chunk in engine.write(bad=bad):
                    entry.watch.note_bytes(send, chunk)
            except EngineCrashedError:
                entry.watch.note_lost(send, engine.name)
                return False
            entry.watch.note_whole(send, framed=True)
            return True
        return False

    def _build_request(self, *, bad: bool) -> InboundRequest:
        number = str(next(self._numbers))
        other = self._random.choice(SOUND_PARTS)
        parts = [SHARED_PART, other]
        if bad:
            parts[0 if self._is_first else 1] = BAD_PART
        prompt = Prompt(
            'm', tuple(PromptPart(part, 1) for part in (*parts, number)), 3, 3
        )
        target = f'/{number}'
        return InboundRequest(
            number, '', 'POST', target, target, {}, b'', 0, None, prompt=prompt
        )


def _row(engine: MemoryEngine) -> RosterRow:
    return RosterRow(
        engine.name, GROUP, engine.name, '', TargetPhase.READY, incarnation=1
    )
