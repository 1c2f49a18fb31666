"""Tests of answers without a length that end before their request is read."""

import asyncio
import contextlib
import dataclasses
import functools
import itertools
import socket
import time

import pytest

from borageyard.http_client import HttpCall, HttpCallError, HttpClient
from borageyard.http_messages import split_address
from borageyard.standins.gateway_deployment import (
    API_KEY,
    HOST,
    build_document,
)
from borageyard.standins.unframed_server import RESET_ON_CLOSE
from tests.odd_target import OddTarget, replacing
from tests.test_gateway import deployment

SIZES = (90_000, 900_000, 3_900_000)
PAUSES_S = (0, 0.02, 0.2)
CASES = tuple(itertools.product(SIZES, PAUSES_S))
HEAD = b'HTTP/1.1 200 OK\r\nx-attempt-id: %b\r\nx-server-stamp: s\r\n'
PART = b'id: 1\ndata: one\n\n'
SAFETY_TIMEOUT_S = 20
LENGTH = b'content-length: 1000\r\n'
# States of a socket (tcp(7)).
TCP_ESTABLISHED = 1
TCP_CLOSE = 7


def reset(writer):
    """Resets a connection, whatever was read."""
    opened = writer.get_extra_info('socket')
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


async def end_early(
    reader, writer, request_id, *, pause_s, ends=True, framing=b''
):
    """Sends part of an answer at once, and resets the connection.

    Args:
        reader: Bytes from the client, of which only the head was read.
        writer: Bytes to the client.
        request_id: Id of the request.
        pause_s: Time from the part to the reset.
        ends: Whether the server ends its direction before.
        framing: Field with the length of the answer.
    """
    writer.write(b'%b%b\r\n%b' % (HEAD % request_id, framing, PART))
    await writer.drain()
    if ends:
        writer.write_eof()
    await asyncio.sleep(pause_s)
    reset(writer)


async def answer_early(reader, writer, request_id, *, pause_s):
    """Sends a whole answer at once, then reads all of the request."""
    writer.write(b'%b\r\n%b' % (HEAD % request_id, PART))
    writer.write_eof()
    await asyncio.sleep(pause_s)
    while await reader.read(65_536):
        """Discards the request."""


async def answer_late(reader, writer, request_id, *, body_bytes):
    """Sends a whole answer after all of the request."""
    await reader.readexactly(body_bytes)
    writer.write(b'%b\r\n%b' % (HEAD % request_id, PART))


def upload(address, body_bytes, path='/', headers=()):
    """Returns a call with a long body."""
    return HttpCall(
        address,
        'POST',
        path,
        b'x' * body_bytes,
        headers=dict(headers),
        timeout_ms=5000,
        repeatable=False,
    )


async def read_stream(client, call):
    """Returns an answer that is read as it arrives."""
    async with client.stream(call) as (_, _, chunks):
        return b''.join([chunk async for chunk in chunks])


async def read_whole(client, call):
    """Returns the body of a whole answer."""
    return (await client.request(call)).body


class Proxy:
    """Passes on bytes, ends of a direction and resets by the server."""

    def __init__(self, address):
        """Creates a proxy that does not listen yet.

        Args:
            address: Address of the server.
        """
        self.address = ''
        self._server_address = split_address(address)
        self._tasks = set()

    @contextlib.asynccontextmanager
    async def running(self):
        """Listens until the context exits."""
        server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        self.address = ':'.join(map(str, server.sockets[0].getsockname()))
        async with server, contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self._end)
            yield self

    async def _accept(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        upstream = await asyncio.open_connection(*self._server_address)
        with contextlib.ExitStack() as stack:
            stack.callback(upstream[1].transport.abort)
            stack.callback(reset, writer)
            with contextlib.suppress(OSError, asyncio.CancelledError):
                await asyncio.gather(
                    copy_bytes(reader, upstream[1]),
                    copy_bytes(upstream[0], writer),
                    until_reset(upstream[1]),
                )

    async def _end(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


async def copy_bytes(reader, writer):
    """Copies bytes until the end of a direction, which is passed on."""
    while received := await reader.read(65_536):
        writer.write(received)
        await writer.drain()
    writer.write_eof()


async def until_reset(writer):
    """Waits until a connection is reset, also after its end."""
    opened = writer.get_extra_info('socket')
    state = TCP_ESTABLISHED
    while state != TCP_CLOSE:
        await asyncio.sleep(0.005)
        (state,) = opened.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    raise ConnectionResetError


@pytest.mark.parametrize('read', [read_whole, read_stream])
class TestHttpClient:
    """Each way to read an answer."""

    @pytest.mark.parametrize('framing', [b'', LENGTH])
    @pytest.mark.parametrize('ends', [True, False])
    @pytest.mark.parametrize('pause_s', PAUSES_S)
    @pytest.mark.parametrize('body_bytes', SIZES)
    async def test_part_of_an_answer_is_none(
        self, read, body_bytes, pause_s, ends, framing
    ):
        """A reset after the end is seen, whenever it comes."""
        answer = functools.partial(
            end_early, pause_s=pause_s, ends=ends, framing=framing
        )
        async with (
            OddTarget(answer).running() as target,
            HttpClient() as client,
        ):
            with pytest.raises(HttpCallError) as raised:
                await read(client, upload(target.address, body_bytes))
            assert raised.value.sent

    @pytest.mark.parametrize('pause_s', PAUSES_S)
    @pytest.mark.parametrize('body_bytes', [0, *SIZES])
    async def test_whole_answer_to_a_request_that_is_read(
        self, read, body_bytes, pause_s
    ):
        """A server may answer early, and read on."""
        answer = functools.partial(answer_early, pause_s=pause_s)
        async with (
            OddTarget(answer).running() as target,
            HttpClient() as client,
        ):
            body = await read(client, upload(target.address, body_bytes))
            assert body == PART

    @pytest.mark.parametrize('body_bytes', [0, *SIZES])
    async def test_whole_answer_after_the_request(self, read, body_bytes):
        """An answer is not lost to its missing length."""
        answer = functools.partial(answer_late, body_bytes=body_bytes)
        async with (
            OddTarget(answer).running() as target,
            HttpClient() as client,
        ):
            body = await read(client, upload(target.address, body_bytes))
            assert body == PART

    async def test_process_stands_still_before_the_reset(self, read):
        """Time in which nothing is looked at does not count."""
        loop = asyncio.get_running_loop()
        answer = functools.partial(end_early, pause_s=PAUSES_S[-1])
        async with (
            OddTarget(answer).running() as target,
            HttpClient() as client,
        ):
            loop.call_later(PAUSES_S[-1] / 2, time.sleep, 0.5)
            with pytest.raises(HttpCallError):
                await read(client, upload(target.address, SIZES[0]))

    async def test_request_that_is_never_read(self, read):
        """The timeout of the call ends the wait."""
        answer = functools.partial(end_early, pause_s=SAFETY_TIMEOUT_S)
        async with (
            OddTarget(answer).running() as target,
            HttpClient() as client,
        ):
            call = upload(target.address, SIZES[-1])
            with pytest.raises(HttpCallError, match='timed out'):
                await read(client, dataclasses.replace(call, timeout_ms=500))

    @pytest.mark.parametrize('body_bytes', SIZES)
    async def test_proxy(self, read, body_bytes):
        """The end and the reset may come through a proxy."""
        answer = functools.partial(end_early, pause_s=PAUSES_S[1])
        async with (
            OddTarget(answer).running() as target,
            Proxy(target.address).running() as proxy,
            HttpClient() as client,
        ):
            with pytest.raises(HttpCallError):
                await read(client, upload(proxy.address, body_bytes))


class TestCallers:
    """What callers get of such answers."""

    async def test_plain(self):
        """A request that may not be repeated fails."""
        statuses = []
        async with uploading('desk') as (callers, target):
            for body_bytes, pause_s in CASES:
                target.answer = functools.partial(end_early, pause_s=pause_s)
                reply = await send(callers, '/book/a', body_bytes)
                statuses.append(reply.status)
        assert statuses == [502 for _ in CASES]

    async def test_stream(self):
        """A stream that may not be resumed visibly breaks."""
        async with uploading('model') as (callers, target):
            for body_bytes, pause_s in CASES:
                target.answer = functools.partial(end_early, pause_s=pause_s)
                with pytest.raises(HttpCallError):
                    await send(callers, '/reply/a', body_bytes)
        assert target.requests == len(CASES)


@contextlib.asynccontextmanager
async def uploading(service):
    """Runs a deployment that takes long bodies, with one odd target."""
    async with deployment(1) as callers:
        document = build_document(2)
        document['limits']['maxBodyBytes'] = 2 * SIZES[-1]
        callers.running.configure(document)
        async with replacing(callers, service, None) as target:
            yield callers, target


async def send(callers, path, body_bytes):
    """Sends a request with a long body."""
    callers.sent += 1
    headers = {
        'host': HOST,
        'authorization': f'Token {API_KEY}',
        'x-attempt-id': f'attempt-{callers.sent}',
        'x-deadline-ms': '4000',
        'x-pieces': '',
        'x-piece-key': 'abc',
        'x-model': 'm',
        'x-token-count': '100,20',
        'x-prefix-hash': 'aa:60,bb:40',
    }
    address = callers.running.gateways[0].address
    call = upload(address, body_bytes, path, headers)
    return await callers.client.request(call)
