"""Tests of spans and trace context propagation over real sockets."""

import collections
import contextlib
import functools
import pathlib

import pytest
from opentelemetry.sdk.trace.export.in_memory_span_exporter import (
    InMemorySpanExporter,
)

from borageyard import tracing
from borageyard.commands.demo import load_plan
from borageyard.http_client import HttpCall, HttpClient
from borageyard.http_messages import encode_json
from borageyard.standins.deployment import Deployment

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
TRACE_ID = '0af7651916cd43dd8448eb211c80319c'
CALLER_SPAN_ID = 'b7ad6b7169203331'
TRACE_PARENT = f'00-{TRACE_ID}-{CALLER_SPAN_ID}-01'


@contextlib.asynccontextmanager
async def running():
    """Runs a deployment with one entry, and a client."""
    plan = load_plan('vembanad', EXAMPLES)
    async with Deployment(plan) as deployment, HttpClient() as client:
        yield deployment, client


async def send_request(deployment, client, trace_parent):
    """Sends a request and returns the trace contexts that targets received."""
    entry = deployment.all_entries()[0]
    call = HttpCall(
        address=entry.address,
        method='POST',
        path='/v1/pipelines/holdings-summary',
        body=encode_json({'title': 'Chemmeen'}),
        headers={
            'x-borage-organisation': 'kerala-state',
            'traceparent': trace_parent,
        },
    )
    reply = await client.request(call)
    assert reply.status == 200
    return [
        run.trace_parent
        for server in deployment.targets.values()
        for run in server.target.executions
    ]


@pytest.fixture
def spans(monkeypatch):
    """Returns an exporter that collects the spans of every entry."""
    exporter = InMemorySpanExporter()
    traced = functools.partial(tracing.entry_tracer, exporter=exporter)
    monkeypatch.setattr('borageyard.entry.entry_tracer', traced)
    return exporter


class TestSpans:
    """Each step of a request has a span in the caller's trace."""

    async def test_hops_form_a_tree(self, spans):
        """Spans of request, admission, stages and attempts form a tree."""
        async with running() as (deployment, client):
            sent = await send_request(deployment, client, TRACE_PARENT)
        found = spans.get_finished_spans()
        names = collections.Counter(span.name for span in found)
        ids = {span.context.span_id: span for span in found}
        assert names['request'] == 1
        assert names['admission'] == 1
        assert names['stage'] == names['attempt'] == len(sent)
        traces = {format(span.context.trace_id, '032x') for span in found}
        assert traces == {TRACE_ID}
        parents = {
            span.name: format(span.parent.span_id, '016x') for span in found
        }
        assert parents['request'] == CALLER_SPAN_ID
        attempts = [span for span in found if span.name == 'attempt']
        above = {ids[span.parent.span_id].name for span in attempts}
        assert above == {'stage'}
        sent_ids = {text.split('-')[2] for text in sent}
        assert sent_ids == {
            format(span.context.span_id, '016x') for span in attempts
        }

    @pytest.mark.parametrize('trace_parent', ['', 'junk', '00-0-0-00'])
    async def test_broken_context_starts_a_trace(self, spans, trace_parent):
        """A malformed context starts a new trace; the request succeeds."""
        async with running() as (deployment, client):
            await send_request(deployment, client, trace_parent)
        found = spans.get_finished_spans()
        assert len({span.context.trace_id for span in found}) == 1

    async def test_no_exporter_passes_the_context_on(self):
        """Without an exporter targets get the caller's context unchanged."""
        async with running() as (deployment, client):
            sent = await send_request(deployment, client, TRACE_PARENT)
        assert set(sent) == {TRACE_PARENT}
