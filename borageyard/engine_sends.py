"""Sends streaming requests to engines: grants, retries and outcomes."""

import collections
import functools
import types
from collections.abc import Callable, Mapping

from .chains import ChainSpec, ChainStage
from .clock import Clock
from .engine_exchange import EngineExchange
from .engine_placer import Prompt
from .errors import ErrorKind, Refusal, RefusalError
from .events import Event, log_event
from .fleet_state import FleetState
from .http_messages import media_type
from .inbound import (
    EngineSender,
    InboundRequest,
    SendError,
    SendFailure,
    TargetSend,
)
from .plans import ChainRefusal, Denial, Grant
from .request_context import RequestContext
from .retry_budget import RetryBudget
from .roster import RosterRow
from .scheduler_client import SchedulerClient
from .send_trace import SendTrace, log_failed_send
from .stream_origin_service import StreamOriginService
from .stream_origins import StreamOrigin
from .stream_state import StreamState
from .target_speed.target_speeds import EngineStart

STATUS_OK = 200
EMPTY_PROMPT = Prompt('', (), 0, 0)
# Soft deadline of a resumed stream, whose caller waits for the next event.
RESUME_SOFT_DEADLINE_MS = 600
# Margin for the time that a caller spends between two requests.
STREAM_AGE_MARGIN_MS = 5000
# Least urgent priority that engines accept; 0 is the most urgent.
MAX_ENGINE_PRIORITY = 9
ERROR_KINDS: Mapping[ChainRefusal, ErrorKind] = types.MappingProxyType(
    {
        ChainRefusal.NO_TIME: ErrorKind.DEADLINE_UNREACHABLE,
        ChainRefusal.SHARE: ErrorKind.DEADLINE_UNREACHABLE,
        ChainRefusal.NO_TARGET: ErrorKind.NO_TARGET,
        ChainRefusal.FAILING: ErrorKind.NO_TARGET,
    },
)


class EngineSends:
    """Sends of streaming requests to the engines that a scheduler grants."""

    def __init__(
        self,
        state: FleetState,
        sender: EngineSender,
        scheduler: SchedulerClient,
        retries: RetryBudget,
        clock: Clock,
        origins: StreamOriginService,
    ) -> None:
        """Composes the sends.

        Args:
            state: Holds the target roster.
            sender: Sends requests to targets.
            scheduler: Runs stages and selects engines.
            retries: Retry budget.
            clock: Monotonic clock.
            origins: Is told which version began a stream.
        """
        self.entry_count = 1
        # Failure domain of this entry; empty if it is unknown.
        self.failure_domain = ''
        # Requests sent to other failure domains, by service.
        self.remote_sends: collections.Counter[str] = collections.Counter()
        self._state = state
        self._sender = sender
        self._scheduler = scheduler
        self._retries = retries
        self._clock = clock
        self._origins = origins

    def left_ms(self, stream: StreamState) -> float:
        """Returns the time until the deadline of a request."""
        return stream.context.deadline_at_ms - self._clock.steady_ms()

    def build(
        self,
        stream: StreamState,
        grant: Grant,
        on_progress: Callable[[], None],
    ) -> EngineExchange:
        """Returns an exchange with the engine that was granted.

        Args:
            stream: The stream.
            grant: Engine and inputs.
            on_progress: Called when there is something to read.
        """
        route = stream.context.route
        send = TargetSend(
            request=stream.request,
            target=grant.placement.engine,
            left_ms=self.left_ms(stream),
            organisation=stream.context.organisation,
            priority=min(stream.context.priority, MAX_ENGINE_PRIORITY),
            input_handles=grant.handles if route.stages else None,
            last_event_id=stream.last_event_id,
            repeatable=route.repeatable,
            trace=SendTrace(
                on_resend=functools.partial(
                    self._note_resend, stream.context.service
                )
            ),
        )
        now_ms = self._clock.steady_ms()
        if self.failure_domain not in {'', send.target.failure_domain}:
            self.remote_sends[stream.context.service] += 1
        stream.history.note_sent(send.target, now_ms)
        exchange = EngineExchange(self._sender, send, on_progress)
        if stream.exchange is None and not stream.last_event_id:
            exchange.sent_at_ms = now_ms
        return exchange

    def check_head(
        self,
        stream: StreamState,
        exchange: EngineExchange,
        *,
        is_resume: bool,
    ) -> None:
        """Checks that an answer may be relayed, once its head has arrived.

        Args:
            stream: The stream.
            exchange: Exchange whose answer is read.
            is_resume: Whether only a stream may be relayed.

        Raises:
            SendError: If the engine has not run the request, or can't go on
                with the stream.
        """
        head = exchange.relayed_head
        if head.wrong_target:
            self._state.roster.avoid(exchange.engine)
        head.require_relayable()
        if is_resume and head.status != STATUS_OK:
            raise SendError(SendFailure.UNKNOWN, f'status {head.status}')
        content_type = media_type(head.headers)
        # Before the caller has a head, a standby's may state any type.
        if stream.relaying and content_type != stream.content_type:
            raise SendError(
                SendFailure.UNKNOWN, f'content type {content_type!r}'
            )
        if not stream.fits(exchange.engine):
            raise SendError(SendFailure.UNKNOWN, 'other version')

    def note_accepted(
        self, stream: StreamState, exchange: EngineExchange
    ) -> None:
        """Records that the answer of an engine is relayed.

        Args:
            stream: The stream.
            exchange: Exchange with the engine.
        """
        exchange.accepted = True
        if exchange.relayed_head.status != STATUS_OK:
            return
        self._scheduler.note_started(
            stream.request.request_id, self._start_of(exchange)
        )
        self._note_begun(stream, exchange.engine)
        if stream.relaying:
            log_event(
                Event.STREAM_RESUMED,
                request_id=stream.request.request_id,
                target_id=exchange.engine.target_id,
                software_version=exchange.engine.software_version,
                last_event_id=stream.last_event_id,
                reason=stream.resume_reason,
            )

    def release_inputs(self, stream: StreamState) -> None:
        """Lets the scheduler free the inputs that were made for a request."""
        self._scheduler.note_started(stream.request.request_id)

    async def place(
        self, stream: StreamState, besides: RosterRow | None = None
    ) -> Grant:
        """Runs the stages and returns the grant of an engine.

        Args:
            stream: The stream.
            besides: Engine that is silent, if another one is asked beside it.

        Raises:
            RefusalError: If no engine is granted.
        """
        context = stream.context
        request = stream.request
        now_ms = self._clock.steady_ms()
        soft_deadline_at_ms = context.soft_deadline_at_ms
        if stream.framer.event_count:
            soft_deadline_at_ms = now_ms + RESUME_SOFT_DEADLINE_MS
        excluded = set(stream.failed_engine_ids)
        avoided = set(stream.broken_engine_ids)
        if besides is not None:
            # The scheduler turns other requests away from an excluded engine.
            unwanted = avoided if stream.framer.event_count else excluded
            unwanted.add(besides.target_id)
        spec = ChainSpec(
            chain_id=request.request_id,
            piece_key=request.piece_key,
            stages=_chain_stages(context, request),
            engine_service=context.service,
            prompt=request.prompt or EMPTY_PROMPT,
            priority=context.priority,
            soft_deadline_at_ms=soft_deadline_at_ms,
            deadline_at_ms=context.deadline_at_ms,
            received_at_ms=request.received_at_ms,
            software_version=stream.software_version,
            avoided=frozenset(avoided),
            organisation=context.organisation,
        )
        async with self._sender.placing(
            request, may_have_run=stream.history.may_have_run
        ):
            outcome = await self._scheduler.place(spec, frozenset(excluded))
        if isinstance(outcome, Denial):
            log_event(
                Event.CHAIN_DENIED,
                request_id=request.request_id,
                reason=outcome.reason.value,
                retry_after_ms=round(outcome.retry_after_ms),
            )
            raise RefusalError(_denial_refusal(stream, outcome))
        if not stream.fits(outcome.placement.engine):
            # Schedulers of earlier builds do not know the version.
            raise RefusalError(stream.history.build_refusal('other version'))
        return outcome

    def record_failure(
        self, stream: StreamState, exchange: EngineExchange, error: SendError
    ) -> None:
        """Records once that an engine did not complete the stream.

        Args:
            stream: The stream.
            exchange: Exchange with the engine.
            error: How it failed.
        """
        if exchange.failed:
            return
        exchange.fail(error)
        engine_id = exchange.engine.target_id
        failure = error.failure
        if exchange.accepted:
            # It may be used again if there is no other one.
            stream.broken_engine_ids.add(engine_id)
            failure = SendFailure.UNKNOWN
        else:
            stream.failed_engine_ids.add(engine_id)
            self._scheduler.note_failed(stream.request.request_id, engine_id)
        stream.note_run_ended(exchange, failure)
        log_failed_send(
            stream.request.request_id,
            engine_id,
            failure.value,
            str(error),
            exchange.trace,
        )

    def has_other_engine(self, stream: StreamState) -> bool:
        """Returns whether an engine besides the present one may go on."""
        present = stream.present.engine
        excluded = stream.failed_engine_ids | {present.target_id}
        return any(
            row.target_id not in excluded and stream.fits(row)
            for row in self._state.roster.ready(stream.context.service)
        )

    def is_listed(self, engine: RosterRow) -> bool:
        """Returns whether the roster lists an engine, in its incarnation."""
        row = self._state.roster.find(engine.target_id)
        return row is not None and row.incarnation == engine.incarnation

    def holds_inputs(self, stream: StreamState) -> bool:
        """Returns whether the present engine may still read its inputs.

        The scheduler has one grant for each request, so it may free them when
        another engine is asked for.

        Args:
            stream: The stream.
        """
        present = stream.present
        return (
            bool(stream.context.route.stages)
            and not present.accepted
            and self.is_listed(present.engine)
        )

    def may_send_again(self, stream: StreamState) -> bool:
        """Returns whether another send is allowed; spends retry budget."""
        return self.may_ask_again(stream) and self.spend_retry(stream)

    def spend_retry(self, stream: StreamState) -> bool:
        """Spends retry budget; returns whether there was some."""
        return self._retries.try_spend(
            stream.context.service,
            self._clock.steady_ms(),
            self.entry_count,
        )

    def may_ask_again(self, stream: StreamState) -> bool:
        """Returns whether another send would be allowed."""
        route = stream.context.route
        if not stream.history.allows_another_send(
            route.max_attempts,
            may_rerun=route.resumable,
        ):
            return False
        now_ms = self._clock.steady_ms()
        if now_ms >= stream.context.deadline_at_ms:
            return False
        return self._retries.has_room(
            stream.context.service,
            now_ms,
            self.entry_count,
        )

    def _note_resend(self, service: str) -> None:
        self._retries.note_spent(service, self._clock.steady_ms())

    def _start_of(self, exchange: EngineExchange) -> EngineStart:
        """Returns when an engine started its answer, and what it stated."""
        after_ms: float | None = None
        if exchange.sent_at_ms is not None:
            after_ms = self._clock.steady_ms() - exchange.sent_at_ms
        load = exchange.relayed_head.load
        return EngineStart(
            exchange.engine.target_id,
            after_ms,
            None if load is None else load.slowdown_ratio,
        )

    def _note_begun(self, stream: StreamState, engine: RosterRow) -> None:
        """Binds a stream to the version of the engine that began it."""
        stream.software_version = engine.software_version
        if not stream.context.route.resumable:
            return
        wait_ms = max(
            stream.request.wait_ms or 0, stream.context.route.timeout_ms
        )
        self._origins.note_begun(
            StreamOrigin(
                stream.origin_id,
                engine.service,
                engine.software_version,
                stream.request.received_at_ms + wait_ms + STREAM_AGE_MARGIN_MS,
            ),
        )


def _denial_refusal(stream: StreamState, denial: Denial) -> Refusal:
    """Returns the refusal of a request that is denied an engine."""
    if stream.history.may_have_run:
        return stream.history.build_refusal(denial.reason.value)
    return Refusal(
        ERROR_KINDS[denial.reason],
        detail=denial.reason.value,
        retry_after_ms=round(denial.retry_after_ms),
    )


def _chain_stages(
    context: RequestContext,
    request: InboundRequest,
) -> tuple[ChainStage, ...]:
    counts = request.piece_counts
    return tuple(
        ChainStage(
            service=stage.service,
            pieces=counts[number] if number < len(counts) else 0,
            after=stage.after,
            result_bytes=stage.result_bytes,
            work_kind='/'.join((context.route.name, str(number))),
        )
        for number, stage in enumerate(context.route.stages)
    )
