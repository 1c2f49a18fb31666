"""Everything of an entry above its I/O shells."""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator, Coroutine
from typing import Any

from .claim_service import ClaimService, ClaimServicePorts
from .clock import MS_PER_S, Clock
from .configuration_log import ConfigurationFold, ConfigurationReader
from .detached import DetachedRuns
from .dispatch import StageDispatcher
from .errors import ErrorKind, Ran, Refusal
from .events import Event, log_event
from .generated.settings import EntrySettings
from .local_gates import (
    NoStageStore,
    OpenAdmission,
    OpenPermission,
)
from .metrics import EntryMetrics
from .peers import PeerLink
from .pipeline import Outcome, PipelineGates, PipelineRunner
from .platform import (
    ROLE_ENTRY,
    InstanceList,
    LogService,
    PlatformError,
)
from .requests import PipelineRequest, TokenSink
from .routing import TwoChoicesRouter
from .target import TargetClient
from .targets import TargetDirectory, TargetWatcher


@dataclasses.dataclass(frozen=True, slots=True)
class EntryPorts:
    """The outside of an entry: HTTP adapters, or twins in memory."""

    log: LogService
    instances: InstanceList
    targets: TargetClient
    peers: PeerLink
    clock: Clock
    seed: int = 0


class EntryCore:
    """Decides and runs requests; knows nothing of sockets."""

    def __init__(self, settings: EntrySettings, ports: EntryPorts) -> None:
        """Composes an entry that does not serve yet.

        Args:
            settings: Checked settings.
            ports: The outside.
        """
        self.settings = settings
        self.ports = ports
        self.metrics = EntryMetrics()
        self.directory = TargetDirectory()
        self.fold = ConfigurationFold()
        self.permission = OpenPermission()
        self.draining = False
        self.watcher = TargetWatcher(
            self.directory,
            ports.instances,
            ports.targets,
            ports.clock,
        )
        self.claims = ClaimService(settings, self._build_claim_ports())
        self._detached = DetachedRuns()
        self._reader = ConfigurationReader(self.fold, ports.log)
        self._runner = PipelineRunner(self._build_gates(), ports.clock)
        self.running = 0
        self._idle = asyncio.Event()
        self._idle.set()

    async def start(self, stack: contextlib.AsyncExitStack) -> None:
        """Reads what it needs and starts what runs in the background.

        Args:
            stack: Owns the background work.
        """
        await self.watcher.poll_instances()
        with contextlib.suppress(PlatformError):
            await self._reader.catch_up()
        await self.claims.open()
        stack.push_async_callback(self._detached.close)
        platform = self.settings.platform
        await stack.enter_async_context(
            running_tasks(
                self._reader.follow(),
                *self.claims.background(),
                self.watcher.watch_instances(platform.instances_poll_ms),
                self.watcher.watch_loads(platform.load_poll_ms),
            ),
        )

    async def run(
        self,
        request: PipelineRequest,
        sink: TokenSink | None = None,
    ) -> Outcome:
        """Runs a request to its outcome, whatever happens.

        A caller that goes away ends its request, but for one that holds a
        claim: that one runs on, so that its outcome gets recorded.

        Args:
            request: What the caller asked for.
            sink: Where tokens go, if streamed.
        """
        return await self._detached.run(
            self._run_counted(request, sink),
            lambda: self.claims.gate.is_granted(request.request_id),
        )

    async def drain(self) -> None:
        """Serves on until callers have other addresses, then ends work."""
        self.draining = True
        log_event(
            Event.ENTRY_DRAINING,
            instance_id=self.settings.instance_id,
        )
        await asyncio.sleep(self.settings.drain_ms / MS_PER_S)
        self.permission.closed = True
        await self._idle.wait()

    async def _run_counted(
        self,
        request: PipelineRequest,
        sink: TokenSink | None,
    ) -> Outcome:
        with self._counted():
            try:
                outcome = await self._runner.run(request, sink)
            except Exception as error:
                outcome = Refusal(ErrorKind.INTERNAL, ran=Ran.UNKNOWN)
                log_event(
                    Event.REQUEST_FAILED,
                    request_id=request.request_id,
                    reason=repr(error),
                )
        self.metrics.note_outcome(request, outcome)
        return outcome

    def _build_claim_ports(self) -> ClaimServicePorts:
        return ClaimServicePorts(
            log=self.ports.log,
            peers=self.ports.peers,
            clock=self.ports.clock,
            configurations=self.fold,
            domains=self._entry_domains,
        )

    def _entry_domains(self) -> dict[str, str]:
        return {
            row.instance_id: row.failure_domain
            for row in self.watcher.listed
            if row.role == ROLE_ENTRY
        }

    def _build_gates(self) -> PipelineGates:
        return PipelineGates(
            configurations=self.fold,
            permission=self.permission,
            admission=OpenAdmission(),
            claims=self.claims.gate,
            store=NoStageStore(),
            dispatcher=StageDispatcher(
                self.directory,
                TwoChoicesRouter(self.ports.seed),
                self.ports.targets,
                self.ports.clock,
            ),
        )

    @contextlib.contextmanager
    def _counted(self) -> Any:
        self.running += 1
        self._idle.clear()
        try:
            yield
        finally:
            self.running -= 1
            if not self.running:
                self._idle.set()


@contextlib.asynccontextmanager
async def running_tasks(
    *work: Coroutine[Any, Any, None],
) -> AsyncIterator[None]:
    """Runs coroutines in the background of a scope.

    Args:
        *work: Coroutines that are cancelled at the end of the scope.
    """
    tasks = [asyncio.ensure_future(coroutine) for coroutine in work]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
