"""A runner in a process of its own, so that it can be killed.

Usage: engine.py LISTEN_HOST NAME EVENTS BODY_PARTS UNFRAMED_EVERY

It prints a line when it listens, when it runs a request, after each part of an
answer that it has written, and at the end of an answer. Each UNFRAMED_EVERYth
answer has no length and ends with its connection. The script that starts it
registers it in the store.
"""

import asyncio
import os
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent))
import rig  # noqa: E402

PAUSE_S = 0.15
STATUS_PATHS = ('/report', '/healthz')


def say(*words):
    os.write(1, (' '.join(map(str, words)) + '\n').encode())


class Engine(rig.Server):
    """Streams events under /brief/, and answers other requests in parts."""

    def __init__(self, name, events, body_parts, unframed_every):
        super().__init__()
        self.name = name
        self.events = events
        self.body_parts = body_parts
        self.unframed_every = unframed_every
        # So that the runners do not all do it at the same request.
        self.answers = random.randrange(unframed_every)

    async def serve(self, reader, writer):
        while True:
            request = await rig.read_request(reader)
            if request is None:
                return
            head = {'x-instance-id': self.name}
            if request.headers.get('x-expect-instance', self.name) != self.name:
                writer.write(rig.encode_response(421, head, b''))
            elif request.path in STATUS_PATHS:
                writer.write(rig.encode_response(200, head, b'{}'))
            elif await self._answer(request, writer):
                return
            await writer.drain()

    async def _answer(self, request, writer):
        """Answers a request; returns whether the connection ends with it."""
        attempt = request.headers.get('x-attempt-id', '')
        self.answers += 1
        unframed = not self.answers % self.unframed_every
        streams = request.path.startswith('/brief/')
        after = int(request.headers.get('last-event-id') or 0)
        say('run', attempt, 'unframed' if unframed else 'framed', 'after', after)
        head = [
            'HTTP/1.1 200 OK',
            f'x-attempt-id: {attempt}',
            f'x-server-stamp: {self.name}.{attempt}',
            'content-type: '
            + ('text/event-stream' if streams else 'application/octet-stream'),
            'connection: close' if unframed else 'transfer-encoding: chunked',
        ]
        writer.write('\r\n'.join(head).encode() + b'\r\n\r\n')
        last = self.events if streams else self.body_parts
        for number in range(after + 1, last + 1):
            await asyncio.sleep(PAUSE_S)
            part = f'part {number} of {last} of {attempt} '.encode()
            if streams:
                part = b'id: %d\ndata: %b\n\n' % (number, part)
            if not unframed:
                part = b'%x\r\n%b\r\n' % (len(part), part)
            writer.write(part)
            await writer.drain()
            say('wrote', attempt, number)
        if not unframed:
            writer.write(b'0\r\n\r\n')
        say('end', attempt)
        return unframed


async def main(host, name, *figures):
    engine = Engine(name, *map(int, figures))
    await engine.start(host)
    say('listens', engine.address)
    await asyncio.Event().wait()


asyncio.run(main(*sys.argv[1:]))
