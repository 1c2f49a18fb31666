"""HTTP/1.1 server on h11: bounded bodies, time-outs and cancellation."""

import asyncio
import contextlib
import ssl
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from types import TracebackType
from typing import Any, Self

import h11

from .clock import MS_PER_S
from .events import Event, log_event
from .http_messages import (
    HttpLimits,
    HttpRequest,
    HttpResponse,
    json_response,
    split_address,
    split_target,
)

Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]

READ_SIZE_BYTES = 65536
MAX_HEAD_BYTES = 32768


class BodyTooLargeError(Exception):
    """A request body above the limit."""


class HttpServer:
    """Serves requests on one address."""

    def __init__(
        self,
        handler: Handler,
        limits: HttpLimits | None = None,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        """Prepares a server that is not yet listening.

        Args:
            handler: Answers each request.
            limits: Bounds on bodies, connections and time.
            tls: Context for TLS, or none for plain TCP.
        """
        self._handler = handler
        self._limits = limits or HttpLimits()
        self._tls = tls
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()
        self.address = ''

    async def __aenter__(self) -> Self:
        """Returns the server."""
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
        """Starts to listen.

        Args:
            address: IP number and port; port 0 takes a free one.
        """
        host, port = split_address(address)
        self._server = await asyncio.start_server(
            self._accept,
            host,
            port,
            ssl=self._tls,
        )
        bound = self._server.sockets[0].getsockname()
        self.address = f'{host}:{bound[1]}'

    async def close(self) -> None:
        """Stops listening and ends all connections."""
        if self._server is not None:
            self._server.close()
        for task in tuple(self._connections):
            task.cancel()
        await asyncio.gather(*self._connections, return_exceptions=True)

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        task = asyncio.current_task()
        if task is None:
            return
        self._connections.add(task)
        connection = ServerConnection(reader, writer, self._limits)
        full = len(self._connections) > self._limits.max_connections
        try:
            if full:
                await connection.refuse(HTTPStatus.SERVICE_UNAVAILABLE)
            else:
                await connection.serve(self._handler)
        except (OSError, h11.ProtocolError, asyncio.CancelledError):
            writer.transport.abort()
        except Exception as error:
            log_event(Event.CONNECTION_FAILED, reason=repr(error))
            writer.transport.abort()
        finally:
            self._connections.discard(task)
            writer.close()


class ServerConnection:
    """One connection of a caller."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        limits: HttpLimits,
    ) -> None:
        """Wraps the two directions of a connection.

        Args:
            reader: Bytes from the caller.
            writer: Bytes to the caller.
            limits: Bounds on bodies and time.
        """
        self._reader = reader
        self._writer = writer
        self._limits = limits
        self._codec = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=MAX_HEAD_BYTES,
        )

    async def serve(self, handler: Handler) -> None:
        """Answers requests until the caller or an error ends it."""
        while True:
            try:
                request = await self._receive_request()
            except TimeoutError:
                return await self.refuse(HTTPStatus.REQUEST_TIMEOUT)
            except BodyTooLargeError:
                return await self.refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
            except h11.RemoteProtocolError as error:
                return await self.refuse(error.error_status_hint)
            if request is None:
                return None
            response = await self._answer(handler, request)
            if response is None:
                return None
            await self._send_response(response)
            if self._codec.our_state is not h11.DONE:
                return None
            self._codec.start_next_cycle()

    async def refuse(self, status: int) -> None:
        """Sends a bare refusal, if the caller can still be told one."""
        if self._codec.our_state in {h11.IDLE, h11.SEND_RESPONSE}:
            body = {'kind': 'bad_request', 'not_run': True}
            await self._send_response(json_response(body, status))

    async def _receive_request(self) -> HttpRequest | None:
        head = await self._next_event(in_body=False)
        if not isinstance(head, h11.Request):
            return None
        body = bytearray()
        timeout_s = self._limits.receive_timeout_ms / MS_PER_S
        async with asyncio.timeout(timeout_s):
            while True:
                event = await self._next_event(in_body=True)
                if isinstance(event, h11.EndOfMessage):
                    break
                if not isinstance(event, h11.Data):
                    return None
                body += event.data
                if len(body) > self._limits.max_body_bytes:
                    raise BodyTooLargeError
        path, query = split_target(head.target.decode('latin-1'))
        headers = {
            name.decode('latin-1'): text.decode('latin-1')
            for name, text in head.headers
        }
        return HttpRequest(
            method=head.method.decode('ascii'),
            path=path,
            query=query,
            headers=headers,
            body=bytes(body),
        )

    async def _next_event(self, *, in_body: bool) -> object:
        while True:
            event = self._codec.next_event()
            if event is not h11.NEED_DATA:
                return event
            if self._codec.they_are_waiting_for_100_continue:
                await self._send(
                    h11.InformationalResponse(status_code=100, headers=[]),
                )
            # An idle connection may wait; a started request may not.
            started = in_body or bool(self._codec.trailing_data[0])
            limit_s = self._limits.receive_timeout_ms / MS_PER_S
            async with asyncio.timeout(limit_s if started else None):
                received = await self._reader.read(READ_SIZE_BYTES)
            self._codec.receive_data(received)

    async def _answer(
        self,
        handler: Handler,
        request: HttpRequest,
    ) -> HttpResponse | None:
        """Runs the handler, and cancels it when the caller goes away."""
        work = asyncio.ensure_future(handler(request))
        gone = asyncio.ensure_future(self._wait_closed())
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(_cancel, work)
            stack.push_async_callback(_cancel, gone)
            await asyncio.wait(
                {work, gone},
                return_when=asyncio.FIRST_COMPLETED,
            )
        if work.cancelled():
            return None
        return work.result()

    async def _wait_closed(self) -> None:
        """Returns once the caller has closed its side."""
        while True:
            received = await self._reader.read(READ_SIZE_BYTES)
            self._codec.receive_data(received)
            if not received:
                return

    async def _send_response(self, response: HttpResponse) -> None:
        headers = [('content-type', response.content_type)]
        headers.extend(response.headers.items())
        if response.chunks is None:
            headers.append(('content-length', str(len(response.body))))
        else:
            headers.append(('transfer-encoding', 'chunked'))
        head = h11.Response(status_code=response.status, headers=headers)
        if response.chunks is None:
            self._write(head)
            self._write(h11.Data(data=response.body))
            await self._send(h11.EndOfMessage())
            return
        await self._send(head)
        await self._send_chunks(response)

    async def _send_chunks(self, response: HttpResponse) -> None:
        chunks = response.chunks
        if chunks is None:
            return
        async with contextlib.AsyncExitStack() as stack:
            if hasattr(chunks, 'aclose'):
                stack.push_async_callback(chunks.aclose)
            async for chunk in chunks:
                await self._send(h11.Data(data=chunk))
        await self._send(h11.EndOfMessage())

    def _write(self, event: h11.Event) -> None:
        encoded = self._codec.send(event)
        if encoded:
            self._writer.write(encoded)

    async def _send(self, event: h11.Event) -> None:
        self._write(event)
        await self._writer.drain()


async def _cancel(task: asyncio.Future[Any]) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
