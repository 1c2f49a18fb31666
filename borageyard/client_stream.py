"""Reads the streamed answer of an entry on the side of its caller."""

import contextlib
import dataclasses
from collections.abc import AsyncGenerator, AsyncIterator, Iterable, Mapping
from typing import Any

from .border import DocumentError, parse_json
from .errors import ErrorKind, Refusal, RunStatus
from .http_client import (
    HttpCall,
    HttpCallError,
    HttpClient,
    HttpReply,
    read_events,
)
from .requests import Answer
from .target_client import TokenEvent
from .wire import ANSWER_TYPE, REFUSAL_TYPE, decode_outcome

STATUS_OK = 200

Outcome = Answer | Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class StreamRestart:
    """Tokens sent so far are void; those that follow start over."""


class StreamReader:
    """One attempt to read a stream, from the next token on."""

    def __init__(
        self,
        http: HttpClient,
        call: HttpCall,
        received: list[str],
    ) -> None:
        """Prepares an attempt.

        Args:
            http: Sends the call.
            call: The attempt.
            received: Tokens of earlier attempts; the new ones are added.
        """
        self.outcome: Outcome | None = None
        self.error: HttpCallError | None = None
        self._http = http
        self._call = call
        self._received = received

    async def events(
        self,
    ) -> AsyncGenerator[TokenEvent | StreamRestart, None]:
        """Yields the tokens that the caller does not have yet."""
        try:
            async with self._http.stream(self._call) as (status, _, chunks):
                async for event in self._read(status, chunks):
                    yield event
        except HttpCallError as error:
            self.error = error

    async def _read(
        self,
        status: int,
        chunks: AsyncIterator[bytes],
    ) -> AsyncIterator[TokenEvent | StreamRestart]:
        if status != STATUS_OK:
            body = b''.join([chunk async for chunk in chunks])
            self.outcome = decode_reply(HttpReply(status, {}, body))
            return
        async for payload in read_events(chunks):
            document = _parse(payload)
            if document.get('type') in {ANSWER_TYPE, REFUSAL_TYPE}:
                self.outcome = _decode(document)
                return
            for event in self._take(document):
                yield event

    def _take(
        self,
        document: Mapping[str, Any],
    ) -> Iterable[TokenEvent | StreamRestart]:
        offset = int(document.get('offset', 0))
        token = str(document.get('token', ''))
        if offset < len(self._received):
            if self._received[offset] == token:
                return ()
            # Another run gave other tokens: what was sent is void.
            while len(self._received) > offset:
                self._received.pop()
            self._received.append(token)
            return (StreamRestart(), *_token_events(self._received))
        self._received.append(token)
        return (TokenEvent(offset, token),)


def _token_events(tokens: Iterable[str]) -> Iterable[TokenEvent]:
    return [TokenEvent(*numbered) for numbered in enumerate(tokens)]


def decode_reply(reply: HttpReply) -> Outcome:
    """Returns the outcome in a whole response.

    Args:
        reply: The response; one that makes no sense is an unknown outcome.
    """
    kind = ANSWER_TYPE if reply.status == STATUS_OK else REFUSAL_TYPE
    return _decode({**_parse(reply.body), 'type': kind})


def _decode(document: Mapping[str, Any]) -> Outcome:
    try:
        return decode_outcome(document)
    except DocumentError as error:
        return Refusal(
            ErrorKind.OUTCOME_UNKNOWN,
            ran=RunStatus.UNKNOWN,
            detail=str(error),
        )


def _parse(text: bytes) -> Mapping[str, Any]:
    with contextlib.suppress(DocumentError):
        document = parse_json(text, 'response')
        return document if isinstance(document, dict) else {}
    return {}
