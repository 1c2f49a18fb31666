"""Relays requests to services whose answers are buffered, not streamed."""

import asyncio
import functools

from .answer_body import AnswerReader
from .clock import MS_PER_S, Clock
from .errors import RefusalError
from .fleet_state import FleetState
from .http_messages import HttpResponse
from .inbound import (
    InboundRequest,
    SendError,
    TargetAnswer,
    TargetSend,
    TargetSender,
)
from .permit_service import PermitService
from .request_context import RequestContext
from .retry_budget import RetryBudget
from .roster import RosterRow
from .send_history import SendHistory
from .send_permits import SendClass
from .send_trace import SendTrace, log_failed_send
from .target_picker import TargetPicker
from .target_speed.speed_reports import log_speed_changes

FIRST_SERVER_ERROR = 500
# Longest wait for a permit of a target with a limit: a small part of the time
# in which users expect plain answers (400 ms on their load sheets).
MAX_PERMIT_WAIT_MS = 100


class BufferedRelay:
    """Sends a request to a target of its service and retries if allowed."""

    def __init__(
        self,
        state: FleetState,
        sender: TargetSender,
        retries: RetryBudget,
        failure_domain: str,
        clock: Clock,
        permits: PermitService,
        reader: AnswerReader,
    ) -> None:
        """Composes a relay.

        Args:
            state: Holds the target roster.
            sender: Sends requests to targets.
            retries: Retry budget.
            failure_domain: Failure domain of this entry.
            clock: Monotonic clock.
            permits: Requests permits to send to targets with limits.
            reader: Reads answers that are held whole.
        """
        self._reader = reader
        self._permits = permits
        self.entry_count = 1
        self._state = state
        self._sender = sender
        self._retries = retries
        self._failure_domain = failure_domain
        self._clock = clock
        self.picker = TargetPicker(failure_domain)

    async def answer(
        self,
        request: InboundRequest,
        context: RequestContext,
        history: SendHistory,
    ) -> HttpResponse:
        """Returns a target's answer with its complete body.

        If every send that was allowed failed with a server error, the last
        such answer is returned.

        Args:
            request: The caller's request.
            context: Route and deadline of the request.
            history: Updated with each send.

        Raises:
            RefusalError: If no target is available, or a send failed and no
                other one is allowed.
        """
        answer: HttpResponse | None = None
        while answer is None or self._may_replace(context, history, answer):
            target = await self._pick(context, history)
            if target is None:
                break
            answer = (
                await self._attempt(request, context, target, history) or answer
            )
        if answer is None:
            detail = f'no target of {context.service}'
            raise RefusalError(history.build_refusal(detail))
        return answer

    async def _attempt(
        self,
        request: InboundRequest,
        context: RequestContext,
        target: RosterRow,
        history: SendHistory,
    ) -> HttpResponse | None:
        """Sends once; returns None if another send is allowed.

        Raises:
            RefusalError: If the send failed and no other one is allowed.
        """
        now_ms = self._clock.steady_ms()
        send = TargetSend(
            request=request,
            target=target,
            left_ms=context.deadline_at_ms - now_ms,
            organisation=context.organisation,
            repeatable=context.route.repeatable,
            trace=SendTrace(
                on_resend=functools.partial(self._note_resend, context.service)
            ),
        )
        history.note_sent(target, now_ms)
        if target.failure_domain != self._failure_domain:
            self.picker.remote_sends[context.service] += 1
        try:
            answer = await self._send(send, history)
        except SendError as error:
            self._record_failure(send, history, error)
            if not self._may_send_again(context, history):
                raise RefusalError(history.build_refusal(str(error))) from error
            return None
        if answer.status < FIRST_SERVER_ERROR:
            self.picker.note_run(
                target,
                context.route.name,
                self._clock.steady_ms() - now_ms,
                len(request.body) + len(answer.body),
            )
        return answer

    async def _pick(
        self, context: RequestContext, history: SendHistory
    ) -> RosterRow | None:
        """Returns a target that permits a send, or None without one.

        Waits for a permit only if there will be one very soon.
        """
        until_ms = self._clock.steady_ms() + MAX_PERMIT_WAIT_MS
        target = await self._pick_permitted(context, history)
        while target is None and history.permit_wait_ms is not None:
            wait_ms = history.permit_wait_ms
            if self._clock.steady_ms() + wait_ms > until_ms:
                break
            await asyncio.sleep(wait_ms / MS_PER_S)
            target = await self._pick_permitted(context, history)
        return target

    async def _pick_permitted(
        self, context: RequestContext, history: SendHistory
    ) -> RosterRow | None:
        """Returns the best target that permits a send now, or None."""
        is_repeat = bool(history.tried)
        send_class = SendClass.SECONDARY if is_repeat else SendClass.FIRST
        excluded = set(history.tried)
        history.permit_wait_ms = None
        while True:
            target = self.picker.pick(
                self._state.roster.ready(context.service),
                excluded,
                self._failure_domain,
                self._clock.steady_ms(),
            )
            if target is None:
                return None
            wait_ms = await self._permits.acquire(target, send_class)
            if not wait_ms:
                return target
            excluded.add(target.target_id)
            history.note_limited(wait_ms)

    async def _send(
        self, send: TargetSend, history: SendHistory
    ) -> HttpResponse:
        """Sends once; raises SendError also if the target ran nothing."""
        target = send.target
        with self.picker.count_in_flight(target):
            async with self._sender.send(send) as answer:
                body = await self._reader.read(answer.chunks)
                self._check_answer(target, answer, history)
                response = HttpResponse(
                    answer.status,
                    body,
                    content_type='',
                    headers=answer.headers,
                )
        history.note_answer()
        if response.status >= FIRST_SERVER_ERROR:
            self.picker.note_failure(target, self._clock.steady_ms())
        else:
            self.picker.note_success(target)
        return response

    def _check_answer(
        self,
        target: RosterRow,
        answer: TargetAnswer,
        history: SendHistory,
    ) -> None:
        if answer.load is not None:
            now_ms = self._clock.steady_ms()
            self.picker.note_load(target, answer.load, now_ms)
            log_speed_changes(self.picker.speeds)
        if answer.wrong_target:
            self._state.roster.avoid(target)
        answer.require_relayable()

    def _record_failure(
        self, send: TargetSend, history: SendHistory, error: SendError
    ) -> None:
        self.picker.note_failure(send.target, self._clock.steady_ms())
        history.note_failure(error.failure)
        log_failed_send(
            send.request.request_id,
            send.target.target_id,
            error.failure.value,
            str(error),
            send.trace,
        )

    def _note_resend(self, service: str) -> None:
        self._retries.note_spent(service, self._clock.steady_ms())

    def _may_replace(
        self,
        context: RequestContext,
        history: SendHistory,
        answer: HttpResponse,
    ) -> bool:
        """Returns whether an answer is a server error that may be retried."""
        if answer.status < FIRST_SERVER_ERROR:
            return False
        return self._may_send_again(context, history)

    def _may_send_again(
        self, context: RequestContext, history: SendHistory
    ) -> bool:
        """Returns whether another send is allowed; spends retry budget."""
        route = context.route
        if not history.allows_another_send(
            route.max_attempts,
            may_rerun=route.repeatable,
        ):
            return False
        now_ms = self._clock.steady_ms()
        return self._retries.try_spend(
            context.service, now_ms, self.entry_count
        )
