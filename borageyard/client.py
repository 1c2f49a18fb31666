"""Caller's client: discovers entries, fails over and retries safely."""

import asyncio
import contextlib
import dataclasses
import ssl
from collections.abc import AsyncIterator, Iterable, Mapping, Sequence
from types import TracebackType
from typing import Any, Self

from .address_book import AddressBook
from .client_retries import RequestAttempts, RetryAfter
from .client_stream import (
    Outcome,
    StreamReader,
    StreamRestart,
    decode_reply,
)
from .clock import MS_PER_S, Clock, SystemClock
from .document_validation import DocumentError, check_document, parse_json
from .errors import Refusal
from .generated.http_bodies import EntryAddressesBody
from .http_client import (
    HttpCall,
    HttpCallError,
    HttpClient,
    HttpReply,
)
from .http_messages import EVENT_STREAM_TYPE, HttpLimits, encode_json
from .identifiers import new_identifier
from .target_client import TokenEvent
from .wire import (
    DEADLINE_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    ORGANISATION_HEADER,
    REQUEST_ID_HEADER,
)

CONNECT_TIMEOUT_MS = 300
ADDRESSES_TIMEOUT_MS = 500
# Interval and timeout of the liveness checks of an entry while a request
# waits for its response there.
LIVENESS_INTERVAL_MS = 500
MAX_LIVENESS_FAILURES = 2
# Time beyond the deadline for an entry to report that a request expired.
ANSWER_GRACE_MS = 200


class EntrySilentError(Exception):
    """An entry stopped responding while it ran a request."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """A caller's request; all attempts carry the same ids."""

    pipeline: str
    organisation: str
    body: Any
    deadline_ms: int = 9000
    idempotency_key: str = dataclasses.field(default_factory=new_identifier)
    request_id: str = dataclasses.field(default_factory=new_identifier)
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)


class EntryClient:
    """Sends requests to whichever entry responds."""

    def __init__(
        self,
        seeds: Iterable[str],
        failure_domain: str = '',
        tls: ssl.SSLContext | None = None,
        clock: Clock | None = None,
    ) -> None:
        """Creates a client without opening connections.

        Args:
            seeds: Addresses of some entries; at least one must be reachable.
            failure_domain: Failure domain of the caller; empty if unknown.
            tls: TLS context, or None for plain TCP.
            clock: Time source; the system clock by default.
        """
        self.book = AddressBook(seeds)
        self._failure_domain = failure_domain
        self._clock = clock or SystemClock()
        limits = HttpLimits(connect_timeout_ms=CONNECT_TIMEOUT_MS)
        self._http = HttpClient(limits, tls)
        self._refresh_lock = asyncio.Lock()
        self._stack = contextlib.AsyncExitStack()
        self._call_count = 0

    async def __aenter__(self) -> Self:
        """Returns the client."""
        await self._stack.enter_async_context(self._http)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Closes all connections."""
        await self._stack.aclose()

    async def addresses(self) -> Sequence[str]:
        """Returns the current entry addresses, the best first."""
        await self._refresh_addresses()
        return self.book.ordered(self._clock.steady_ms())

    async def call(self, request: CallerRequest) -> Outcome:
        """Runs a request, with retries, and returns its outcome.

        Args:
            request: The request to run.

        Returns:
            The complete answer, or a refusal whose ``ran`` says whether
            a non-idempotent stage was run.
        """
        attempts = self._start_attempts(request)
        tried: set[str] = set()
        while True:
            address = await self._choose_address(tried)
            verdict = await self._attempt(address, request, attempts)
            if not isinstance(verdict, RetryAfter):
                return verdict
            await asyncio.sleep(verdict.wait_ms / MS_PER_S)

    async def stream(
        self,
        request: CallerRequest,
    ) -> AsyncIterator[TokenEvent | StreamRestart | Outcome]:
        """Runs a request and yields its tokens, then its outcome.

        Args:
            request: The request to run.

        Yields:
            Tokens without gaps or repeats, even if several entries send
            them; a ``StreamRestart`` before tokens that replace those sent
            so far; and the outcome at the end.
        """
        attempts = self._start_attempts(request)
        tried: set[str] = set()
        received: list[str] = []
        while True:
            address = await self._choose_address(tried)
            reader = StreamReader(
                self._http,
                build_call(
                    address, request, self._remaining_ms(attempts), stream=True
                ),
                received,
            )
            async with contextlib.aclosing(reader.events()) as events:
                async for event in events:
                    yield event
            verdict = self._stream_verdict(address, reader, attempts)
            if not isinstance(verdict, RetryAfter):
                yield verdict
                return
            await asyncio.sleep(verdict.wait_ms / MS_PER_S)

    def _start_attempts(self, request: CallerRequest) -> RequestAttempts:
        self._call_count += 1
        expires_at_ms = self._clock.steady_ms() + request.deadline_ms
        return RequestAttempts(expires_at_ms, seed=self._call_count)

    def _remaining_ms(self, attempts: RequestAttempts) -> float:
        return attempts.remaining_ms(self._clock.steady_ms())

    async def _choose_address(self, tried: set[str]) -> str:
        await self._refresh_addresses()
        address = self.book.choose(tried, self._clock.steady_ms())
        tried.add(address)
        return address

    async def _attempt(
        self,
        address: str,
        request: CallerRequest,
        attempts: RequestAttempts,
    ) -> RetryAfter | Outcome:
        call = build_call(address, request, self._remaining_ms(attempts))
        try:
            reply = await self._request_with_liveness_checks(call)
        except HttpCallError as error:
            return self._record_lost_attempt(address, error, attempts)
        self.book.note_success(address)
        return attempts.note_outcome(
            decode_reply(reply),
            self._clock.steady_ms(),
        )

    def _stream_verdict(
        self,
        address: str,
        reader: StreamReader,
        attempts: RequestAttempts,
    ) -> RetryAfter | Outcome:
        if reader.outcome is None:
            error = reader.error or HttpCallError('stream ended', sent=True)
            return self._record_lost_attempt(address, error, attempts)
        self.book.note_success(address)
        now_ms = self._clock.steady_ms()
        return attempts.note_outcome(reader.outcome, now_ms)

    def _record_lost_attempt(
        self,
        address: str,
        error: HttpCallError,
        attempts: RequestAttempts,
    ) -> RetryAfter | Refusal:
        now_ms = self._clock.steady_ms()
        self.book.note_failure(address, now_ms)
        return attempts.note_no_response(error.reason, now_ms, sent=error.sent)

    async def _request_with_liveness_checks(self, call: HttpCall) -> HttpReply:
        """Sends a request; fails once its entry fails its liveness checks."""
        request_task = asyncio.ensure_future(self._http.request(call))
        liveness_check = asyncio.ensure_future(
            self._wait_until_silent(call.address)
        )
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(_cancel, request_task)
            stack.push_async_callback(_cancel, liveness_check)
            await asyncio.wait(
                (request_task, liveness_check),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if request_task.done():
                return await request_task
        raise HttpCallError('entry is silent', sent=True)

    async def _wait_until_silent(self, address: str) -> None:
        """Returns once consecutive liveness checks of an entry have failed."""
        failures = 0
        call = HttpCall(
            address, 'GET', '/healthz', timeout_ms=LIVENESS_INTERVAL_MS
        )
        while failures < MAX_LIVENESS_FAILURES:
            await asyncio.sleep(LIVENESS_INTERVAL_MS / MS_PER_S)
            try:
                await self._http.request(call)
            except HttpCallError:
                failures += 1
            else:
                failures = 0

    async def _refresh_addresses(self) -> None:
        """Fetches addresses from one entry after another if they are stale."""
        async with self._refresh_lock:
            now_ms = self._clock.steady_ms()
            if not self.book.is_stale(now_ms):
                return
            for address in self.book.ordered(now_ms):
                if await self._fetch_addresses(address):
                    return

    async def _fetch_addresses(self, address: str) -> bool:
        now_ms = self._clock.steady_ms()
        path = f'/v1/entries?failure_domain={self._failure_domain}'
        call = HttpCall(address, 'GET', path, timeout_ms=ADDRESSES_TIMEOUT_MS)
        try:
            reply = await self._http.request(call)
        except HttpCallError:
            self.book.note_failure(address, now_ms)
            return False
        try:
            body = check_document(
                EntryAddressesBody,
                parse_json(reply.body, address),
                address,
            )
        except DocumentError:
            return False
        listed = [entry.address for entry in body.entries]
        self.book.note_entries(listed, body.keep_ms, now_ms)
        return bool(listed)


def build_call(
    address: str,
    request: CallerRequest,
    remaining_ms: float,
    *,
    stream: bool = False,
) -> HttpCall:
    """Builds the HTTP call for one attempt of a request.

    Args:
        address: Address of the entry.
        request: The request to run.
        remaining_ms: Milliseconds left to the deadline.
        stream: Whether to request the tokens as server-sent events.
    """
    headers = {
        **request.headers,
        ORGANISATION_HEADER: request.organisation,
        IDEMPOTENCY_KEY_HEADER: request.idempotency_key,
        REQUEST_ID_HEADER: request.request_id,
        DEADLINE_HEADER: str(max(int(remaining_ms), 1)),
    }
    if stream:
        headers['accept'] = EVENT_STREAM_TYPE
    return HttpCall(
        address=address,
        method='POST',
        path=f'/v1/pipelines/{request.pipeline}',
        body=encode_json(request.body),
        headers=headers,
        timeout_ms=max(remaining_ms, 1) + ANSWER_GRACE_MS,
    )


async def _cancel(task: asyncio.Future[Any]) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
