"""Test deployment of entry cores that claim keys on one log."""

import asyncio
import contextlib
import dataclasses
import pathlib

from borageyard.commands.demo import load_plan
from borageyard.errors import Refusal, RunStatus
from borageyard.identifiers import new_identifier
from borageyard.requests import PipelineRequest
from borageyard.standins.memory_deployment import MemoryDeployment

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
STREAM = 'claims-0'
WAIT_STEPS = 500
WAIT_S = 0.01


class ClaimCluster:
    """In-memory deployment whose booking pipeline claims keys."""

    def __init__(self, deployment):
        """Wraps a running deployment."""
        self.deployment = deployment
        self.log = deployment.log

    def core(self, index):
        """Returns the core of an entry."""
        return self.deployment.entries[f'entry-{index}'].core

    def shard(self, index):
        """Returns the claim shard of an entry."""
        return self.core(index).claims.log.shards[0]

    def request(self, key='', deadline_ms=5000, body=None):
        """Returns a booking request whose deadline counts from now."""
        clock = self.deployment.clock
        return PipelineRequest(
            request_id=new_identifier(),
            pipeline='booking',
            organisation='dispatch',
            body=body or {'dog': 'Snati'},
            expires_at_ms=clock.steady_ms() + deadline_ms,
            idempotency_key=key or new_identifier(),
        )

    async def book(self, index, key, **request_fields):
        """Sends a booking to an entry and returns its outcome."""
        return await self.core(index).run(self.request(key, **request_fields))

    def start_booking(self, index, key, **request_fields):
        """Starts a booking and returns its task."""
        return asyncio.ensure_future(self.book(index, key, **request_fields))

    async def wait_for_claim(self, index):
        """Waits until an entry has an unfinished claim attempt."""
        for _ in range(WAIT_STEPS):
            if len(self.core(index).claims.attempts):
                return
            await asyncio.sleep(WAIT_S)
        raise TimeoutError

    def runs(self, key):
        """Returns how often targets ran the booking call of a key."""
        return sum(
            run.idempotency_key == key and run.stage == 'book'
            for target in self.deployment.targets.values()
            for run in target.executions
        )

    def slow_down(self, factor):
        """Slows the booking targets by a factor."""
        for name, target in self.deployment.targets.items():
            if name.startswith('bokun'):
                target.faults.slow_factor = factor


@contextlib.asynccontextmanager
async def claim_cluster(delay_ms=2, window_ms=600_000):
    """Runs a deployment whose log and peer links have delays."""
    plan = load_plan('hundaganga', EXAMPLES)
    document = {**plan.document, 'claim_window_ms': window_ms}
    plan = dataclasses.replace(plan, document=document)
    async with MemoryDeployment(plan) as deployment:
        deployment.log.faults.delay_ms = delay_ms
        deployment.network.delay_ms = 0.5
        yield ClaimCluster(deployment)


def is_not_run(outcome):
    """Returns whether an outcome is a refusal as not run."""
    return isinstance(outcome, Refusal) and outcome.ran is RunStatus.NOT_RUN
