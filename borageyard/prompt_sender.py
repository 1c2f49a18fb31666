"""Sends prompts to engines and observes how far their answers get."""

import contextlib
import dataclasses
from collections.abc import AsyncIterator

from .clock import Clock
from .engine_watch import EngineWatch
from .errors import ErrorKind, Refusal, RefusalError, RunStatus
from .events import Event, log_event
from .inbound import (
    InboundRequest,
    SendError,
    SendFailure,
    TargetAnswer,
    TargetSend,
    TargetSender,
)
from .quarantine_guard import QuarantinedError, QuarantineGuard
from .run_tracker import EngineSend

STATUS_OK = 200


class PromptSender:
    """Target sender that keeps prompts which crash engines from them."""

    def __init__(
        self,
        sender: TargetSender,
        watch: EngineWatch,
        guard: QuarantineGuard,
        clock: Clock,
    ) -> None:
        """Wraps a target sender.

        Args:
            sender: Sends requests to targets.
            watch: Observes the answers of engines.
            guard: Refuses requests that crash engines.
            clock: Monotonic clock.
        """
        self._sender = sender
        self._watch = watch
        self._guard = guard
        self._clock = clock

    @contextlib.asynccontextmanager
    async def placing(
        self, request: InboundRequest, *, may_have_run: bool
    ) -> AsyncIterator[None]:
        """Ends the wait within the context if the request is quarantined.

        Args:
            request: The caller's request.
            may_have_run: Whether an earlier send of it may have run.

        Raises:
            RefusalError: If the request is or becomes quarantined.
        """
        try:
            async with self._guard.watching(request):
                yield
        except QuarantinedError as error:
            refusal = _failed(error) if may_have_run else error.refusal
            raise RefusalError(refusal) from error

    @contextlib.asynccontextmanager
    async def send(self, send: TargetSend) -> AsyncIterator[TargetAnswer]:
        """Sends a request; exiting the context early cancels it.

        Raises:
            RefusalError: If the request is quarantined before its answer
                begins.
            SendError: If the answer is incomplete.
        """
        async with contextlib.AsyncExitStack() as stack:
            try:
                tracked, answer = await self._open(send, stack)
            except QuarantinedError as error:
                raise RefusalError(_failed(error)) from error
            if answer.status == STATUS_OK:
                chunks = self._observe(send, tracked, answer)
                answer = dataclasses.replace(answer, chunks=chunks)
            else:
                self._watch.note_dropped(tracked)
            yield answer

    async def _open(
        self, send: TargetSend, stack: contextlib.AsyncExitStack
    ) -> tuple[EngineSend, TargetAnswer]:
        """Sends a request and waits for the head of the answer."""
        async with self._guard.watching(send.request):
            tracked = self._watch.start(send.request, send.target)
            stack.callback(self._watch.note_given_up, tracked)
            try:
                answer = await stack.enter_async_context(
                    self._sender.send(send)
                )
            except SendError as error:
                self._note_error(send, tracked, error)
                raise
        self._watch.note_answering(tracked)
        return tracked, answer

    async def _observe(
        self,
        send: TargetSend,
        tracked: EngineSend,
        answer: TargetAnswer,
    ) -> AsyncIterator[bytes]:
        """Yields the chunks of a body and records its progress."""
        progress = tracked.progress
        try:
            async for chunk in answer.chunks:
                self._watch.note_bytes(tracked, chunk)
                yield chunk
        except SendError as error:
            self._note_error(send, tracked, error)
            raise
        if progress.ends_with_event:
            self._watch.note_whole(tracked, framed=answer.framed)
        else:
            # The end of a connection may look like the end of an answer.
            self._note_lost(send, tracked, 'the last event is incomplete')

    def _note_error(
        self, send: TargetSend, tracked: EngineSend, error: SendError
    ) -> None:
        if error.failure is SendFailure.UNKNOWN:
            self._note_lost(send, tracked, str(error))
        else:
            self._watch.note_dropped(tracked)

    def _note_lost(
        self, send: TargetSend, tracked: EngineSend, reason: str
    ) -> None:
        progress = tracked.progress
        log_event(
            Event.SEND_LOST,
            request_id=send.request.request_id,
            target_id=send.target.target_id,
            request_key=tracked.keys.request_key,
            part_keys=sorted(tracked.keys.part_keys),
            stage=progress.stage.value,
            wrote_ms=round(progress.wrote_ms(self._clock.steady_ms())),
            reason=reason,
        )
        self._watch.note_lost(tracked, send.target.address)


def _failed(error: QuarantinedError) -> Refusal:
    """Returns the refusal of a request that may have run."""
    return Refusal(
        ErrorKind.TARGET_FAILED, ran=RunStatus.UNKNOWN, detail=str(error)
    )
