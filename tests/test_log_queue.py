"""Tests of the log queue, which must not block on its reader."""

import json
import os

import eliot
import pytest

from borageyard.log_queue import BURST_LINES, LogQueue


@pytest.fixture
def pipe():
    """Returns both ends of a pipe."""
    ends = os.pipe()
    yield ends
    for end in ends:
        os.close(end)


def lines(descriptor):
    """Returns what was written to a pipe."""
    return os.read(descriptor, 1_000_000).splitlines()


class TestQueue:
    """Format, rate limit and non-blocking writes of the log queue."""

    def test_lines(self, pipe):
        """Each event is one line of JSON."""
        queue = LogQueue(pipe[1])
        queue({'message_type': 'a', 'odd': object})
        queue.flush()
        assert json.loads(lines(pipe[0])[0])['message_type'] == 'a'

    def test_burst_is_bounded(self, pipe):
        """Lines above the burst are dropped and counted in the log itself."""
        # The first destination gets the messages that eliot has buffered.
        eliot.add_destinations(list)
        queue = LogQueue(pipe[1])
        for number in range(BURST_LINES + 7):
            queue({'n': number})
        eliot.add_destinations(queue)
        queue.flush()
        eliot.remove_destination(queue)
        eliot.remove_destination(list)
        last = json.loads(lines(pipe[0])[-1])
        assert last['message_type'] == 'events_dropped'
        assert last['lines'] == 7

    def test_reader_that_stalls(self, pipe):
        """A full pipe does not block, and no line is written twice."""
        queue = LogQueue(pipe[1])
        text = 'x' * 1000
        for _ in range(200):
            queue({'text': text})
        read = b''
        for _ in range(5):
            queue.flush()
            read += os.read(pipe[0], 1_000_000)
            queue({'text': text})
        assert read.count(b'\n') == 204
        assert all(len(line) == 1011 for line in read.splitlines())
