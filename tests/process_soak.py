"""Load and overlapping disturbances of gateways that are real processes."""

import asyncio
import collections
import contextlib
import dataclasses
import json
import random
import signal

from borageyard.http_client import HttpCall, HttpCallError, HttpClient
from borageyard.standins.gateway_deployment import API_KEY, HOST
from borageyard.standins.registered_target import CrashPlan
from tests.copying_target import Copies
from tests.cuttable_link import Cut, draw_cut

# Statuses which promise that the request was not and will not be run.
PROMISES = frozenset((408, 421, 429, 503))
PATHS = ('/book/walk', '/reply/walk', '/reply/walk', '/plan/walk')
DEADLINES_MS = (150, 400, 1000, 2500)
CALLERS = 28
PAUSE_S = (0.1, 0.6)
# Time after the load in which held bytes arrive and runs end.
SETTLE_S = 4
# Calls that a caller makes before it goes to another gateway.
CALLS_PER_GATEWAY = 40


@dataclasses.dataclass
class SoakResult:
    """What callers and targets saw."""

    statuses: dict = dataclasses.field(default_factory=dict)
    # Gateway that each request was sent to.
    gateways: dict = dataclasses.field(default_factory=dict)
    runs: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    disturbances: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    refused: int = 0
    copied: int = 0
    unproven: int = 0
    # Gateways that ended by themselves.
    ended: list = dataclasses.field(default_factory=list)
    # Number of requests that each partitioned gateway served.
    partitioned: list = dataclasses.field(default_factory=list)

    @property
    def ran_twice(self):
        """Ids of the requests that ran more than once."""
        return sorted(one for one, runs in self.runs.items() if runs > 1)

    @property
    def ran_though_refused(self):
        """Ids of the requests that ran and were told as not run."""
        return sorted(
            one for one in self.runs if self.statuses.get(one) in PROMISES
        )

    def broken_by(self, code):
        """Returns the ids of such requests that were sent to a code."""
        broken = {*self.ran_twice, *self.ran_though_refused}
        return sorted(one for one in broken if self.gateways[one].code == code)

    @property
    def served(self):
        """Number of requests that were answered with success."""
        return sum(status == 200 for status in self.statuses.values())

    def served_by(self, gateway):
        """Returns the number of them that a gateway answered."""
        return sum(
            status == 200 and self.gateways[one] is gateway
            for one, status in self.statuses.items()
        )

    def summary(self):
        """Returns the figures as text."""
        codes = {gateway.code for gateway in self.gateways.values()}
        return json.dumps(
            {
                'requests': len(self.statuses),
                'served': self.served,
                'statuses': collections.Counter(
                    str(status) for status in self.statuses.values()
                ),
                'refused': self.refused,
                'copied': self.copied,
                'unproven': self.unproven,
                'partitioned': self.partitioned,
                'disturbances': self.disturbances,
                'ran twice': len(self.ran_twice),
                'ran though refused': len(self.ran_though_refused),
                'broken by code': {
                    str(code): len(self.broken_by(code)) for code in codes
                },
            }
        )


class ProcessSoak:
    """Plays a seeded series of disturbances under load."""

    def __init__(self, fleet, seed, *, copies, quiet=(), unproven=(0, 0)):
        """Creates a soak.

        Args:
            fleet: A running fleet.
            seed: Seed of the disturbances and the callers.
            copies: Which refusals are written once more.
            quiet: Names of disturbances that are left out.
            unproven: Status of answers to requests that ran, and their share.
        """
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._caller_seeds = [f'{seed}/{number}' for number in range(CALLERS)]
        self._result = SoakResult()
        self._busy = set()
        self._lasting_cuts = []
        self._ending = False
        self._series = [
            (name, work)
            for name, work in {
                'pause': self._pause,
                'kill': self._kill,
                'stop': self._stop,
                'reload': self._reload,
                'store down': self._lose_store,
                'cut from targets': self._cut_targets,
                'cut from a target': self._cut_target,
                'cut between gateways': self._cut_peers,
                'targets drop connections': self._drop,
                'other target': self._replace_target,
            }.items()
            if name not in quiet
        ]
        for target in fleet.targets:
            target.copies = copies
            if target.plan.kind != 'batch':
                target.unproven = unproven

    def partition(self, gateway):
        """Keeps a gateway from all targets while the soak is played."""
        self._lasting_cuts += self._fleet.target_links(gateway)

    async def play(self, load_s):
        """Plays load and disturbances, then compares runs and answers.

        Args:
            load_s: Time for which callers send.

        Returns:
            What was seen.
        """
        for link in self._lasting_cuts:
            link.cut(Cut.UNREACHABLE)
        callers = [
            asyncio.ensure_future(self._call(random.Random(caller_seed)))
            for caller_seed in self._caller_seeds
        ]
        loop = asyncio.get_running_loop()
        until_s = loop.time() + load_s
        tasks = []
        while loop.time() < until_s:
            await asyncio.sleep(self._rng.uniform(*PAUSE_S))
            if self._series:
                name, work = self._rng.choice(self._series)
                tasks.append(asyncio.ensure_future(work(name)))
        self._ending = True
        await asyncio.gather(*tasks, *callers)
        await asyncio.sleep(SETTLE_S)
        result = self._result
        result.ended = [
            gateway.name
            for gateway in self._fleet.gateways
            if gateway.process.returncode is not None
        ]
        result.runs.update(
            run for run in self._fleet.runs() if run in result.statuses
        )
        result.refused = sum(one.refused for one in self._fleet.targets)
        result.copied = sum(one.copied for one in self._fleet.targets)
        result.unproven = sum(
            len(one.unproven_ids) for one in self._fleet.targets
        )
        return result

    async def _call(self, rng):
        """Sends requests on a kept connection, until the load ends."""
        while not self._ending:
            gateway = rng.choice(self._fleet.gateways)
            async with HttpClient() as client:
                await self._call_gateway(client, gateway, rng)
            await asyncio.sleep(0.01)

    async def _call_gateway(self, client, gateway, rng):
        for _ in range(CALLS_PER_GATEWAY):
            kept = await self._send(client, gateway, rng)
            if self._ending or not kept:
                return

    async def _send(self, client, gateway, rng):
        """Sends one request; returns whether its connection goes on."""
        request_id = rng.randbytes(8).hex()
        path = rng.choice(PATHS)
        wait_ms = rng.choice(DEADLINES_MS)
        headers = {
            'host': HOST,
            'x-attempt-id': request_id,
            'x-deadline-ms': str(wait_ms),
            'authorization': f'Token {API_KEY}',
            'x-model': 'm',
            'x-token-count': '100,20',
            'x-prefix-hash': f'aa:60,{request_id}:40',
        }
        if path.startswith('/plan'):
            headers |= {'x-pieces': '2,1', 'x-piece-key': request_id}
        call = HttpCall(
            gateway.address,
            'POST',
            path,
            headers=headers,
            timeout_ms=wait_ms + 500,
            repeatable=False,
        )
        self._result.statuses[request_id] = None
        self._result.gateways[request_id] = gateway
        try:
            reply = await client.request(call)
        except HttpCallError:
            await asyncio.sleep(0.05)
            return False
        self._result.statuses[request_id] = reply.status
        if reply.status != 200:
            await asyncio.sleep(0.02)
        return True

    @contextlib.contextmanager
    def _take(self, name, subject):
        """Yields whether a subject is free, which it is not meanwhile."""
        if subject in self._busy or self._ending:
            yield False
            return
        self._busy.add(subject)
        self._result.disturbances[name] += 1
        try:
            yield True
        finally:
            self._busy.discard(subject)

    async def _pause(self, name):
        gateway = self._rng.choice(self._fleet.gateways)
        seconds = self._rng.uniform(0.3, 4)
        with self._take(name, gateway) as free:
            if free:
                await gateway.pause(seconds)

    async def _kill(self, name):
        await self._end(name, signal.SIGKILL)

    async def _stop(self, name):
        await self._end(name, signal.SIGTERM)

    async def _end(self, name, number):
        gateway = self._rng.choice(self._fleet.gateways)
        with self._take(name, gateway) as free:
            if free:
                await gateway.end(number)
                await gateway.start()
                await self._fleet.wait_ready(gateway)

    async def _reload(self, name):
        gateway = self._rng.choice(self._fleet.gateways)
        self._result.disturbances[name] += 1
        gateway.send_signal(signal.SIGHUP)

    async def _lose_store(self, name):
        gateway = self._rng.choice(self._fleet.gateways)
        seconds = self._rng.uniform(0.5, 4)
        with self._take(name, gateway.handler) as free:
            if free:
                gateway.handler.faults.down = True
                await asyncio.sleep(seconds)
                gateway.handler.faults.down = False

    async def _cut_targets(self, name):
        gateway = self._rng.choice(self._fleet.gateways)
        await self._cut(name, self._fleet.target_links(gateway))

    async def _cut_target(self, name):
        gateway = self._rng.choice(self._fleet.gateways)
        links = self._fleet.target_links(gateway)
        await self._cut(name, [self._rng.choice(links)])

    async def _cut_peers(self, name):
        gateway, peer = self._rng.sample(self._fleet.gateways, 2)
        links = [
            self._fleet.peer_link(gateway, peer),
            self._fleet.peer_link(peer, gateway),
        ]
        await self._cut(name, links)

    async def _cut(self, name, links):
        how = draw_cut(self._rng)
        seconds = self._rng.uniform(0.3, 3)
        with self._take(f'{name}, {how.value}', links[0]) as free:
            if free:
                for link in links:
                    link.cut(how)
                await asyncio.sleep(seconds)
                for link in links:
                    link.restore()

    async def _drop(self, name):
        target = self._rng.choice(self._fleet.targets)
        self._result.disturbances[name] += 1
        for gateway in self._fleet.gateways:
            gateway.links[target.address].reset()

    async def _replace_target(self, name):
        target = self._rng.choice(self._fleet.targets)
        down_ms = self._rng.uniform(100, 1000)
        with self._take(name, target) as free:
            if free:
                target.crash(CrashPlan(restart_ms=down_ms, keeps_id=False))
                await asyncio.sleep(down_ms / 1000 + 0.2)


# Disturbances that a gateway without paths to targets doesn't take part in.
PATH_DISTURBANCES = frozenset(
    ('cut from targets', 'cut from a target', 'store down', 'other target')
)
MANY_COPIES = Copies(
    refused_share=0.05,
    share=0.5,
    unnamed_share=0.2,
    most_times=2,
    late_share=0.3,
)
