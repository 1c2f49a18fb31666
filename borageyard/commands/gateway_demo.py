"""The second part of the demo: gateways on stand-ins of the platform."""

import asyncio
import collections

from ..clock import MS_PER_S
from ..http_client import HttpCallError, HttpClient
from ..standins.gateway_caller import (
    REQUEST_TEMPLATES,
    GatewayCall,
    ReplyVerdict,
)
from ..standins.gateway_deployment import GatewayDeployment
from .demo_totals import DemoTotals

GATEWAYS = 3
REQUESTS = 120
ARRIVAL_MS = 15
# Requests before a batching target resets calls, and before a gateway stops.
RESET_AT = 40
STOP_AT = 70
FAULTY_TARGET = 'planner-0'
RESETS = 5


class GatewayDemo:
    """Requests of all sorts, with a faulty target and a graceful stop."""

    def __init__(
        self,
        deployment: GatewayDeployment,
        client: HttpClient,
    ) -> None:
        """Wraps a running deployment.

        Args:
            deployment: What is called.
            client: Sends the calls.
        """
        self._deployment = deployment
        self._client = client
        self._open = list(deployment.gateways)
        self._calls: list[GatewayCall] = []
        self.totals = DemoTotals()

    async def run(self) -> DemoTotals:
        """Sends all requests, and brings the faults about on the way."""
        async with asyncio.TaskGroup() as group:
            for index in range(REQUESTS):
                group.create_task(self._send(index))
                if index == RESET_AT:
                    target = self._deployment.targets[FAULTY_TARGET]
                    target.faults.reset = RESETS
                if index == STOP_AT:
                    self._open.pop(0).stop.set()
                await asyncio.sleep(ARRIVAL_MS / MS_PER_S)
        self.totals.double_runs = self._count_double_runs()
        return self.totals

    async def _send(self, index: int) -> None:
        call = GatewayCall(REQUEST_TEMPLATES[index % len(REQUEST_TEMPLATES)])
        self._calls.append(call)
        address = self._open[index % len(self._open)].address
        try:
            reply = await self._client.request(call.to_http_call(address))
        except HttpCallError:
            self._note(ReplyVerdict.UNKNOWN)
            return
        self._note(call.classify_reply(reply))

    def _note(self, seen: ReplyVerdict) -> None:
        self.totals.requests += 1
        self.totals.whole_answers += int(seen is ReplyVerdict.WHOLE)
        self.totals.wrong_answers += int(seen is ReplyVerdict.WRONG)
        self.totals.refused_not_run += int(seen is ReplyVerdict.NOT_RUN)
        self.totals.unknown += int(seen is ReplyVerdict.UNKNOWN)

    def _count_double_runs(self) -> int:
        runs = collections.Counter(
            attempt_id
            for target in self._deployment.targets.values()
            for attempt_id in target.runs
        )
        return sum(
            runs[call.attempt_id] > 1
            for call in self._calls
            if not call.template.repeatable
        )


async def run_gateway_demo() -> DemoTotals:
    """Runs gateways on stand-ins and returns what the callers saw."""
    async with (
        GatewayDeployment(GATEWAYS).running() as deployment,
        HttpClient() as client,
    ):
        return await GatewayDemo(deployment, client).run()
