"""Serves with a gateway on the users' platform until SIGTERM."""

import asyncio
import contextlib
import os
import signal
import sys

from ..document_validation import DocumentError
from ..events import Event, log_event
from ..gateway import Gateway
from ..http_client import HttpClient
from ..http_messages import HttpLimits
from ..log_queue import LogQueue
from .dependencies import build_dependencies
from .settings import SETTINGS_VARIABLE, load_settings

EXIT_GOOD = 0
EXIT_USAGE = 2
# Connections within a deployment open within milliseconds.
CONNECT_TIMEOUT_MS = 300
CLIENT_LIMITS = HttpLimits(connect_timeout_ms=CONNECT_TIMEOUT_MS)


async def serve(path: str) -> None:
    """Serves until SIGTERM.

    Args:
        path: Path of the settings file.

    Raises:
        DocumentError: If the settings are invalid.
    """
    settings = load_settings(path)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGHUP, _validate_settings, path)
    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(LogQueue().running())
        client = await stack.enter_async_context(HttpClient(CLIENT_LIMITS))
        dependencies = build_dependencies(settings, client)
        await Gateway(settings, dependencies).serve(stop)


def _validate_settings(path: str) -> None:
    """Logs whether the settings file is valid; a restart applies it."""
    try:
        load_settings(path)
    except DocumentError as error:
        log_event(Event.SETTINGS_WRONG, path=path, reason=str(error))
        return
    log_event(Event.SETTINGS_RELOADED, path=path)


def run() -> int:
    """Runs the gateway and returns the exit code."""
    try:
        asyncio.run(serve(os.environ.get(SETTINGS_VARIABLE, '')))
    except DocumentError as error:
        sys.stderr.write(f'{error}\n')
        return EXIT_USAGE
    return EXIT_GOOD
