"""Tests that nothing ran for a caller who is told so.

The statuses 408, 421, 429 and 503 promise that a request has not run and will
not run.
"""

from http import HTTPStatus

import pytest

from borageyard.http_client import HttpClient
from borageyard.standins.gateway_caller import GatewayCall, RequestTemplate
from borageyard.standins.gateway_deployment import GatewayDeployment

# A target that was named sends no 421 for what it ran.
UNPROVEN = (408, 429, 503)
TEMPLATES = (
    RequestTemplate('POST', '/book/walk', repeatable=False),
    RequestTemplate('POST', '/reply/walk', repeatable=False),
    RequestTemplate('GET', '/read/menu'),
    RequestTemplate('POST', '/brief/walk', '2,1'),
)


async def ask(running, template):
    """Returns the id of a request and the reply to it."""
    call = GatewayCall(template)
    address = running.gateways[0].address
    async with HttpClient() as client:
        reply = await client.request(call.to_http_call(address))
    return call.attempt_id, reply


def runs(running, request_id):
    """Returns how often a request ran."""
    return sum(
        target.runs.count(request_id) for target in running.targets.values()
    )


@pytest.mark.parametrize('template', TEMPLATES, ids=lambda one: one.path)
class TestAnswersWithoutProof:
    """Guards against a target's own status that is passed on as a promise."""

    @pytest.mark.parametrize('status', UNPROVEN)
    async def test_request_ran_and_was_told_as_not_run(self, template, status):
        """The target runs it and doesn't state that it did not."""
        async with GatewayDeployment(1).running() as running:
            for target in running.targets.values():
                target.faults.fail = 100
                target.faults.fail_status = HTTPStatus(status)
            request_id, reply = await ask(running, template)
            assert runs(running, request_id)
            assert reply.status == HTTPStatus.BAD_GATEWAY
            assert 'x-server-stamp' not in reply.headers

    async def test_proven_refusals_are_told_as_unknown(self, template):
        """A request that all targets refused is told as not run."""
        async with GatewayDeployment(1).running() as running:
            for target in running.targets.values():
                target.faults.reject = 100
            request_id, reply = await ask(running, template)
            assert not runs(running, request_id)
            assert reply.status == HTTPStatus.SERVICE_UNAVAILABLE


class TestContradictions:
    """Guards against a success that counts as a refusal."""

    async def test_request_that_succeeded_runs_twice(self):
        """Its answer also states that nothing ran."""
        async with GatewayDeployment(1).running() as running:
            for target in running.targets.values():
                target.faults.headers = {'x-not-executed': '1'}
            for template in TEMPLATES[:2]:
                request_id, reply = await ask(running, template)
                assert reply.status == HTTPStatus.OK
                assert runs(running, request_id) == 1
