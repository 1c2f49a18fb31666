"""Deployment in which one cell of the fault matrix is run."""

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
from .entry_lifecycle import EntryLifecycle, PausableInstances, PausablePeers
from .fault_injection import FaultyLog, FaultyTargets
from .table import ANSWER_FAULTS, GENERATE_STEPS, Cell, Fault, Step

# Wall time at which every environment starts.
EPOCH_MS = 1_790_000_000_000
DEADLINE_MS = 4000
KEY_RANDOM_BITS = 74
EXCHANGE_FAULTS = ANSWER_FAULTS | {
    Fault.REFUSED,
    Fault.SLOW,
    Fault.RESET,
    Fault.HALF_OPEN,
}
BOOKING_PIPELINE = 'booking'
ASSISTANT_PIPELINE = 'owner-assistant'
ORGANISATION = 'dispatch'
BOOK_STAGE = 'book'


class FaultEnvironment:
    """Deployment with fault injection and access to its targets' records."""

    def __init__(self, cell: Cell, plan: DeploymentPlan, seed: int) -> None:
        """Creates an environment whose deployment is not started yet.

        Args:
            cell: The fault and the step at which it is injected.
            plan: Plan of the deployment.
            seed: Seed of all random sources.
        """
        self.cell = cell
        self.fired = False
        self.booking_started = asyncio.Event()
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
        """Returns the name of the pipeline that passes the step."""
        streamed = self.cell.step in GENERATE_STEPS
        return ASSISTANT_PIPELINE if streamed else BOOKING_PIPELINE

    def wrap_ports(
        self, name: str, ports: EntryDependencies
    ) -> EntryDependencies:
        """Wraps the dependencies of an entry with fault injection.

        Args:
            name: Instance id of the entry.
            ports: Dependencies of the entry.
        """
        lifecycle = EntryLifecycle()
        self.actions.lifecycles[name] = lifecycle
        return dataclasses.replace(
            ports,
            log=FaultyLog(ports.log, self, lifecycle, name),
            instances=PausableInstances(ports.instances, lifecycle),
            targets=FaultyTargets(ports.targets, self, lifecycle, name),
            peers=PausablePeers(ports.peers, lifecycle),
        )

    async def on_step(
        self,
        step: Step | None,
        entry: str,
        address: str = '',
    ) -> Fault | None:
        """Injects the cell's fault when its step is first reached.

        Only the first entry is affected. The second fault of a pair starts
        just before the first one.
        """
        if step is Step.BOOK_WAIT and entry == self.first_entry:
            self.booking_started.set()
        if self.fired or step is not self.cell.step:
            return None
        if entry != self.first_entry:
            return None
        self.fired = True
        if self.cell.second_fault is not None:
            self.actions.start(self.cell.second_fault, entry, '')
        if self.cell.fault in EXCHANGE_FAULTS:
            return self.cell.fault
        self.actions.start(self.cell.fault, entry, address)
        return self.cell.fault

    @property
    def first_entry(self) -> str:
        """Returns the instance id of the entry that is called first."""
        return 'entry-0'

    def new_request(self, body: Any) -> PipelineRequest:
        """Returns a request that expires ``DEADLINE_MS`` from now."""
        wall_ms = int(self.deployment.clock.wall_ms())
        key = identifier_at(wall_ms, self._random.getrandbits(KEY_RANDOM_BITS))
        return PipelineRequest(
            request_id=key,
            pipeline=self.pipeline,
            organisation=ORGANISATION,
            body=body,
            expires_at_ms=self.deployment.clock.steady_ms() + DEADLINE_MS,
            idempotency_key=key,
            stream=self.pipeline == ASSISTANT_PIPELINE,
        )

    def booking_start_times_ms(self, key: str) -> list[float]:
        """Returns the start times of the booking stage under a key."""
        return [
            run.started_at_ms
            for target in self.deployment.targets.values()
            for run in target.executions
            if run.stage == BOOK_STAGE and run.idempotency_key == key
        ]
