"""In-memory deployment on which a trace is replayed."""

import asyncio
import copy
import dataclasses
import random
from typing import Any

from ..clock import MS_PER_S, LoopClock
from ..configuration_changes import ChangeOutcome
from ..core import EntryDependencies
from ..generated.http_configuration import ProposalBody
from ..generated.trace import (
    TraceApplyRecord,
    TraceFaultRecord,
    TraceHeaderRecord,
    TraceRequestRecord,
)
from ..identifiers import identifier_at
from ..requests import PipelineRequest
from ..standins.deployment import DeploymentPlan
from ..standins.memory_deployment import MemoryDeployment
from ..standins.target import StandinTarget
from .actions import FaultActions
from .caller import CallerView, FaultCaller
from .entry_lifecycle import EntryLifecycle, PausableLog, PausablePeers
from .environment import EPOCH_MS, KEY_RANDOM_BITS
from .fault_injection import FaultyTargets
from .table import Ending, Fault, Step

WARM_UP_MS = 2000


class ReplayEnvironment:
    """Executes the events of a trace and records their results."""

    def __init__(
        self,
        header: TraceHeaderRecord,
        plan: DeploymentPlan,
    ) -> None:
        """Creates an environment whose deployment is not started yet.

        Args:
            header: Header, the first line of the trace.
            plan: Deployment plan of the example that the header names.
        """
        self.deployment = MemoryDeployment(
            dataclasses.replace(plan, entries=header.entries),
            clock=LoopClock(EPOCH_MS),
            seed=header.seed,
            wrap_dependencies=self.wrap_ports,
        )
        self.actions = FaultActions(self.deployment)
        self.views: dict[str, CallerView] = {}
        self.changes: dict[str, ChangeOutcome] = {}
        self.crashes = 0
        self._caller = FaultCaller(self)
        self._random = random.Random(header.seed)
        self._keys: dict[str, str] = {}
        self._document = copy.deepcopy(dict(plan.document))

    async def on_step(
        self,
        step: Step | None,
        entry: str,
        address: str = '',
    ) -> Fault | None:
        """Returns None: faults of a trace start by time, not at a step."""

    def wrap_ports(
        self, name: str, ports: EntryDependencies
    ) -> EntryDependencies:
        """Wraps the dependencies of an entry so that they stop with it.

        Args:
            name: Instance id of the entry.
            ports: Dependencies of the entry.
        """
        lifecycle = EntryLifecycle()
        self.actions.lifecycles[name] = lifecycle
        return dataclasses.replace(
            ports,
            log=PausableLog(ports.log, lifecycle),
            targets=FaultyTargets(ports.targets, self, lifecycle, name),
            peers=PausablePeers(ports.peers, lifecycle),
        )

    async def request(self, record: TraceRequestRecord) -> None:
        """Sends a request and records the outcome that its caller saw."""
        clock = self.deployment.clock
        request = PipelineRequest(
            request_id=self._new_key(),
            pipeline=record.pipeline,
            organisation=record.organisation,
            body={'text': record.body or record.request},
            expires_at_ms=clock.steady_ms() + record.deadline_ms,
            idempotency_key=self.key(record.key or record.request),
        )
        entry = f'entry-{record.entry}'
        view = await self._caller.call(entry, request)
        self.views[record.request] = view

    async def apply(self, record: TraceApplyRecord) -> None:
        """Applies a configuration change as its author; records the outcome."""
        document = copy.deepcopy(self._document)
        organisation = document['organisations'][record.organisation]
        organisation['weight'] = record.weight
        proposal = ProposalBody(
            change_id=record.change,
            base_version=record.base_version,
            author=record.author,
            document=document,
        )
        entry = self.deployment.entries[f'entry-{record.entry}']
        report = await entry.core.configuration.changes.apply(proposal)
        self.changes[record.change] = report.outcome

    async def start_fault(self, record: TraceFaultRecord) -> None:
        """Starts a fault and ends it after its duration.

        A fault of an entry and one without a duration is not ended.
        """
        if record.fault.startswith('entry_'):
            await self._run_entry_fault(record)
            return
        if record.fault in {'log_outage', 'append_lost'}:
            self._set_log_fault(record, active=True)
        for target in self._targets_of(record.subject):
            self._start_target_fault(target, record)
        if not record.lasts_ms:
            return
        await asyncio.sleep(record.lasts_ms / MS_PER_S)
        self._set_log_fault(record, active=False)
        for target in self._targets_of(record.subject):
            _restore_target(target)

    def key(self, label: str) -> str:
        """Returns the idempotency key of a label, creating it on first use."""
        if label not in self._keys:
            self._keys[label] = self._new_key()
        return self._keys[label]

    def count_runs(self, label: str, stage: str) -> int:
        """Returns how often a stage ran under the key of a label."""
        key = self._keys.get(label, '')
        return sum(
            run.stage == stage and run.idempotency_key == key
            for target in self.deployment.targets.values()
            for run in target.executions
        )

    def endings(self, prefix: str) -> list[Ending]:
        """Returns the endings of all requests whose label has the prefix."""
        return [
            view.ending
            for label, view in self.views.items()
            if label.startswith(prefix)
        ]

    def _new_key(self) -> str:
        now_ms = int(self.deployment.clock.wall_ms())
        return identifier_at(now_ms, self._random.getrandbits(KEY_RANDOM_BITS))

    async def _run_entry_fault(self, record: TraceFaultRecord) -> None:
        name = f'entry-{record.subject}'
        if record.fault == 'entry_kill':
            self.actions.start(Fault.ENTRY_CRASH, name, '')
        elif record.fault == 'entry_start':
            await self.deployment.start_entry(int(record.subject))
        else:
            await self.deployment.entries[name].core.drain()
            await self.deployment.kill_entry(name)

    def _targets_of(self, subject: str) -> list[StandinTarget]:
        """Returns the targets matching a name, service or failure domain."""
        domains = {
            row.instance_id: row.failure_domain
            for row in self.deployment.instances.rows
        }
        return [
            target
            for name, target in self.deployment.targets.items()
            if subject in {name, target.profile.service, domains.get(name)}
        ]

    def _set_log_fault(self, record: TraceFaultRecord, *, active: bool) -> None:
        faults = self.deployment.log.faults
        if record.fault == 'log_outage':
            faults.outage = active
        elif record.fault == 'append_lost' and active:
            faults.lose_next_answers = int(record.amount)

    def _start_target_fault(
        self,
        target: StandinTarget,
        record: TraceFaultRecord,
    ) -> None:
        if record.fault in {'target_crash', 'domain_loss'}:
            target.crash()
        elif record.fault == 'crash_on_text':
            target.faults.crash_on_text = record.text
        else:
            setattr(target.faults, *_fault_field(record))


def _fault_field(record: TraceFaultRecord) -> tuple[str, Any]:
    fields: dict[str, tuple[str, Any]] = {
        'slow': ('slow_factor', record.amount),
        'crossed': ('cross_next', int(record.amount)),
        'lost_answer': ('lose_answer_next', int(record.amount)),
        'leaving': ('leaving', True),
    }
    return fields[record.fault]


def _restore_target(target: StandinTarget) -> None:
    target.faults.slow_factor = 1
    if not target.alive:
        target.restart()
