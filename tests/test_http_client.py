"""Tests of the HTTP client against servers that misbehave."""

import asyncio
import contextlib
import dataclasses
import socket
import struct

import pytest

from borageyard.event_payloads import read_events
from borageyard.http_client import (
    HttpCall,
    HttpCallError,
    HttpClient,
)

from .raw_http import LIMITS, answering

OK = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n'
# Parts of a slow body.
PARTS = (b'1', b'2', b'3', b'4', b'5')


@contextlib.asynccontextmanager
async def listening(handler):
    """Runs a server that passes raw connections to a handler."""
    tasks = []

    async def handle(reader, writer):
        tasks.append(asyncio.current_task())
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(close, writer)
            await handler(reader, writer)

    async def end():
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    server = await asyncio.start_server(handle, '127.0.0.1', 0)
    async with server, contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(end)
        yield ':'.join(map(str, server.sockets[0].getsockname()))


async def close(writer):
    """Closes a connection, and waits until it is closed."""
    writer.close()
    with contextlib.suppress(OSError):
        await writer.wait_closed()


def call_to(address, timeout_ms=2000):
    """Returns a call that may use pooled connections."""
    return HttpCall(address, 'GET', '/', timeout_ms=timeout_ms)


class TestResponses:
    """Only a complete response within the limits is returned."""

    @pytest.mark.parametrize(
        'sent',
        [
            b'',
            b'HTTP/1.1 200',
            OK + b'1',
            b'HTTP/1.1 200 OK\r\ncontent-length: 9999\r\n\r\n' + b'x' * 9999,
            b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nab',
            b'HTTP/1.1 200 OK\r\nx: ' + b'y' * 70_000,
            b'\x00\xff garbage \r\n\r\n',
        ],
    )
    async def test_broken_response_is_an_error(self, sent):
        """Truncated, oversized and malformed responses raise an error."""
        async with answering(sent) as address, HttpClient(LIMITS) as client:
            with pytest.raises(HttpCallError) as caught:
                await client.request(call_to(address))
        assert caught.value.sent

    async def test_silent_server_times_out(self):
        """A server that accepts and never responds causes a timeout."""
        released = asyncio.Event()

        async def wait(reader, writer):
            await released.wait()
            writer.close()

        server = await asyncio.start_server(wait, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        call = call_to(f'127.0.0.1:{port}', 50)
        async with server, HttpClient() as client:
            with pytest.raises(HttpCallError, match='timed out'):
                await client.request(call)
            released.set()

    async def test_refused_connection_was_not_sent(self):
        """The error of a refused connection says that nothing was sent."""
        async with answering() as listener:
            address = str(listener)
        async with HttpClient() as client:
            with pytest.raises(HttpCallError) as caught:
                await client.request(call_to(address))
        assert not caught.value.sent


class TestLongBodies:
    """Bodies that take longer than the timeout of their call."""

    @contextlib.asynccontextmanager
    async def sending(self, parts, interval_s):
        """Serves a body in parts; the connection stays open after them."""

        async def answer(reader, writer):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(b'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n')
            for part in parts:
                writer.write(part)
                await asyncio.sleep(interval_s)

        async with listening(answer) as address, HttpClient() as client:
            yield client, address

    async def test_body_that_keeps_arriving_is_read(self):
        """The timeout bounds its head only."""
        sizes = []
        async with self.sending(PARTS, 0.3) as (client, address):
            call = dataclasses.replace(
                call_to(address, 1000), max_gap_ms=5000, on_part=sizes.append
            )
            assert (await client.request(call)).body == b''.join(PARTS)
        assert sizes == [len(part) for part in PARTS]

    async def test_body_that_stalls_is_given_up(self):
        """The error says how much had arrived."""
        async with self.sending([b'12'], 10) as (client, address):
            call = dataclasses.replace(call_to(address, 20_000), max_gap_ms=100)
            with pytest.raises(HttpCallError, match='timed out') as caught:
                await client.request(call)
        assert caught.value.received_bytes > 2

    async def test_trickling_body_is_given_up(self, monkeypatch):
        """There is a limit to a body that keeps arriving."""
        monkeypatch.setattr('borageyard.http_client.MAX_BODY_MS', 500)
        async with self.sending(PARTS[1:], 0.3) as (client, address):
            call = dataclasses.replace(call_to(address), max_gap_ms=5000)
            with pytest.raises(HttpCallError, match='timed out'):
                await client.request(call)


class TestKeptConnections:
    """A pooled connection never returns bytes of an earlier call."""

    async def test_doubled_response_is_not_the_next_answer(self):
        """A connection with bytes after its response is not reused."""
        doubled = OK + b'11' + OK + b'11'
        responses = (doubled, OK + b'22')
        async with answering(*responses) as address, HttpClient() as client:
            first = await client.request(call_to(address))
            second = await client.request(call_to(address))
        assert (first.body, second.body) == (b'11', b'22')

    async def test_stale_connection_is_replaced(self):
        """A call on a pooled connection that the server closed succeeds."""
        async with HttpClient() as client:
            closing = OK + b'11'
            async with answering(closing, OK + b'22') as address:
                await client.request(call_to(address))
                kept = client._idle[address, False][0]
                kept._raw_writer.transport.get_extra_info('socket').shutdown(1)
                second = await client.request(call_to(address))
        assert second.body == b'22'


class TestStrayBytes:
    """Responses that arrive when none is expected."""

    async def test_late_second_answer_is_no_answer(self):
        """A connection that receives bytes while idle is not reused."""
        release = asyncio.Event()

        async def answer(reader, writer):
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await reader.readuntil(b'\r\n\r\n')
                writer.write(OK + b'11')
                await writer.drain()
                await release.wait()
                writer.write(OK + b'99')
                await reader.readuntil(b'\r\n\r\n')
                writer.write(OK + b'22')
            writer.close()

        async with listening(answer) as address, HttpClient() as client:
            first = await client.request(call_to(address))
            release.set()
            await asyncio.sleep(0.05)
            second = await client.request(call_to(address))
        assert (first.body, second.body) == (b'11', b'11')

    async def test_answer_before_a_long_body_was_read(self):
        """A connection with unsent body bytes is not reused.

        The server would read the rest of the body as the next request.
        """
        heads = []

        async def answer(reader, writer):
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                heads.append(await reader.readuntil(b'\r\n\r\n'))
                writer.write(OK + b'11')
                await writer.drain()
                await asyncio.Event().wait()

        async with listening(answer) as address, HttpClient() as client:
            for _ in range(2):
                body = b'x' * 8_000_000
                call = HttpCall(address, 'POST', '/', body, timeout_ms=2000)
                reply = await client.request(call)
                assert reply.body == b'11'
        assert len(heads) == 2
        assert all(head.startswith(b'POST / HTTP/1.1') for head in heads)

    async def test_answer_without_a_length_ends_with_its_connection(self):
        """An unframed response is complete at a close, but not at a reset."""
        unframed = b'HTTP/1.1 200 OK\r\n\r\nwalk'
        async with answering(unframed) as address, HttpClient() as client:
            reply = await client.request(call_to(address))
        assert reply.body == b'walk'

        async def reset(reader, writer):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(unframed)
            await writer.drain()
            opened = writer.transport.get_extra_info('socket')
            linger = struct.pack('ii', 1, 0)
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

        async with listening(reset) as address, HttpClient() as client:
            with pytest.raises(HttpCallError) as caught:
                await client.request(call_to(address))
        assert caught.value.sent


class TestReadEvents:
    """Events are found however their bytes are split."""

    @pytest.mark.parametrize('size', [1, 2, 3, 7, 100])
    async def test_any_cut_gives_the_same_events(self, size):
        """The events do not depend on where the chunks are split."""
        sent = b': note\n\ndata: a\n\ndata: bc\n\ndata: \n\ndata: cut'

        async def chunks():
            for start in range(0, len(sent), size):
                yield sent[start : start + size]

        assert [event async for event in read_events(chunks())] == [
            b'a',
            b'bc',
            b'',
        ]

    async def test_endless_event_is_an_error(self):
        """An event that never ends raises an error at the size limit."""

        async def chunks():
            for _ in range(1000):
                yield b'x' * 65536

        with pytest.raises(HttpCallError):
            await anext(read_events(chunks()))
