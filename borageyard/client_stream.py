"""Reads the streamed answer of an entry in the caller's client."""

import contextlib
import dataclasses
from collections.abc import AsyncGenerator, AsyncIterator, Iterable, Mapping
from typing import Any

from .document_validation import DocumentError, parse_json
from .errors import ErrorKind, Refusal, RunStatus
from .event_payloads import read_events
from .http_client import (
    HttpCall,
    HttpCallError,
    HttpClient,
    HttpReply,
)
from .requests import Answer
from .target_client import TokenEvent
from .wire import ANSWER_EVENT_TYPE, REFUSAL_EVENT_TYPE, decode_outcome

STATUS_OK = 200

Outcome = Answer | Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class StreamRestart:
    """Discards the tokens yielded so far; the next one has offset 0."""


class StreamReader:
    """One attempt to read a stream; continues after the tokens received."""

    def __init__(
        self,
        http: HttpClient,
        call: HttpCall,
        received: list[str],
    ) -> None:
        """Creates an attempt without sending it.

        Args:
            http: Client that sends the call.
            call: The HTTP call of this attempt.
            received: Tokens of earlier attempts; new ones are appended.
        """
        self.outcome: Outcome | None = None
        self.error: HttpCallError | None = None
        self._http = http
        self._call = call
        self._received = received

    async def events(
        self,
    ) -> AsyncGenerator[TokenEvent | StreamRestart, None]:
        """Yields the tokens that the caller does not have yet.

        Sets ``outcome`` if the stream ended with one, or ``error`` if the
        call failed.
        """
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
            if document.get('type') in {ANSWER_EVENT_TYPE, REFUSAL_EVENT_TYPE}:
                self.outcome = _decode(document)
                return
            for event in self._add_token(document):
                yield event

    def _add_token(
        self,
        document: Mapping[str, Any],
    ) -> Iterable[TokenEvent | StreamRestart]:
        offset = int(document.get('offset', 0))
        token = str(document.get('token', ''))
        if offset < len(self._received):
            if self._received[offset] == token:
                return ()
            # Another run produced other tokens: discard those yielded.
            while len(self._received) > offset:
                self._received.pop()
            self._received.append(token)
            return (StreamRestart(), *_token_events(self._received))
        self._received.append(token)
        return (TokenEvent(offset, token),)


def _token_events(tokens: Iterable[str]) -> Iterable[TokenEvent]:
    return [
        TokenEvent(*offset_and_token) for offset_and_token in enumerate(tokens)
    ]


def decode_reply(reply: HttpReply) -> Outcome:
    """Returns the outcome in a complete response.

    Args:
        reply: The response; a malformed one means an unknown outcome.
    """
    kind = (
        ANSWER_EVENT_TYPE if reply.status == STATUS_OK else REFUSAL_EVENT_TYPE
    )
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
