"""The gateway part of the demo, on stand-ins of the users' platform."""

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

GATEWAY_COUNT = 3
REQUEST_COUNT = 120
ARRIVAL_INTERVAL_MS = 15
# Index of the request at which a batching target starts to reset calls, and
# of the one at which a gateway stops.
RESET_AT_REQUEST = 40
STOP_AT_REQUEST = 70
FAULTY_TARGET = 'planner-0'
RESET_CALLS = 5


class GatewayDemo:
    """Sends requests of all kinds during target faults and a graceful stop."""

    def __init__(
        self,
        deployment: GatewayDeployment,
        client: HttpClient,
    ) -> None:
        """Wraps a running deployment.

        Args:
            deployment: Deployment that receives the requests.
            client: HTTP client that sends the requests.
        """
        self._deployment = deployment
        self._client = client
        self._open_gateways = list(deployment.gateways)
        self._calls: list[GatewayCall] = []
        self.totals = DemoTotals()

    async def run(self) -> DemoTotals:
        """Sends all requests; meanwhile injects resets and stops a gateway.

        Returns:
            The outcomes that the callers saw, and the double runs.
        """
        async with asyncio.TaskGroup() as group:
            for index in range(REQUEST_COUNT):
                group.create_task(self._send(index))
                if index == RESET_AT_REQUEST:
                    target = self._deployment.targets[FAULTY_TARGET]
                    target.faults.reset = RESET_CALLS
                if index == STOP_AT_REQUEST:
                    self._open_gateways.pop(0).stop.set()
                await asyncio.sleep(ARRIVAL_INTERVAL_MS / MS_PER_S)
        self.totals.double_runs = self._count_double_runs()
        return self.totals

    async def _send(self, index: int) -> None:
        call = GatewayCall(REQUEST_TEMPLATES[index % len(REQUEST_TEMPLATES)])
        self._calls.append(call)
        address = self._open_gateways[index % len(self._open_gateways)].address
        try:
            reply = await self._client.request(call.to_http_call(address))
        except HttpCallError:
            self._count_outcome(ReplyVerdict.UNKNOWN)
            return
        self._count_outcome(call.classify_reply(reply))

    def _count_outcome(self, seen: ReplyVerdict) -> None:
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
    """Runs gateways on stand-ins and returns the totals of the run."""
    async with (
        GatewayDeployment(GATEWAY_COUNT).running() as deployment,
        HttpClient() as client,
    ):
        return await GatewayDemo(deployment, client).run()
