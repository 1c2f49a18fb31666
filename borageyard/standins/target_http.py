"""HTTP server of the stand-in target."""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator
from http import HTTPStatus
from types import TracebackType
from typing import Any, Self

from ..document_validation import DocumentError, check_document, parse_json
from ..generated.http_bodies import TargetCallBody
from ..generated.log_leases import OrderBody
from ..http_connection import ConnectionAbortError
from ..http_messages import (
    EVENT_STREAM_TYPE,
    HttpRequest,
    HttpResponse,
    encode_event,
    json_response,
)
from ..http_server import HttpServer
from ..target_client import TargetCall
from .faults import set_faults
from .orders import StaleOrderError, StandinOrders
from .target import StandinTarget, TargetCrashError, TargetRefusedError

# Pause between the bytes of an answer under the trickle fault.
TRICKLE_S = 0.02
# Size of an answer under the padding fault.
PADDED_BYTES = 8 * 1024 * 1024


class TargetServer:
    """Serves a stand-in target; a crash closes the server."""

    def __init__(
        self,
        target: StandinTarget,
        *,
        fencing: bool = False,
    ) -> None:
        """Initializes a server that does not listen yet.

        Args:
            target: Target that runs the calls.
            fencing: Whether orders with stale fencing numbers are refused.
        """
        self.target = target
        self.orders = StandinOrders(target, fencing=fencing)
        self._server = HttpServer(self._handle)

    @property
    def address(self) -> str:
        """Address on which the server listens."""
        return self._server.address

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
        await self._server.close()

    async def start(self, address: str) -> None:
        """Starts to listen.

        Args:
            address: IP address and port.
        """
        await self._server.start(address)

    async def crash(self) -> None:
        """Crashes: running calls are reset, new connections are refused."""
        self.target.crash()
        await self._server.close()

    async def restart(self) -> None:
        """Restarts the target on the same address."""
        self.target.restart()
        await self._server.start(self.address)

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        if request.path == '/v1/run':
            return await self._run(request)
        routes = {
            '/v1/load': self._load,
            '/v1/cache-events': self._cache_events,
            '/v1/executions': self._executions,
            '/v1/faults': self._set_faults,
            '/v1/orders': self._take_order,
        }
        route = routes.get(request.path)
        if route is None:
            reason = {'reason': 'no such path'}
            return json_response(reason, HTTPStatus.NOT_FOUND)
        return route(request)

    def _load(self, request: HttpRequest) -> HttpResponse:
        return json_response(dataclasses.asdict(self.target.load()))

    def _cache_events(self, request: HttpRequest) -> HttpResponse:
        after = int(request.query.get('after', '0'))
        events = self.target.cache.visible_events(after, self.target.faults)
        return json_response({'events': events})

    def _executions(self, request: HttpRequest) -> HttpResponse:
        rows = map(dataclasses.asdict, self.target.executions)
        return json_response(list(rows))

    def _take_order(self, request: HttpRequest) -> HttpResponse:
        try:
            order = check_document(
                OrderBody,
                parse_json(request.body, 'order'),
                'order',
            )
        except DocumentError as error:
            reply = {'taken': False, 'reason': str(error)}
            return json_response(reply, HTTPStatus.BAD_REQUEST)
        try:
            self.orders.accept(order)
        except StaleOrderError as error:
            reply = {'taken': False, 'reason': str(error)}
            return json_response(reply, HTTPStatus.CONFLICT)
        return json_response({'taken': True})

    def _set_faults(self, request: HttpRequest) -> HttpResponse:
        return set_faults(self.target.faults, request)

    async def _run(self, request: HttpRequest) -> HttpResponse:
        try:
            body = check_document(
                TargetCallBody,
                parse_json(request.body, 'call'),
                'call',
            )
        except DocumentError as error:
            refusal = {'reason': str(error), 'not_run': True}
            return json_response(refusal, HTTPStatus.BAD_REQUEST)
        call = TargetCall(
            **body.model_dump(),
            trace_parent=request.header('traceparent'),
        )
        if call.stream:
            return HttpResponse(
                status=HTTPStatus.OK,
                content_type=EVENT_STREAM_TYPE,
                chunks=self._events(call),
            )
        try:
            answer = await self.target.run(call)
        except TargetRefusedError as error:
            refusal = {'reason': str(error), 'not_run': True}
            return json_response(refusal, HTTPStatus.SERVICE_UNAVAILABLE)
        except TargetCrashError as error:
            raise ConnectionAbortError(str(error)) from error
        encoded: dict[str, Any] = dataclasses.asdict(answer.answer)
        response = json_response({'attempt_id': answer.attempt_id, **encoded})
        return self._with_faults(response)

    def _with_faults(self, response: HttpResponse) -> HttpResponse:
        """Applies the faults that affect the sending of a complete answer."""
        faults = self.target.faults
        if faults.consume('reset_next'):
            raise ConnectionAbortError('reset by an injected fault')
        if faults.consume('pad_next'):
            padded = response.body.ljust(PADDED_BYTES)
            return dataclasses.replace(response, body=padded)
        if faults.consume('trickle_next'):
            return dataclasses.replace(response, chunks=_trickle(response))
        return response

    async def _events(self, call: TargetCall) -> AsyncIterator[bytes]:
        faults = self.target.faults
        async with contextlib.aclosing(self.target.run_stream(call)) as events:
            async for event in events:
                attempt_id = call.attempt_id
                if faults.consume('cross_event_next'):
                    attempt_id = f'crossed-{attempt_id}'
                if faults.consume('reset_next'):
                    raise ConnectionAbortError('reset by an injected fault')
                fields = dataclasses.asdict(event)
                yield encode_event({'attempt_id': attempt_id, **fields})


async def _trickle(response: HttpResponse) -> AsyncIterator[bytes]:
    """Yields an answer byte by byte, ``TRICKLE_S`` apart."""
    for byte in response.body:
        await asyncio.sleep(TRICKLE_S)
        yield bytes((byte,))
