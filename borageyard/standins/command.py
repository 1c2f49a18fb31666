"""Runs a stand-in as a separate process."""

import asyncio
import contextlib
import signal

from ..backing_services import Instance, MemoryInstances, MemoryLog
from ..clock import SystemClock
from ..generated.settings import StandinSettings
from ..http_connection import Handler
from ..http_server import HttpServer
from .platform_http import InstancesHandler, LogHandler, WeightsHandler
from .target import StandinTarget, TargetProfile
from .target_http import TargetServer

KIND_TARGET = 'target'
KIND_LOG = 'log'
KIND_INSTANCES = 'instances'
KIND_WEIGHTS = 'weights'
STANDIN_KINDS = (KIND_TARGET, KIND_LOG, KIND_INSTANCES, KIND_WEIGHTS)
WEIGHT_RATE_BYTES_PER_S = 1e9


async def serve_standin(kind: str, settings: StandinSettings) -> None:
    """Serves a stand-in until SIGTERM.

    Args:
        kind: Kind of stand-in, one of ``STANDIN_KINDS``.
        settings: Validated settings.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    async with contextlib.AsyncExitStack() as stack:
        server = _build(kind, settings)
        await stack.enter_async_context(server)
        await server.start(settings.listen_address)
        await stop.wait()


def _build(kind: str, settings: StandinSettings) -> HttpServer | TargetServer:
    if kind == KIND_TARGET:
        profile = TargetProfile(
            target_id=settings.instance_id,
            service=settings.service,
            kind=settings.kind,
        )
        return TargetServer(StandinTarget(profile, SystemClock()))
    rows = [Instance(**row) for row in settings.instances]
    handlers: dict[str, Handler] = {
        KIND_LOG: LogHandler(MemoryLog(SystemClock())).handle,
        KIND_INSTANCES: InstancesHandler(MemoryInstances(rows)).handle,
        KIND_WEIGHTS: WeightsHandler(WEIGHT_RATE_BYTES_PER_S).handle,
    }
    return HttpServer(handlers[kind])
