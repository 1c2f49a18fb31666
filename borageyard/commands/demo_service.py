"""``borageyard demo --serve``: deployments that run until stopped."""

import asyncio
import contextlib
import pathlib
import shlex
import signal
import sys

from ..standins.deployment import Deployment
from ..standins.gateway_caller import BRIEF, GatewayCall, curl_line
from ..standins.gateway_deployment import GatewayDeployment
from .demo import HUNDAGANGA, load_plan

BODY = '{"dog": "Snati"}'
INTRODUCTION = """\
Two deployments run on loopback until this process is stopped.

Entries with stand-in targets ({entries}); send a request for a pipeline:

    {call}

Gateways on stand-ins of the users' platform ({gateways}); send a prompt:

    {curl}
"""


async def serve_demo(examples: pathlib.Path) -> None:
    """Runs both deployments until SIGTERM or SIGINT.

    Args:
        examples: Directory of the example configurations.
    """
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    async with contextlib.AsyncExitStack() as stack:
        plan = load_plan(HUNDAGANGA, examples)
        entries = await stack.enter_async_context(Deployment(plan))
        gateways = await stack.enter_async_context(
            GatewayDeployment().running(),
        )
        sys.stdout.write(describe(entries, gateways))
        sys.stdout.flush()
        await stopped.wait()


def describe(entries: Deployment, gateways: GatewayDeployment) -> str:
    """Returns instructions for calling both deployments.

    Args:
        entries: Running deployment of entries.
        gateways: Running deployment of gateways.
    """
    entry_addresses = [entry.address for entry in entries.all_entries()]
    gateway_addresses = [running.address for running in gateways.gateways]
    document = entries.plan.document
    call = shlex.join(
        [
            'borageyard',
            'call',
            min(document['pipelines']),
            '--entry',
            entry_addresses[0],
            '--organisation',
            min(document['organisations']),
        ]
    )
    return INTRODUCTION.format(
        entries=', '.join(entry_addresses),
        call=f'echo {shlex.quote(BODY)} | {call}',
        gateways=', '.join(gateway_addresses),
        curl=curl_line(GatewayCall(BRIEF).to_http_call(gateway_addresses[0])),
    )
