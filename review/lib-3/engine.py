"""A model runner in a process of its own, so that it can be killed.

Usage: engine.py LISTEN_HOST NAME EVENTS UNFRAMED_EVERY

It prints one line when it listens, when it runs a request and for each event
that it has written. Each UNFRAMED_EVERYth answer has no length and ends with
its connection; 0 for none. The script registers it in the store.
"""

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent))
import rig  # noqa: E402

PAUSE_S = 0.15
BODY_PARTS = 4


def say(*words):
    os.write(1, (' '.join(map(str, words)) + '\n').encode())


class Engine(rig.Server):
    def __init__(self, name, events, unframed_every):
        super().__init__()
        self.name = name
        self.events = events
        self.unframed_every = unframed_every
        self.answers = 0

    async def serve(self, reader, writer):
        while True:
            request = await rig.read_request(reader)
            if request is None:
                return
            if request.headers.get('x-expect-instance', self.name) != self.name:
                head = {'x-instance-id': self.name}
                writer.write(rig.encode_response(421, head, b''))
            elif request.path in ('/report', '/healthz'):
                head = {'x-instance-id': self.name}
                writer.write(rig.encode_response(200, head, b'{}'))
            elif await self._answer(request, writer):
                return
            await writer.drain()

    async def _answer(self, request, writer):
        """Answers a request; returns whether the connection ends with it."""
        attempt = request.headers.get('x-attempt-id', '')
        self.answers += 1
        unframed = bool(self.unframed_every)
        unframed = unframed and self.answers % self.unframed_every == 0
        streams = request.path.startswith('/brief/')
        kind = 'text/event-stream' if streams else 'application/octet-stream'
        framing = 'connection: close' if unframed else 'transfer-encoding: chunked'
        head = [
            'HTTP/1.1 200 OK', f'x-attempt-id: {attempt}',
            f'x-server-stamp: {self.name}.{attempt}', f'content-type: {kind}',
            framing,
        ]
        after = int(request.headers.get('last-event-id', '0'))
        say('run', attempt, 'unframed' if unframed else 'framed', after)
        writer.write('\r\n'.join(head).encode() + b'\r\n\r\n')
        last = self.events if streams else BODY_PARTS
        for number in range(after + 1, last + 1):
            await asyncio.sleep(PAUSE_S)
            part = f'part {number} of {last} of {attempt}'.encode()
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


async def main(host, name, events, unframed_every):
    engine = Engine(name, int(events), int(unframed_every))
    await engine.start(host)
    say('listens', engine.address)
    await asyncio.Event().wait()


asyncio.run(main(*sys.argv[1:]))
