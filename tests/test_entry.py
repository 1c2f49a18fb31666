"""Tests of an entry over real sockets."""

import asyncio
import contextlib
import dataclasses
import json
import pathlib

import pytest

from borageyard.commands.demo import load_plan
from borageyard.event_payloads import read_events
from borageyard.http_client import HttpCall, HttpClient
from borageyard.http_messages import encode_json
from borageyard.identifiers import new_identifier
from borageyard.standins.deployment import Deployment

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'


@contextlib.asynccontextmanager
async def running():
    """Runs a small deployment and an HTTP client."""
    plan = load_plan('hundaganga', EXAMPLES)
    async with Deployment(plan) as deployment, HttpClient() as client:
        yield deployment, client


def pipeline_call(address, pipeline, **headers):
    """Returns a call to run a pipeline."""
    return HttpCall(
        address=address,
        method='POST',
        path=f'/v1/pipelines/{pipeline}',
        body=encode_json({'dog': 'Snati'}),
        headers={
            'x-borage-organisation': 'dispatch',
            'idempotency-key': new_identifier(),
            **headers,
        },
    )


class TestWholePath:
    """Requests from the caller through all stages and back."""

    async def test_answer_belongs_to_request(self):
        """An answer lists all stages of its pipeline."""
        async with running() as (deployment, client):
            entry = deployment.all_entries()[0]
            call = pipeline_call(entry.address, 'route-summary')
            reply = await client.request(call)
        body = json.loads(reply.body)
        assert reply.status == 200
        assert [stage['stage'] for stage in body['stages']] == [
            'encode',
            'retrieve',
            'rerank',
            'routes',
            'generate',
        ]

    async def test_stream_ends_with_the_answer(self):
        """Tokens arrive in order and the last event is the answer."""
        async with running() as (deployment, client):
            entry = deployment.all_entries()[0]
            call = pipeline_call(
                entry.address,
                'owner-assistant',
                accept='text/event-stream',
            )
            async with client.stream(call) as (_, _, chunks):
                events = [
                    json.loads(event) async for event in read_events(chunks)
                ]
        tokens = [event for event in events if event['type'] == 'token']
        offsets = [event['offset'] for event in tokens]
        assert offsets == list(range(len(tokens)))
        assert events[-1]['type'] == 'answer'
        text = ''.join(event['token'] for event in tokens)
        assert events[-1]['output']['text'] == text

    async def test_unknown_pipeline_is_refused(self):
        """A request to an unknown pipeline is refused as not run."""
        async with running() as (deployment, client):
            entry = deployment.all_entries()[0]
            reply = await client.request(
                pipeline_call(entry.address, 'nowhere'),
            )
        body = json.loads(reply.body)
        assert reply.status == 404
        assert body['not_run'] is True

    async def test_crossed_answer_is_dropped(self):
        """An answer to another attempt is discarded.

        Guards against returning the answer of one request to another
        caller.
        """
        async with running() as (deployment, client):
            for server in deployment.targets.values():
                if server.target.profile.service == 'encoder':
                    server.target.faults.cross_next = 1
            entry = deployment.all_entries()[0]
            reply = await client.request(
                pipeline_call(entry.address, 'owner-assistant'),
            )
        body = json.loads(reply.body)
        assert reply.status == 502
        assert body['kind'] == 'target_failed'


class TestOperators:
    """Metrics and commands for operators."""

    async def test_metrics_show_peers_and_handover(self):
        """Peer bytes, members and handover memory are in the metrics."""
        async with running() as (deployment, client):
            address = deployment.all_entries()[0].address
            reply = await client.request(HttpCall(address, 'GET', '/metrics'))
        text = reply.body.decode()
        assert 'borageyard_peer_streams{count="sent_bytes"}' in text
        assert 'borageyard_handover{count="overflows"} 0' in text
        assert 'borageyard_members{state="alive"}' in text

    async def test_metrics_show_attainment(self):
        """The attainment of each pipeline is in the metrics.

        A pipeline that doesn't exist gets no series.
        """
        async with running() as (deployment, client):
            address = deployment.all_entries()[0].address
            await client.request(pipeline_call(address, 'owner-assistant'))
            await client.request(pipeline_call(address, 'nowhere'))
            reply = await client.request(HttpCall(address, 'GET', '/metrics'))
        text = reply.body.decode()
        assert 'borageyard_attainment{pipeline="owner-assistant"} 1' in text
        assert 'borageyard_attainment{pipeline="nowhere"}' not in text

    async def test_ordered_target_gets_no_new_work(self):
        """An operator's drain command reaches all entries."""
        async with running() as (deployment, client):
            entries = deployment.all_entries()
            path = '/v1/targets/drain?target_id=ganga-llm-0'
            call = HttpCall(entries[0].address, 'POST', path)
            reply = await client.request(call)
            unknown = await client.request(
                HttpCall(entries[0].address, 'POST', '/v1/targets/drain'),
            )
            await asyncio.sleep(3)
            leaving = [_is_leaving(entry) for entry in entries]
        assert all(leaving)
        assert reply.status == 200
        assert unknown.status == 404


def _is_leaving(entry):
    """Tells whether an entry has marked the target as leaving."""
    return any(
        state.leaving
        for state in entry.core.directory.all_targets()
        if state.target_id == 'ganga-llm-0'
    )


class TestRefusals:
    """Refusals of the endpoints are complete and say that nothing ran."""

    @pytest.mark.parametrize(
        ('method', 'path', 'status'),
        [
            ('POST', '/v1/entries', 405),
            ('GET', '/v1/pipelines/booking', 405),
            ('GET', '/v1/nowhere', 404),
            ('POST', '/v1/pipelines/booking', 401),
        ],
    )
    async def test_refusal_is_whole(self, method, path, status):
        """A refusal has its status, the caller's request id and no stages."""
        async with running() as (deployment, client):
            entry = deployment.all_entries()[0]
            configuration = entry.core.fold.current()
            dispatch = configuration.organisations['dispatch']
            guarded = dataclasses.replace(dispatch, token_sha256='0' * 64)
            organisations = {'dispatch': guarded}
            entry.core.fold.current = lambda: dataclasses.replace(
                configuration,
                organisations=organisations,
            )
            call = pipeline_call(entry.address, 'booking')
            headers = {**call.headers, 'x-borage-request-id': 'r-1'}
            reply = await client.request(
                dataclasses.replace(
                    call,
                    method=method,
                    path=path,
                    headers=headers,
                ),
            )
        body = json.loads(reply.body)
        assert reply.status == status
        assert body['not_run'] is True
        assert not body['stages_ran']
        assert body['request_id'] == 'r-1'
