"""A deployment in memory on which a trace is replayed."""

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
from .life import Life, LivingLog, LivingPeers
from .ports import FaultyTargets
from .table import Ending, Fault, Step
from .world import EPOCH_MS, KEY_RANDOM_BITS

WARM_UP_MS = 2000


class ReplayWorld:
    """Does what the events of a trace say and keeps what came of it."""

    def __init__(
        self,
        header: TraceHeaderRecord,
        plan: DeploymentPlan,
    ) -> None:
        """Composes a world that does not run yet.

        Args:
            header: First line of the trace.
            plan: Deployment of its example.
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

    async def reach(
        self,
        step: Step | None,
        entry: str,
        address: str = '',
    ) -> Fault | None:
        """Brings no fault about: those of a trace come by their time."""

    def wrap_ports(
        self, name: str, ports: EntryDependencies
    ) -> EntryDependencies:
        """Puts ports that die with their entry between it and the outside.

        Args:
            name: Instance id of the entry.
            ports: Its real ports.
        """
        life = Life()
        self.actions.lives[name] = life
        return dataclasses.replace(
            ports,
            log=LivingLog(ports.log, life),
            targets=FaultyTargets(ports.targets, self, life, name),
            peers=LivingPeers(ports.peers, life),
        )

    async def request(self, record: TraceRequestRecord) -> None:
        """Sends a request and keeps what its caller saw."""
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
        """Applies a change as an operator and keeps its outcome."""
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
        """Starts a fault and ends it after its time."""
        if record.fault.startswith('entry_'):
            await self._change_entry(record)
            return
        if record.fault in {'log_outage', 'append_lost'}:
            self._disturb_log(record, begin=True)
        for target in self._targets_of(record.subject):
            self._disturb_target(target, record)
        if not record.lasts_ms:
            return
        await asyncio.sleep(record.lasts_ms / MS_PER_S)
        self._disturb_log(record, begin=False)
        for target in self._targets_of(record.subject):
            _mend_target(target)

    def key(self, label: str) -> str:
        """Returns the idempotency key of a label, made at its first use."""
        if label not in self._keys:
            self._keys[label] = self._new_key()
        return self._keys[label]

    def count_runs(self, label: str, stage: str) -> int:
        """Returns how often a stage was run under the key of a label."""
        key = self._keys.get(label, '')
        return sum(
            run.stage == stage and run.idempotency_key == key
            for target in self.deployment.targets.values()
            for run in target.executions
        )

    def endings(self, prefix: str) -> list[Ending]:
        """Returns the endings of all requests whose label begins so."""
        return [
            view.ending
            for label, view in self.views.items()
            if label.startswith(prefix)
        ]

    def _new_key(self) -> str:
        now_ms = int(self.deployment.clock.wall_ms())
        return identifier_at(now_ms, self._random.getrandbits(KEY_RANDOM_BITS))

    async def _change_entry(self, record: TraceFaultRecord) -> None:
        name = f'entry-{record.subject}'
        if record.fault == 'entry_kill':
            self.actions.start(Fault.ENTRY_CRASH, name, '')
        elif record.fault == 'entry_start':
            await self.deployment.start_entry(int(record.subject))
        else:
            await self.deployment.entries[name].core.drain()
            await self.deployment.kill_entry(name)

    def _targets_of(self, subject: str) -> list[StandinTarget]:
        """Returns the targets that a name, service or domain stands for."""
        domains = {
            row.instance_id: row.failure_domain
            for row in self.deployment.instances.rows
        }
        return [
            target
            for name, target in self.deployment.targets.items()
            if subject in {name, target.profile.service, domains.get(name)}
        ]

    def _disturb_log(self, record: TraceFaultRecord, *, begin: bool) -> None:
        faults = self.deployment.log.faults
        if record.fault == 'log_outage':
            faults.outage = begin
        elif record.fault == 'append_lost' and begin:
            faults.lose_next_answers = int(record.amount)

    def _disturb_target(
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


def _mend_target(target: StandinTarget) -> None:
    target.faults.slow_factor = 1
    if not target.alive:
        target.restart()
