"""Runs a request through the stages of its pipeline."""

import contextlib
import dataclasses
from collections.abc import Mapping
from typing import Any, Protocol

from .clock import Clock
from .configuration import REQUEST_INPUT, Configuration, Pipeline, Stage
from .errors import ErrorKind, Ran, Refusal, RefusalError
from .events import Event, log_event
from .requests import (
    AdmittedRequest,
    Answer,
    PipelineRequest,
    StageRequest,
    StageResult,
    TokenSink,
)

Outcome = Answer | Refusal


class ConfigurationSource(Protocol):
    """Tells the configuration in force."""

    def current(self) -> Configuration | None:
        """Returns the configuration, or none before one is known."""


class ServingPermission(Protocol):
    """Tells whether the entry may admit new work."""

    def check(self) -> Refusal | None:
        """Returns why work may not be admitted, or none if it may."""


class Admission(Protocol):
    """Decides which requests start and when."""

    def admit(
        self,
        admitted: AdmittedRequest,
    ) -> contextlib.AbstractAsyncContextManager[None]:
        """Holds the request's place from its start to its end.

        Args:
            admitted: The request.

        Raises:
            RefusalError: If it may not start.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimGrant:
    """Leave to run a non-idempotent request, or its known outcome."""

    key: str
    attempt_id: str
    outcome: Outcome | None = None


class ClaimGate(Protocol):
    """Lets a non-idempotent request run at most once."""

    async def recall(self, admitted: AdmittedRequest) -> Outcome | None:
        """Returns how another attempt of the request's key ends.

        Args:
            admitted: A request that needs a claim.

        Returns:
            The outcome, or none if no other attempt is known.

        Raises:
            RefusalError: If the key can't be claimed.
        """

    async def acquire(self, admitted: AdmittedRequest) -> ClaimGrant:
        """Claims the request's key before its first unrepeatable call.

        Args:
            admitted: The request.

        Returns:
            A grant; if it carries an outcome, nothing may be run.

        Raises:
            RefusalError: If the key can't be claimed.
        """

    async def complete(self, grant: ClaimGrant, outcome: Outcome) -> None:
        """Records how a granted request ended."""

    async def abandon(self, grant: ClaimGrant, refusal: Refusal) -> None:
        """Gives a grant up under which nothing was run."""


class StageStore(Protocol):
    """Keeps finished stage results until their request ends."""

    async def load(self, admitted: AdmittedRequest) -> dict[str, StageResult]:
        """Returns the finished stages of a request by name."""

    def tokens(self, admitted: AdmittedRequest) -> tuple[str, ...]:
        """Returns the tokens of the output stage that are known already."""

    async def save(
        self,
        admitted: AdmittedRequest,
        result: StageResult,
    ) -> None:
        """Keeps a finished stage."""

    async def forget(self, admitted: AdmittedRequest) -> None:
        """Drops what was kept for a request that has ended."""


class StageRunner(Protocol):
    """Runs one stage to its whole result."""

    async def run(self, stage_request: StageRequest) -> StageResult:
        """Runs a stage.

        Args:
            stage_request: The stage and its inputs.

        Raises:
            RefusalError: If there is no whole result.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class PipelineGates:
    """Everything that a request passes on its way."""

    configurations: ConfigurationSource
    permission: ServingPermission
    admission: Admission
    claims: ClaimGate
    store: StageStore
    dispatcher: StageRunner


@dataclasses.dataclass(slots=True)
class RunState:
    """How far a request has come."""

    results: dict[str, StageResult] = dataclasses.field(default_factory=dict)
    grant: ClaimGrant | None = None
    ran: Ran = Ran.NOT_RUN
    tokens: tuple[str, ...] = ()


class PipelineRunner:
    """Runs requests; every one ends with an answer or a refusal."""

    def __init__(self, gates: PipelineGates, clock: Clock) -> None:
        """Wraps the gates.

        Args:
            gates: What requests pass.
            clock: Source of time.
        """
        self._gates = gates
        self._clock = clock

    async def run(
        self,
        request: PipelineRequest,
        sink: TokenSink | None = None,
    ) -> Outcome:
        """Runs a request to its outcome.

        Args:
            request: What the caller asked for.
            sink: Where tokens of the output stage go, if streamed.

        Returns:
            The whole answer or an honest refusal.
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
        """Ties a request to the configuration now in force."""
        configuration = self._gates.configurations.current()
        if configuration is None:
            raise RefusalError(Refusal(ErrorKind.NOT_READY))
        refusal = self._gates.permission.check()
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
        """Runs a request, unless another attempt of its key is known."""
        results = await self._gates.store.load(admitted)
        state = RunState(
            results=results,
            ran=_ran_before(admitted, results),
            tokens=self._gates.store.tokens(admitted),
        )
        outcome = await self._recall(admitted, state)
        if outcome is not None:
            return outcome
        async with self._gates.admission.admit(admitted):
            return await self._run_admitted(admitted, state, sink)

    async def _recall(
        self,
        admitted: AdmittedRequest,
        state: RunState,
    ) -> Outcome | None:
        """Returns the outcome of another attempt of the key, if known.

        An attempt whose outcome is unknown is gone on with, if all that may
        not be repeated is known to have finished.
        """
        if not admitted.configuration.needs_claim(admitted.pipeline):
            return None
        outcome = await self._gates.claims.recall(admitted)
        if not isinstance(outcome, Refusal):
            return outcome
        unknown = outcome.ran is Ran.UNKNOWN
        if unknown and _has_no_claim_left(admitted, state):
            return None
        raise RefusalError(_with_progress(outcome, state))

    async def _run_admitted(
        self,
        admitted: AdmittedRequest,
        state: RunState,
        sink: TokenSink | None,
    ) -> Outcome:
        try:
            outcome: Outcome = await self._run_stages(admitted, state, sink)
        except RefusalError as error:
            outcome = _with_progress(error.refusal, state)
        except Exception as error:
            log_event(
                Event.REQUEST_FAILED,
                request_id=admitted.request.request_id,
                reason=repr(error),
            )
            outcome = Refusal(ErrorKind.INTERNAL, ran=Ran.UNKNOWN)
        await self._settle(state, outcome)
        await self._gates.store.forget(admitted)
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
                state.grant = await self._gates.claims.acquire(admitted)
                if state.grant.outcome is not None:
                    return state.grant.outcome
            await stage_request.replay_tokens()
            result = await self._gates.dispatcher.run(stage_request)
            state.results[stage.name] = result
            if not stage_request.idempotent:
                state.ran = Ran.RAN
            await self._gates.store.save(admitted, result)
        return _build_answer(admitted, state)

    async def _settle(self, state: RunState, outcome: Outcome) -> None:
        """Records the outcome of a claimed request."""
        grant = state.grant
        if grant is None or grant.outcome is not None:
            return
        if isinstance(outcome, Refusal) and outcome.ran is Ran.NOT_RUN:
            await self._gates.claims.abandon(grant, outcome)
            return
        await self._gates.claims.complete(grant, outcome)


def _stage_request(
    admitted: AdmittedRequest,
    stage: Stage,
    state: RunState,
    sink: TokenSink | None,
) -> StageRequest:
    inputs = {
        source: _input_of(source, admitted, state) for source in stage.inputs
    }
    if sink is None or not _may_stream(admitted, stage):
        return StageRequest(admitted, stage, inputs)
    return StageRequest(admitted, stage, inputs, sink, state.tokens)


def _ran_before(
    admitted: AdmittedRequest,
    results: Mapping[str, StageResult],
) -> Ran:
    """Tells whether an earlier run did what may not be repeated."""
    services = admitted.configuration.services
    ran = any(
        stage.name in results and not services[stage.service].idempotent
        for stage in admitted.pipeline.stages
    )
    return Ran.RAN if ran else Ran.NOT_RUN


def _has_no_claim_left(admitted: AdmittedRequest, state: RunState) -> bool:
    """Tells whether every stage that may not be repeated has finished."""
    services = admitted.configuration.services
    return all(
        stage.name in state.results or services[stage.service].idempotent
        for stage in admitted.pipeline.stages
    )


def _may_stream(admitted: AdmittedRequest, stage: Stage) -> bool:
    service = admitted.configuration.services[stage.service]
    return stage.name == admitted.pipeline.output and service.kind == 'engine'


def _input_of(
    source: str,
    admitted: AdmittedRequest,
    state: RunState,
) -> Any:
    if source == REQUEST_INPUT:
        return admitted.request.body
    return state.results[source].output


def _with_progress(refusal: Refusal, state: RunState) -> Refusal:
    ran = refusal.ran if state.ran is Ran.NOT_RUN else state.ran
    if refusal.ran is Ran.UNKNOWN:
        ran = Ran.UNKNOWN
    return dataclasses.replace(
        refusal,
        ran=ran,
        stages_ran=tuple(state.results),
    )


def _build_answer(admitted: AdmittedRequest, state: RunState) -> Answer:
    pipeline: Pipeline = admitted.pipeline
    return Answer(
        request_id=admitted.request.request_id,
        pipeline=pipeline.name,
        configuration_version=admitted.configuration.version,
        output=state.results[pipeline.output].output,
        stages=tuple(state.results.values()),
    )
