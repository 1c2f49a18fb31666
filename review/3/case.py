"""All entries end after a release that went back; see claim.txt."""

import asyncio
import pathlib
import re
import secrets
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'lib'))

from case import CannotRunError, configuration, main, route  # noqa: E402
from httpio import chunk, read_chunks, read_head  # noqa: E402
from runners import ModelRunner  # noqa: E402

# The disruption as the site file has it: the store turns the machine that
# schedules away (one of three) for 9 s.
CLOSED_FROM_S = 1
CLOSED_FOR_S = 9
NEW_AT_S = 1.3
STREAMS_AT_S = 4
UNLISTED_AT_S = 5.5
KILL_AT_S = 6.2
STREAMS = 24
EVENTS = 50
GAP_S = 0.1
DEADLINE_S = 20
# Tries of a client after its first one.
RETRIES = 3
# So many streams of two versions are allowed.
ALLOWED = 2


class VersionedModel(ModelRunner):
    """Model runner whose events name its version."""

    async def run(self, request, writer, own):
        self.note_run(own['X-Attempt-Id'])
        after = int(request.headers.get('last-event-id') or 0)
        head = ['HTTP/1.1 200 OK', 'Content-Type: text/event-stream',
                f'X-Attempt-Id: {own["X-Attempt-Id"]}',
                f'X-Server-Stamp: s.{self.runner_id}',
                'Transfer-Encoding: chunked', '', '']
        writer.write('\r\n'.join(head).encode())
        for number in range(after + 1, EVENTS + 1):
            if writer.transport.is_closing():
                raise OSError
            event = f'id: {number}\ndata: {self.version}\n\n'.encode()
            writer.write(chunk(event))
            await writer.drain()
            await asyncio.sleep(GAP_S)
        writer.write(b'0\r\n\r\n')


async def find_scheduler(case):
    """Returns the entry whose metrics say that it schedules."""
    for entry in case.entries:
        text = await entry.metrics()
        if any(line.startswith('borageyard_group_scheduled_here')
               and float(line.split()[-1]) == 1
               for line in text.splitlines()):
            return entry
    raise CannotRunError('no entry schedules')


class StreamClient:
    """Client that takes a broken stream up at another entry."""

    def __init__(self, case, number):
        self.case = case
        self.number = number
        self.events = {}
        self.complete = False
        # Statuses of its tries; 0 for a connection that failed.
        self.tries = []

    async def run(self):
        until = time.monotonic() + DEADLINE_S
        while len(self.tries) <= RETRIES and not self.complete:
            left_s = until - time.monotonic()
            if left_s <= 0:
                return
            entries = self.case.entries
            entry = entries[(self.number + len(self.tries)) % len(entries)]
            try:
                pause_s = await asyncio.wait_for(
                    self.attempt(entry, left_s), left_s)
            except ConnectionRefusedError:
                # No process listens there yet: not a try of the request.
                await asyncio.sleep(0.2)
                continue
            except (OSError, EOFError, TimeoutError):
                pause_s = 0.2
            await asyncio.sleep(min(pause_s, left_s / 3))

    async def attempt(self, entry, left_s):
        """Makes one try; returns the pause before the next one."""
        reader, writer = await asyncio.open_connection(entry.ip, entry.front)
        last = max(self.events, default=0)
        request_id = secrets.token_hex(8)
        self.case.record('sent', client=self.number, id=request_id, after=last)
        lines = ['POST /brief/x HTTP/1.1', 'Host: walks.example',
                 f'X-Attempt-Id: {request_id}',
                 f'X-Deadline-Ms: {round(left_s * 1000)}',
                 'Authorization: Token key1', 'X-Model: m',
                 'X-Token-Count: 100,50',
                 f'X-Prefix-Hash: {secrets.token_hex(4)}:60,{secrets.token_hex(4)}:40',
                 'Content-Length: 0']
        if last:
            lines.append(f'Last-Event-Id: {last}')
        writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode())
        self.tries.append(0)
        try:
            head = await read_head(reader)
            if head is None:
                return 0.2
            self.tries[-1] = head.status
            if head.status != 200:
                return float(head.headers.get('retry-after', '0.2'))
            found = b''
            async for data in read_chunks(reader):
                found += data
                for match in re.finditer(rb'id: (\d+)\ndata: (\w+)\n\n', found):
                    self.events[int(match[1])] = match[2].decode()
            self.complete = len(self.events) == EVENTS
            return 0
        finally:
            writer.close()


async def run(case):
    models = [
        VersionedModel(case, f'm{number}', 'model', ('za', 'zb')[number % 2],
                       slots=64, queue=32)
        for number in range(2)
    ]
    plan = configuration(
        [route('brief', '/brief/', 'streaming', 'model', timeoutMs=20000,
               maxAttempts=2, streamResume=True)],
        [{'name': 'model', 'engine': {'slots': 64, 'kvCapacity': 270909},
          'maxConnections': 620, 'healthPath': '/healthz'}],
    )
    await case.deploy(plan, models, entries=3)
    began = time.monotonic()

    async def at(second):
        await asyncio.sleep(max(began + second - time.monotonic(), 0))

    await at(CLOSED_FROM_S)
    scheduler = await find_scheduler(case)
    if case.trouble:
        case.store.closed.add(scheduler.store_address)
        case.record('store', turns_away=scheduler.name)
        asyncio.get_running_loop().call_later(
            CLOSED_FOR_S, case.store.closed.clear)
    await at(NEW_AT_S)
    new = VersionedModel(case, 'm2', 'model', 'za', slots=64, queue=32)
    new.version = 'v2'
    case.runners.append(new)
    await new.start()
    case.record('release', runner='m2', version='v2')
    await at(STREAMS_AT_S)
    clients = [StreamClient(case, number) for number in range(STREAMS)]
    tasks = [case.spawn(client.run()) for client in clients]
    await at(UNLISTED_AT_S)
    # It leaves without a report, and serves on for more than drainMs.
    new.listed = False
    case.store.put('keyed.servers', 'm2', None)
    case.record('unlisted', runner='m2')
    await at(KILL_AT_S)
    for entry in case.entries:
        entry.process.send_signal(signal.SIGKILL)
    case.record('kill', entries=len(case.entries))
    for entry in case.entries:
        await entry.process.wait()
        await entry.start()
    await asyncio.wait(tasks, timeout=DEADLINE_S + 5)
    joined = []
    for client in clients:
        versions = list(dict.fromkeys(
            client.events[number] for number in sorted(client.events)))
        case.record('stream', client=client.number, versions=versions,
                    complete=client.complete, tries=client.tries)
        if len(versions) > 1 and client.complete:
            joined.append(client.number)
    began_new = sum(
        client.events.get(1) == 'v2' for client in clients)
    summary = (f'{STREAMS} streams, {began_new} begun at v2, '
               f'{sum(client.complete for client in clients)} complete, '
               f'{len(joined)} of two versions')
    case.record('summary', text=summary)
    if not began_new:
        return 2, summary
    return int(len(joined) > ALLOWED), summary


main(pathlib.Path(__file__).parent, run)
