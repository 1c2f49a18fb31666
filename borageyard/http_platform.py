"""HTTP clients of the log service and the instance list."""

from collections.abc import Sequence

from .backing_services import (
    AppendRefusedError,
    AppendUnknownError,
    Instance,
    LogPage,
    LogRecord,
    OffsetExpiredError,
    PlatformError,
    Record,
)
from .document_validation import DocumentError, check_document, parse_json
from .generated.http_bodies import InstanceListBody, LogPageBody
from .http_client import HttpCall, HttpCallError, HttpClient, HttpReply
from .http_messages import encode_json

APPEND_TIMEOUT_MS = 1000
READ_TIMEOUT_MS = 1000
STATUS_OK = 200
STATUS_RANGE_NOT_SATISFIABLE = 416
# Statuses by which the log service guarantees that nothing was appended.
REFUSED_STATUSES = frozenset((400, 413, 429, 503))


class HttpLogService:
    """HTTP client of the log service."""

    def __init__(self, client: HttpClient, address: str) -> None:
        """Creates the client of a log service.

        Args:
            client: HTTP client that sends the calls.
            address: Address of the log service.
        """
        self._client = client
        self._address = address

    async def append(self, stream: str, body: Record) -> int:
        """Appends a record and returns its offset.

        Raises:
            AppendRefusedError: If the record was not appended.
            AppendUnknownError: If it may have been appended.
        """
        call = HttpCall(
            address=self._address,
            method='POST',
            path=f'/v1/streams/{stream}/records',
            body=encode_json({'record': body}),
            timeout_ms=APPEND_TIMEOUT_MS,
        )
        try:
            reply = await self._client.request(call)
        except HttpCallError as error:
            if error.sent:
                raise AppendUnknownError(error.reason) from error
            raise AppendRefusedError(error.reason) from error
        if reply.status in REFUSED_STATUSES:
            raise AppendRefusedError(f'status {reply.status}')
        if reply.status != STATUS_OK:
            raise AppendUnknownError(f'status {reply.status}')
        try:
            return check_document(
                LogPageBody,
                parse_json(reply.body, 'log service'),
                'log service',
            ).start
        except DocumentError as error:
            raise AppendUnknownError(str(error)) from error

    async def read(
        self,
        stream: str,
        offset: int,
        wait_ms: float = 0,
    ) -> LogPage:
        """Reads records in order from an offset on.

        Raises:
            OffsetExpiredError: If the offset is no longer retained.
            PlatformError: If the read failed or the reply is malformed.
        """
        reply = await _get(
            self._client,
            HttpCall(
                address=self._address,
                method='GET',
                path=f'/v1/streams/{stream}/records'
                f'?from={offset}&wait_ms={wait_ms:.0f}',
                timeout_ms=READ_TIMEOUT_MS + wait_ms,
                max_gap_ms=READ_TIMEOUT_MS,
            ),
        )
        page = _parse(LogPageBody, reply)
        if reply.status == STATUS_RANGE_NOT_SATISFIABLE:
            raise OffsetExpiredError(page.start, page.head)
        records = tuple(
            LogRecord(stored.offset, stored.appended_at_ms, stored.record)
            for stored in page.records
        )
        return LogPage(page.start, page.head, records)


class HttpInstanceList:
    """HTTP client of the instance list."""

    def __init__(self, client: HttpClient, address: str) -> None:
        """Creates the client of an instance list.

        Args:
            client: HTTP client that sends the calls.
            address: Address of the instance list.
        """
        self._client = client
        self._address = address

    async def instances(self) -> Sequence[Instance]:
        """Returns the rows of the list.

        Raises:
            PlatformError: If the call failed or the reply is malformed.
        """
        reply = await _get(
            self._client,
            HttpCall(
                address=self._address,
                method='GET',
                path='/v1/instances',
                timeout_ms=READ_TIMEOUT_MS,
                max_gap_ms=READ_TIMEOUT_MS,
            ),
        )
        body = _parse(InstanceListBody, reply)
        return tuple(Instance(**row.model_dump()) for row in body.instances)


async def _get(client: HttpClient, call: HttpCall) -> HttpReply:
    try:
        reply = await client.request(call)
    except HttpCallError as error:
        raise PlatformError(error.reason) from error
    if reply.status not in {STATUS_OK, STATUS_RANGE_NOT_SATISFIABLE}:
        raise PlatformError(f'status {reply.status}')
    return reply


def _parse(model, reply: HttpReply):  # type: ignore[no-untyped-def]
    try:
        return check_document(
            model,
            parse_json(reply.body, 'platform'),
            'platform',
        )
    except DocumentError as error:
        raise PlatformError(str(error)) from error
