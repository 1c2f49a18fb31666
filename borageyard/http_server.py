"""HTTP/1.1 server on h11: size limits, timeouts and cancellation."""

import asyncio
import contextlib
import ssl
from types import TracebackType
from typing import Self

import h11

from .activity import Activity
from .client_limits.client_guard import ClientGuard
from .client_limits.limit_reports import LimitReason
from .client_limits.request_pacing import LIMIT_RETRY_AFTER_MS
from .clock import MS_PER_S
from .errors import ErrorKind, Refusal
from .events import Event, log_event
from .http_connection import (
    ConnectionAbortError,
    Handler,
    IdReader,
    ServerConnection,
)
from .http_messages import HttpLimits, split_address
from .http_streams import DisconnectReader
from .wire import request_id_of

# Connections above the limit that get a refusal; more are aborted.
MAX_REFUSED_CONNECTIONS = 64


# Errors that end a connection without a fault of this process. A request that
# they cut has its own event.
UNLOGGED_ERRORS = (
    OSError,
    h11.ProtocolError,
    asyncio.CancelledError,
    ConnectionAbortError,
)


class HttpServer:
    """Serves requests on one address."""

    def __init__(
        self,
        handler: Handler,
        limits: HttpLimits | None = None,
        tls: ssl.SSLContext | None = None,
        id_reader: IdReader = request_id_of,
        guard: ClientGuard | None = None,
    ) -> None:
        """Creates a server that is not yet listening.

        Args:
            handler: Coroutine function that responds to each request.
            limits: Limits on body size, connections and time.
            tls: TLS context, or None for plain TCP.
            id_reader: Returns the request id for the log.
            guard: Shared by the listeners of a process; by default the server
                has its own.
        """
        self._guard = guard or ClientGuard()
        self._handler = handler
        self._id_reader = id_reader
        self._limits = limits or HttpLimits()
        self._tls = tls
        self._server: asyncio.Server | None = None
        self._activity = Activity()
        self._connections: set[asyncio.Task[None]] = set()
        self.address = ''

    async def __aenter__(self) -> Self:
        """Returns the server, which listens after ``start``."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Closes the server."""
        await self.close()

    async def start(self, address: str) -> None:
        """Starts listening.

        Args:
            address: IP address and port; port 0 selects a free port.
        """
        host, port = split_address(address)
        self._server = await asyncio.get_running_loop().create_server(
            self._build_protocol,
            host,
            port,
            ssl=self._tls,
            backlog=self._limits.max_connections,
        )
        bound = self._server.sockets[0].getsockname()
        shown_host, _ = address.rsplit(':', 1)
        self.address = f'{shown_host}:{bound[1]}'

    @property
    def active(self) -> int:
        """Number of requests in progress."""
        return self._activity.count

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    def update_limits(self, limits: HttpLimits) -> None:
        """Changes the limits for connections accepted from now on."""
        self._limits = limits

    def begin_closing(self) -> None:
        """Closes each connection after its next response."""
        self._activity.closing = True

    async def finish(self) -> None:
        """Stops listening and waits until all responses are sent."""
        self._activity.closing = True
        if self._server is not None:
            self._server.close()
        await self._activity.wait_idle()

    async def close(self) -> None:
        """Stops listening and cancels all connections."""
        if self._server is not None:
            self._server.close()
        for task in tuple(self._connections):
            task.cancel()
        await asyncio.gather(*self._connections, return_exceptions=True)

    def _build_protocol(self) -> asyncio.StreamReaderProtocol:
        return asyncio.StreamReaderProtocol(DisconnectReader(), self._accept)

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        task = asyncio.current_task()
        if task is None or not isinstance(reader, DisconnectReader):
            return
        self._connections.add(task)
        connection = ServerConnection(
            reader,
            writer,
            self._limits,
            self._activity,
            self._guard,
            self._id_reader,
        )
        with contextlib.ExitStack() as stack:
            stack.callback(self._close, writer)
            stack.callback(self._connections.discard, task)
            stack.enter_context(contextlib.closing(connection))
            await self._serve(connection, writer)

    def _close(self, writer: asyncio.StreamWriter) -> None:
        """Closes a connection; unsent bytes have a limited time to leave.

        A client that reads nothing would keep the connection open otherwise.
        """
        writer.close()
        asyncio.get_running_loop().call_later(
            self._limits.send_timeout_ms / MS_PER_S, writer.transport.abort
        )

    def _replaces_quiet(self) -> bool:
        """Lets a connection with a stalled request give way to a new one."""
        return self._guard.budget.replace_quiet(self._guard.now_ms())

    async def _serve(
        self, connection: ServerConnection, writer: asyncio.StreamWriter
    ) -> None:
        """Serves a connection, or refuses it above the limit."""
        excess = len(self._connections) - self._limits.max_connections
        if 0 < excess <= MAX_REFUSED_CONNECTIONS and self._replaces_quiet():
            excess = 0
        if excess > 0:
            self._guard.report(LimitReason.CONNECTIONS)
        try:
            if excess > MAX_REFUSED_CONNECTIONS:
                writer.transport.abort()
            elif excess > 0:
                await connection.refuse(
                    Refusal(
                        ErrorKind.OVERLOADED,
                        retry_after_ms=LIMIT_RETRY_AFTER_MS,
                    )
                )
            else:
                await connection.serve(self._handler)
        except UNLOGGED_ERRORS:
            writer.transport.abort()
        except Exception as error:
            log_event(Event.CONNECTION_FAILED, reason=repr(error))
            writer.transport.abort()
