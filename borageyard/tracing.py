"""Spans for the steps of a request, propagated as W3C trace context.

Without an exporter an entry isn't wrapped in these classes and creates no
spans; the trace context of the caller is then passed on unchanged.
"""

import contextlib
import dataclasses
import sys
from collections.abc import AsyncIterator, Iterator
from typing import Protocol

from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import (
    ConsoleSpanExporter,
    SimpleSpanProcessor,
    SpanExporter,
)
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

from .errors import Refusal
from .generated.settings import EntrySettings
from .pipeline_interfaces import (
    Admission,
    ClaimGate,
    ClaimGrant,
    Outcome,
    PipelineDependencies,
    StageRunner,
)
from .requests import (
    AdmittedRequest,
    PipelineRequest,
    StageRequest,
    StageResult,
    TokenSink,
)
from .target_client import TargetCall

TRACE_PARENT_HEADER = 'traceparent'
EXPORTER_CONSOLE = 'console'


class RequestRunner(Protocol):
    """Runs a request to its outcome."""

    async def run(
        self,
        request: PipelineRequest,
        sink: TokenSink | None = None,
    ) -> Outcome:
        """Runs a request to its outcome."""


def entry_tracer(
    settings: EntrySettings,
    exporter: SpanExporter | None = None,
) -> trace.Tracer | None:
    """Returns the tracer of an entry, or None without an exporter.

    Args:
        settings: Settings with the instance ID and the exporter.
        exporter: Exporter that replaces the one in the settings.
    """
    telemetry = settings.telemetry
    if exporter is None and telemetry is not None:
        exporter = _build_exporter(telemetry.span_exporter)
    if exporter is None:
        return None
    resource = Resource(
        {
            'service.name': 'borageyard',
            'service.instance.id': settings.instance_id,
        },
    )
    provider = TracerProvider(resource=resource, shutdown_on_exit=False)
    provider.add_span_processor(SimpleSpanProcessor(exporter))
    return provider.get_tracer('borageyard')


class TracedRequestRunner:
    """Opens a span for each request, a child of the caller's span."""

    def __init__(self, runner: RequestRunner, tracer: trace.Tracer) -> None:
        """Wraps a runner.

        Args:
            runner: Request runner to wrap.
            tracer: Tracer that opens the spans.
        """
        self._runner = runner
        self._tracer = tracer

    async def run(
        self,
        request: PipelineRequest,
        sink: TokenSink | None = None,
    ) -> Outcome:
        """Runs a request within its span."""
        carrier = {TRACE_PARENT_HEADER: request.trace_parent}
        parent = TraceContextTextMapPropagator().extract(carrier)
        attributes = {
            'request_id': request.request_id,
            'pipeline': request.pipeline,
            'organisation': request.organisation,
        }
        with self._tracer.start_as_current_span(
            'request',
            context=parent,
            kind=trace.SpanKind.SERVER,
            attributes=attributes,
        ) as span:
            outcome = await self._runner.run(request, sink)
            ended = 'answer'
            if isinstance(outcome, Refusal):
                ended = outcome.kind.value
            span.set_attribute('outcome', ended)
            return outcome


class TracedAdmission:
    """Opens a span for the time that a request waits for admission."""

    def __init__(self, admission: Admission, tracer: trace.Tracer) -> None:
        """Wraps an admission.

        Args:
            admission: Admission to wrap.
            tracer: Tracer that opens the spans.
        """
        self._admission = admission
        self._tracer = tracer

    @contextlib.asynccontextmanager
    async def admit(self, admitted: AdmittedRequest) -> AsyncIterator[None]:
        """Holds the admission; its span ends when the request starts."""
        async with contextlib.AsyncExitStack() as stack:
            with self._tracer.start_as_current_span('admission'):
                place = self._admission.admit(admitted)
                await stack.enter_async_context(place)
            yield


class TracedClaimGate:
    """Opens a span for each call to the claim gate."""

    def __init__(self, claims: ClaimGate, tracer: trace.Tracer) -> None:
        """Wraps a claim gate.

        Args:
            claims: Claim gate to wrap; it lets a request run at most once.
            tracer: Tracer that opens the spans.
        """
        self._claims = claims
        self._tracer = tracer

    async def recall(self, admitted: AdmittedRequest) -> Outcome | None:
        """Returns the outcome of another attempt with the same key."""
        with self._tracer.start_as_current_span('claim_recall'):
            return await self._claims.recall(admitted)

    async def acquire(self, admitted: AdmittedRequest) -> ClaimGrant:
        """Claims the request's key."""
        with self._tracer.start_as_current_span('claim'):
            return await self._claims.acquire(admitted)

    async def complete(self, grant: ClaimGrant, outcome: Outcome) -> None:
        """Records the outcome of a granted request."""
        with self._tracer.start_as_current_span('claim_outcome'):
            await self._claims.complete(grant, outcome)

    async def abandon(self, grant: ClaimGrant, refusal: Refusal) -> None:
        """Gives up a grant under which nothing was executed."""
        with self._tracer.start_as_current_span('claim_abandon'):
            await self._claims.abandon(grant, refusal)


class TracedStageRunner:
    """Opens a span for each stage."""

    def __init__(self, stages: StageRunner, tracer: trace.Tracer) -> None:
        """Wraps a stage runner.

        Args:
            stages: Stage runner to wrap.
            tracer: Tracer that opens the spans.
        """
        self._stages = stages
        self._tracer = tracer

    async def run(self, stage_request: StageRequest) -> StageResult:
        """Runs a stage within its span."""
        stage = stage_request.stage
        attributes = {'stage': stage.name, 'service': stage.service}
        with self._tracer.start_as_current_span(
            'stage',
            attributes=attributes,
        ) as span:
            result = await self._stages.run(stage_request)
            span.set_attribute('target_id', result.target_id)
            span.set_attribute('attempts', result.attempts)
            return result


class AttemptTracer:
    """Opens a span for each attempt at a target."""

    def __init__(self, tracer: trace.Tracer | None = None) -> None:
        """Creates the wrapper.

        Args:
            tracer: Tracer that opens the spans; None opens none.
        """
        self._tracer = tracer

    @contextlib.contextmanager
    def span(self, call: TargetCall) -> Iterator[str]:
        """Opens the span of an attempt.

        A stream may be closed in another context than the one in which it
        was opened, so the span is not made the current one.

        Args:
            call: The attempt.

        Yields:
            The trace context to send to the target.
        """
        if self._tracer is None:
            yield call.trace_parent
            return
        with contextlib.ExitStack() as stack:
            span = self._tracer.start_span(
                'attempt',
                kind=trace.SpanKind.CLIENT,
                attributes={
                    'attempt_id': call.attempt_id,
                    'stage': call.stage,
                },
            )
            stack.callback(span.end)
            try:
                yield _trace_parent_of(span)
            except Exception as error:
                span.set_status(trace.StatusCode.ERROR, str(error))
                raise


def traced_dependencies(
    dependencies: PipelineDependencies, tracer: trace.Tracer
) -> PipelineDependencies:
    """Returns dependencies that open a span for each step of a request.

    Args:
        dependencies: Dependencies to wrap.
        tracer: Tracer that opens the spans.
    """
    return dataclasses.replace(
        dependencies,
        admission=TracedAdmission(dependencies.admission, tracer),
        claims=TracedClaimGate(dependencies.claims, tracer),
        dispatcher=TracedStageRunner(dependencies.dispatcher, tracer),
    )


def _trace_parent_of(span: trace.Span) -> str:
    carrier: dict[str, str] = {}
    context = trace.set_span_in_context(span)
    TraceContextTextMapPropagator().inject(carrier, context)
    return carrier[TRACE_PARENT_HEADER]


def _build_exporter(name: str) -> SpanExporter | None:
    if name == EXPORTER_CONSOLE:
        return ConsoleSpanExporter(out=sys.stderr)
    return None
