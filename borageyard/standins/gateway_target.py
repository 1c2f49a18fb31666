"""Stand-in targets of the gateway: plain, engine and batching."""

import asyncio
import collections
import contextlib
import dataclasses
import time
import types
from collections.abc import AsyncIterator, Mapping
from http import HTTPStatus
from typing import Any

from ..clock import MS_PER_S
from ..document_validation import parse_json
from ..http_connection import ConnectionAbortError
from ..http_messages import (
    EVENT_STREAM_TYPE,
    HttpRequest,
    HttpResponse,
    json_response,
)
from .keyed_store import KeyedStore
from .registered_target import CrashPlan, RegisteredTarget, TargetPlan
from .unframed_server import reset_on_close, send_unframed

HEALTH_PATH = '/healthz'
REPORT_PATH = '/report'
PIECES_PATH = '/stage-run'
RESULTS_PATH = '/stage-free'
# Paths of calls that are no requests of callers.
FRAMED_PATHS = frozenset((REPORT_PATH, PIECES_PATH, RESULTS_PATH))
NOT_RUN: Mapping[str, str] = types.MappingProxyType({'x-not-executed': '1'})
EVENT_INTERVAL_MS = 1
ENDLESS_CHUNK = b'x' * 1000


@dataclasses.dataclass(slots=True)
class TargetFaults:
    """Injected faults of a target; a count applies to the next requests."""

    fail: int = 0
    # Status of the answers to requests that ran and failed.
    fail_status: HTTPStatus = HTTPStatus.INTERNAL_SERVER_ERROR
    reject: int = 0
    reset: int = 0
    # Number of events after which a stream breaks off; ``None`` for never.
    break_after: int | None = None
    # Number of events after which an event does not end; ``None`` for never.
    endless_after: int | None = None
    # Time before a break in which the target has no record in the store.
    leave_ms: float | None = None
    silent: bool = False
    # Requests whose path contains this text crash the target; empty for none.
    crashed_by: str = ''
    # Limit that answers state, in requests a second; ``None`` for none.
    limit_per_s: float | None = None
    # Value of ``retry-after`` in rejections; empty for none.
    retry_after: str = ''
    # Whether answers say that the target leaves; its record stays as it is.
    leaving: bool = False
    # Number of events of a run after which each stream is silent once for
    # ``silence_ms`` and then goes on; 0 for after the head, ``None`` for never.
    silent_after: int | None = None
    silence_ms: float = 1500
    # Prompt part under which an engine crashes when it begins to write, unless
    # it is the last part of the prompt; empty for none.
    crashing_part: str = ''
    crash: CrashPlan = dataclasses.field(default_factory=CrashPlan)
    # Whether answers to requests have neither a length nor chunks and end with
    # their connection.
    unframed: bool = False
    # Value of the ``connection`` header of unframed answers.
    unframed_connection: str = 'close'
    # Unframed answers that are reset after half of their body, and streams
    # whose break by ``break_after`` is a reset.
    reset_midway: int = 0
    # Bytes that a stream which breaks off by ``break_after`` ends with; half an
    # event if there are none.
    stray: bytes = b''
    # Answer to requests that resume a stream; ``None`` for the rest of it.
    resumed: HttpResponse | None = None
    # Whether such requests get the stream from its first event on.
    replays: bool = False
    # Unframed answers that end within their head, and the bytes they have.
    cut_heads: int = 0
    cut_head_bytes: int = 0
    # Further headers of its answers.
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)

    def notices(self) -> Mapping[str, str]:
        """Returns the headers in which it tells of itself."""
        notices: dict[str, str] = dict(self.headers)
        if self.limit_per_s is not None:
            notices['server-limit'] = str(self.limit_per_s)
        if self.leaving:
            notices['server-leaving'] = '1'
        return notices

    def rejection(self) -> Mapping[str, str]:
        """Returns the headers of a rejection."""
        if self.retry_after:
            return {**NOT_RUN, 'retry-after': self.retry_after}
        return NOT_RUN


class GatewayTarget(RegisteredTarget):
    """Stand-in target that records the requests and pieces it ran."""

    def __init__(
        self,
        plan: TargetPlan,
        store: KeyedStore,
        results: dict[str, str],
    ) -> None:
        """Initializes a target that does not listen yet.

        Args:
            plan: Identity, kind and capacity of the target.
            store: Store to which the target announces itself.
            results: Attempt ids of the results of all batching targets, by
                handle; shared between the targets and modified.
        """
        super().__init__(plan, store)
        self.faults = TargetFaults()
        self.runs: list[str] = []
        self.pieces: list[str] = []
        self.tenants: list[str] = []
        # Prompt parts in the cache of an engine, and the total number of tokens
        # that it has prefilled.
        self.cached_parts: set[str] = set()
        self.prefilled_tokens = 0
        # Number of requests that arrived with each prompt part, the last parts
        # not counted.
        self.part_arrivals: collections.Counter[str] = collections.Counter()
        # Monotonic time and id of each caller's request that arrived.
        self.received: list[tuple[float, str]] = []
        # Monotonic times of all requests, also of those that were rejected.
        self.arrivals_s: list[float] = []
        # Cleared to hold calls with pieces back.
        self.pieces_released = asyncio.Event()
        self.pieces_released.set()
        self._running = 0
        self._results = results
        self._result_count = 0

    def most_arrivals(self, window_s: float) -> int:
        """Returns the maximum number of requests in any window.

        Args:
            window_s: Length of the sliding window in seconds.
        """
        return max(
            (
                sum(
                    start_s <= at_s < start_s + window_s
                    for at_s in self.arrivals_s
                )
                for start_s in self.arrivals_s
            ),
            default=0,
        )

    def _forget(self) -> None:
        self.cached_parts.clear()

    async def _respond(self, request: HttpRequest) -> HttpResponse:
        self.arrivals_s.append(time.monotonic())
        response = await self._handle(request)
        response = dataclasses.replace(
            response, headers={**response.headers, **self.faults.notices()}
        )
        if self.faults.unframed and request.path not in FRAMED_PATHS:
            await self._send_unframed(response)
        return response

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        if self.faults.silent:
            await asyncio.Event().wait()
        expected = request.header('x-expect-instance')
        if expected and expected != self.plan.target_id:
            return HttpResponse(
                HTTPStatus.MISDIRECTED_REQUEST,
                headers={'x-instance-id': self.plan.target_id},
            )
        if request.path == REPORT_PATH:
            return json_response({'freeMb': 1, 'waiting': 0, 'busy': 0})
        if request.path == PIECES_PATH:
            return await self._run_pieces(request)
        if request.path == RESULTS_PATH:
            return self._free_results(request)
        return await self._run(request)

    async def _send_unframed(self, response: HttpResponse) -> None:
        if self.faults.reset_midway and response.chunks is None:
            self.faults.reset_midway -= 1
            response = dataclasses.replace(
                response,
                body=b'',
                chunks=_reset_after(response.body[: len(response.body) // 2]),
            )
        if self.faults.cut_heads:
            self.faults.cut_heads -= 1
            await send_unframed(
                response, 'close', head_bytes=self.faults.cut_head_bytes
            )
        await send_unframed(response, self.faults.unframed_connection)

    async def _run(self, request: HttpRequest) -> HttpResponse:
        request_id = request.header('x-attempt-id')
        self.received.append((time.monotonic(), request_id))
        self.part_arrivals.update(_shared_parts(request))
        headers = {'x-attempt-id': request_id}
        if self.faults.reject or self._running >= self.plan.slots:
            self.faults.reject = max(self.faults.reject - 1, 0)
            status = HTTPStatus.SERVICE_UNAVAILABLE
            headers.update(self.faults.rejection())
            return HttpResponse(status, headers=headers)
        if self.plan.kind == 'engine' and not self._has_inputs(request):
            return HttpResponse(
                HTTPStatus.CONFLICT,
                headers={**headers, **NOT_RUN},
            )
        self._running += 1
        with contextlib.ExitStack() as stack:
            stack.callback(self._end_run)
            stack.enter_context(self.open_runs.track(request_id))
            return await self._execute(request, headers)

    def _end_run(self) -> None:
        self._running -= 1

    async def _execute(
        self,
        request: HttpRequest,
        headers: dict[str, str],
    ) -> HttpResponse:
        request_id = request.header('x-attempt-id')
        self.runs.append(request_id)
        self.tenants.append(request.header('x-tenant'))
        prefill_ms = self._prefill(request) * self.plan.token_ms
        await asyncio.sleep((self.plan.work_ms + prefill_ms) / MS_PER_S)
        await self.wait_while_silent()
        if self.faults.crashed_by and self.faults.crashed_by in request.path:
            if self.faults.crash.silent:
                self.crash(self.faults.crash)
                await asyncio.Event().wait()
            self.withdraw()
            raise ConnectionAbortError
        if self.faults.reset:
            self.faults.reset -= 1
            raise ConnectionAbortError
        headers['x-server-stamp'] = '.'.join((self.plan.target_id, request_id))
        if self.faults.fail:
            self.faults.fail -= 1
            return HttpResponse(
                self.faults.fail_status, b'failed', headers=headers
            )
        if self.faults.resumed and request.header('last-event-id'):
            resumed = self.faults.resumed
            return dataclasses.replace(
                resumed, headers={**headers, **resumed.headers}
            )
        if self.plan.kind != 'engine':
            body = f'{request.method} {request.target} {request_id}'.encode()
            return HttpResponse(HTTPStatus.OK, body, headers=headers)
        return HttpResponse(
            HTTPStatus.OK,
            content_type=EVENT_STREAM_TYPE,
            headers=headers,
            chunks=self.open_runs.track_chunks(
                request_id, self._events(request)
            ),
        )

    async def _events(self, request: HttpRequest) -> AsyncIterator[bytes]:
        after = int(request.header('last-event-id', '0'))
        if self.faults.replays:
            after = 0
        request_id = request.header('x-attempt-id')
        for number in range(after + 1, self.plan.events + 1):
            await self.wait_while_silent()
            await self._disturb(request, number - 1 - after)
            while self.faults.endless_after == number - 1:
                yield ENDLESS_CHUNK
            if self.faults.break_after == number - 1:
                self.faults.break_after = None
                self.open_runs.broken_ids.add(request_id)
                await self._leave()
                half = f'id: {number}\ndata: half'.encode()
                yield self.faults.stray or half
                if self.faults.reset_midway:
                    self.faults.reset_midway -= 1
                    reset_on_close()
                raise ConnectionAbortError
            yield f'id: {number}\ndata: {request_id}/{number}\n\n'.encode()
            await asyncio.sleep(EVENT_INTERVAL_MS / MS_PER_S)
        await self._disturb(request, self.plan.events - after)

    async def _disturb(self, request: HttpRequest, events: int) -> None:
        """Crashes the engine, or is silent, as the faults demand.

        Args:
            request: Request that runs.
            events: Number of events that the run has written.
        """
        crashing = self.faults.crashing_part in _shared_parts(request)
        if crashing and events == self.faults.crash.after_events:
            self.crash(self.faults.crash)
            await asyncio.Event().wait()
        if events == self.faults.silent_after:
            await asyncio.sleep(self.faults.silence_ms / MS_PER_S)

    async def _leave(self) -> None:
        """Withdraws the record so that entries learn that it is gone."""
        if self.faults.leave_ms is not None:
            self.withdraw()
            await asyncio.sleep(self.faults.leave_ms / MS_PER_S)

    def _prefill(self, request: HttpRequest) -> int:
        """Adds the parts of a prompt to the cache.

        Returns:
            The number of tokens in the parts that were not cached.
        """
        prefilled_tokens = 0
        for part in request.header('x-prefix-hash').split(','):
            part_id, _, tokens = part.partition(':')
            if part_id and part_id not in self.cached_parts:
                self.cached_parts.add(part_id)
                prefilled_tokens += int(tokens)
        self.prefilled_tokens += prefilled_tokens
        return prefilled_tokens

    def _has_inputs(self, request: HttpRequest) -> bool:
        header_value = request.header('x-inputs')
        request_id = request.header('x-attempt-id')
        return all(
            self._results.get(handle) == request_id
            for handle in header_value.split(',')
            if handle
        )

    async def _run_pieces(self, request: HttpRequest) -> HttpResponse:
        body: Any = parse_json(request.body, 'pieces')
        if self.faults.reject:
            self.faults.reject -= 1
            status = HTTPStatus.SERVICE_UNAVAILABLE
            return HttpResponse(status, headers=self.faults.rejection())
        if self.faults.reset:
            self.faults.reset -= 1
            raise ConnectionAbortError
        await asyncio.sleep(self.plan.work_ms / MS_PER_S)
        await self.pieces_released.wait()
        return json_response(
            {'items': [self._compute_piece(piece) for piece in body['items']]},
        )

    def _compute_piece(self, piece: Mapping[str, Any]) -> Mapping[str, str]:
        request_id = piece['id']
        stage = piece['stage']
        number = piece['piece']
        for input_handle in piece.get('inputs', ()):
            if self._results.get(input_handle) != request_id:
                return {'reason': 'gone'}
        prefix = f'{self.address}/'
        own_handles = [
            name for name in self._results if name.startswith(prefix)
        ]
        if len(own_handles) >= self.plan.max_results:
            return {'reason': 'room'}
        self._result_count += 1
        handle = f'{prefix}{self._result_count}'
        self._results[handle] = request_id
        self.pieces.append(f'{request_id}/{stage}/{number}')
        return {'handle': handle}

    def _free_results(self, request: HttpRequest) -> HttpResponse:
        body: Any = parse_json(request.body, 'handles')
        for handle in body['handles']:
            self._results.pop(handle, None)
        return json_response({})


def _shared_parts(request: HttpRequest) -> list[str]:
    """Returns the ids of all prompt parts but the last one."""
    parts = request.header('x-prefix-hash').split(',')
    return [part.partition(':')[0] for part in parts[:-1]]


async def _reset_after(body: bytes) -> AsyncIterator[bytes]:
    yield body
    reset_on_close()
    raise ConnectionAbortError
