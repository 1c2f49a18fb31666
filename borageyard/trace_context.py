"""W3C trace context on the streams between peer entries."""

import contextlib
from collections.abc import Iterator

from opentelemetry import trace
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

TRACE_PARENT_HEADER = 'traceparent'


def current_trace_parent() -> str:
    """Returns the trace parent of the current span, or '' without one."""
    carrier: dict[str, str] = {}
    TraceContextTextMapPropagator().inject(carrier)
    return carrier.get(TRACE_PARENT_HEADER, '')


@contextlib.contextmanager
def peer_span(
    tracer: trace.Tracer | None,
    kind: str,
    trace_parent: str,
) -> Iterator[None]:
    """Opens the span of a request from a peer, a child of the peer's span.

    No span is opened without a tracer or a trace parent.

    Args:
        tracer: Tracer that opens the span, or None.
        kind: Kind of the request; the name of the span.
        trace_parent: Trace parent sent with the request; '' for none.
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
