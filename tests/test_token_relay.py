"""Tests of the relay of a streamed answer to a caller."""

import asyncio

from borageyard.errors import ErrorKind, Refusal
from borageyard.http_messages import HttpResponse
from borageyard.http_streams import StreamWriter
from borageyard.target_client import TokenEvent
from borageyard.token_relay import QueueSink, TokenRelay

from .raw_http import connected, serving


async def run_for_ever():
    """Runs until cancelled."""
    await asyncio.Event().wait()


async def finish():
    """Returns a refusal."""
    return Refusal(ErrorKind.TARGET_FAILED)


def relay_of(work, sink):
    """Returns a relay with a first token, and its request task."""
    task = asyncio.ensure_future(work)
    return TokenRelay('r', TokenEvent(0, 'a'), sink, task), task


class TestTokenRelay:
    """Tokens in order, then the outcome; no task is left running."""

    async def test_queued_tokens_go_out_together(self):
        """Tokens queued for a slow caller are sent as one chunk, in order."""
        sink = QueueSink()
        relay, _ = relay_of(finish(), sink)
        await sink.send(TokenEvent(1, 'b'))
        await sink.send(TokenEvent(2, 'c'))
        await sink.queue.put(None)
        chunks = [chunk async for chunk in relay]
        assert len(chunks) == 1
        offsets = [chunks[0].find(b'"offset":%d' % at) for at in range(3)]
        assert offsets == sorted(offsets)
        assert chunks[0].endswith(b'\n\n')
        assert b'"type":"refusal"' in chunks[0].split(b'\n\n')[3]

    async def test_close_before_the_first_chunk(self):
        """Closing a relay that was never read cancels its request."""
        relay, task = relay_of(run_for_ever(), QueueSink())
        await relay.aclose()
        await asyncio.wait((task,), timeout=1)
        assert task.cancelled()

    async def test_head_that_cannot_be_sent(self, monkeypatch):
        """A request is cancelled if its response head can't be sent."""
        relay, task = relay_of(run_for_ever(), QueueSink())

        async def answer(request):
            return HttpResponse(200, chunks=relay)

        async def lose(writer, encoded):
            raise ConnectionResetError

        async with serving(answer) as server, connected(server) as streams:
            monkeypatch.setattr(StreamWriter, 'send', lose)
            streams[1].write(b'GET / HTTP/1.1\r\nhost: h\r\n\r\n')
            await asyncio.wait((task,), timeout=1)
        assert task.cancelled()
