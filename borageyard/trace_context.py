"""W3C trace context on the streams between entries."""

import contextlib
from collections.abc import Iterator

from opentelemetry import trace
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

TRACE_PARENT_HEADER = 'traceparent'


def current_trace_parent() -> str:
    """Returns the context of the running span, or '' without one."""
    carrier: dict[str, str] = {}
    TraceContextTextMapPropagator().inject(carrier)
    return carrier.get(TRACE_PARENT_HEADER, '')


@contextlib.contextmanager
def peer_span(
    tracer: trace.Tracer | None,
    kind: str,
    trace_parent: str,
) -> Iterator[None]:
    """Opens the span of a peer's request, below that of the peer.

    Args:
        tracer: Builds the span; none builds no span.
        kind: Kind of the request.
        trace_parent: Context that came with the request; '' for none.
    """
    if tracer is None or not trace_parent:
        yield
        return
    carrier = {TRACE_PARENT_HEADER: trace_parent}
    parent = TraceContextTextMapPropagator().extract(carrier)
    with tracer.start_as_current_span(
        kind,
        context=parent,
        kind=trace.SpanKind.SERVER,
    ):
        yield
