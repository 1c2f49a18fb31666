"""Tests of endless answers to a gateway process on a small machine."""

import asyncio
import contextlib
import functools
import types

import pytest

from borageyard.http_messages import split_address
from borageyard.standins.gateway_deployment import API_KEY, HOST
from borageyard.standins.gateway_target import GatewayTarget
from borageyard.standins.keyed_store import TARGETS_TOPIC
from borageyard.standins.registered_target import TargetPlan
from tests.client_crowd import BYTES_PER_MB, LimitedEntry
from tests.odd_target import OddTarget

# Smallest machine on the users' sheets.
MEMORY_MB = 160
MAX_FDS = 1638
MAX_BODY_BYTES = 4_194_304
CALLERS = 120
DEADLINE_MS = 1500
# Time in which the entry reads the records of targets, and targets leave.
RECORDS_S = 3
BLOCK_BYTES = 16_000
HEAD = b'HTTP/1.1 200 OK\r\nx-attempt-id: %b\r\nx-server-stamp: s\r\n'
CHUNKED = b'%btransfer-encoding: chunked\r\n\r\n' % HEAD
PADDING = b'x' * 1000
# What comes once, and what is repeated until the caller closes.
ENDLESS = types.MappingProxyType(
    {
        'no head': (b'', PADDING),
        'empty lines': (b'', b'\r\n'),
        'header line': (b'%bx-long: ' % HEAD, PADDING),
        'headers': (HEAD, b'x-more: a\r\n'),
        'interim': (b'', b'HTTP/1.1 102 Processing\r\n\r\n'),
        'body': (b'%b\r\n' % HEAD, PADDING),
        'length': (b'%bcontent-length: 99999999\r\n\r\n' % HEAD, PADDING),
        'tiny chunks': (CHUNKED, b'1\r\nx\r\n'),
        'chunk sizes': (CHUNKED, b'0' * 1000),
        'trailers': (b'%b0\r\n' % CHUNKED, b'x-more: a\r\n'),
        'event': (CHUNKED, b'3e8\r\n%b\r\n' % PADDING),
        'events': (b'%b\r\n' % HEAD, b'data: %b\n\n' % PADDING),
        'comments': (b'%b\r\n' % HEAD, b':\n\n'),
    }
)


async def send_endlessly(kind, reader, writer, request_id):
    """Sends bytes until the caller closes; reads nothing."""
    start, repeated = ENDLESS[kind]
    block = repeated * (1 + BLOCK_BYTES // len(repeated))
    writer.write(start.replace(b'%b', request_id))
    while True:
        writer.write(block)
        await writer.drain()


async def answer_and_go_on(reader, writer, request_id):
    """Sends a whole answer, and then bytes on the kept connection."""
    writer.write(b'%bcontent-length: 2\r\n\r\nok' % (HEAD % request_id))
    while True:
        writer.write(PADDING)
        await writer.drain()


class SmallMachine:
    """An entry in a process of its own, before an odd target."""

    def __init__(self, folder):
        """Creates an entry that is not started."""
        self.entry = LimitedEntry(
            folder,
            memory_mb=MEMORY_MB,
            max_fds=MAX_FDS,
            max_body_bytes=MAX_BODY_BYTES,
        )
        self.odd = OddTarget(None)
        self._sent = 0

    @contextlib.asynccontextmanager
    async def running(self, service, kind, sound):
        """Runs the entry, whose only target of a service is the odd one.

        Args:
            service: Name of the service.
            kind: Kind of its targets.
            sound: Service and kind of a target that answers.
        """
        fleet = self.entry.fleet
        fleet.targets = [
            GatewayTarget(
                TargetPlan(*plan, slots=1000), fleet.store, fleet.results
            )
            for plan in (
                ('sound', sound[0], 'north', sound[1]),
                ('replaced', service, 'north', kind),
            )
        ]
        async with self.entry.running(), self.odd.running():
            record = {
                'service': service,
                'address': self.odd.address,
                'zone': 'north',
                'slots': 1000,
                'state': 'ready',
            }
            fleet.store.put(TARGETS_TOPIC, 'odd', record)
            fleet.targets[1].withdraw()
            await asyncio.sleep(RECORDS_S)
            yield self

    def require_sound(self):
        """Asserts that the process runs and has kept to its memory."""
        assert self.entry.lives
        assert self.entry.peak_bytes < MEMORY_MB * BYTES_PER_MB

    async def call(self, path, body=b''):
        """Sends a request, discards the answer and returns its status."""
        self._sent += 1
        fields = {
            'host': HOST,
            'authorization': f'Token {API_KEY}',
            'x-attempt-id': f'attempt-{self._sent}',
            'x-deadline-ms': DEADLINE_MS,
            'x-model': 'm',
            'x-token-count': '100,20',
            # Other parts than those of the requests before.
            'x-prefix-hash': f'a{self._sent:x}:60,b{self._sent:x}:40',
            'content-length': len(body),
            'connection': 'close',
        }
        lines = [f'{name}: {text}' for name, text in fields.items()]
        head = '\r\n'.join((f'POST {path} HTTP/1.1', *lines, '', ''))
        reader, writer = await asyncio.open_connection(
            *split_address(self.entry.gateway.address)
        )
        with contextlib.ExitStack() as stack:
            stack.callback(writer.transport.abort)
            stack.enter_context(contextlib.suppress(OSError, EOFError))
            writer.write(head.encode() + body)
            status = int((await reader.readexactly(12))[-3:])
            while await reader.read(BLOCK_BYTES):
                """Discards the answer."""
            return status
        return 0

    async def crowd(self, path, body=b''):
        """Sends requests at once; returns their statuses."""
        return await asyncio.gather(
            *(self.call(path, body) for _ in range(CALLERS))
        )


class TestSmallMachine:
    """A process of 160 MB, 120 callers at once and one target without end."""

    @pytest.mark.parametrize(
        ('service', 'kind', 'path', 'sound', 'sound_path'),
        [
            ('desk', 'plain', '/book/a', ('model', 'engine'), '/reply/a'),
            ('model', 'engine', '/reply/a', ('desk', 'plain'), '/book/a'),
        ],
    )
    async def test_other_requests_are_served(
        self, tmp_path, service, kind, path, sound, sound_path
    ):
        """The process keeps to its memory, and none of its callers is lost."""
        machine = SmallMachine(tmp_path)
        requests = 0
        async with machine.running(service, kind, sound):
            for endless in ENDLESS:
                machine.odd.answer = functools.partial(send_endlessly, endless)
                crowd = asyncio.ensure_future(machine.crowd(path))
                assert await machine.call(sound_path) == 200
                assert 0 not in await crowd
                machine.require_sound()
                assert machine.odd.requests > requests
                requests = machine.odd.requests

    async def test_requests_that_are_not_written_yet(self, tmp_path):
        """An answer without end may come while its request is written."""
        machine = SmallMachine(tmp_path)
        body = bytes(MAX_BODY_BYTES // 4)
        async with machine.running('desk', 'plain', ('model', 'engine')):
            for endless in ('no head', 'body', 'tiny chunks'):
                machine.odd.answer = functools.partial(send_endlessly, endless)
                crowd = asyncio.ensure_future(machine.crowd('/book/a', body))
                assert await machine.call('/reply/a') == 200
                await crowd
                machine.require_sound()

    async def test_kept_connections(self, tmp_path):
        """Bytes that come after an answer are not collected."""
        machine = SmallMachine(tmp_path)
        machine.odd.answer = answer_and_go_on
        async with machine.running('desk', 'plain', ('model', 'engine')):
            for _ in range(4):
                await machine.crowd('/book/a')
                assert await machine.call('/reply/a') == 200
                machine.require_sound()
