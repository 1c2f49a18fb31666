"""Tests of the detection of requests that crash their targets."""

import dataclasses

import pytest

from borageyard.crash_correlator import (
    ANSWER_CLEARS_MS,
    CRASH_CONFIRM_MS,
    CrashCorrelator,
    request_digest,
)
from borageyard.inbound import InboundRequest
from borageyard.quarantine import QUARANTINE_MS

REQUEST = InboundRequest(
    request_id='r1',
    host='walks.example',
    method='POST',
    path='/book/1',
    request_target='/book/1?a=b',
    headers={},
    body=b'walk',
    received_at_ms=0,
    wait_ms=1000,
    api_key='key',
)


@pytest.fixture
def watch():
    """Returns a correlator without lost sends."""
    return CrashCorrelator()


def crash(watch, target_id, now_ms, digest='d'):
    """Loses a send to a target, which then goes down."""
    watch.note_lost_send(digest, target_id, now_ms)
    return watch.note_target_down(target_id, now_ms + 100)


class TestDigest:
    """Which requests have the same digest."""

    def test_next_attempt_is_the_same(self):
        """The id and the times are not part of the digest."""
        again = dataclasses.replace(
            REQUEST,
            request_id='r2',
            received_at_ms=500,
        )
        assert request_digest(again) == request_digest(REQUEST)

    @pytest.mark.parametrize(
        'change',
        [
            {'request_target': '/book/1'},
            {'body': b'walks'},
            {'api_key': 'other'},
            {'method': 'GET'},
            {'host': 'other'},
        ],
    )
    def test_another_request_is_not(self, change):
        """Host, method, path, API key and body are part of the digest."""
        other = dataclasses.replace(REQUEST, **change)
        assert request_digest(other) != request_digest(REQUEST)


class TestCrashes:
    """Lost sends and targets that go down."""

    def test_second_target_is_the_last(self, watch):
        """A request that crashed two targets is quarantined for a while."""
        assert crash(watch, 't1', 0) == ('d',)
        assert not watch.quarantine_remaining_ms('d', 200)
        assert crash(watch, 't2', 1000) == ('d',)
        assert watch.quarantine_remaining_ms('d', 1100) == QUARANTINE_MS
        assert not watch.quarantine_remaining_ms('d', 1100 + QUARANTINE_MS)

    def test_lost_answer_is_no_crash(self, watch):
        """Lost answers alone, with the targets still up, do not quarantine."""
        for number in range(9):
            watch.note_lost_send('d', f't{number}', 0)
        assert not watch.quarantine_remaining_ms('d', 1)

    def test_target_that_goes_down_later_was_not_crashed_by_it(self, watch):
        """A lost send is dropped after the confirmation time."""
        watch.note_lost_send('d', 't1', 0)
        assert not watch.note_target_down('t1', CRASH_CONFIRM_MS)

    def test_record_that_expires_late(self, watch):
        """It confirms a crash after three heartbeats and a read."""
        watch.note_lost_send('d', 't1', 0)
        assert watch.note_target_down('t1', 4500) == ('d',)

    def test_request_that_is_answered_is_cleared(self, watch):
        """A request that was answered was at the crashed target by chance."""
        crash(watch, 't1', 0)
        watch.note_answered('d', 200)
        crash(watch, 't2', 200 + ANSWER_CLEARS_MS)
        assert not watch.quarantine_remaining_ms('d', 500 + ANSWER_CLEARS_MS)

    def test_request_that_many_send_is_not_suspected(self, watch):
        """A request answered elsewhere is not blamed for two crashes."""
        watch.note_answered('d', 0)
        assert not crash(watch, 't1', 100)
        assert not crash(watch, 't2', 100)
        watch.merge('d', 2, QUARANTINE_MS, 300)
        assert not watch.quarantine_remaining_ms('d', 300)

    def test_many_at_one_target_count_once(self, watch):
        """Several lost sends to one target count as one crash."""
        watch.note_lost_send('d', 't1', 0)
        watch.note_lost_send('d', 't1', 1)
        watch.note_target_down('t1', 2)
        watch.note_target_down('t1', 3)
        assert not watch.quarantine_remaining_ms('d', 4)

    def test_peers_tell_each_other(self, watch):
        """The crash count of a peer applies here."""
        watch.merge('d', 2, 5000, 0)
        assert watch.quarantine_remaining_ms('d', 1000) == 4000


class TestLeaving:
    """Targets that drain."""

    def test_target_that_drains_has_not_crashed(self, watch):
        """Its record goes as planned."""
        watch.note_lost_send('d', 'a', 0)
        watch.note_lost_send('d', 'b', 0)
        watch.note_leaving('a')
        assert not watch.note_target_down('a', 100)
        assert watch.note_target_down('b', 100) == ('d',)
