"""Everything of an entry above its I/O shells."""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator, Coroutine
from typing import Any

from opentelemetry import trace

from .clock import MS_PER_S, Clock
from .configuration_log import ConfigurationFold, ConfigurationReader
from .dispatch import StageDispatcher
from .errors import ErrorKind, Ran, Refusal
from .events import Event, log_event
from .generated.settings import EntrySettings
from .local_gates import (
    LocalClaims,
    NoStageStore,
    OpenAdmission,
    OpenPermission,
)
from .metrics import EntryMetrics
from .peers import PeerLink
from .pipeline import Outcome, PipelineGates, PipelineRunner
from .platform import InstanceList, LogService, PlatformError
from .requests import PipelineRequest, TokenSink
from .routing import TwoChoicesRouter
from .target import TargetClient
from .targets import TargetDirectory, TargetWatcher
from .tracing import RequestRunner, TracedRunner, traced_gates


@dataclasses.dataclass(frozen=True, slots=True)
class EntryPorts:
    """The outside of an entry: HTTP adapters, or twins in memory."""

    log: LogService
    instances: InstanceList
    targets: TargetClient
    peers: PeerLink
    clock: Clock
    seed: int = 0
    tracer: trace.Tracer | None = None


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
        self._reader = ConfigurationReader(self.fold, ports.log)
        self._runner = self._build_runner()
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
        platform = self.settings.platform
        await stack.enter_async_context(
            running_tasks(
                self._reader.follow(),
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

        Args:
            request: What the caller asked for.
            sink: Where tokens go, if streamed.
        """
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

    def _build_runner(self) -> RequestRunner:
        gates = self._build_gates()
        tracer = self.ports.tracer
        if tracer is None:
            return PipelineRunner(gates, self.ports.clock)
        traced = PipelineRunner(traced_gates(gates, tracer), self.ports.clock)
        return TracedRunner(traced, tracer)

    def _build_gates(self) -> PipelineGates:
        return PipelineGates(
            configurations=self.fold,
            permission=self.permission,
            admission=OpenAdmission(),
            claims=LocalClaims(),
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
