"""A caller of the fault matrix: what it sends and what it sees."""

import asyncio
import dataclasses
from typing import Any, Protocol

from ..clock import MS_PER_S
from ..errors import RunStatus
from ..pipeline_interfaces import Outcome
from ..requests import Answer, PipelineRequest
from ..standins.memory_deployment import MemoryDeployment
from ..target_client import TokenEvent
from .actions import FaultActions
from .table import Ending, Fault, Step

RETRY_AFTER_MS = 300
# Faults under which a request does not reach its entry.
UNDELIVERED = frozenset((Fault.REFUSED, Fault.RESET, Fault.HALF_OPEN))
RESPONSE_TIMEOUT_MS = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class CallerView:
    """What a caller got from one try, and when."""

    ending: Ending
    at_ms: float
    request_id: str
    output: Any = None


@dataclasses.dataclass(slots=True)
class TokenCollector:
    """Token sink of a caller that keeps what it got."""

    offsets: list[int] = dataclasses.field(default_factory=list)

    async def send(self, event: TokenEvent) -> None:
        """Keeps a token."""
        self.offsets.append(event.offset)


class CalledWorld(Protocol):
    """What a caller needs of the world that it calls."""

    deployment: MemoryDeployment
    actions: FaultActions

    async def reach(
        self,
        step: Step | None,
        entry: str,
        address: str = '',
    ) -> Fault | None:
        """Tells that a step is reached; returns a fault of the exchange."""


class FaultCaller:
    """Sends requests to the entries of a world."""

    def __init__(self, world: CalledWorld) -> None:
        """Wraps a world.

        Args:
            world: Whose entries are called.
        """
        self._world = world

    async def call(
        self,
        entry: str,
        request: PipelineRequest,
        *,
        drop_when: asyncio.Event | None = None,
    ) -> CallerView:
        """Sends a request to an entry as a caller does.

        Args:
            entry: Instance id of the entry.
            request: The request.
            drop_when: Event at which the connection breaks, if any.

        Returns:
            What the caller saw.
        """
        if not await self._deliver(entry):
            return self._view(request, Ending.SILENT)
        running = self._world.deployment.entries.get(entry)
        if running is None:
            return self._view(request, Ending.SILENT)
        await self._world.reach(Step.ADMIT, entry)
        sink = TokenCollector() if request.stream else None
        work = asyncio.ensure_future(running.core.run(request, sink))
        self._world.actions.tasks[entry].add(work)
        if not await self._wait(work, drop_when):
            work.cancel()
            return self._view(request, Ending.SILENT)
        fault = await self._world.reach(Step.REPLY, entry)
        if fault in {Fault.RESET, Fault.HALF_OPEN} or self._is_dead(entry):
            return self._view(request, Ending.SILENT)
        return self._view_outcome(request, work.result(), sink)

    async def _wait(
        self,
        work: asyncio.Future[Outcome],
        drop_when: asyncio.Event | None,
    ) -> bool:
        """Tells whether the outcome came before the connection broke."""
        waits: set[asyncio.Future[Any]] = {work}
        if drop_when is not None:
            waits.add(asyncio.ensure_future(drop_when.wait()))
        await asyncio.wait(
            waits,
            timeout=RESPONSE_TIMEOUT_MS / MS_PER_S,
            return_when=asyncio.FIRST_COMPLETED,
        )
        for wait in waits - {work}:
            wait.cancel()
        return work.done() and not work.cancelled()

    async def _deliver(self, entry: str) -> bool:
        """Brings a request to an entry; tells whether it arrived."""
        for step in (Step.ADDRESSES, Step.CONNECT, Step.SEND_BODY):
            fault = await self._world.reach(step, entry)
            if fault is Fault.SLOW:
                await asyncio.sleep(RETRY_AFTER_MS / MS_PER_S)
            elif fault in UNDELIVERED:
                return False
            if self._is_dead(entry):
                return False
        return True

    def _is_dead(self, entry: str) -> bool:
        return entry not in self._world.deployment.entries

    def _view(
        self,
        request: PipelineRequest,
        ending: Ending,
        output: Any = None,
    ) -> CallerView:
        return CallerView(
            ending,
            self._world.deployment.clock.wall_ms(),
            request.request_id,
            output,
        )

    def _view_outcome(
        self,
        request: PipelineRequest,
        outcome: Outcome,
        sink: TokenCollector | None,
    ) -> CallerView:
        if isinstance(outcome, Answer):
            whole = sink is None or _is_gapless(sink.offsets)
            ending = Ending.ANSWER if whole else Ending.SILENT
            return self._view(request, ending, outcome.output)
        endings = {
            RunStatus.NOT_RUN: Ending.NOT_RUN,
            RunStatus.RAN: Ending.RAN,
            RunStatus.UNKNOWN: Ending.UNKNOWN,
        }
        return self._view(request, endings[outcome.ran])


def _is_gapless(offsets: list[int]) -> bool:
    return offsets == list(range(len(offsets)))
