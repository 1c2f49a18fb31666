"""Injects faults into targets, entries, peer links and platform services."""

import asyncio
import collections
from typing import Any

from ..clock import MS_PER_S
from ..pipeline_interfaces import Outcome
from ..standins.memory_deployment import MemoryDeployment
from .entry_lifecycle import EntryLifecycle
from .table import Fault

FAULT_DURATION_MS = 2000
PAUSE_DURATION_MS = 6000
LOG_DELAY_MS = 1000
DEFAULT_TARGET = 'bokun-0'


class FaultActions:
    """Injects faults into an in-memory deployment."""

    def __init__(self, deployment: MemoryDeployment) -> None:
        """Creates the actions of a deployment.

        Args:
            deployment: Deployment into which the faults are injected.
        """
        self.lifecycles: dict[str, EntryLifecycle] = {}
        self.tasks: dict[str, set[asyncio.Task[Outcome]]] = (
            collections.defaultdict(set)
        )
        self._deployment = deployment
        self._kill_task: asyncio.Future[None] | None = None

    def start(self, fault: Fault, entry: str, address: str) -> None:
        """Starts a fault.

        Faults end after a fixed time, except for an entry crash, a stale
        instance list and a lost append answer.

        Args:
            fault: Fault to inject.
            entry: Instance id of the affected entry.
            address: Address of the affected target; empty if the step has
                none, in which case a target crash hits ``DEFAULT_TARGET``.
        """
        match fault:
            case Fault.TARGET_CRASH:
                self._crash_target(address)
            case Fault.ENTRY_CRASH:
                self._kill_entry(entry)
            case Fault.ENTRY_PAUSE:
                self._pause_entry(entry)
            case Fault.LIST_STALE:
                self._deployment.instances.outage = True
            case Fault.LINK_ONE_WAY | Fault.LINK_CUT:
                self._cut_links(fault, entry)
            case _:
                self._start_log_fault(fault)

    def _crash_target(self, address: str) -> None:
        targets = self._deployment.targets
        name = address or DEFAULT_TARGET
        targets[name].crash()
        self._call_later(FAULT_DURATION_MS, targets[name].restart)

    def _kill_entry(self, entry: str) -> None:
        self.lifecycles[entry].kill()
        self._kill_task = asyncio.ensure_future(
            self._deployment.kill_entry(entry),
        )
        for task in self.tasks[entry]:
            task.cancel()

    def _pause_entry(self, entry: str) -> None:
        lifecycle = self.lifecycles[entry]
        lifecycle.pause()
        self._call_later(PAUSE_DURATION_MS, lifecycle.resume)

    def _cut_links(self, fault: Fault, entry: str) -> None:
        network = self._deployment.network
        for other in tuple(network.links):
            network.cut(other, entry)
            if fault is Fault.LINK_CUT:
                network.cut(entry, other)
        self._call_later(FAULT_DURATION_MS, network.heal)

    def _start_log_fault(self, fault: Fault) -> None:
        faults = self._deployment.log.faults
        if fault is Fault.LOG_DOWN:
            faults.outage = True
        elif fault is Fault.LOG_SLOW:
            faults.delay_ms = LOG_DELAY_MS
        else:
            faults.lose_next_answers = 1
        self._call_later(FAULT_DURATION_MS, self._clear_log_faults)

    def _clear_log_faults(self) -> None:
        self._deployment.log.faults.outage = False
        self._deployment.log.faults.delay_ms = 0

    def _call_later(self, after_ms: float, action: Any) -> None:
        asyncio.get_running_loop().call_later(after_ms / MS_PER_S, action)
