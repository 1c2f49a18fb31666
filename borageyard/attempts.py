"""Runs one attempt of a stage on a chosen target."""

import asyncio
import contextlib
import dataclasses

from .costs import WasteReason
from .errors import ErrorKind, Refusal, RefusalError
from .events import Event, log_event
from .identifiers import new_identifier
from .policy import EntryPolicy
from .requests import StageRequest
from .routing import Route
from .target_client import (
    FailureKind,
    TargetAnswer,
    TargetCall,
    TargetClient,
    TargetError,
)


@dataclasses.dataclass(slots=True)
class StageProgress:
    """State of a stage that is carried from one attempt to the next."""

    started_at_ms: float
    attempts: int = 0
    waited_ms: float = 0
    failed_targets: list[str] = dataclasses.field(default_factory=list)
    tokens: list[str] = dataclasses.field(default_factory=list)


class AttemptRunner:
    """Calls targets and reports the results to the policy."""

    def __init__(self, policy: EntryPolicy, client: TargetClient) -> None:
        """Creates the runner.

        Args:
            policy: Learns from answers and failures.
            client: Calls targets.
        """
        self._policy = policy
        self._client = client
        self._clock = policy.clock

    async def run(
        self,
        stage_request: StageRequest,
        progress: StageProgress,
        route: Route,
        waste_reason: WasteReason = WasteReason.RETRY,
    ) -> TargetAnswer:
        """Runs one attempt until it has a complete answer.

        Args:
            stage_request: The stage and its inputs.
            progress: State of earlier attempts; updated by this one.
            route: Route to the target.
            waste_reason: Reason under which the attempt is accounted for as
                wasted if it is cancelled.

        Returns:
            The answer.

        Raises:
            RefusalError: If no time is left.
            TargetError: If there is no complete answer.
        """
        call = self._build_call(stage_request, progress)
        progress.attempts += 1
        started_at_ms = self._clock.steady_ms()
        try:
            answer = await self._call_target(
                stage_request, progress, call, route
            )
        except TargetError as error:
            duration_ms = self._clock.steady_ms() - started_at_ms
            progress.failed_targets.append(route.target.target_id)
            self._note_failure(stage_request, call, route, error)
            self._policy.note_wasted(
                stage_request, duration_ms, WasteReason.RETRY
            )
            raise
        except asyncio.CancelledError:
            duration_ms = self._clock.steady_ms() - started_at_ms
            self._policy.note_wasted(stage_request, duration_ms, waste_reason)
            raise
        duration_ms = self._clock.steady_ms() - started_at_ms
        self._policy.note_answer(
            stage_request,
            route.target,
            answer,
            duration_ms,
        )
        return answer

    def _build_call(
        self,
        stage_request: StageRequest,
        progress: StageProgress,
    ) -> TargetCall:
        admitted = stage_request.admitted
        request = admitted.request
        stage = stage_request.stage
        service = admitted.configuration.services[stage.service]
        return TargetCall(
            attempt_id=new_identifier(),
            request_id=request.request_id,
            stage=stage.name,
            inputs=stage_request.inputs,
            deadline_ms=self._attempt_timeout_ms(stage_request),
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

    def _attempt_timeout_ms(self, stage_request: StageRequest) -> float:
        """Returns the time left for the stage, at most its timeout.

        Raises:
            RefusalError: If no time is left.
        """
        now_ms = self._clock.steady_ms()
        remaining_ms = self._policy.stage_deadline_ms(stage_request) - now_ms
        if remaining_ms > 0:
            return min(remaining_ms, stage_request.stage.timeout_ms)
        raise RefusalError(Refusal(ErrorKind.DEADLINE_EXCEEDED))

    async def _call_target(
        self,
        stage_request: StageRequest,
        progress: StageProgress,
        call: TargetCall,
        route: Route,
    ) -> TargetAnswer:
        address = route.target.instance.address
        if stage_request.sink is None:
            return await self._client.call(address, call)
        return await self._relay_stream(stage_request, progress, call, address)

    async def _relay_stream(
        self,
        stage_request: StageRequest,
        progress: StageProgress,
        call: TargetCall,
        address: str,
    ) -> TargetAnswer:
        sink = stage_request.sink
        stream = self._client.stream(address, call)
        async with contextlib.aclosing(stream) as events:
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

    def _note_failure(
        self,
        stage_request: StageRequest,
        call: TargetCall,
        route: Route,
        error: TargetError,
    ) -> None:
        crossed = error.kind is FailureKind.CROSSED
        log_event(
            Event.ANSWER_CROSSED if crossed else Event.ATTEMPT_FAILED,
            request_id=call.request_id,
            attempt_id=call.attempt_id,
            stage=call.stage,
            target_id=route.target.target_id,
            failure=error.kind.value,
            reason=error.reason,
        )
        self._policy.note_failure(stage_request.admitted, route, error)
