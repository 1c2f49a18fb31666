"""Runs one stage of a request on targets, with retries and hedging."""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator, Awaitable, Iterable

from .attempts import AttemptRunner, StageProgress
from .clock import MS_PER_S
from .costs import WasteReason
from .errors import ErrorKind, Refusal, RefusalError, RunStatus
from .events import Event, log_event
from .policy import EntryPolicy, request_digest
from .quarantine import QuarantineStatus
from .requests import StageRequest, StageResult
from .routing import Route
from .service_queue import RETRY_AFTER_MS
from .suspect_isolation import SuspectIsolation
from .target_client import FailureKind, TargetAnswer, TargetClient, TargetError

MAX_ATTEMPTS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class StageAnswer:
    """The first complete answer of a stage and the route it came from."""

    route: Route
    answer: TargetAnswer


class StageDispatcher:
    """Runs stages to a complete result, also when targets fail."""

    def __init__(
        self,
        policy: EntryPolicy,
        client: TargetClient,
        suspects: SuspectIsolation,
    ) -> None:
        """Creates the dispatcher.

        Args:
            policy: Chooses targets and decides on retries and hedges.
            client: Calls targets.
            suspects: Isolates requests that are suspected of crashing targets.
        """
        self._suspects = suspects
        self._policy = policy
        self._clock = policy.clock
        self._attempts = AttemptRunner(policy, client)

    async def run(self, stage_request: StageRequest) -> StageResult:
        """Runs a stage until it has a complete result.

        Args:
            stage_request: The stage and its inputs.

        Returns:
            The result.

        Raises:
            RefusalError: If there is no complete result.
        """
        progress = StageProgress(
            self._clock.steady_ms(),
            tokens=list(stage_request.resume_tokens),
        )
        self._policy.retries.note_first_attempt(stage_request.stage.service)
        while True:
            self._require_time(stage_request)
            try:
                first = await self._run_once(stage_request, progress)
            except TargetError as error:
                announced = self._announce_crash(error)
                self._require_retryable(stage_request, progress, error)
                if announced is not None:
                    await announced
                continue
            return self._build_result(stage_request, progress, first)

    def _announce_crash(self, error: TargetError) -> Awaitable[None] | None:
        """Starts to notify peers of a crash.

        This happens before the decision on a retry, so that peers learn of
        the crash also if there is none.

        Returns:
            An awaitable to wait for before a retry, or ``None`` if it was no
            crash.
        """
        if error.kind is FailureKind.CRASH:
            return self._suspects.start_notifying_peers()
        return None

    async def _run_once(
        self,
        stage_request: StageRequest,
        progress: StageProgress,
    ) -> StageAnswer:
        async with self._acquire_route(stage_request, progress) as route:
            if self._may_hedge(stage_request, route):
                return await self._run_with_hedge(
                    stage_request,
                    progress,
                    route,
                )
            return await self._run_on_route(stage_request, progress, route)

    @contextlib.asynccontextmanager
    async def _acquire_route(
        self,
        stage_request: StageRequest,
        progress: StageProgress,
    ) -> AsyncIterator[Route]:
        """Holds a slot on a target while the stage runs there.

        A suspect gets a target on which no other suspect runs.
        """
        queues = self._policy.queues
        placement_request = self._policy.placement_request(
            stage_request,
            progress.failed_targets,
        )
        requested_at_ms = self._clock.steady_ms()
        async with contextlib.AsyncExitStack() as stack:
            if self._is_suspect(stage_request):
                route = await stack.enter_async_context(
                    self._suspects.exclusive_route(placement_request)
                )
            else:
                route = await queues.acquire(placement_request)
                stack.callback(queues.release, route)
            progress.waited_ms += self._clock.steady_ms() - requested_at_ms
            self._mark_started(stage_request)
            yield route

    async def _run_on_route(
        self,
        stage_request: StageRequest,
        progress: StageProgress,
        route: Route,
        waste_reason: WasteReason = WasteReason.RETRY,
    ) -> StageAnswer:
        answer = await self._attempts.run(
            stage_request,
            progress,
            route,
            waste_reason,
        )
        if route.isolated:
            digest = request_digest(
                stage_request.admitted,
                stage_request.stage.service,
            )
            self._policy.quarantine.note_finished(digest)
        return StageAnswer(route, answer)

    async def _run_with_hedge(
        self,
        stage_request: StageRequest,
        progress: StageProgress,
        route: Route,
    ) -> StageAnswer:
        """Sends a hedge if the first attempt is late; uses the first answer."""
        first = asyncio.ensure_future(
            self._run_on_route(stage_request, progress, route),
        )
        with contextlib.ExitStack() as stack:
            stack.callback(first.cancel)
            delay_ms = self._policy.hedge_delay_ms(stage_request)
            await asyncio.wait((first,), timeout=delay_ms / MS_PER_S)
            if first.done():
                return await first
            hedge_route = self._policy.acquire_hedge_route(stage_request, route)
            if hedge_route is None:
                return await first
            stack.callback(self._policy.queues.release, hedge_route)
            second = asyncio.ensure_future(
                self._run_on_route(
                    stage_request, progress, hedge_route, WasteReason.HEDGE
                ),
            )
            stack.callback(second.cancel)
            return await _first_complete((first, second))

    def _may_hedge(self, stage_request: StageRequest, route: Route) -> bool:
        return (
            self._policy.options.hedging
            and stage_request.idempotent
            and stage_request.sink is None
            and not route.isolated
        )

    def _is_suspect(self, stage_request: StageRequest) -> bool:
        status = self._policy.quarantine_status(
            stage_request.admitted,
            stage_request.stage.service,
        )
        return status is QuarantineStatus.SUSPECT

    def _mark_started(self, stage_request: StageRequest) -> None:
        admitted = stage_request.admitted
        stage = stage_request.stage
        if stage.name in admitted.progress.started_stages:
            return
        admitted.progress.started_stages.add(stage.name)
        self._policy.backlog.add(stage.service, admitted.organisation, -1)

    def _require_time(self, stage_request: StageRequest) -> None:
        """Raises a refusal if too little time is left for a stage.

        It also refuses a request that has been quarantined meanwhile.
        """
        service = stage_request.stage.service
        self._policy.refuse_quarantined(stage_request.admitted, (service,))
        now_ms = self._clock.steady_ms()
        if now_ms >= stage_request.admitted.request.expires_at_ms:
            raise RefusalError(
                Refusal(
                    ErrorKind.DEADLINE_EXCEEDED,
                    retry_after_ms=RETRY_AFTER_MS,
                ),
            )
        if now_ms >= self._policy.latest_start_ms(stage_request):
            stage = stage_request.stage.name
            refusal = Refusal(
                ErrorKind.DEADLINE_UNREACHABLE,
                detail=f'too late for {stage}',
                retry_after_ms=RETRY_AFTER_MS,
            )
            raise RefusalError(refusal)

    def _require_retryable(
        self,
        stage_request: StageRequest,
        progress: StageProgress,
        error: TargetError,
    ) -> None:
        """Raises a refusal unless a failed attempt may be retried."""
        if not stage_request.idempotent and not error.not_run:
            refusal = Refusal(
                ErrorKind.OUTCOME_UNKNOWN,
                ran=RunStatus.UNKNOWN,
                detail=str(error),
            )
            raise RefusalError(refusal) from error
        self._require_time(stage_request)
        if progress.attempts < MAX_ATTEMPTS:
            if self._may_retry(stage_request, error):
                return
        refusal = Refusal(
            ErrorKind.TARGET_FAILED,
            detail=str(error),
            retry_after_ms=RETRY_AFTER_MS,
        )
        raise RefusalError(refusal) from error

    def _may_retry(
        self,
        stage_request: StageRequest,
        error: TargetError,
    ) -> bool:
        """Takes a retry from the budget and returns whether it allows one.

        After a failed connection the retry is free, as no target ran the
        attempt.
        """
        service = stage_request.stage.service
        if error.kind is FailureKind.CONNECT:
            return True
        if self._policy.retries.take_retry(service):
            return True
        log_event(
            Event.RETRY_DENIED,
            request_id=stage_request.admitted.request.request_id,
            service=service,
        )
        return False

    def _build_result(
        self,
        stage_request: StageRequest,
        progress: StageProgress,
        first: StageAnswer,
    ) -> StageResult:
        route = first.route
        duration_ms = self._clock.steady_ms() - progress.started_at_ms
        log_event(
            Event.STAGE_ROUTED,
            request_id=stage_request.admitted.request.request_id,
            stage=stage_request.stage.name,
            target_id=route.target.target_id,
            predicted_ms=route.predicted_ms,
            cache_saves_ms=route.saved_ms,
            waited_ms=progress.waited_ms,
            duration_ms=duration_ms,
        )
        return StageResult(
            stage=stage_request.stage.name,
            target_id=route.target.target_id,
            output=first.answer.output,
            duration_ms=duration_ms,
            attempts=progress.attempts,
            tokens=first.answer.tokens,
            cached_tokens=first.answer.cached_tokens,
            waited_ms=progress.waited_ms,
        )


async def _first_complete(
    attempts: Iterable[asyncio.Future[StageAnswer]],
) -> StageAnswer:
    """Returns the first answer; raises only if all attempts have failed."""
    pending = set(attempts)
    while True:
        done, pending = await asyncio.wait(
            pending,
            return_when=asyncio.FIRST_COMPLETED,
        )
        for attempt in done:
            if attempt.exception() is None or not pending:
                return await attempt
