"""Tests of calls to targets through peers."""

import asyncio
import dataclasses

import pytest

from borageyard.http_client import HttpCallError
from borageyard.roster import RosterChange, TargetPhase
from borageyard.standins.relaying_fleet import CHUNK_S, CHUNKS, RelayingFleet
from borageyard.standins.virtual_time import in_virtual_time

BODY = b''.join(CHUNKS)
CALLS = 20
# Shares of calls that are served once a peer with a path is known.
MOST = 0.9
NEARLY_ALL = 0.98


async def served_share(entries, calls=CALLS):
    """Returns the share of calls that bring the whole answer."""
    replies = await asyncio.gather(
        *(
            entry.call(number % 6)
            for entry in entries
            for number in range(calls)
        ),
        return_exceptions=True,
    )
    whole = [
        reply
        for reply in replies
        if not isinstance(reply, HttpCallError) and reply.body == BODY
    ]
    return len(whole) / len(replies)


class TestPartition:
    """Entries without a path to targets."""

    @pytest.mark.parametrize('hangs', [True, False])
    @pytest.mark.parametrize('size', [5, 27, 35])
    @in_virtual_time
    async def test_failure_domain_is_partitioned(self, size, hangs):
        """A third of the entries have all their calls made by others."""
        async with RelayingFleet(size).running() as fleet:
            fleet.targets.hangs = hangs
            cut = fleet.entries[: size // 3]
            fleet.partition(cut)
            assert await served_share(cut) == 1
            callers = set(fleet.targets.callers)
            assert not callers.intersection(entry.name for entry in cut)
            assert len(callers) > 2

    @pytest.mark.parametrize('size', [5, 27])
    @in_virtual_time
    async def test_all_but_one_are_partitioned(self, size):
        """That one makes the calls once it is found."""
        async with RelayingFleet(size).running() as fleet:
            cut = fleet.entries[1:]
            fleet.partition(cut)
            for _ in range(4):
                await served_share(cut, 4)
                await asyncio.sleep(0.5)
            assert await served_share(cut, 4) > MOST

    @in_virtual_time
    async def test_large_fleet(self):
        """Most of 300 entries find one of the others."""
        async with RelayingFleet(300).running() as fleet:
            cut = fleet.entries[:200]
            fleet.partition(cut)
            await served_share(cut, 1)
            await asyncio.sleep(0.5)
            assert await served_share(cut, 2) > NEARLY_ALL

    @in_virtual_time
    async def test_all_are_partitioned(self):
        """Calls fail as not sent."""
        async with RelayingFleet(5).running() as fleet:
            fleet.partition(fleet.entries)
            with pytest.raises(HttpCallError) as failure:
                await fleet.entries[0].call()
            assert not failure.value.sent

    @in_virtual_time
    async def test_all_targets_were_down(self):
        """The first call after that reaches one."""
        async with RelayingFleet(5).running() as fleet:
            fleet.partition(fleet.entries)
            await served_share(fleet.entries, 1)
            assert all(
                entry.watch.paths.is_partitioned for entry in fleet.entries
            )
            fleet.partition([])
            assert await served_share(fleet.entries, 1) == 1

    @in_virtual_time
    async def test_end_of_a_partition(self):
        """Calls are made directly again, and not during a short relief."""
        async with RelayingFleet(5).running() as fleet:
            entry = fleet.entries[0]
            fleet.partition([entry])
            await entry.call()
            assert entry.watch.paths.is_partitioned
            fleet.partition([])
            await asyncio.sleep(2)
            assert not entry.watch.paths.is_partitioned
            await entry.call()
            assert fleet.targets.callers[-1] == entry.name

    @in_virtual_time
    async def test_targets_that_are_down(self):
        """They fail as before, and nobody else calls them."""
        async with RelayingFleet(5).running() as fleet:
            fleet.targets.down.add('h:0')
            with pytest.raises(HttpCallError) as failure:
                await fleet.entries[0].call()
            assert not failure.value.sent
            assert not fleet.entries[0].watch.paths.is_partitioned
            assert not fleet.targets.callers


class TestOutcomes:
    """What is known of a call that a peer made."""

    @in_virtual_time
    async def test_target_that_is_down(self):
        """It was not sent."""
        async with RelayingFleet(5).running() as fleet:
            entry = fleet.entries[0]
            fleet.partition([entry])
            fleet.targets.down.add('h:0')
            with pytest.raises(HttpCallError) as failure:
                await entry.call()
            assert not failure.value.sent

    @in_virtual_time
    async def test_target_that_drains(self):
        """A peer that knows of it does not send new work there."""
        async with RelayingFleet(2).running() as fleet:
            entry, peer = fleet.entries
            fleet.partition([entry])
            row = dataclasses.replace(
                fleet.targets.rows[0],
                phase=TargetPhase.DRAINING,
                announcement_number=1,
            )
            peer.state.roster.apply([RosterChange(10, 't0', row)], 11)
            with pytest.raises(HttpCallError) as failure:
                await entry.call(0)
            assert not failure.value.sent
            assert not fleet.targets.callers

    @in_virtual_time
    async def test_answer_that_breaks_off(self):
        """It does not look complete, and is not asked for again."""
        async with RelayingFleet(5).running() as fleet:
            entry = fleet.entries[0]
            fleet.partition([entry])
            fleet.targets.break_after = 1
            with pytest.raises(HttpCallError) as failure:
                await entry.call()
            assert failure.value.sent
            assert len(fleet.targets.callers) == 1

    @pytest.mark.parametrize('after_s', [CHUNK_S / 2, 2 * CHUNK_S])
    @in_virtual_time
    async def test_reply_of_the_peer_is_lost(self, after_s):
        """The call may have run, so no other peer makes it."""
        async with RelayingFleet(3).running() as fleet:
            entry = fleet.entries[0]
            fleet.partition([entry])
            call = asyncio.ensure_future(entry.call(timeout_ms=3000))
            await asyncio.sleep(after_s)
            for peer in fleet.entries[1:]:
                fleet.network.cut(peer.name, entry.name)
            with pytest.raises(HttpCallError) as failure:
                await call
            assert failure.value.sent
            assert len(fleet.targets.callers) == 1


class TestEnd:
    """Calls that are of no use any more."""

    @in_virtual_time
    async def test_caller_leaves(self):
        """The peer ends its exchange at once."""
        async with RelayingFleet(3).running() as fleet:
            entry = fleet.entries[0]
            fleet.partition([entry])
            call = asyncio.ensure_future(entry.call())
            await asyncio.sleep(1.5 * CHUNK_S)
            assert fleet.targets.open_answers == 1
            call.cancel()
            await asyncio.sleep(CHUNK_S / 4)
            assert not fleet.targets.open_answers

    @in_virtual_time
    async def test_entry_is_lost(self):
        """Its stream ends, and so do its calls."""
        async with RelayingFleet(2).running() as fleet:
            entry, peer = fleet.entries
            fleet.partition([entry])
            call = asyncio.ensure_future(entry.call())
            await asyncio.sleep(1.5 * CHUNK_S)
            peer.relay.end_calls(entry.name)
            await asyncio.sleep(CHUNK_S / 4)
            assert not fleet.targets.open_answers
            with pytest.raises(HttpCallError):
                await call

    @in_virtual_time
    async def test_whole_answers_leave_nothing(self):
        """The peer forgets a call with its last part."""
        async with RelayingFleet(2).running() as fleet:
            entry, peer = fleet.entries
            fleet.partition([entry])
            await entry.call()
            assert not peer.relay._calls
