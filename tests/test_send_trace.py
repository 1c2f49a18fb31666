"""Tests of what the log and the metrics tell of sends."""

import pytest

from borageyard.gateway_metrics import GatewayMetrics
from borageyard.http_client import HttpClient
from borageyard.send_trace import (
    REPEATED_SENDS,
    SENDS_NOT_RUN,
    SendTrace,
    log_failed_send,
)
from borageyard.standins.gateway_caller import (
    BRIEF,
    READ,
    GatewayCall,
    RequestTemplate,
)
from borageyard.standins.gateway_deployment import GatewayDeployment
from tests.test_repeated_refusals import (
    REFUSALS,
    Caller,
    PeerClient,
    RepeatingTarget,
)

NAMES = ('book/walk', 'reply/walk')


class RecordingSender:
    """Sender that keeps the traces of its sends."""

    def __init__(self, sender, traces):
        """Wraps a sender.

        Args:
            sender: Sends requests.
            traces: Gets the trace of each send.
        """
        self._sender = sender
        self._traces = traces

    def send(self, send):
        """Sends a request."""
        self._traces.append(send.trace)
        return self._sender.send(send)


class TestFailedSends:
    """The line of a send that was not run."""

    async def test_copies_and_refusals_look_alike(self, logged_events):
        """The skipped copy names its connection and both requests."""
        target = RepeatingTarget(['/book'], REFUSALS['full'], waits=True)
        target.names = True
        async with target.running(), HttpClient() as client:
            caller = Caller(client, target.address)
            assert await caller.send('first') == 'not run'
            assert await caller.send('second') == 'ran'
        (line,) = logged_events('answer_foreign')
        assert line['foreign_id'] == 'first'
        assert line['request_id'] == 'second'
        assert line['status'] == 503
        assert line['call_number'] == 2
        assert line['connection_id'] > 0

    async def test_proof_of_a_refusal_is_unknown(self, logged_events):
        """It names the answer, the connection and the target."""
        async with GatewayDeployment(1).running() as running:
            for target in running.targets.values():
                target.faults.reject = 1
            address = running.gateways[0].address
            async with HttpClient() as client:
                for name in NAMES:
                    await client.request(_call(address, name))
        lines = logged_events('send_failed')
        assert {line['answer_match'] for line in lines} == {'own'}
        assert {line['failure'] for line in lines} == {'not_sent'}
        assert all(line['connection_id'] for line in lines)
        assert not any(line['sent_before'] for line in lines)

    async def test_proof_of_a_refusal_through_a_peer_is_unknown(self):
        """It was logged and counted as if nothing had gone out."""
        target = RepeatingTarget(['/book'], REFUSALS['full'], waits=True)
        target.names = True
        traces = []
        async with target.running(), HttpClient() as client:
            peer = PeerClient(client, names_sends=True)
            caller = Caller(peer, target.address)
            caller._sender = RecordingSender(caller._sender, traces)
            assert await caller.send() == 'not run'
        assert [trace.answer_match for trace in traces] == ['own']

    def test_counts_are_missing(self):
        """The metrics count refusals by proof, and repeated sends."""
        log_failed_send('r', 't', 'not_sent', 'refused', SendTrace())
        log_failed_send(
            'r', 't', 'not_sent', '503', SendTrace(1, 2, answer_match='own')
        )
        metrics = GatewayMetrics()
        metrics.record_sends(SENDS_NOT_RUN, {'desk': 3, **REPEATED_SENDS})
        text = metrics.exposition().decode()
        assert 'borageyard_sends_not_run{proof="own"}' in text
        assert 'borageyard_sends_not_run{proof="not_sent"}' in text
        assert 'borageyard_repeated_sends{service="desk"}' in text


def _call(address, name):
    template = RequestTemplate('POST', f'/{name}', repeatable=False)
    return GatewayCall(template).to_http_call(address)


class TestResends:
    """Sends that the client makes again after a stale connection."""

    @pytest.mark.parametrize(
        ('template', 'service'), [(READ, 'desk'), (BRIEF, 'model')]
    )
    async def test_they_are_missing_in_the_retry_budget(
        self, template, service
    ):
        """Each one may have arrived, so it counts as a retry."""
        async with GatewayDeployment(1).running() as running:
            gateway = running.gateways[0]
            async with HttpClient() as client:
                for _ in range(4):
                    call = GatewayCall(template).to_http_call(gateway.address)
                    assert (await client.request(call)).status == 200
                    _break_kept(running, service)
            assert gateway.gateway.relay._retries._retries[service]


def _break_kept(running, service):
    """Lets kept connections to a service fail at their next use."""
    for target in running.targets.values():
        if target.plan.service == service:
            idle = running.gateways[0].client._idle
            for kept in idle.get((target.address, True), ()):
                kept._raw_writer.transport.pause_reading()
                kept._raw_writer.get_extra_info('socket').shutdown(1)
