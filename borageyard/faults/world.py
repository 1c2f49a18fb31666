"""A small deployment in which one cell of the fault matrix happens."""

import asyncio
import dataclasses
import random
from typing import Any

from ..clock import LoopClock
from ..core import EntryDependencies
from ..identifiers import identifier_at
from ..requests import PipelineRequest
from ..standins.deployment import DeploymentPlan
from ..standins.memory_deployment import MemoryDeployment
from .actions import FaultActions
from .life import Life, LivingInstances, LivingPeers
from .ports import FaultyLog, FaultyTargets
from .table import ANSWER_FAULTS, GENERATE_STEPS, Cell, Fault, Step

# Wall time at which every world starts.
EPOCH_MS = 1_790_000_000_000
DEADLINE_MS = 4000
KEY_RANDOM_BITS = 74
EXCHANGE_FAULTS = ANSWER_FAULTS | {
    Fault.REFUSED,
    Fault.SLOW,
    Fault.RESET,
    Fault.HALF_OPEN,
}
BOOKING = 'booking'
ASSISTANT = 'owner-assistant'
ORGANISATION = 'dispatch'
BOOK_STAGE = 'book'


class FaultWorld:
    """Entries with faulty ports, a caller and the targets' own records."""

    def __init__(self, cell: Cell, plan: DeploymentPlan, seed: int) -> None:
        """Composes a world that does not run yet.

        Args:
            cell: The fault and its step.
            plan: Deployment that it happens to.
            seed: Seed of all random sources.
        """
        self.cell = cell
        self.fired = False
        self.book_begun = asyncio.Event()
        self.deployment = MemoryDeployment(
            plan,
            clock=LoopClock(EPOCH_MS),
            seed=seed,
            wrap_dependencies=self.wrap_ports,
        )
        self._random = random.Random(seed)
        self.actions = FaultActions(self.deployment)

    @property
    def pipeline(self) -> str:
        """Returns the pipeline in which the step occurs."""
        streamed = self.cell.step in GENERATE_STEPS
        return ASSISTANT if streamed else BOOKING

    def wrap_ports(
        self, name: str, ports: EntryDependencies
    ) -> EntryDependencies:
        """Puts faulty ports between an entry and its outside.

        Args:
            name: Instance id of the entry.
            ports: Its real ports.
        """
        life = Life()
        self.actions.lives[name] = life
        return dataclasses.replace(
            ports,
            log=FaultyLog(ports.log, self, life, name),
            instances=LivingInstances(ports.instances, life),
            targets=FaultyTargets(ports.targets, self, life, name),
            peers=LivingPeers(ports.peers, life),
        )

    async def reach(
        self,
        step: Step | None,
        entry: str,
        address: str = '',
    ) -> Fault | None:
        """Brings the cell's fault about at the first arrival at its step."""
        if step is Step.BOOK_WAIT and entry == self.first_entry:
            self.book_begun.set()
        if self.fired or step is not self.cell.step:
            return None
        if entry != self.first_entry:
            return None
        self.fired = True
        if self.cell.also is not None:
            self.actions.start(self.cell.also, entry, '')
        if self.cell.fault in EXCHANGE_FAULTS:
            return self.cell.fault
        self.actions.start(self.cell.fault, entry, address)
        return self.cell.fault

    @property
    def first_entry(self) -> str:
        """Returns the entry that the caller tries first."""
        return 'entry-0'

    def new_request(self, body: Any) -> PipelineRequest:
        """Returns a request that starts now."""
        wall_ms = int(self.deployment.clock.wall_ms())
        key = identifier_at(wall_ms, self._random.getrandbits(KEY_RANDOM_BITS))
        return PipelineRequest(
            request_id=key,
            pipeline=self.pipeline,
            organisation=ORGANISATION,
            body=body,
            expires_at_ms=self.deployment.clock.steady_ms() + DEADLINE_MS,
            idempotency_key=key,
            stream=self.pipeline == ASSISTANT,
        )

    def runs_of(self, key: str) -> list[float]:
        """Returns when the booking of a key was run."""
        return [
            run.started_at_ms
            for target in self.deployment.targets.values()
            for run in target.executions
            if run.stage == BOOK_STAGE and run.idempotency_key == key
        ]
