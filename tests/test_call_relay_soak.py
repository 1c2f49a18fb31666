"""Soak of calls to targets beside partitions that overlap other faults."""

import asyncio
import dataclasses
import os
import random

import pytest

from borageyard.http_client import HttpCallError
from borageyard.standins.relaying_fleet import CHUNKS, RelayingFleet
from borageyard.standins.virtual_time import in_virtual_time

# A long run by hand: SOAK_SEEDS=60 python -m pytest -k Soak
SEEDS = range(int(os.environ.get('SOAK_SEEDS', '2')))
LENGTH_S = 40
CALL_PAUSE_S = 0.02
FAULT_PAUSE_S = (0.5, 3)
LASTING_S = (0.3, 8)
TARGETS = 6
TIMEOUT_MS = 2500
# The users count calls from this time after the start of a partition on, and
# while there are enough of them.
STABLE_WINDOW_S = 3
MIN_RATIO = 2 / 3
MIN_COUNTED = 20
BODY = b''.join(CHUNKS)


@dataclasses.dataclass
class Outcome:
    """What became of one call."""

    path: str
    settled: bool
    partitioned: bool
    served: bool
    # Whether it may have been made, as its caller was told.
    sent: bool


class Soak:
    """Calls and faults from a seed."""

    def __init__(self, fleet, seed):
        """Creates a soak of a running fleet."""
        self.fleet = fleet
        self.draws = random.Random(seed)
        self.outcomes = []
        # Time of the last fault of each entry, and the number of partitions.
        self.faulted_s = dict.fromkeys((one.name for one in fleet.entries), -9)
        self.partitions = 0

    @property
    def now_s(self):
        """Time of the loop."""
        return asyncio.get_running_loop().time()

    async def run(self):
        """Calls beside faults, for the length of the soak."""
        faults = (
            self.partition,
            self.partition,
            self.fail_targets,
            self.cut_peer,
        )
        async with asyncio.TaskGroup() as group:
            calling = group.create_task(self.call_for(LENGTH_S))
            while not calling.done():
                group.create_task(self.draws.choice(faults)())
                await asyncio.sleep(self.draws.uniform(*FAULT_PAUSE_S))

    async def call_for(self, span_s):
        """Starts calls at entries that are drawn."""
        async with asyncio.TaskGroup() as group:
            for number in range(round(span_s / CALL_PAUSE_S)):
                entry = self.draws.choice(self.fleet.entries)
                group.create_task(self.call(entry, f'/{number}'))
                await asyncio.sleep(CALL_PAUSE_S)

    async def call(self, entry, path):
        """Calls a target; the first try only."""
        partitioned = entry.name in self.fleet.targets.partitioned
        settled_s = self.now_s - STABLE_WINDOW_S
        target = self.draws.randrange(TARGETS)
        was_up = self.is_up(target)
        served, sent = False, True
        try:
            reply = await entry.call(target, TIMEOUT_MS, path)
        except HttpCallError as error:
            sent = error.sent
        else:
            served = reply.body == BODY
            assert served
        settled = self.faulted_s[entry.name] < settled_s
        settled = settled and was_up and self.is_up(target)
        self.outcomes.append(Outcome(path, settled, partitioned, served, sent))

    def is_up(self, number):
        """Returns whether a target accepts connections."""
        return f'h:{number}' not in self.fleet.targets.down

    async def partition(self):
        """Partitions some entries from all targets; it may be all but one."""
        size = len(self.fleet.entries)
        cut = self.draws.sample(
            self.fleet.entries, self.draws.randrange(1, size)
        )
        self.partitions += 1
        number = self.partitions
        self.fleet.targets.hangs = self.draws.choice((True, False))
        self.change_partition(cut)
        await asyncio.sleep(self.draws.uniform(*LASTING_S))
        if number == self.partitions:
            self.change_partition([])

    def change_partition(self, entries):
        """Partitions just these entries."""
        before = self.fleet.targets.partitioned
        self.fleet.partition(entries)
        self.note_faults(before ^ self.fleet.targets.partitioned)

    async def fail_targets(self):
        """Lets some targets refuse connections."""
        numbers = self.draws.sample(range(TARGETS), TARGETS // 2)
        addresses = {f'h:{number}' for number in numbers}
        self.fleet.targets.down |= addresses
        await asyncio.sleep(self.draws.uniform(*LASTING_S) / 2)
        self.fleet.targets.down -= addresses

    async def cut_peer(self):
        """Drops the messages between two entries, one way or both ways."""
        one, other = self.draws.sample(self.fleet.entries, 2)
        cuts = [(one.name, other.name), (other.name, one.name)]
        cuts = cuts[: self.draws.choice((1, 2))]
        self.fleet.network.cuts.update(cuts)
        self.note_faults((one.name, other.name))
        await asyncio.sleep(self.draws.uniform(*LASTING_S) / 2)
        self.fleet.network.cuts.difference_update(cuts)
        self.note_faults((one.name, other.name))

    def note_faults(self, names):
        """Records a fault of some entries."""
        self.faulted_s.update(dict.fromkeys(names, self.now_s))

    def served_share(self, *, partitioned):
        """Returns the served share of the calls that count, if enough do."""
        served = [
            one.served
            for one in self.outcomes
            if one.settled and one.partitioned is partitioned
        ]
        if len(served) < MIN_COUNTED:
            return None
        return sum(served) / len(served)

    def made(self, outcome):
        """Returns how often a call was made."""
        return self.fleet.targets.calls_by_path[outcome.path]


@pytest.mark.parametrize('size', [5, 27])
@pytest.mark.parametrize('seed', SEEDS)
class TestSoak:
    """Partitions, targets that are down and cuts between entries."""

    @in_virtual_time
    async def test_calls_are_made_once_and_served(self, seed, size):
        """What was not sent ran nowhere, and entries serve alike."""
        async with RelayingFleet(size).running() as fleet:
            soak = Soak(fleet, seed)
            await soak.run()
            made_twice = [one for one in soak.outcomes if soak.made(one) > 1]
            assert not made_twice
            not_sent = [one for one in soak.outcomes if not one.sent]
            assert not any(map(soak.made, not_sent))
            others = soak.served_share(partitioned=False)
            cut = soak.served_share(partitioned=True)
            if others is not None and cut is not None:
                assert cut >= MIN_RATIO * others
