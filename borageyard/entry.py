"""The entry daemon: network I/O around an ``EntryCore``."""

import asyncio
import contextlib
import functools
import signal
from types import TracebackType
from typing import Self

from opentelemetry import trace

from .clock import Clock, SystemClock
from .core import EntryCore, EntryDependencies
from .entry_handler import EntryHandler
from .events import Event, log_event
from .generated.settings import EntrySettings, PeerSettings
from .http_client import HttpClient
from .http_orders import HttpOrderClient, HttpWeightStore
from .http_platform import HttpInstanceList, HttpLogService
from .http_server import HttpServer
from .http_target import HttpTargetClient
from .loop_lag import LoopLagMonitor
from .peer_link import TcpPeerLink
from .peer_stream import PeerContext, PeerCounters, PeerIdentity
from .settings import client_tls, http_limits, server_tls
from .tasks import running_tasks
from .tracing import AttemptTracer, entry_tracer


class Entry:
    """Entry daemon; on exit it closes everything that it has opened."""

    def __init__(
        self,
        settings: EntrySettings,
        clock: Clock | None = None,
    ) -> None:
        """Composes an entry that is not yet serving.

        Args:
            settings: Validated settings.
            clock: Time source; the system clock by default.
        """
        tracer = entry_tracer(settings)
        self.settings = settings
        self._stack = contextlib.AsyncExitStack()
        limits = http_limits(settings)
        self._client = HttpClient(limits, client_tls(settings.tls))
        clock = clock or SystemClock()
        self._clock = clock
        incarnation = int(clock.wall_ms())
        self.link = TcpPeerLink(self._peer_context(incarnation, tracer), clock)
        platform = settings.platform
        dependencies = EntryDependencies(
            log=HttpLogService(self._client, platform.log_address),
            instances=HttpInstanceList(
                self._client,
                platform.instances_address,
            ),
            targets=HttpTargetClient(self._client, AttemptTracer(tracer)),
            peers=self.link,
            clock=clock,
            incarnation=incarnation,
            peer_counters=self.link.context.counters,
            tracer=tracer,
            orders=HttpOrderClient(self._client),
            weights=HttpWeightStore(
                self._client,
                platform.weights_address,
            ),
        )
        self.core = EntryCore(settings, dependencies)
        self._server = HttpServer(
            EntryHandler(self.core).handle,
            limits,
            server_tls(settings.tls),
        )

    @property
    def address(self) -> str:
        """Host and port for callers, or empty before the server listens."""
        return self._server.address

    @property
    def peer_address(self) -> str:
        """Host and port for peer entries, or empty before it listens."""
        return self.link.server.address

    async def __aenter__(self) -> Self:
        """Starts serving callers and peers."""
        async with contextlib.AsyncExitStack() as stack:
            await stack.enter_async_context(self._client)
            await self.link.start(self.settings.peer_address, stack)
            await self.core.start(stack)
            await stack.enter_async_context(self._server)
            await self._server.start(self.settings.listen_address)
            self.core.local_state.address = self.address
            lag = functools.partial(
                LoopLagMonitor().run_probes,
                on_probe=self.core.metrics.update_loop_lag,
            )
            await stack.enter_async_context(running_tasks(lag))
            self._stack = stack.pop_all()
        log_event(
            Event.ENTRY_STARTED,
            instance_id=self.settings.instance_id,
            address=self.address,
        )
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Closes all connections without draining."""
        await self._stack.aclose()
        log_event(
            Event.ENTRY_STOPPED,
            instance_id=self.settings.instance_id,
        )

    async def drain(self) -> None:
        """Stops without cutting off requests or answering them incorrectly.

        Returns after callers have had time to switch to other entries and
        all responses have been sent.
        """
        await self.core.drain()
        await self._server.finish()

    def _peer_context(
        self,
        incarnation: int,
        tracer: trace.Tracer | None,
    ) -> PeerContext:
        settings = self.settings
        return PeerContext(
            identity=PeerIdentity(
                settings.instance_id,
                incarnation,
                settings.operator_token,
            ),
            settings=settings.peers or PeerSettings(),
            counters=PeerCounters(),
            on_contact=self._on_contact,
            on_replaced=self._on_replaced,
            client_tls=client_tls(settings.tls),
            server_tls=server_tls(settings.tls),
            tracer=tracer,
        )

    def _on_contact(self, peer_id: str, incarnation: int) -> None:
        now_ms = self._clock.steady_ms()
        self.core.membership.note_contact(peer_id, incarnation, now_ms)

    def _on_replaced(self, peer_id: str) -> None:
        self.core.membership.note_replaced(peer_id)


async def serve_entry(settings: EntrySettings) -> None:
    """Serves until SIGTERM, then drains.

    Args:
        settings: Validated settings.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    async with Entry(settings) as entry:
        await stop.wait()
        await entry.drain()
