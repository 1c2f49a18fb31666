"""HTTP handlers of the stand-in platform services."""

import asyncio
import dataclasses
from http import HTTPStatus

from ..backing_services import (
    AppendUnknownError,
    LogPage,
    MemoryInstances,
    MemoryLog,
    OffsetExpiredError,
    PlatformError,
)
from ..clock import MS_PER_S
from ..document_validation import parse_json
from ..http_messages import HttpRequest, HttpResponse, json_response
from .faults import set_faults
from .memory_log import MemoryLogService

STREAM_PATH_PARTS = 5
# Time for which a call whose answer is lost stays open.
LOST_ANSWER_MS = 60_000


class LogHandler:
    """HTTP handler of the log service."""

    def __init__(self, log: MemoryLog) -> None:
        """Initializes a handler.

        Args:
            log: Log that holds the records.
        """
        self._log = log
        self._service = MemoryLogService(log)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handles one request."""
        if request.path == '/v1/faults':
            return set_faults(self._log.faults, request)
        parts = request.path.split('/')
        if len(parts) != STREAM_PATH_PARTS or parts[-1] != 'records':
            return _error_response('no such path', HTTPStatus.NOT_FOUND)
        try:
            return await self._serve(parts[-2], request)
        except AppendUnknownError as error:
            await asyncio.sleep(LOST_ANSWER_MS / MS_PER_S)
            return _error_response(str(error), HTTPStatus.SERVICE_UNAVAILABLE)
        except OffsetExpiredError as error:
            bounds = {'start': error.start, 'head': error.head}
            return json_response(
                bounds,
                HTTPStatus.REQUESTED_RANGE_NOT_SATISFIABLE,
            )
        except PlatformError as error:
            return _error_response(str(error), HTTPStatus.SERVICE_UNAVAILABLE)

    async def _serve(
        self,
        stream: str,
        request: HttpRequest,
    ) -> HttpResponse:
        if request.method == 'POST':
            return await self._append(stream, request)
        return await self._read(stream, request)

    async def _append(
        self,
        stream: str,
        request: HttpRequest,
    ) -> HttpResponse:
        body = parse_json(request.body, 'append')
        if not isinstance(body, dict) or 'record' not in body:
            return _error_response('no record', HTTPStatus.BAD_REQUEST)
        offset = await self._service.append(stream, body['record'])
        return json_response({'start': offset, 'head': offset + 1})

    async def _read(
        self,
        stream: str,
        request: HttpRequest,
    ) -> HttpResponse:
        offset = int(request.query.get('from', '0'))
        wait_ms = float(request.query.get('wait_ms', '0'))
        page = await self._service.read(stream, offset, wait_ms)
        return json_response(_page_body(page))


class InstancesHandler:
    """HTTP handler of the instance list."""

    def __init__(self, instances: MemoryInstances) -> None:
        """Initializes a handler.

        Args:
            instances: Instance list to serve.
        """
        self._instances = instances

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handles one request."""
        try:
            rows = await self._instances.instances()
        except PlatformError as error:
            return _error_response(str(error), HTTPStatus.SERVICE_UNAVAILABLE)
        return json_response({'instances': list(map(dataclasses.asdict, rows))})


class WeightsHandler:
    """HTTP handler of the weight store."""

    def __init__(self, rate_bytes_per_s: float) -> None:
        """Initializes a handler.

        Args:
            rate_bytes_per_s: Rate that all loads share, in bytes per second.
        """
        self._rate_bytes_per_s = rate_bytes_per_s

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handles one request."""
        return json_response({'rate_bytes_per_s': self._rate_bytes_per_s})


def _error_response(text: str, status: HTTPStatus) -> HttpResponse:
    return json_response({'reason': text}, status)


def _page_body(page: LogPage) -> dict[str, object]:
    records = [
        {
            'offset': stored.offset,
            'appended_at_ms': stored.appended_at_ms,
            'record': stored.body,
        }
        for stored in page.records
    ]
    return {'start': page.start, 'head': page.head, 'records': records}
