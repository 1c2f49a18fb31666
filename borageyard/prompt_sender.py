"""Sends prompts to engines and observes how far their answers get."""

import contextlib
import dataclasses
from collections.abc import AsyncIterator

from .answer_progress import AnswerProgress
from .clock import Clock
from .events import Event, log_event
from .inbound import (
    SendError,
    SendFailure,
    TargetAnswer,
    TargetSend,
    TargetSender,
)
from .request_keys import identify_request


class PromptSender:
    """Target sender that records answers which break off."""

    def __init__(self, sender: TargetSender, clock: Clock) -> None:
        """Wraps a target sender.

        Args:
            sender: Sends requests to targets.
            clock: Monotonic clock.
        """
        self._sender = sender
        self._clock = clock

    @contextlib.asynccontextmanager
    async def send(self, send: TargetSend) -> AsyncIterator[TargetAnswer]:
        """Sends a request; exiting the context early cancels it."""
        progress = AnswerProgress()
        async with contextlib.AsyncExitStack() as stack:
            try:
                answer = await stack.enter_async_context(
                    self._sender.send(send)
                )
            except SendError as error:
                self._note_error(send, progress, error)
                raise
            progress.begun_at_ms = self._clock.steady_ms()
            yield dataclasses.replace(
                answer, chunks=self._observe(send, progress, answer.chunks)
            )

    async def _observe(
        self,
        send: TargetSend,
        progress: AnswerProgress,
        chunks: AsyncIterator[bytes],
    ) -> AsyncIterator[bytes]:
        """Yields the chunks of a body and records its progress."""
        try:
            async for chunk in chunks:
                progress.note_bytes(chunk, self._clock.steady_ms())
                yield chunk
        except SendError as error:
            self._note_error(send, progress, error)
            raise

    def _note_error(
        self, send: TargetSend, progress: AnswerProgress, error: SendError
    ) -> None:
        if error.failure is SendFailure.UNKNOWN:
            self._log_lost(send, progress, str(error))

    def _log_lost(
        self, send: TargetSend, progress: AnswerProgress, reason: str
    ) -> None:
        keys = identify_request(send.request)
        log_event(
            Event.SEND_LOST,
            request_id=send.request.request_id,
            target_id=send.target.target_id,
            request_key=keys.request_key,
            part_keys=sorted(keys.part_keys),
            stage=progress.stage.value,
            wrote_ms=round(progress.wrote_ms(self._clock.steady_ms())),
            reason=reason,
        )
