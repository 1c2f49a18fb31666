"""Table of all ends of a request, at each point of its way, in virtual time.

Whatever ends it, its caller is told that nothing ran only if nothing ran.
"""

import asyncio
import contextlib
import types

import pytest

from borageyard.answer_body import AnswerReader
from borageyard.buffered_relay import BufferedRelay
from borageyard.clock import LoopClock
from borageyard.engine_sends import ERROR_KINDS
from borageyard.errors import ErrorKind, Refusal, RefusalError
from borageyard.inbound import NOT_RUN_STATUSES, InboundRequest
from borageyard.plans import Denial
from borageyard.request_relay import RequestRelay
from borageyard.retry_budget import RetryBudget
from borageyard.serving_configuration import (
    Backend,
    CallerLimits,
    RequestKind,
    ServiceRoute,
    ServingConfiguration,
)
from borageyard.standins.virtual_time import in_virtual_time
from borageyard.streaming_relay import StreamingRelay
from tests.test_streaming_relay import (
    MANY_RETRIES,
    NO_HEAD,
    REJECTED,
    Engine,
    Fleet,
)

TIMEOUT_MS = 4000
# Time at which an end comes that is no deadline.
END_MS = 1500
LONG_MS = 60_000
KINDS = types.MappingProxyType(
    {
        'plain': (RequestKind.NON_IDEMPOTENT, False),
        'repeatable': (RequestKind.IDEMPOTENT, False),
        'stream': (RequestKind.STREAMING, False),
        'resumable': (RequestKind.STREAMING, True),
    },
)


def running(name):
    """Returns a target that works for longer than callers wait."""
    target = Engine(name)
    target.head_ms = LONG_MS
    return target


def lost(name):
    """Returns a target that runs a request and does not answer."""
    target = Engine(name, fail=NO_HEAD)
    target.head_ms = 10
    return target


def unsent(name):
    """Returns a target that no request reaches."""
    return Engine(name, fail=REJECTED)


def refusing(name):
    """Returns a target that answers that it ran nothing."""
    target = Engine(name)
    target.not_run = True
    target.status = 503
    return target


def unproven(name):
    """Returns a target that runs a request and doesn't say that it did."""
    target = Engine(name)
    target.status = 503
    return target


# How the targets behave, in the order in which they are asked, by point.
POINTS = types.MappingProxyType(
    {
        'before a send': (),
        'during a send': (running,),
        'after a send that was lost': (lost,),
        'after a send that did not go out': (unsent,),
        'after a refusal': (refusing,),
        'after a status without proof': (unproven,),
        'during a second send': (refusing, running),
        'during a send after a lost one': (lost, running),
    },
)
# The other reasons don't leave the client of the scheduler.
DENIALS = types.MappingProxyType(
    {reason.value: reason for reason in ERROR_KINDS}
)
ENDS = ('deadline', 'stop', 'late', 'quarantine', *DENIALS)


class Scheduled(Fleet):
    """Targets whose placements end in a given way once all were asked."""

    def __init__(self, end, *engines):
        """Sets how a placement ends.

        Args:
            end: How a request ends that no target is left for.
            *engines: Targets, in the order in which they are asked.
        """
        super().__init__(*engines)
        self.end = end
        self.asked = set()
        self.configuration = None

    async def place(self, spec, excluded):
        """Grants the next target, or ends the request."""
        left = [row for row in self.ready('') if row.target_id not in excluded]
        if left:
            return await super().place(spec, excluded)
        if self.end not in DENIALS:
            await asyncio.sleep(LONG_MS / 1000)
        return Denial(spec.chain_id, DENIALS[self.end], 100)

    @contextlib.asynccontextmanager
    async def placing(self, request, *, may_have_run):
        """Quarantines a request that waits, as the guard does."""
        if self.end != 'quarantine' or len(self.asked) < len(self.engines):
            yield
            return
        kind = ErrorKind.TARGET_FAILED if may_have_run else ErrorKind.NO_TARGET
        raise RefusalError(Refusal(kind, detail='quarantined'))

    def send(self, send):
        """Sends to a target."""
        self.asked.add(send.target.target_id)
        return super().send(send)

    async def acquire(self, target, send_class):
        """Permits each send at once."""
        return 0


def build(fleet, kind, resumable):
    """Returns a relay with one route of a kind."""
    route = ServiceRoute(
        name='route',
        host='h',
        path_prefix='/',
        kind=kind,
        timeout_ms=TIMEOUT_MS,
        target_latency_ms=1000,
        backends=(Backend('model'),),
        max_attempts=3,
        resumable=resumable,
        target_event_gap_ms=400,
        stages=(),
    )
    fleet.configuration = ServingConfiguration(
        1, (route,), {}, CallerLimits(1000, 1000, 1000, 1000)
    )
    clock = LoopClock()
    retries = RetryBudget(MANY_RETRIES)
    reader = AnswerReader()
    buffered = BufferedRelay(fleet, fleet, retries, 'a', clock, fleet, reader)
    streaming = StreamingRelay(
        fleet, fleet, fleet, retries, clock, fleet, reader
    )
    return RequestRelay(fleet, buffered, streaming, retries, clock, 'seed')


async def answer(fleet, kind, resumable):
    """Returns the status that a caller gets."""
    relay = build(fleet, kind, resumable)
    now_ms = LoopClock().steady_ms()
    request = InboundRequest(
        'r1', 'h', 'POST', '/', '/', {}, b'', now_ms, TIMEOUT_MS
    )
    task = asyncio.ensure_future(relay.answer(request))
    await asyncio.sleep(END_MS / 1000)
    if fleet.end == 'stop':
        relay.expire_open_requests()
    elif fleet.end == 'late':
        relay.end_by(LoopClock().steady_ms() - 1)
        relay.refuse_late_requests()
    try:
        response = await task
    except RefusalError as error:
        return error.refusal.answer.status
    return response.status


@pytest.mark.parametrize('kind', KINDS)
@pytest.mark.parametrize('point', POINTS)
@pytest.mark.parametrize('end', ENDS)
class TestRefusals:
    """Each end, at each point, for each kind of request."""

    def test_request_ran_and_was_told_as_not_run(self, kind, point, end):
        """Incident 51: statuses that promise what isn't known."""
        targets = [
            behave(f'm{number}') for number, behave in enumerate(POINTS[point])
        ]
        fleet = Scheduled(end, *targets)
        status = in_virtual_time(answer)(fleet, *KINDS[kind])
        ran = any(
            one.runs and not one.not_run for one in fleet.engines.values()
        )
        assert (status in NOT_RUN_STATUSES) is not ran
