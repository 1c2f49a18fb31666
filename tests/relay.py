"""A TCP relay that can stop forwarding in one direction."""

import asyncio
import contextlib

from borageyard.http_messages import split_address


class Relay:
    """Forwards bytes between a client and a server.

    Each direction stalls while its event, `forward` or `backward`, is
    cleared.
    """

    def __init__(self, target):
        """Creates a relay to the server at an address."""
        self.target = split_address(target)
        self.forward = asyncio.Event()
        self.backward = asyncio.Event()
        self.forward.set()
        self.backward.set()
        self.address = ''
        self._tasks = set()

    @contextlib.asynccontextmanager
    async def running(self):
        """Listens until the context exits."""
        server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self._close)
            stack.callback(server.close)
            yield self

    async def _close(self):
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        upstream = await asyncio.open_connection(*self.target)
        with contextlib.suppress(OSError, asyncio.CancelledError):
            await asyncio.gather(
                _copy_bytes(reader, upstream[1], self.forward),
                _copy_bytes(upstream[0], writer, self.backward),
            )
        upstream[1].transport.abort()
        writer.transport.abort()


async def _copy_bytes(reader, writer, resumed):
    while True:
        received = await reader.read(65536)
        await resumed.wait()
        writer.write(received)
        await writer.drain()
        if not received:
            writer.close()
            return
