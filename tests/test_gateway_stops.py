"""Tests of planned stops of gateways, in calm."""

import asyncio
import contextlib
import dataclasses
import json
import random

import pytest

from borageyard.http_client import HttpCallError
from borageyard.http_messages import split_address
from borageyard.request_relay import _OpenRequest
from borageyard.send_history import SendHistory
from borageyard.standins.gateway_deployment import (
    API_KEY,
    HOST,
    build_document,
)
from tests.raw_http import read_response
from tests.test_gateway import deployment, wait_until

# Answers from which the duration of a route is known.
ANSWERS = 8
WORK_MS = 700
# Time after a stop at which an answer that takes ``WORK_MS`` comes too late,
# though requests are still accepted.
LATE_S = 2.5


async def configured(callers):
    """Lets requests wait for longer than a stop takes."""
    document = build_document(2)
    for route in document['routes']:
        route['timeoutMs'] = 9000
    callers.running.configure(document)
    await wait_until(
        lambda: all(
            running.gateway.state.version == 2
            for running in callers.running.gateways
        )
    )


def set_work(callers, service, work_ms=WORK_MS):
    """Sets how long targets of a service work on a request."""
    for target in callers.targets(service):
        target.plan = dataclasses.replace(target.plan, work_ms=work_ms)


async def learn(callers, path):
    """Has the gateways learn how long requests take."""
    send = callers.stream if 'reply' in path else callers.call
    replies = await asyncio.gather(
        *(
            send(path, gateway=gateway)
            for gateway in range(len(callers.running.gateways))
            for _ in range(ANSWERS)
        )
    )
    assert {reply.status for reply in replies} == {200}


def kind_of(reply):
    """Returns the kind of a refusal."""
    return json.loads(reply.body)['error']


class TestLateRequests:
    """Guards against requests that are passed on and cut at the end."""

    @pytest.mark.parametrize(
        ('path', 'service'), [('/book/x', 'desk'), ('/reply/x', 'model')]
    )
    async def test_answer_would_come_after_the_end(self, path, service):
        """The request is refused at once, as not run."""
        async with deployment(1) as callers:
            set_work(callers, service)
            await learn(callers, path)
            (running,) = callers.running.gateways
            running.stop.set()
            await asyncio.sleep(LATE_S)
            ran = len(callers.runs(service))
            send = callers.stream if 'reply' in path else callers.call
            reply = await send(path)
            assert reply.status == 503
            assert kind_of(reply) == 'draining'
            assert len(callers.runs(service)) == ran

    async def test_request_that_waits_for_an_engine(self):
        """It is refused once its answer would come too late."""
        async with deployment(1) as callers:
            await configured(callers)
            relay = callers.running.gateways[0].gateway.relay
            for _ in range(ANSWERS):
                relay._streaming.run_times.note('brief', 1500)
            callers.set_faults('planner', silent=True)
            waiting = asyncio.ensure_future(
                callers.stream('/brief/x', x_deadline_ms='9000')
            )
            await wait_until(lambda: relay.open_requests)
            callers.running.gateways[0].stop.set()
            reply = await waiting
            assert reply.status == 503
            assert kind_of(reply) == 'draining'
            assert not callers.runs('model')

    async def test_body_that_arrives_after_the_last_request(self):
        """It was begun in time, and is refused as not run."""
        async with deployment(1) as callers:
            (running,) = callers.running.gateways
            reader, writer = await asyncio.open_connection(
                *split_address(running.address)
            )
            writer.write(
                (
                    f'POST /book/x HTTP/1.1\r\nhost: {HOST}\r\n'
                    'x-attempt-id: slow\r\nx-deadline-ms: 6000\r\n'
                    f'authorization: Token {API_KEY}\r\n'
                    'content-length: 4\r\n\r\nbo'
                ).encode()
            )
            await asyncio.sleep(0.1)
            running.stop.set()
            await asyncio.sleep(2.9)
            writer.write(b'dy')
            status, _ = await read_response(reader)
            writer.close()
            assert status == 503
            assert not callers.runs('desk')


class TestExpiry:
    """Guards against a stop that fails, and cuts all requests."""

    async def test_request_that_is_being_refused(self):
        """Its clean-up takes longer than the next look at it."""
        async with deployment(1) as callers:
            relay = callers.running.gateways[0].gateway.relay
            opened = _OpenRequest('book', SendHistory(), asyncio.timeout(5))
            waiting = asyncio.ensure_future(self._wait(relay, opened))
            await asyncio.sleep(0)
            relay.end_by(0)
            for _ in range(3):
                relay.refuse_late_requests()
                relay.expire_open_requests()
                await asyncio.sleep(0.02)
            with pytest.raises(TimeoutError):
                await waiting

    async def _wait(self, relay, opened):
        async with contextlib.AsyncExitStack() as stack:
            await stack.enter_async_context(relay._opened(opened))
            stack.push_async_callback(asyncio.sleep, 0.1)
            await asyncio.Event().wait()


class TestStopsInTurn:
    """Guards against requests that run and are cut without an answer."""

    @pytest.mark.parametrize('seed', range(2))
    @pytest.mark.parametrize(
        ('path', 'service'),
        [('/book/x', 'desk'), ('/reply/x', 'model'), ('/brief/x', 'model')],
    )
    async def test_overlapping_stops_under_load(self, path, service, seed):
        """Callers keep connections until the processes are gone."""
        draws = random.Random(seed)
        async with deployment(3) as callers:
            set_work(callers, service, 300)
            statuses = {}
            cut = []
            tasks = [
                asyncio.ensure_future(
                    self._ask(callers, path, number % 3, statuses, cut)
                )
                for number in range(18)
            ]
            for running in callers.running.gateways:
                await asyncio.sleep(draws.uniform(0.3, 1.5))
                running.stop.set()
            await asyncio.gather(*tasks)
            ran = set(callers.runs(service))
            assert ran
            assert not ran.intersection(cut)
            assert not ran.intersection(
                one for one, status in statuses.items() if status == 503
            )
            assert set(statuses.values()) <= {200, 503}

    async def _ask(self, callers, path, gateway, statuses, cut):
        """Sends requests until the gateway closes or refuses for good."""
        send = callers.call if 'book' in path else callers.stream
        running = callers.running.gateways[gateway]
        while not running.task.done():
            number = len(statuses) + len(cut)
            request_id = f'{gateway}-{number}-{random.random()}'
            try:
                reply = await send(
                    path, gateway=gateway, x_attempt_id=request_id
                )
            except HttpCallError as error:
                if not error.sent:
                    return
                cut.append(request_id)
            else:
                statuses[request_id] = reply.status
            await asyncio.sleep(0.01)
