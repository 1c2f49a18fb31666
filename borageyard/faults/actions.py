"""Faults of targets, entries, links and platform, started on demand."""

import asyncio
import collections
from typing import Any

from ..clock import MS_PER_S
from ..pipeline_interfaces import Outcome
from ..standins.memory_deployment import MemoryDeployment
from .life import Life
from .table import Fault

FAULT_LASTS_MS = 2000
PAUSE_LASTS_MS = 6000
LOG_DELAY_MS = 1000
DEFAULT_TARGET = 'bokun-0'


class FaultActions:
    """Brings faults about in a deployment in memory."""

    def __init__(self, deployment: MemoryDeployment) -> None:
        """Wraps a deployment.

        Args:
            deployment: What the faults happen to.
        """
        self.lives: dict[str, Life] = {}
        self.tasks: dict[str, set[asyncio.Task[Outcome]]] = (
            collections.defaultdict(set)
        )
        self._deployment = deployment
        self._killing: asyncio.Future[None] | None = None

    def start(self, fault: Fault, entry: str, address: str) -> None:
        """Starts a fault that ends by itself, but for a crash of an entry.

        Args:
            fault: What happens.
            entry: Entry that it happens to.
            address: Target that it happens to, if the step has one.
        """
        match fault:
            case Fault.TARGET_CRASH:
                self._crash_target(address)
            case Fault.ENTRY_CRASH:
                self._kill(entry)
            case Fault.ENTRY_PAUSE:
                self._pause(entry)
            case Fault.LIST_STALE:
                self._deployment.instances.outage = True
            case Fault.LINK_ONE_WAY | Fault.LINK_CUT:
                self._cut_links(fault, entry)
            case _:
                self._disturb_log(fault)

    def _crash_target(self, address: str) -> None:
        targets = self._deployment.targets
        name = address or DEFAULT_TARGET
        targets[name].crash()
        self._later(FAULT_LASTS_MS, targets[name].restart)

    def _kill(self, entry: str) -> None:
        self.lives[entry].kill()
        self._killing = asyncio.ensure_future(
            self._deployment.kill_entry(entry),
        )
        for task in self.tasks[entry]:
            task.cancel()

    def _pause(self, entry: str) -> None:
        life = self.lives[entry]
        life.pause()
        self._later(PAUSE_LASTS_MS, life.resume)

    def _cut_links(self, fault: Fault, entry: str) -> None:
        network = self._deployment.network
        for other in tuple(network.links):
            network.cut(other, entry)
            if fault is Fault.LINK_CUT:
                network.cut(entry, other)
        self._later(FAULT_LASTS_MS, network.heal)

    def _disturb_log(self, fault: Fault) -> None:
        faults = self._deployment.log.faults
        if fault is Fault.LOG_DOWN:
            faults.outage = True
        elif fault is Fault.LOG_SLOW:
            faults.delay_ms = LOG_DELAY_MS
        else:
            faults.lose_next_answers = 1
        self._later(FAULT_LASTS_MS, self._mend_log)

    def _mend_log(self) -> None:
        self._deployment.log.faults.outage = False
        self._deployment.log.faults.delay_ms = 0

    def _later(self, after_ms: float, action: Any) -> None:
        asyncio.get_running_loop().call_later(after_ms / MS_PER_S, action)
