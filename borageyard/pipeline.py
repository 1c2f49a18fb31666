"""Runs a request through the stages of its pipeline."""

import dataclasses
from typing import Any

from .clock import Clock
from .configuration import REQUEST_INPUT, Stage
from .errors import ErrorKind, Refusal, RefusalError, RunStatus
from .events import Event, log_event
from .pipeline_interfaces import Outcome, PipelineDependencies
from .requests import (
    AdmittedRequest,
    PipelineRequest,
    StageRequest,
    TokenSink,
)
from .run_state import (
    RunState,
    build_answer,
    earlier_run_status,
    with_stages_ran,
)


class PipelineRunner:
    """Runs requests; each ends with an answer or a refusal."""

    def __init__(
        self,
        dependencies: PipelineDependencies,
        clock: Clock,
    ) -> None:
        """Creates the runner.

        Args:
            dependencies: Components that take part in running a request.
            clock: Source of time.
        """
        self._dependencies = dependencies
        self._clock = clock

    async def run(
        self,
        request: PipelineRequest,
        sink: TokenSink | None = None,
    ) -> Outcome:
        """Runs a request to its outcome.

        Args:
            request: The request of the caller.
            sink: Receives the tokens of the output stage, if streamed.

        Returns:
            The complete answer, or a refusal that states what has run.
        """
        try:
            return await self._run_pinned(self._pin(request), sink)
        except RefusalError as error:
            refusal = error.refusal
        log_event(
            Event.REQUEST_REFUSED,
            request_id=request.request_id,
            pipeline=request.pipeline,
            kind=refusal.kind.value,
            not_run=refusal.not_run,
            detail=refusal.detail,
        )
        return refusal

    def _pin(self, request: PipelineRequest) -> AdmittedRequest:
        """Pins a request to the configuration that is now in force.

        Its deadline becomes at most the pipeline's deadline from now.

        Raises:
            RefusalError: If the entry may not admit work, or the pipeline or
                organisation is unknown.
        """
        configuration = self._dependencies.configurations.current()
        if configuration is None:
            raise RefusalError(Refusal(ErrorKind.NOT_READY))
        refusal = self._dependencies.permission.check()
        if refusal is not None:
            raise RefusalError(refusal)
        pipeline = configuration.pipelines.get(request.pipeline)
        if pipeline is None:
            detail = f'pipeline {request.pipeline}'
            raise RefusalError(Refusal(ErrorKind.NOT_FOUND, detail=detail))
        if request.organisation not in configuration.organisations:
            detail = f'organisation {request.organisation}'
            raise RefusalError(Refusal(ErrorKind.NOT_FOUND, detail=detail))
        latest_ms = self._clock.steady_ms() + pipeline.deadline_ms
        bounded = dataclasses.replace(
            request,
            expires_at_ms=min(request.expires_at_ms, latest_ms),
        )
        return AdmittedRequest(bounded, pipeline, configuration)

    async def _run_pinned(
        self,
        admitted: AdmittedRequest,
        sink: TokenSink | None,
    ) -> Outcome:
        """Runs a request, unless its key already has a recorded outcome."""
        results = await self._dependencies.store.load(admitted)
        state = RunState(
            results=results,
            ran=earlier_run_status(admitted, results),
            tokens=self._dependencies.store.tokens(admitted),
        )
        outcome = await self._recall(admitted, state)
        if outcome is not None:
            return outcome
        async with self._dependencies.admission.admit(admitted):
            return await self._run_admitted(admitted, state, sink)

    async def _recall(
        self,
        admitted: AdmittedRequest,
        state: RunState,
    ) -> Outcome | None:
        """Returns the outcome of another attempt under the key, if known.

        An attempt with an unknown outcome is continued if all its
        non-idempotent stages are known to have finished.

        Raises:
            RefusalError: If another attempt was refused, or its outcome is
                unknown and it can't be continued.
        """
        if not admitted.configuration.needs_claim(admitted.pipeline):
            return None
        outcome = await self._dependencies.claims.recall(admitted)
        if not isinstance(outcome, Refusal):
            return outcome
        unknown = outcome.ran is RunStatus.UNKNOWN
        if unknown and admitted.non_idempotent_stages <= state.results.keys():
            return None
        raise RefusalError(with_stages_ran(outcome, state))

    async def _run_admitted(
        self,
        admitted: AdmittedRequest,
        state: RunState,
        sink: TokenSink | None,
    ) -> Outcome:
        try:
            outcome: Outcome = await self._run_stages(admitted, state, sink)
        except RefusalError as error:
            outcome = with_stages_ran(error.refusal, state)
        except Exception as error:
            log_event(
                Event.REQUEST_FAILED,
                request_id=admitted.request.request_id,
                reason=repr(error),
            )
            outcome = Refusal(ErrorKind.INTERNAL, ran=RunStatus.UNKNOWN)
        await self._record_outcome(state, outcome)
        await self._dependencies.store.forget(admitted)
        if isinstance(outcome, Refusal):
            raise RefusalError(outcome)
        return outcome

    async def _run_stages(
        self,
        admitted: AdmittedRequest,
        state: RunState,
        sink: TokenSink | None,
    ) -> Outcome:
        for stage in admitted.pipeline.stages:
            if stage.name in state.results:
                continue
            stage_request = _stage_request(admitted, stage, state, sink)
            if not stage_request.idempotent and state.grant is None:
                state.grant = await self._dependencies.claims.acquire(admitted)
                if state.grant.outcome is not None:
                    return state.grant.outcome
            await stage_request.replay_tokens()
            result = await self._dependencies.dispatcher.run(stage_request)
            state.results[stage.name] = result
            if not stage_request.idempotent:
                state.ran = RunStatus.RAN
            await self._dependencies.store.save(admitted, result)
        return build_answer(admitted, state)

    async def _record_outcome(self, state: RunState, outcome: Outcome) -> None:
        """Records the outcome of a claimed request.

        If nothing has run, the claim is abandoned instead.
        """
        grant = state.grant
        if grant is None or grant.outcome is not None:
            return
        if isinstance(outcome, Refusal) and outcome.ran is RunStatus.NOT_RUN:
            await self._dependencies.claims.abandon(grant, outcome)
            return
        await self._dependencies.claims.complete(grant, outcome)


def _stage_request(
    admitted: AdmittedRequest,
    stage: Stage,
    state: RunState,
    sink: TokenSink | None,
) -> StageRequest:
    inputs = {
        source: _stage_input(source, admitted, state) for source in stage.inputs
    }
    if sink is None or not _may_stream(admitted, stage):
        return StageRequest(admitted, stage, inputs)
    return StageRequest(admitted, stage, inputs, sink, state.tokens)


def _may_stream(admitted: AdmittedRequest, stage: Stage) -> bool:
    service = admitted.configuration.services[stage.service]
    return stage.name == admitted.pipeline.output and service.kind == 'engine'


def _stage_input(
    source: str,
    admitted: AdmittedRequest,
    state: RunState,
) -> Any:
    if source == REQUEST_INPUT:
        return admitted.request.body
    return state.results[source].output
