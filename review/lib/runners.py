"""Stand-ins of runners: plain services, model runners and stage runners.

They answer as the users' protocol says. A copy of an answer that a faulty
runner sends once more is written where the next answer on the connection is
expected.
"""

import asyncio
import itertools
import json
import random
import secrets
import time

from httpio import chunk, encode_response, read_request

BEAT_S = 1.2


class Runner:
    """A runner with slots and a short queue, registered in the store."""

    def __init__(self, case, runner_id, service, zone, slots=2, queue=2):
        self.case = case
        self.runner_id = runner_id
        self.service = service
        self.zone = zone
        self.slots = slots
        self.queue = queue
        self.address = ''
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = 'ready'
        self.version = 'v1'
        self.listed = True
        # Decides whether an answer is written once more; None for never.
        self.repeats = None
        self.answers = 0
        self.repeated = 0
        self.running = 0
        self.waiting = 0
        self._free = asyncio.Condition()
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        self.case.spawn(self._beat())

    def end(self):
        """Closes the listener and all connections."""
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    def row(self):
        """Returns the record that it keeps in the store."""
        self.sequence += 1
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': self.version,
            'slots': self.slots,
            'state': self.state,
            'coldLeftMs': 0,
            'sequence': self.sequence,
            'born': self.born,
        }

    async def _beat(self):
        while True:
            self.announce()
            await asyncio.sleep(BEAT_S)

    def announce(self):
        """Writes its record, unless the store is down."""
        if self.listed and not self.case.store.down:
            self.case.store.put('keyed.servers', self.runner_id, self.row())

    async def _serve(self, reader, writer):
        copy = b''
        self._writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                # The extra answer comes where the next one is expected.
                writer.write(copy)
                copy = b''
                await self._answer(request, writer)
                await writer.drain()
                copy = self._take_copy()
        except OSError:
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    def close(self):
        """Closes all connections."""
        for writer in tuple(self._writers):
            writer.close()

    def _take_copy(self):
        self.answers += 1
        copy, self._last = getattr(self, '_last', b''), b''
        return copy

    def reply(self, writer, status, headers, body=b'', what=''):
        """Writes an answer; keeps a copy if this runner repeats it."""
        raw = encode_response(status, headers, body)
        writer.write(raw)
        self._last = b''
        if self.repeats is not None and self.repeats(self, what):
            self.repeated += 1
            self.case.record(
                'repeats', runner=self.runner_id, kind=what,
                id=headers.get('X-Attempt-Id', ''),
            )
            self._last = raw

    async def _answer(self, request, writer):
        if request.target in {'/report', '/healthz'}:
            self.reply(writer, 200, {'X-Instance-Id': self.runner_id},
                       json.dumps(self.report()).encode(), 'report')
            return
        request_id = request.headers.get('x-attempt-id', '')
        own = {'X-Attempt-Id': request_id}
        expected = request.headers.get('x-expect-instance')
        if expected and expected != self.runner_id:
            self.reply(writer, 421, {'X-Instance-Id': self.runner_id, **own})
            return
        if self.running >= self.slots and self.waiting >= self.queue:
            self.case.record('full', runner=self.runner_id, id=request_id)
            self.reply(writer, 503, {'X-Not-Executed': '1', **own}, b'', 'full')
            return
        async with self._slot():
            await self.run(request, writer, own)

    def report(self):
        return {'stage': 'both', 'models': [], 'waiting': self.waiting,
                'busy': False, 'running': self.running, 'freeMb': 1000}

    def _slot(self):
        return _Slot(self)

    async def run(self, request, writer, own):
        raise NotImplementedError

    def note_run(self, request_id):
        self.case.record('run', runner=self.runner_id, id=request_id)
        self.case.runs.setdefault(request_id, []).append(self.runner_id)


class _Slot:
    def __init__(self, runner):
        self.runner = runner

    async def __aenter__(self):
        one = self.runner
        one.waiting += 1
        async with one._free:
            await one._free.wait_for(lambda: one.running < one.slots)
            one.running += 1
        one.waiting -= 1

    async def __aexit__(self, *error):
        one = self.runner
        async with one._free:
            one.running -= 1
            one._free.notify()


class PlainRunner(Runner):
    """Runner of a service whose answers have one piece."""

    work_s = 0.03
    extra_headers = {}

    async def run(self, request, writer, own):
        request_id = own['X-Attempt-Id']
        self.note_run(request_id)
        await asyncio.sleep(self.work_s)
        body = f'{self.runner_id} {request_id}'.encode()
        headers = {**own, 'X-Server-Stamp': f's.{self.runner_id}',
                   **self.extra_headers}
        self.reply(writer, 200, headers, body, 'success')


class ModelRunner(Runner):
    """Model runner that streams events."""

    first_s = 0.03
    gap_s = 0.004
    events = 6
    needs_inputs = False

    async def run(self, request, writer, own):
        request_id = own['X-Attempt-Id']
        inputs = request.headers.get('x-inputs', '')
        if self.needs_inputs:
            self.check_inputs(request_id, inputs.split(','))
        self.note_run(request_id)
        await asyncio.sleep(self.first_s)
        head = ['HTTP/1.1 200 OK', 'Content-Type: text/event-stream',
                f'X-Attempt-Id: {request_id}',
                f'X-Server-Stamp: s.{self.runner_id}',
                *(f'{name}: {value}' for name, value in own.items()
                  if name != 'X-Attempt-Id'),
                'Transfer-Encoding: chunked', '', '']
        writer.write('\r\n'.join(head).encode())
        self._last = b''
        for number in range(1, self.count_events(request) + 1):
            event = f'id: {number}\ndata: {request_id}\n\n'.encode()
            writer.write(chunk(event))
            await writer.drain()
            await asyncio.sleep(self.gap_s)
        writer.write(b'0\r\n\r\n')

    def count_events(self, request):
        return self.events

    def check_inputs(self, request_id, handles):
        makers = [self.case.results.get(handle) for handle in handles]
        self.case.record('inputs', runner=self.runner_id, id=request_id,
                         handles=handles, made_for=makers)
        if any(maker != request_id for maker in makers):
            self.case.foreign_inputs.append((request_id, makers))


class StageRunner(Runner):
    """Stage runner: makes pieces in calls of a fixed time and a time each."""

    call_s = 0.2
    item_s = 0.034
    error_every = 0
    # Memory for results and the sizes of results, in bytes.
    room_bytes = float('inf')
    sizes_bytes = (1000, 1000)
    keep_s = 4

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self._made = itertools.count(1)
        self._held = {}
        self._sizes = random.Random(self.runner_id)

    def free_bytes(self):
        now = time.monotonic()
        self._held = {
            handle: held for handle, held in self._held.items()
            if held[1] > now
        }
        return self.room_bytes - sum(size for size, _ in self._held.values())

    def report(self):
        free_mb = min(self.free_bytes() // 1_000_000, 1000)
        return {**super().report(), 'freeMb': free_mb}

    async def _answer(self, request, writer):
        if request.target == '/stage-free':
            for handle in json.loads(request.body)['handles']:
                self._held.pop(handle, None)
            self.reply(writer, 200, {'Content-Type': 'application/json'}, b'{}')
            return
        await super()._answer(request, writer)

    async def run(self, request, writer, own):
        items = json.loads(request.body)['items']
        self.case.record('call', runner=self.runner_id,
                         pieces=[(one['id'], one['piece']) for one in items])
        await asyncio.sleep(self.call_s + self.item_s * len(items))
        made = [self._make(one) for one in items]
        failed = all('reason' in one for one in made)
        self.case.record('made', runner=self.runner_id, items=made)
        self.reply(
            writer, 200,
            {'Content-Type': 'application/json',
             'X-Instance-Load': f'{self.running},{self.waiting},{self.slots}'},
            json.dumps({'items': made}).encode(),
            'reasons' if failed else 'results',
        )

    def _make(self, item):
        number = next(self._made)
        if self.error_every and number % self.error_every == 0:
            return {'reason': 'error'}
        size = self._sizes.randint(*self.sizes_bytes)
        if size > self.free_bytes():
            return {'reason': 'room'}
        handle = f'{self.address}/{secrets.token_hex(6)}'
        self._held[handle] = (size, time.monotonic() + self.keep_s)
        self.case.results[handle] = item['id']
        return {'handle': handle}
