"""Simulated caller that sends requests to entries and records the result."""

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
# Faults that keep a request from reaching its entry.
UNDELIVERED_FAULTS = frozenset((Fault.REFUSED, Fault.RESET, Fault.HALF_OPEN))
RESPONSE_TIMEOUT_MS = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class CallerView:
    """Outcome of one attempt as the caller saw it, with its wall time."""

    ending: Ending
    at_ms: float
    request_id: str
    output: Any = None


@dataclasses.dataclass(slots=True)
class TokenCollector:
    """Token sink that records the offsets of the received tokens."""

    offsets: list[int] = dataclasses.field(default_factory=list)

    async def send(self, event: TokenEvent) -> None:
        """Records the offset of a token."""
        self.offsets.append(event.offset)


class CallerEnvironment(Protocol):
    """Interface through which a caller reaches a deployment."""

    deployment: MemoryDeployment
    actions: FaultActions

    async def on_step(
        self,
        step: Step | None,
        entry: str,
        address: str = '',
    ) -> Fault | None:
        """Reports that a step is reached; returns the fault to simulate."""


class FaultCaller:
    """Sends requests to the entries of an environment."""

    def __init__(self, environment: CallerEnvironment) -> None:
        """Creates a caller.

        Args:
            environment: Environment whose entries are called.
        """
        self._environment = environment

    async def call(
        self,
        entry: str,
        request: PipelineRequest,
        *,
        disconnect_event: asyncio.Event | None = None,
    ) -> CallerView:
        """Sends a request to an entry and waits for the outcome.

        Args:
            entry: Instance id of the entry.
            request: The request.
            disconnect_event: Breaks the connection when it is set, if given.

        Returns:
            The outcome as the caller saw it.
        """
        if not await self._deliver(entry):
            return self._view(request, Ending.SILENT)
        running = self._environment.deployment.entries.get(entry)
        if running is None:
            return self._view(request, Ending.SILENT)
        await self._environment.on_step(Step.ADMIT, entry)
        sink = TokenCollector() if request.stream else None
        run_task = asyncio.ensure_future(running.core.run(request, sink))
        self._environment.actions.tasks[entry].add(run_task)
        if not await self._wait_for_outcome(run_task, disconnect_event):
            run_task.cancel()
            return self._view(request, Ending.SILENT)
        fault = await self._environment.on_step(Step.REPLY, entry)
        if fault in {Fault.RESET, Fault.HALF_OPEN} or self._is_stopped(entry):
            return self._view(request, Ending.SILENT)
        return self._view_outcome(request, run_task.result(), sink)

    async def _wait_for_outcome(
        self,
        run_task: asyncio.Future[Outcome],
        disconnect_event: asyncio.Event | None,
    ) -> bool:
        """Returns whether the outcome came before a disconnect.

        A missing outcome within ``RESPONSE_TIMEOUT_MS`` and a cancelled
        request count as a disconnect.
        """
        waits: set[asyncio.Future[Any]] = {run_task}
        if disconnect_event is not None:
            waits.add(asyncio.ensure_future(disconnect_event.wait()))
        await asyncio.wait(
            waits,
            timeout=RESPONSE_TIMEOUT_MS / MS_PER_S,
            return_when=asyncio.FIRST_COMPLETED,
        )
        for wait in waits - {run_task}:
            wait.cancel()
        return run_task.done() and not run_task.cancelled()

    async def _deliver(self, entry: str) -> bool:
        """Delivers a request to an entry; returns whether it arrived."""
        for step in (Step.ADDRESSES, Step.CONNECT, Step.SEND_BODY):
            fault = await self._environment.on_step(step, entry)
            if fault is Fault.SLOW:
                await asyncio.sleep(RETRY_AFTER_MS / MS_PER_S)
            elif fault in UNDELIVERED_FAULTS:
                return False
            if self._is_stopped(entry):
                return False
        return True

    def _is_stopped(self, entry: str) -> bool:
        return entry not in self._environment.deployment.entries

    def _view(
        self,
        request: PipelineRequest,
        ending: Ending,
        output: Any = None,
    ) -> CallerView:
        return CallerView(
            ending,
            self._environment.deployment.clock.wall_ms(),
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
