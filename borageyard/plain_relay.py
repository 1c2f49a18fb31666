"""Relays requests to plain services, whose answers are whole."""

from .clock import Clock
from .errors import RefusalError
from .events import Event, log_event
from .fleet_state import FleetState
from .http_messages import HttpResponse
from .inbound import (
    InboundRequest,
    SendError,
    SendFailure,
    TargetAnswer,
    TargetSend,
    TargetSender,
)
from .relay_terms import RelayTerms
from .retry_window import RetryWindow
from .roster import RosterRow
from .send_tally import SendTally
from .target_picker import TargetPicker

FIRST_SERVER_ERROR = 500


class PlainRelay:
    """Sends a request to a target of its service, and again where allowed."""

    def __init__(
        self,
        state: FleetState,
        sender: TargetSender,
        retries: RetryWindow,
        domain: str,
        clock: Clock,
    ) -> None:
        """Composes a relay.

        Args:
            state: Targets.
            sender: The way to them.
            retries: Budget of repeated sends.
            domain: Failure domain of this entry.
            clock: Source of steady time.
        """
        self.entries_known = 1
        self._state = state
        self._sender = sender
        self._retries = retries
        self._domain = domain
        self._clock = clock
        self._picker = TargetPicker(domain)

    async def answer(
        self,
        request: InboundRequest,
        terms: RelayTerms,
        tally: SendTally,
    ) -> HttpResponse:
        """Returns a target's whole answer.

        Args:
            request: The caller's request.
            terms: Its route and how long it may take.
            tally: Takes in what was sent.

        Raises:
            RefusalError: If there is none.
        """
        answer: HttpResponse | None = None
        while answer is None or self._may_repeat(terms, tally, answer):
            target = self._pick(terms, tally)
            if target is None:
                break
            answer = await self._try(request, terms, target, tally) or answer
        if answer is None:
            detail = f'no target of {terms.service}'
            raise RefusalError(tally.refuse(detail))
        return answer

    async def _try(
        self,
        request: InboundRequest,
        terms: RelayTerms,
        target: RosterRow,
        tally: SendTally,
    ) -> HttpResponse | None:
        """Returns an answer, or none if another send may be tried.

        Raises:
            RefusalError: If there is no answer and none may be tried.
        """
        try:
            return await self._send(request, terms, target, tally)
        except SendError as error:
            self._note_failure(request, target, tally, error)
            if not self._may_go_on(terms, tally):
                raise RefusalError(tally.refuse(str(error))) from error
        return None

    def _pick(self, terms: RelayTerms, tally: SendTally) -> RosterRow | None:
        return self._picker.pick(
            self._state.roster.ready(terms.service),
            tally.tried,
            self._domain,
            self._clock.steady_ms(),
        )

    async def _send(
        self,
        request: InboundRequest,
        terms: RelayTerms,
        target: RosterRow,
        tally: SendTally,
    ) -> HttpResponse:
        """Sends once; raises SendError also where nothing was run."""
        now_ms = self._clock.steady_ms()
        send = TargetSend(
            request=request,
            target=target,
            left_ms=terms.deadline_at_ms - now_ms,
            organisation=terms.organisation,
            repeatable=terms.route.repeatable,
        )
        tally.tried.add(target.target_id)
        tally.sent = True
        with self._picker.count_in_flight(target):
            async with self._sender.send(send) as answer:
                body = await _read_body(answer)
                self._note_answer(target, answer, tally)
                response = HttpResponse(
                    answer.status,
                    body,
                    content_type='',
                    headers=answer.headers,
                )
        tally.ran += 1
        if response.status >= FIRST_SERVER_ERROR:
            self._picker.note_failure(target, self._clock.steady_ms())
        else:
            self._picker.note_success(target)
        return response

    def _note_answer(
        self,
        target: RosterRow,
        answer: TargetAnswer,
        tally: SendTally,
    ) -> None:
        if answer.load is not None:
            now_ms = self._clock.steady_ms()
            self._picker.note_load(target, answer.load, now_ms)
        if answer.wrong_target:
            self._state.roster.avoid(target)
        if answer.not_run:
            tally.sent = False
            raise SendError(SendFailure.NOT_SENT, f'status {answer.status}')

    def _note_failure(
        self,
        request: InboundRequest,
        target: RosterRow,
        tally: SendTally,
        error: SendError,
    ) -> None:
        self._picker.note_failure(target, self._clock.steady_ms())
        tally.note_failure(error.failure)
        log_event(
            Event.SEND_FAILED,
            request_id=request.request_id,
            target_id=target.target_id,
            failure=error.failure.value,
            reason=str(error),
        )

    def _may_repeat(
        self,
        terms: RelayTerms,
        tally: SendTally,
        answer: HttpResponse,
    ) -> bool:
        """Tells whether an answer that is a failure may be replaced."""
        if answer.status < FIRST_SERVER_ERROR:
            return False
        return self._may_go_on(terms, tally)

    def _may_go_on(self, terms: RelayTerms, tally: SendTally) -> bool:
        """Tells whether the request may be sent once more."""
        route = terms.route
        if not tally.allows_another(
            route.max_attempts,
            may_rerun=route.repeatable,
        ):
            return False
        now_ms = self._clock.steady_ms()
        return self._retries.take(terms.service, now_ms, self.entries_known)


async def _read_body(answer: TargetAnswer) -> bytes:
    return b''.join([chunk async for chunk in answer.chunks])
