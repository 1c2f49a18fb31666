"""Runs one stage of a request on targets."""

import contextlib
import dataclasses
from collections.abc import Iterator

from .clock import Clock
from .errors import ErrorKind, Ran, Refusal, RefusalError
from .events import Event, log_event
from .identifiers import new_identifier
from .requests import StageRequest, StageResult
from .routing import Router
from .target import (
    FailureKind,
    TargetAnswer,
    TargetCall,
    TargetClient,
    TargetError,
)
from .targets import TargetDirectory, TargetState

MAX_ATTEMPTS = 3


@dataclasses.dataclass(slots=True)
class StageProgress:
    """What earlier attempts of a stage have left."""

    attempts: int = 0
    failed_targets: set[str] = dataclasses.field(default_factory=set)
    tokens: list[str] = dataclasses.field(default_factory=list)
    last_error: TargetError | None = None


class StageDispatcher:
    """Chooses targets, calls them and repeats what may be repeated."""

    def __init__(
        self,
        directory: TargetDirectory,
        router: Router,
        client: TargetClient,
        clock: Clock,
    ) -> None:
        """Wraps the ways to targets.

        Args:
            directory: Known targets.
            router: Chooses among them.
            client: Calls them.
            clock: Source of time.
        """
        self._directory = directory
        self._router = router
        self._client = client
        self._clock = clock

    async def run(self, stage_request: StageRequest) -> StageResult:
        """Runs a stage to its whole result.

        Args:
            stage_request: The stage and its inputs.

        Returns:
            The result.

        Raises:
            RefusalError: If there is no whole result.
        """
        started_ms = self._clock.steady_ms()
        progress = StageProgress(tokens=list(stage_request.resume_tokens))
        while True:
            target = self._choose(stage_request, progress)
            call = self._build_call(stage_request, progress)
            progress.attempts += 1
            try:
                answer = await self._attempt(
                    stage_request,
                    progress,
                    call,
                    target,
                )
            except TargetError as error:
                self._note_failure(call, target, error)
                progress.failed_targets.add(target.target_id)
                progress.last_error = error
                self._require_repeatable(stage_request, progress, error)
                continue
            return StageResult(
                stage=stage_request.stage.name,
                target_id=target.target_id,
                output=answer.output,
                duration_ms=self._clock.steady_ms() - started_ms,
                attempts=progress.attempts,
                tokens=answer.tokens,
                cached_tokens=answer.cached_tokens,
            )

    def _choose(
        self,
        stage_request: StageRequest,
        progress: StageProgress,
    ) -> TargetState:
        candidates = self._directory.candidates(stage_request.stage.service)
        target = self._router.choose(candidates, progress.failed_targets)
        if target is not None:
            return target
        detail = stage_request.stage.service
        if progress.last_error is None:
            raise RefusalError(Refusal(ErrorKind.NO_TARGET, detail=detail))
        raise RefusalError(Refusal(ErrorKind.TARGET_FAILED, detail=detail))

    def _build_call(
        self,
        stage_request: StageRequest,
        progress: StageProgress,
    ) -> TargetCall:
        admitted = stage_request.admitted
        request = admitted.request
        stage = stage_request.stage
        left_ms = request.expires_at_ms - self._clock.steady_ms()
        if left_ms <= 0:
            raise RefusalError(Refusal(ErrorKind.DEADLINE_EXCEEDED))
        service = admitted.configuration.services[stage.service]
        return TargetCall(
            attempt_id=new_identifier(),
            request_id=request.request_id,
            stage=stage.name,
            inputs=stage_request.inputs,
            deadline_ms=min(left_ms, stage.timeout_ms),
            idempotent=service.idempotent,
            idempotency_key=request.idempotency_key,
            organisation=request.organisation,
            operation=stage.operation,
            model=service.model,
            model_version=admitted.configuration.model_version(service),
            priority=request.priority,
            cache_prefix=request.cache_prefix,
            stream=stage_request.sink is not None,
            resume_from=len(progress.tokens),
            trace_parent=request.trace_parent,
        )

    async def _attempt(
        self,
        stage_request: StageRequest,
        progress: StageProgress,
        call: TargetCall,
        target: TargetState,
    ) -> TargetAnswer:
        with _counted(target):
            if stage_request.sink is None:
                return await self._client.call(target.instance.address, call)
            return await self._relay(stage_request, progress, call, target)

    async def _relay(
        self,
        stage_request: StageRequest,
        progress: StageProgress,
        call: TargetCall,
        target: TargetState,
    ) -> TargetAnswer:
        sink = stage_request.sink
        events = self._client.stream(target.instance.address, call)
        async for event in events:
            if event.done:
                return TargetAnswer(
                    output={'text': ''.join(progress.tokens)},
                    tokens=event.tokens,
                    cached_tokens=event.cached_tokens,
                )
            progress.tokens.append(event.token)
            if sink is not None:
                await sink.send(event)
        raise TargetError(FailureKind.CRASH, 'stream ended early')

    def _require_repeatable(
        self,
        stage_request: StageRequest,
        progress: StageProgress,
        error: TargetError,
    ) -> None:
        if not stage_request.idempotent and not error.not_run:
            refusal = Refusal(
                ErrorKind.OUTCOME_UNKNOWN,
                ran=Ran.UNKNOWN,
                detail=str(error),
            )
            raise RefusalError(refusal) from error
        if progress.attempts >= MAX_ATTEMPTS:
            refusal = Refusal(ErrorKind.TARGET_FAILED, detail=str(error))
            raise RefusalError(refusal) from error

    def _note_failure(
        self,
        call: TargetCall,
        target: TargetState,
        error: TargetError,
    ) -> None:
        crossed = error.kind is FailureKind.CROSSED
        log_event(
            Event.ANSWER_CROSSED if crossed else Event.ATTEMPT_FAILED,
            request_id=call.request_id,
            attempt_id=call.attempt_id,
            stage=call.stage,
            target_id=target.target_id,
            failure=error.kind.value,
            reason=error.reason,
        )


@contextlib.contextmanager
def _counted(target: TargetState) -> Iterator[None]:
    target.in_flight += 1
    try:
        yield
    finally:
        target.in_flight -= 1
