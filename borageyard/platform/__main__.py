"""Runs a gateway on the users' platform: ``python -m borageyard.platform``."""

import asyncio
import contextlib
import os
import signal
import sys

from ..clock import SystemClock
from ..document_validation import DocumentError
from ..events import Event, log_event
from ..gateway import Gateway, GatewayPorts
from ..http_client import HttpClient
from ..http_messages import HttpLimits
from ..log_queue import LogQueue
from . import ingress
from .documents import DocumentDecoder
from .settings import SETTINGS_VARIABLE, load_settings
from .store import StoreTables
from .targets import HttpPieceRunner, HttpTargetSender

EXIT_GOOD = 0
EXIT_USAGE = 2
# A connection within a deployment opens within milliseconds.
CONNECT_TIMEOUT_MS = 300
CLIENT_LIMITS = HttpLimits(connect_timeout_ms=CONNECT_TIMEOUT_MS)


async def serve(path: str) -> None:
    """Serves until SIGTERM.

    Args:
        path: Path of the settings file.

    Raises:
        DocumentError: If the settings are wrong.
    """
    settings = load_settings(path)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGHUP, check_again, path)
    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(LogQueue().running())
        client = await stack.enter_async_context(HttpClient(CLIENT_LIMITS))
        ports = GatewayPorts(
            tables=StoreTables(client, settings.store_address),
            decoder=DocumentDecoder(),
            sender=HttpTargetSender(client),
            runner=HttpPieceRunner(client),
            border=ingress,
            clock=SystemClock(),
        )
        await Gateway(settings, ports).serve(stop)


def check_again(path: str) -> None:
    """Checks the settings file on SIGHUP; addresses need a restart.

    Args:
        path: Path of the settings file.
    """
    try:
        load_settings(path)
    except DocumentError as error:
        log_event(Event.SETTINGS_WRONG, path=path, reason=str(error))
        return
    log_event(Event.SETTINGS_RELOADED, path=path)


def main() -> int:
    """Runs the gateway; returns the exit code."""
    path = os.environ.get(SETTINGS_VARIABLE, '')
    try:
        asyncio.run(serve(path))
    except DocumentError as error:
        sys.stderr.write(f'{error}\n')
        return EXIT_USAGE
    return EXIT_GOOD


if __name__ == '__main__':
    sys.exit(main())
