"""Tests of claims by several entries, in virtual time."""

import asyncio
import dataclasses
import uuid

import pytest

from borageyard.backing_services import AppendUnknownError
from borageyard.errors import ErrorKind, RunStatus
from borageyard.identifiers import new_identifier
from borageyard.requests import Answer

from .claim_cluster import STREAM, claim_cluster, is_not_run

SLOW_FACTOR = 30
TIME_SHIFT_BITS = 80
RANDOM_MASK = (1 << TIME_SHIFT_BITS) - 1


@pytest.mark.looptime
class TestSameKey:
    """Several requests with the same key."""

    async def test_two_entries_at_once(self):
        """Simultaneous requests at two entries run once, with one output."""
        key = new_identifier()
        async with claim_cluster() as cluster:
            first, second = await asyncio.gather(
                cluster.book(0, key),
                cluster.book(1, key),
            )
            runs = cluster.runs(key)
        assert runs == 1
        assert first.output == second.output

    async def test_same_entry_attaches(self):
        """A retry attaches to a running request of the same entry."""
        key = new_identifier()
        async with claim_cluster() as cluster:
            cluster.slow_down(SLOW_FACTOR)
            first = cluster.start_booking(0, key)
            await asyncio.sleep(0.2)
            second = await cluster.book(0, key)
            assert (await first).output == second.output
            assert cluster.runs(key) == 1

    async def test_retry_gets_recorded_outcome(self):
        """A retry reads the outcome from the log after the holder died."""
        key = new_identifier()
        async with claim_cluster() as cluster:
            first = await cluster.book(0, key)
            await asyncio.sleep(0.1)
            await cluster.deployment.kill_entry('entry-0')
            second = await cluster.book(1, key)
            assert cluster.runs(key) == 1
        assert isinstance(second, Answer)
        assert second.output == first.output

    async def test_answer_names_the_retry(self):
        """The answer to a retry carries the request id of the retry."""
        key = new_identifier()
        async with claim_cluster() as cluster:
            await cluster.book(0, key)
            retry = cluster.request(key)
            outcome = await cluster.core(1).run(retry)
        assert outcome.request_id == retry.request_id

    async def test_other_digest_conflicts(self):
        """A key used with another body is refused as not run."""
        key = new_identifier()
        async with claim_cluster() as cluster:
            await cluster.book(0, key)
            await asyncio.sleep(0.1)
            outcomes = [
                await cluster.book(index, key, body={'dog': 'Kolur'})
                for index in range(2)
            ]
            assert cluster.runs(key) == 1
        assert {outcome.kind for outcome in outcomes} == {
            ErrorKind.KEY_CONFLICT,
        }
        assert all(map(is_not_run, outcomes))

    async def test_large_outcome_survives_its_holder(self):
        """A peer in another failure domain holds a large outcome."""
        key = new_identifier()
        async with claim_cluster() as cluster:
            cluster.core(0).claims.gate._recorder._inline_bytes = 0
            await cluster.core(0).watcher.poll_instances()
            first = await cluster.book(0, key)
            await asyncio.sleep(0.1)
            assert cluster.core(1).claims.holder.held_bytes > 0
            await cluster.deployment.kill_entry('entry-0')
            second = await cluster.book(2, key)
        assert second.output == first.output


@pytest.mark.looptime
class TestHolder:
    """Holders of a claim that die, are cut off or lose their caller."""

    async def test_dead_holder_is_unknown(self):
        """The outcome is unknown and nothing reruns if the holder died."""
        key = new_identifier()
        async with claim_cluster() as cluster:
            cluster.slow_down(SLOW_FACTOR)
            first = cluster.start_booking(0, key)
            await asyncio.sleep(0.2)
            await cluster.deployment.kill_entry('entry-0')
            second = await cluster.book(1, key)
            first.cancel()
            assert cluster.runs(key) == 1
        assert second.kind is ErrorKind.OUTCOME_UNKNOWN
        assert second.ran is RunStatus.UNKNOWN

    async def test_unreachable_holder_is_unknown(self):
        """A holder that is cut off keeps its claim; a retry gets unknown."""
        key = new_identifier()
        async with claim_cluster() as cluster:
            cluster.slow_down(SLOW_FACTOR * SLOW_FACTOR)
            first = cluster.start_booking(0, key)
            await asyncio.sleep(0.2)
            cluster.deployment.network.cut('entry-1', 'entry-0')
            second = await cluster.book(1, key, deadline_ms=300)
            first.cancel()
            assert cluster.runs(key) == 1
        assert second.ran is RunStatus.UNKNOWN

    async def test_disconnect_lets_the_claimed_request_finish(self):
        """The outcome is recorded even if the first caller disconnects."""
        key = new_identifier()
        async with claim_cluster() as cluster:
            cluster.slow_down(SLOW_FACTOR)
            first = cluster.start_booking(0, key)
            await asyncio.sleep(0.2)
            first.cancel()
            second = await cluster.book(1, key)
            assert cluster.runs(key) == 1
        assert isinstance(second, Answer)

    async def test_disconnect_before_the_claim_frees_the_key(self):
        """A disconnect before the read-back abandons the claim unrun."""
        key = new_identifier()
        async with claim_cluster(delay_ms=100) as cluster:
            first = cluster.start_booking(0, key)
            await cluster.wait_for_claim(0)
            first.cancel()
            await asyncio.sleep(1)
            assert cluster.core(0).claims.attempts.abandoned == 1
            assert cluster.runs(key) == 0
            second = await cluster.book(1, key)
            assert cluster.runs(key) == 1
        assert isinstance(second, Answer)

    async def test_refused_run_frees_the_key(self):
        """A key can be used again after a refusal as not run."""
        key = new_identifier()
        async with claim_cluster() as cluster:
            targets = cluster.deployment.targets
            bokun = [name for name in targets if name.startswith('bokun')]
            cluster.deployment.client.unreachable.update(bokun)
            first = await cluster.book(0, key)
            cluster.deployment.client.unreachable.clear()
            second = await cluster.book(1, key)
            assert cluster.runs(key) == 1
        assert is_not_run(first)
        assert isinstance(second, Answer)


@pytest.mark.looptime
class TestLogFaults:
    """Outages, lost answers and delays of the log."""

    async def test_outage_refuses_at_once(self):
        """An outage refuses only claims, and within half a second."""
        async with claim_cluster() as cluster:
            cluster.log.faults.outage = True
            started_ms = cluster.deployment.clock.steady_ms()
            key = new_identifier()
            booking = await cluster.book(0, key)
            took_ms = cluster.deployment.clock.steady_ms() - started_ms
            summary = await cluster.core(0).run(
                dataclasses.replace(
                    cluster.request(),
                    pipeline='route-summary',
                ),
            )
            assert cluster.runs(key) == 0
        assert booking.kind is ErrorKind.LOG_UNAVAILABLE
        assert booking.retry_after_ms > 0
        assert is_not_run(booking)
        assert isinstance(summary, Answer)
        assert took_ms < 500

    async def test_serves_again_after_an_outage(self):
        """A key refused in an outage is accepted after it."""
        key = new_identifier()
        async with claim_cluster() as cluster:
            cluster.log.faults.outage = True
            await cluster.book(0, key)
            await asyncio.sleep(10)
            cluster.log.faults.outage = False
            await asyncio.sleep(3)
            second = await cluster.book(0, key)
            assert cluster.runs(key) == 1
        assert isinstance(second, Answer)

    async def test_lost_answer_is_read_back(self):
        """A batch that is read back is not appended a second time."""
        key = new_identifier()
        async with claim_cluster() as cluster:
            cluster.log.faults.lose_next_answers = 1
            outcome = await cluster.book(0, key)
            await asyncio.sleep(1)
            page = cluster.log.read_now(STREAM, 0)
            assert cluster.runs(key) == 1
        claims = [claim for row in page.records for claim in _claims(row)]
        assert isinstance(outcome, Answer)
        assert len(claims) == 1

    async def test_lost_append_is_made_again(self):
        """A batch that is not read back is appended again."""
        key = new_identifier()
        async with claim_cluster() as cluster:
            writer = cluster.shard(0).writer
            writer._log = LossyLog(writer._log)
            outcome = await cluster.book(0, key)
            assert cluster.runs(key) == 1
        assert isinstance(outcome, Answer)

    async def test_outcome_survives_an_outage(self):
        """An outcome refused in an outage is written after it."""
        key = new_identifier()
        async with claim_cluster() as cluster:
            cluster.slow_down(SLOW_FACTOR)
            first = cluster.start_booking(0, key)
            await asyncio.sleep(0.2)
            cluster.log.faults.outage = True
            assert isinstance(await first, Answer)
            await asyncio.sleep(30)
            cluster.log.faults.outage = False
            await asyncio.sleep(5)
            await cluster.deployment.kill_entry('entry-0')
            second = await cluster.book(1, key)
        assert isinstance(second, Answer)

    async def test_deadline_before_confirmation(self):
        """A claim read back after the deadline frees its key unrun."""
        key = new_identifier()
        async with claim_cluster(delay_ms=1200) as cluster:
            first = await cluster.book(0, key, deadline_ms=1000)
            await asyncio.sleep(3)
            assert cluster.core(0).claims.attempts.abandoned == 1
            assert cluster.runs(key) == 0
            second = await cluster.book(1, key)
            assert cluster.runs(key) == 1
        assert is_not_run(first)
        assert isinstance(second, Answer)


@pytest.mark.looptime
class TestKeyTime:
    """Keys created outside the claim window."""

    @pytest.mark.parametrize(
        ('shift_ms', 'kind'),
        [
            (-700_000, ErrorKind.KEY_EXPIRED),
            (100_000, ErrorKind.KEY_IN_FUTURE),
        ],
    )
    async def test_refused(self, shift_ms, kind):
        """Keys that are too old or too new are refused as not run."""
        async with claim_cluster() as cluster:
            clock = cluster.deployment.clock
            key = key_at(clock.wall_ms() + shift_ms)
            outcome = await cluster.book(0, key)
            assert cluster.runs(key) == 0
        assert outcome.kind is kind
        assert is_not_run(outcome)

    async def test_memory_is_bounded_by_the_window(self):
        """Keys older than the claim window are dropped from memory."""
        async with claim_cluster(window_ms=5000) as cluster:
            await cluster.book(0, key_at(_now(cluster)))
            await asyncio.sleep(0.1)
            assert len(cluster.shard(1).fold) == 1
            await asyncio.sleep(15)
            assert not len(cluster.shard(1).fold)


@pytest.mark.looptime
class TestStart:
    """Entries that start late or fall behind the log."""

    async def test_fresh_entry_knows_old_keys(self):
        """A new entry reads an old claim and does not run its key again."""
        key = new_identifier()
        async with claim_cluster() as cluster:
            await cluster.book(0, key)
            await asyncio.sleep(60)
            core = await cluster.deployment.start_entry(9)
            outcome = await core.run(cluster.request(key))
            assert cluster.runs(key) == 1
        assert isinstance(outcome, Answer)

    async def test_expired_records_are_not_skipped(self):
        """A key whose records may have expired unread is not rerun."""
        key = new_identifier()
        async with claim_cluster() as cluster:
            await cluster.book(0, key)
            await asyncio.sleep(60)
            head = cluster.shard(0).reader.coverage.next_offset
            cluster.log.expire_before(STREAM, head)
            core = await cluster.deployment.start_entry(9)
            outcome = await core.run(cluster.request(key))
            assert cluster.runs(key) == 1
        assert outcome.kind is ErrorKind.OUTCOME_UNKNOWN

    async def test_paused_reader_notices_a_gap(self):
        """A reader that returns to an expired offset counts a gap.

        The missed key is refused as unknown; new keys are accepted.
        """
        key = new_identifier()
        async with claim_cluster() as cluster:
            entry = cluster.deployment.entries['entry-1']
            entry.log.is_unreachable = True
            await asyncio.sleep(1)
            await cluster.book(0, key)
            await asyncio.sleep(10)
            head = cluster.shard(0).reader.coverage.next_offset
            cluster.log.expire_before(STREAM, head)
            entry.log.is_unreachable = False
            await asyncio.sleep(1)
            outcome = await cluster.book(1, key)
            assert cluster.runs(key) == 1
            assert cluster.shard(1).reader.gaps == 1
            await asyncio.sleep(5)
            fresh = await cluster.book(1, key_at(_now(cluster)))
        assert outcome.ran is RunStatus.UNKNOWN
        assert isinstance(fresh, Answer)


@pytest.mark.looptime
class TestCheckpoint:
    """Checkpoints of claims whose first records expire."""

    async def test_fresh_entry_takes_the_checkpoint(self):
        """A new entry restores claims from a checkpoint."""
        key = new_identifier()
        async with claim_cluster() as cluster:
            first = await cluster.book(0, key)
            await checkpoint_and_expire(cluster, (0,))
            core = await cluster.deployment.start_entry(9)
            outcome = await core.run(cluster.request(key))
            assert cluster.runs(key) == 1
        assert outcome.output == first.output

    async def test_two_at_once_with_new_records(self):
        """Two checkpoints and a concurrent claim lose no records."""
        key, racing = new_identifier(), new_identifier()
        async with claim_cluster() as cluster:
            await cluster.book(0, key)
            booked = cluster.start_booking(2, racing)
            await checkpoint_and_expire(cluster, (0, 1))
            await booked
            core = await cluster.deployment.start_entry(9)
            outcomes = [
                await core.run(cluster.request(asked))
                for asked in (key, racing)
            ]
            assert cluster.runs(key) == 1
            assert cluster.runs(racing) == 1
        assert all(isinstance(outcome, Answer) for outcome in outcomes)


async def checkpoint_and_expire(cluster, indexes):
    """Writes checkpoints at entries and expires the records before."""
    await asyncio.sleep(0.1)
    through = min(
        cluster.shard(index).reader.coverage.next_offset for index in indexes
    )
    for index in indexes:
        shard = cluster.shard(index)
        shard._dependencies.settings.retention_ms = 100
        assert await shard.checkpoint_if_due()
    await asyncio.sleep(1)
    cluster.log.expire_before(STREAM, through)


def key_at(time_ms):
    """Returns a key created at a time in milliseconds."""
    random_bits = uuid.UUID(new_identifier()).int & RANDOM_MASK
    return str(uuid.UUID(int=(int(time_ms) << TIME_SHIFT_BITS) | random_bits))


def _now(cluster):
    return cluster.deployment.clock.wall_ms()


def _claims(row):
    return row.body.get('claims', ())


class LossyLog:
    """Log service whose first append has no effect and no answer."""

    def __init__(self, log):
        """Wraps a log service."""
        self.lost = 0
        self.read = log.read
        self._append = log.append

    async def append(self, stream, body):
        """Fails the first append without effect; passes on the others."""
        if self.lost:
            return await self._append(stream, body)
        self.lost += 1
        raise AppendUnknownError('append lost before it took effect')
