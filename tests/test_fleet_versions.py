"""Tests that entries know which version began a stream of another entry."""

import asyncio
import contextlib
import os
import random

import pytest

from borageyard.clock import LoopClock
from borageyard.generated.peer_streams import (
    StreamOriginQueryBody,
    StreamOriginQueryReplyBody,
    VersionListingBody,
)
from borageyard.shared_table import Table
from borageyard.standins.electing_fleet import GROUP
from borageyard.standins.election_soak import ElectionSoak
from borageyard.standins.streaming_fleet import SPAN_MS, StreamingFleet
from borageyard.standins.virtual_time import in_virtual_time
from borageyard.tasks import running_tasks

SIZES = (5, 27, 35, 300)
START_S = 4
STREAMS = 24
SPAN_S = SPAN_MS / 1000


@contextlib.asynccontextmanager
async def settled(size, *versions):
    """Runs a fleet that has agreed on its scheduler."""
    fleet = StreamingFleet(size)
    async with fleet.running():
        await fleet.run(START_S)
        fleet.serve(*versions)
        yield fleet


def relays(fleet):
    """Returns the entry that relays each stream; a part of the fleet."""
    return [fleet.names[number % 3] for number in range(STREAMS)]


async def begin_streams(fleet, *versions):
    """Begins streams of all versions in turn; returns their versions."""
    begun = {}
    for number, name in enumerate(relays(fleet)):
        version = versions[number % len(versions)]
        begun[fleet.begin(name, version)] = version
    await fleet.run(1)
    return begun


async def found(fleet, name, begun):
    """Returns the versions that an entry finds, by request id."""
    resolved = await asyncio.gather(
        *(fleet.resolve(name, request_id) for request_id in begun)
    )
    return dict(zip(begun, resolved, strict=True))


def wrong(resolved, begun):
    """Returns the streams that would go on at another version."""
    return [
        request_id
        for request_id, version in resolved.items()
        if version not in {None, begun[request_id]}
    ]


async def restart_all(fleet):
    """Kills all entries at once; their memory is gone."""
    for name in fleet.names:
        await fleet.kill(name)
    for name in fleet.names:
        await fleet.start(name)


@pytest.mark.parametrize('size', SIZES)
class TestOrigins:
    """Incident ORDER: streams that another entry began."""

    @in_virtual_time
    async def test_other_entries_know_the_version(self, size):
        """Two versions serve side by side, and nothing fails."""
        async with settled(size, 'v1', 'v1.1') as fleet:
            begun = await begin_streams(fleet, 'v1', 'v1.1')
            assert await found(fleet, fleet.names[-1], begun) == begun

    @in_virtual_time
    async def test_entries_that_began_them_are_gone(self, size):
        """Others keep the origins; the scheduler is lost as well."""
        async with settled(size, 'v1', 'v1.1') as fleet:
            begun = await begin_streams(fleet, 'v1', 'v1.1')
            lost = {*relays(fleet), *fleet.schedulers()}
            survivor = min(set(fleet.names[3:]) - lost)
            for name in lost - {survivor}:
                await fleet.kill(name)
            resolved = await found(fleet, survivor, begun)
            assert not wrong(resolved, begun)
            assert resolved == begun

    @in_virtual_time
    async def test_second_version_appears_while_streams_run(self, size):
        """Origins are handed to others before they can be in doubt."""
        async with settled(size, 'v1') as fleet:
            begun = await begin_streams(fleet, 'v1')
            fleet.serve('v1', 'v1.1')
            await fleet.run(1)
            begun |= await begin_streams(fleet, 'v1.1')
            for name in set(relays(fleet)):
                await fleet.kill(name)
            assert await found(fleet, fleet.names[-1], begun) == begun

    @in_virtual_time
    async def test_half_of_the_entries_die(self, size):
        """No stream goes on at another version, and most go on."""
        async with settled(size, 'v1', 'v1.1') as fleet:
            begun = await begin_streams(fleet, 'v1', 'v1.1')
            for name in fleet.names[: size // 2]:
                await fleet.kill(name)
            resolved = await found(fleet, fleet.names[-1], begun)
            assert not wrong(resolved, begun)
            unknown = [one for one in resolved.values() if one is None]
            assert len(unknown) < STREAMS / 2


class TestUnknown:
    """Streams whose origin nobody knows any more."""

    @in_virtual_time
    async def test_single_version_is_the_origin(self):
        """After a restart of all entries, engines are older than streams."""
        async with settled(5, 'v1') as fleet:
            await fleet.run(SPAN_S + 5)
            begun = await begin_streams(fleet, 'v1')
            for name in fleet.names:
                await fleet.kill(name)
                await fleet.start(name)
            assert await found(fleet, fleet.names[-1], begun) == begun

    @in_virtual_time
    async def test_one_of_two_versions_is_not_guessed(self):
        """A refusal is the truth. The store was away while they began."""
        async with settled(5, 'v1', 'v1.1') as fleet:
            await fleet.run(1)
            fleet.store.down = True
            begun = await begin_streams(fleet, 'v1', 'v1.1')
            await restart_all(fleet)
            resolved = await found(fleet, fleet.names[-1], begun)
            fleet.store.down = False
            await fleet.run(2)
            resolved_later = await found(fleet, fleet.names[-1], begun)
            assert {*resolved.values(), *resolved_later.values()} == {None}

    @in_virtual_time
    async def test_version_that_is_gone_may_have_begun_them(self):
        """An entry that starts learns from others what served until now."""
        async with settled(5, 'v1', 'v1.1') as fleet:
            begun = await begin_streams(fleet, 'v1')
            fleet.serve('v1.1')
            await fleet.run(1)
            other = fleet.names[-1]
            await fleet.kill(other)
            await fleet.start(other)
            assert await found(fleet, other, begun) == begun
            assert await fleet.resolve(other, 'stranger') is None

    @in_virtual_time
    async def test_entry_that_is_cut_off_guesses_nothing(self):
        """A version that it has not heard of may have begun the stream."""
        async with settled(5, 'v1') as fleet:
            alone = fleet.names[-1]
            fleet.cut([alone])
            fleet.close_store([alone])
            await fleet.run(3)
            assert await fleet.resolve(alone, 'stranger') is None

    @in_virtual_time
    async def test_last_entry_knows_the_only_version(self):
        """It reads the store itself, so nothing is hidden from it."""
        async with settled(5, 'v1') as fleet:
            await fleet.run(SPAN_S + 5)
            begun = await begin_streams(fleet, 'v1')
            last = fleet.names[-1]
            for name in fleet.names[:-1]:
                await fleet.kill(name)
            fleet.read([last])
            assert await found(fleet, last, begun) == begun


@pytest.mark.parametrize('size', [5, 27, 78])
class TestUnlistedVersion:
    """Guards against streams of a version that the store does not list."""

    @in_virtual_time
    async def test_store_turns_the_scheduler_away(self, size):
        """The new version leaves again, and all entries are killed."""
        async with settled(size, 'v1') as fleet:
            fleet.close_store(fleet.schedulers())
            fleet.serve('v1', 'v2')
            await fleet.run(1)
            granted = fleet.granted_versions(fleet.names[0])
            assert granted == ['v1', 'v2']
            begun = await begin_streams(fleet, *granted)
            fleet.replace_engines(['v1'])
            await restart_all(fleet)
            fleet.close_store([])
            await fleet.run(1)
            resolved = await found(fleet, fleet.names[-1], begun)
            assert not wrong(resolved, begun)

    @in_virtual_time
    async def test_store_answers_nobody(self, size):
        """Engines of the new version wait until it is listed."""
        async with settled(size, 'v1') as fleet:
            await fleet.run(1)
            fleet.close_store(fleet.names)
            fleet.serve('v1', 'v2')
            await fleet.run(2)
            assert fleet.granted_versions(fleet.names[0]) == ['v1']
            fleet.close_store([])
            await fleet.run(2)
            assert fleet.granted_versions(fleet.names[0]) == ['v1', 'v2']

    @in_virtual_time
    async def test_version_that_leaves_before_it_is_listed(self, size):
        """Entries count as ready once the others are listed."""
        async with settled(size, 'v1') as fleet:
            await fleet.run(1)
            fleet.close_store(fleet.names)
            fleet.serve('v1', 'v2')
            name = fleet.names[-1]
            await fleet.kill(name)
            await fleet.start(name)
            await fleet.run(3)
            assert not fleet.entry(name).listing.settled
            fleet.serve('v1')
            await fleet.run(3)
            assert fleet.entry(name).listing.settled

    @in_virtual_time
    async def test_scheduler_that_starts_while_the_store_is_away(self, size):
        """It learns from the others that the version is listed."""
        async with settled(size, 'v1') as fleet:
            await fleet.run(1)
            fleet.close_store(fleet.names)
            (scheduler,) = fleet.schedulers()
            await fleet.kill(scheduler)
            await fleet.start(scheduler)
            await fleet.run(START_S)
            for name in fleet.names:
                assert fleet.granted_versions(name) == ['v1']


class TestOutOfStep:
    """Guards against an entry that takes old knowledge for the present.

    A second version joins and begins streams while one entry is out of step;
    callers take them up there.
    """

    @in_virtual_time
    async def test_read_that_arrives_after_a_pause(self):
        """The answer lay in the socket while the process was suspended."""
        async with settled(5, 'v1') as fleet:
            await fleet.run(SPAN_S)
            alone = fleet.names[-1]
            begun = await self._release(fleet, alone)
            mirror = fleet.entry(alone).state.mirrors[Table.TARGETS]
            mirror.read_at_ms = LoopClock().steady_ms()
            resolved = await found(fleet, alone, begun)
            assert not wrong(resolved, begun)

    @in_virtual_time
    async def test_read_just_before_the_release(self):
        """It reaches neither a peer nor the store."""
        async with settled(5, 'v1') as fleet:
            await fleet.run(SPAN_S)
            alone = fleet.names[-1]
            fleet.read([alone])
            fleet.close_store([alone])
            begun = await self._release(fleet, alone)
            resolved = await found(fleet, alone, begun)
            assert not wrong(resolved, begun)

    @in_virtual_time
    async def test_peer_that_is_as_far_behind(self):
        """Two entries reach each other only."""
        async with settled(5, 'v1') as fleet:
            await fleet.run(SPAN_S)
            pair = fleet.names[-2:]
            fleet.read(pair)
            fleet.close_store(pair)
            begun = await self._release(fleet, *pair)
            resolved = await found(fleet, pair[0], begun)
            assert not wrong(resolved, begun)

    @in_virtual_time
    async def test_peers_read_the_list(self):
        """The entry that the store turns away asks them, and goes on."""
        async with settled(5, 'v1') as fleet:
            await fleet.run(SPAN_S)
            begun = await begin_streams(fleet, 'v1')
            alone = fleet.names[-1]
            fleet.close_store([alone])
            assert await found(fleet, alone, begun) == begun

    @in_virtual_time
    async def test_origins_are_shared_while_the_store_is_away(self):
        """The entries that began the streams are lost meanwhile."""
        async with settled(5, 'v1') as fleet:
            begun = await begin_streams(fleet, 'v1')
            fleet.close_store(fleet.names)
            await fleet.run(3)
            begun |= await begin_streams(fleet, 'v1')
            for name in set(relays(fleet)):
                await fleet.kill(name)
            assert await found(fleet, fleet.names[-1], begun) == begun

    async def _release(self, fleet, *apart):
        """Begins streams at a version that these entries hear nothing of."""
        fleet.cut(apart)
        rest = sorted(fleet.entries.keys() - set(apart))
        fleet.replace_engines(['v1', 'v2'])
        fleet.read(rest)
        await fleet.run(0.5)
        begun = await begin_streams(fleet, 'v2')
        fleet.replace_engines(['v1'])
        return begun


class TestEarlierBuilds:
    """Entries of builds that list versions as schedulers only."""

    @in_virtual_time
    async def test_their_belief_is_no_proof(self):
        """They answer without a read, and know no message of the list."""
        async with settled(5, 'v1') as fleet:
            await fleet.run(SPAN_S)
            alone, *others = reversed(fleet.names)
            fleet.close_store([alone])
            for name in others:
                handlers = fleet.entry(name).link.handlers
                handlers.pop(VersionListingBody)
                handlers[StreamOriginQueryBody] = self._answer
            assert await fleet.resolve(alone, 'stranger') is None

    @in_virtual_time
    async def test_their_query_gets_what_is_known(self):
        """It names no list, and so nobody reads it."""
        async with settled(5, 'v1') as fleet:
            (request_id,) = [fleet.begin(fleet.names[0], 'v1')]
            fleet.close_store(fleet.names)
            query = {'request_id': request_id, 'service': GROUP, 'span_ms': 1}
            reply = await fleet.entry(fleet.names[1]).link.request(
                fleet.names[0],
                StreamOriginQueryBody.model_validate(query),
                StreamOriginQueryReplyBody,
                1000,
            )
            assert reply.known
            assert reply.software_version == 'v1'
            assert reply.listed_versions is None

    async def _answer(self, peer_id, query):
        return StreamOriginQueryReplyBody(recent_versions=['v1'], complete=True)


@pytest.mark.parametrize('size', [5, 27, 78])
class TestAllRestarted:
    """Streams that callers take up after all entries were killed at once."""

    @in_virtual_time
    async def test_streams_go_on_while_both_versions_serve(self, size):
        """At least half as many as new streams begin, which is all."""
        async with settled(size, 'v1', 'v2') as fleet:
            begun = await begin_streams(fleet, 'v1', 'v2')
            await restart_all(fleet)
            await fleet.run(START_S)
            resolved = await found(fleet, fleet.names[-1], begun)
            assert not wrong(resolved, begun)
            known = [one for one in resolved.values() if one is not None]
            assert len(known) >= STREAMS / 2

    @in_virtual_time
    async def test_streams_of_the_version_that_has_left_end(self, size):
        """Its last target left just before, and the other one is old."""
        async with settled(size, 'v1', 'v2') as fleet:
            await fleet.run(3 * SPAN_S)
            begun = await begin_streams(fleet, 'v1')
            fleet.serve('v2')
            await restart_all(fleet)
            await fleet.run(1)
            resolved = await found(fleet, fleet.names[-1], begun)
            assert not wrong(resolved, begun)

    @in_virtual_time
    async def test_version_leaves_while_no_entry_runs(self, size):
        """Nobody sees it leave; what was begun at it is refused."""
        async with settled(size, 'v1', 'v2') as fleet:
            await fleet.run(3 * SPAN_S)
            begun = await begin_streams(fleet, 'v1')
            for name in fleet.names:
                await fleet.kill(name)
            fleet.replace_engines(['v2'])
            for name in fleet.names:
                await fleet.start(name)
            await fleet.run(1)
            resolved = await found(fleet, fleet.names[-1], begun)
            assert not wrong(resolved, begun)

    @in_virtual_time
    async def test_streams_that_began_before_the_release_go_on(self, size):
        """Their origins were in no doubt until the second version came."""
        async with settled(size, 'v1') as fleet:
            begun = await begin_streams(fleet, 'v1')
            fleet.serve('v1', 'v2')
            await fleet.run(1)
            await restart_all(fleet)
            await fleet.run(START_S)
            resolved = await found(fleet, fleet.names[-1], begun)
            assert resolved == begun


class TestRestoredStore:
    """All entries restart with a store that comes back from a copy."""

    @in_virtual_time
    async def test_version_of_which_the_copy_knows_nothing(self):
        """It came after the copy was made, and has left again."""
        async with settled(5, 'v1') as fleet:
            await fleet.run(3 * SPAN_S)
            copied = fleet.store.ends()
            fleet.serve('v1', 'v2')
            begun = await begin_streams(fleet, 'v2')
            fleet.store.restore(copied)
            fleet.replace_engines(['v1'])
            for _ in range(2):
                await restart_all(fleet)
                await fleet.run(START_S)
                resolved = await found(fleet, fleet.names[-1], begun)
                assert set(resolved.values()) == {None}

    @in_virtual_time
    async def test_running_entries_list_the_versions_again(self):
        """They outlived the restore, so their memory is complete."""
        async with settled(5, 'v1') as fleet:
            copied = fleet.store.ends()
            fleet.serve('v1', 'v2')
            await fleet.run(1)
            fleet.store.restore(copied)
            fleet.serve('v1', 'v2')
            begun = await begin_streams(fleet, 'v1', 'v2')
            await restart_all(fleet)
            await fleet.run(1)
            assert await found(fleet, fleet.names[-1], begun) == begun


# A long run by hand: SOAK_SEEDS=60 python -m pytest -k Soak
SOAK_SEEDS = int(os.environ.get('SOAK_SEEDS', '4'))
# Versions that serve side by side.
RELEASES = ('v1', 'v1 v2', 'v2', 'v2 v3', 'v1 v2 v3')
# One step of this many brings a release.
RELEASE_STEPS = 10
# One step of this many changes whom the store turns away.
STORE_STEPS = 8
STEP_S = 0.25


class StreamSoak:
    """Streams that begin and are taken up while engines are replaced."""

    def __init__(self, fleet, seed):
        """Starts without streams."""
        self.wrong = []
        self.known = 0
        self.asked = 0
        self._fleet = fleet
        self._random = random.Random(seed)
        self._begun = {}

    async def run(self):
        """Begins and takes up streams until cancelled."""
        while True:
            await asyncio.sleep(STEP_S)
            if not self._random.randrange(RELEASE_STEPS):
                release = self._random.choice(RELEASES)
                self._fleet.replace_engines(release.split())
            names = sorted(self._fleet.entries)
            self._fleet.read(self._random.sample(names, len(names) // 2))
            self._close_store(names)
            self._begin(self._random.choice(names))
            await self._take_up(self._random.choice(names))

    def _close_store(self, names):
        """Lets the store turn some entries away, or answer all again."""
        if not self._random.randrange(STORE_STEPS):
            count = self._random.choice((0, 1, len(names) // 2))
            closed = self._random.sample(names, count)
            self._fleet.close_store([*closed, *self._fleet.acting][:count])

    def _begin(self, name):
        versions = self._fleet.granted_versions(name)
        if versions:
            version = self._random.choice(versions)
            self._begun[self._fleet.begin(name, version)] = version

    async def _take_up(self, name):
        recent = list(self._begun)[-20:]
        if not recent:
            return
        request_id = self._random.choice(recent)
        version = await self._fleet.resolve(name, request_id)
        self.asked += 1
        self.known += version is not None
        if version not in {None, self._begun[request_id]}:
            self.wrong.append(request_id)


class TestSoak:
    """Series of faults during releases."""

    @pytest.mark.parametrize('seed', range(SOAK_SEEDS))
    @pytest.mark.parametrize('size', [5, 27])
    @in_virtual_time
    async def test_no_stream_goes_on_at_another_version(self, size, seed):
        """Half of the faults are at the scheduler; most streams go on."""
        async with settled(size, 'v1') as fleet:
            soak = StreamSoak(fleet, seed)
            async with running_tasks(soak.run):
                await ElectionSoak(fleet, seed).run()
                await asyncio.sleep(5)
            assert not soak.wrong
            assert soak.known > soak.asked / 2
