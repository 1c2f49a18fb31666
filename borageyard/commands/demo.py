"""The demo in one process: all deployments, a crash and a graceful stop."""

import asyncio
import dataclasses
import json
import pathlib
import sys
import types
from collections.abc import Mapping, Sequence
from typing import Any

from rich import console, table

from ..bench.caller_load import count_double_runs
from ..clock import MS_PER_S
from ..http_client import HttpCall, HttpCallError, HttpClient
from ..http_messages import encode_json
from ..identifiers import new_identifier
from ..standins.deployment import Deployment, DeploymentPlan
from ..wire import (
    DEADLINE_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    ORGANISATION_HEADER,
    REQUEST_ID_HEADER,
)
from .demo_totals import DemoTotals
from .gateway_demo import run_gateway_demo

HUNDAGANGA = 'hundaganga'
VEMBANAD = 'vembanad'
# Row of the gateways, which run on stand-ins of the users' platform.
GATEWAYS_ROW = 'gateways'
REQUESTS_PER_DEPLOYMENT = 120
ARRIVAL_INTERVAL_MS = 15
CRASH_AT_REQUEST = 40
STOP_AT_REQUEST = 70
DEADLINE_MS = 9000
CALL_TIMEOUT_MS = 10_000
STATUS_OK = 200

PLANS: Mapping[str, tuple[tuple[str, ...], Mapping[str, int], int, int]] = (
    types.MappingProxyType(
        {
            HUNDAGANGA: (('is-south-a', 'is-south-b'), {'ganga-llm': 6}, 3, 4),
            VEMBANAD: (('kochi-a', 'tvm-a'), {'drafting-llm': 5}, 4, 4),
        }
    )
)
CRASHED_TARGETS = types.MappingProxyType(
    {HUNDAGANGA: 'ganga-llm-0', VEMBANAD: 'drafting-llm-0'}
)


def load_plan(name: str, examples: pathlib.Path) -> DeploymentPlan:
    """Returns the deployment plan of a shipped example.

    Args:
        name: Name of the deployment.
        examples: Directory of the example configurations.
    """
    path = examples / f'{name}.configuration.json'
    document = json.loads(path.read_text(encoding='utf-8'))
    domains, targets, default_targets, entries = PLANS[name]
    return DeploymentPlan(document, domains, targets, default_targets, entries)


class DemoRun:
    """Sends requests to a deployment during a crash and a graceful stop."""

    def __init__(self, deployment: Deployment, client: HttpClient) -> None:
        """Wraps a running deployment.

        Args:
            deployment: Deployment that receives the requests.
            client: HTTP client that sends the requests.
        """
        self._deployment = deployment
        self._client = client
        self._entries = list(deployment.all_entries())
        self.totals = DemoTotals()

    async def run(self, crashed_target: str) -> DemoTotals:
        """Sends all requests; meanwhile crashes a target and stops an entry.

        Args:
            crashed_target: Id of the target that crashes.

        Returns:
            The outcomes that the callers saw, and the double runs.
        """
        document = self._deployment.plan.document
        pipelines = sorted(document['pipelines'])
        organisations = sorted(document['organisations'])
        async with asyncio.TaskGroup() as group:
            for index in range(REQUESTS_PER_DEPLOYMENT):
                pipeline = pipelines[index % len(pipelines)]
                organisation = organisations[index % len(organisations)]
                group.create_task(self._send(index, pipeline, organisation))
                if index == CRASH_AT_REQUEST:
                    await self._deployment.targets[crashed_target].crash()
                if index == STOP_AT_REQUEST:
                    stopped = self._entries.pop(0).settings.instance_id
                    group.create_task(self._deployment.stop_entry(stopped))
                await asyncio.sleep(ARRIVAL_INTERVAL_MS / MS_PER_S)
        self.totals.double_runs = count_double_runs(self._deployment)
        return self.totals

    async def _send(
        self,
        index: int,
        pipeline: str,
        organisation: str,
    ) -> None:
        entry = self._entries[index % len(self._entries)]
        request_id = new_identifier()
        call = HttpCall(
            address=entry.address,
            method='POST',
            path=f'/v1/pipelines/{pipeline}',
            body=encode_json({'note': f'request {index}'}),
            headers={
                ORGANISATION_HEADER: organisation,
                DEADLINE_HEADER: str(DEADLINE_MS),
                IDEMPOTENCY_KEY_HEADER: new_identifier(),
                REQUEST_ID_HEADER: request_id,
            },
            timeout_ms=CALL_TIMEOUT_MS,
        )
        try:
            reply = await self._client.request(call)
        except HttpCallError:
            self.totals.requests += 1
            self.totals.unknown += 1
            return
        self._count_outcome(reply.status, json.loads(reply.body), request_id)

    def _count_outcome(
        self, status: int, body: Mapping[str, Any], sent_id: str
    ) -> None:
        """Counts the outcome that one caller saw."""
        totals = self.totals
        totals.requests += 1
        totals.wrong_answers += int(body.get('request_id') != sent_id)
        if status == STATUS_OK:
            totals.whole_answers += 1
        elif body.get('not_run') is True:
            totals.refused_not_run += 1
        elif body.get('not_run') is False:
            totals.refused_ran += 1
        else:
            totals.unknown += 1


async def run_demo(examples: pathlib.Path) -> Sequence[tuple[str, DemoTotals]]:
    """Runs all deployments in turn.

    Args:
        examples: Directory of the example configurations.

    Returns:
        Name and totals of each deployment.
    """
    rows = []
    for name in PLANS:
        async with (
            Deployment(load_plan(name, examples)) as deployment,
            HttpClient() as client,
        ):
            totals = await DemoRun(deployment, client).run(
                CRASHED_TARGETS[name]
            )
        rows.append((name, totals))
    rows.append((GATEWAYS_ROW, await run_gateway_demo()))
    return rows


def print_demo(rows: Sequence[tuple[str, DemoTotals]]) -> int:
    """Prints a table of the totals, then their sum as a line of JSON.

    Args:
        rows: Name and totals of each deployment.

    Returns:
        The exit code: 1 if a guarantee was violated, that is, after a double
        run or a wrong answer.
    """
    sheet = table.Table(title='borageyard demo')
    names = [field.name for field in dataclasses.fields(DemoTotals)]
    for heading in ('deployment', *names, 'attainment'):
        sheet.add_column(heading, justify='right')
    for deployment, totals in rows:
        shown = map(str, dataclasses.astuple(totals))
        sheet.add_row(deployment, *shown, f'{totals.attainment:.3f}')
    console.Console().print(sheet)
    overall = DemoTotals()
    for _, totals in rows:
        overall.add(totals)
    summary = dataclasses.asdict(overall)
    summary['attainment'] = round(overall.attainment, 4)
    sys.stdout.write(f'{json.dumps(summary)}\n')
    return int(bool(overall.double_runs or overall.wrong_answers))
