"""Soak of relayed streams with drawn engines, in virtual time."""

import asyncio
import contextlib
import os
import random

import pytest

from borageyard.inbound import SendError, SendFailure, TargetAnswer
from borageyard.standins.virtual_time import in_virtual_time
from tests.test_streaming_relay import (
    EVENTS,
    MAX_OVERLAP_MS,
    TIMEOUT_MS,
    Engine,
    Fleet,
    overlap_ms,
    relay,
)

# A long run by hand: SOAK_SEEDS=10 python -m pytest -k Soak
SOAK_SEEDS = int(os.environ.get('SOAK_SEEDS', '1'))
STREAMS_PER_SEED = 300
FAILED_STATUS = 500


class DrawnEngine(Engine):
    """Engine with drawn pauses, chunks and failures."""

    def __init__(self, name, draw):
        """Keeps the source of chance."""
        super().__init__(name)
        self.draw = draw

    @contextlib.asynccontextmanager
    async def run(self, send):
        """Answers a send."""
        self.runs += 1
        self.running += 1
        with contextlib.ExitStack() as stack:
            stack.callback(self.end)
            await asyncio.sleep(self.draw.choice((0, 0, 0.2, 1.2)))
            percent = self.draw.randrange(100)
            if percent < 10:
                raise SendError(SendFailure.NOT_SENT, 'refused')
            stack.enter_context(self.spanned())
            yield TargetAnswer(
                FAILED_STATUS if percent < 15 else 200,
                {},
                not_run=percent in range(15, 20),
                wrong_target=False,
                load=None,
                chunks=self.chunks(int(send.last_event_id or 0)),
            )

    async def chunks(self, after):
        """Yields the events after one, in chunks of any size."""
        for number in range(after + 1, EVENTS + 1):
            rest = f'id: {number}\ndata: {number}\n\n'.encode()
            while rest:
                size = self.draw.choice((3, 7, 100))
                yield rest[:size]
                rest = rest[size:]
                await asyncio.sleep(
                    self.draw.choice((0, 0, 0, 0.1, 0.5, 1.9, 2.1, 6))
                )
                if self.draw.randrange(100) < 3:
                    raise SendError(SendFailure.UNKNOWN, 'reset')


def drawn_fleets(block):
    """Yields the number of a stream, its source of chance and its engines."""
    first = block * STREAMS_PER_SEED
    for seed in range(first, first + STREAMS_PER_SEED):
        draw = random.Random(seed)
        fleet = Fleet(*(DrawnEngine(name, draw) for name in 'abc'))
        fleet.place_ms = draw.choice((0, 50, 700))
        yield seed, draw, fleet


async def leave(fleet, draw):
    """Relays a stream whose caller leaves; returns whether a run goes on."""
    relaying = asyncio.ensure_future(
        relay(fleet, attempts=3, statuses=(200, FAILED_STATUS))
    )
    await asyncio.sleep(draw.choice((1.5, 2, 2.2, 3, 3.2, 5)))
    for _ in range(draw.randrange(8)):
        await asyncio.sleep(0)
    relaying.cancel()
    if draw.choice((False, True)):
        await asyncio.sleep(0)
        relaying.cancel()
    await asyncio.sleep(0.4)
    await asyncio.gather(relaying, return_exceptions=True)
    return any(one.running for one in fleet.engines.values())


@pytest.mark.parametrize('block', range(SOAK_SEEDS))
class TestSoak:
    """Streams of engines that pause, fail and reject."""

    def test_events_are_in_order_and_whole(self, block, record_property):
        """Each event comes once; a stream without an error is complete."""
        outcomes = {'whole': 0, 'cut': 0, 'refused': 0}
        for seed, draw, fleet in drawn_fleets(block):
            relayed = in_virtual_time(relay)(
                fleet,
                attempts=draw.choice((1, 2, 3)),
                resumable=draw.randrange(10) < 8,
                statuses=(200, FAILED_STATUS),
            )
            count = len(relayed.events)
            assert relayed.events == list(range(1, count + 1)), seed
            assert overlap_ms(fleet) < MAX_OVERLAP_MS, seed
            assert relayed.text.count(b'\n\n') == count, seed
            # Placements of the stand-in don't end at the deadline.
            assert relayed.took_ms <= TIMEOUT_MS + fleet.place_ms + 1, seed
            outcome = 'whole'
            if relayed.error or relayed.status == FAILED_STATUS:
                outcome = 'cut' if count else 'refused'
            else:
                assert count == EVENTS, seed
            outcomes[outcome] += 1
        record_property('outcomes', outcomes)
        assert all(outcomes.values())

    def test_no_run_is_left_when_the_caller_leaves(self, block):
        """At any step, with one or two cancellations."""
        left = [
            seed
            for seed, draw, fleet in drawn_fleets(block)
            if in_virtual_time(leave)(fleet, draw)
        ]
        assert not left
