"""A TCP link between two processes that can be cut while it is in use."""

import asyncio
import contextlib
import enum
import random
import socket

from borageyard.http_messages import split_address

READ_SIZE_BYTES = 65536
HOST = '127.0.0.1'
BACKLOG = 200


class Cut(enum.Enum):
    """How a link is cut."""

    # Open connections are reset, new ones are refused.
    RESET = 'reset'
    # Bytes are held, one way or both ways, until the link is back.
    SILENT = 'silent'
    TO_SERVER = 'to_server'
    TO_CLIENT = 'to_client'
    # Open connections are silent, and none can be opened.
    UNREACHABLE = 'unreachable'


class CuttableLink:
    """Forwards connections to a server, which it looks up for each one."""

    def __init__(self, target):
        """Creates a link.

        Args:
            target: Address of the server.
        """
        self.target = target
        self.address = ''
        self.accepted = 0
        self._forward = asyncio.Event()
        self._backward = asyncio.Event()
        self._forward.set()
        self._backward.set()
        self._socket = None
        self._accepting = None
        self._fillers = []
        self._tasks = set()
        self._resetting = False

    @contextlib.asynccontextmanager
    async def running(self):
        """Listens until the context exits."""
        self._socket = socket.create_server((HOST, 0), backlog=BACKLOG)
        self._socket.setblocking(False)
        _, port = self._socket.getsockname()
        self.address = f'{HOST}:{port}'
        self._start_accepting()
        try:
            yield self
        finally:
            await self._close()

    def cut(self, how):
        """Cuts the link until it is restored."""
        if how in {Cut.SILENT, Cut.UNREACHABLE, Cut.TO_SERVER}:
            self._forward.clear()
        if how in {Cut.SILENT, Cut.UNREACHABLE, Cut.TO_CLIENT}:
            self._backward.clear()
        if how is Cut.RESET:
            self._resetting = True
            self.reset()
        if how is Cut.UNREACHABLE:
            self._stop_accepting()

    def restore(self):
        """Ends the cut; bytes that were held go on."""
        self._resetting = False
        self._forward.set()
        self._backward.set()
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        if self._accepting.done() or self._accepting.cancelling():
            self._socket.listen(BACKLOG)
            self._start_accepting()

    def reset(self):
        """Resets all open connections."""
        for task in tuple(self._tasks):
            task.cancel()

    def _start_accepting(self):
        self._accepting = asyncio.ensure_future(self._accept_all())

    def _stop_accepting(self):
        """Fills the backlog, after which no connection can be opened."""
        self._accepting.cancel()
        self._socket.listen(0)
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self._socket.getsockname())
            self._fillers.append(filler)

    async def _accept_all(self):
        loop = asyncio.get_running_loop()
        while True:
            accepted, _ = await loop.sock_accept(self._socket)
            task = asyncio.ensure_future(self._serve(accepted))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _serve(self, accepted):
        self.accepted += 1
        reader, writer = await asyncio.open_connection(sock=accepted)
        async with contextlib.AsyncExitStack() as stack:
            stack.callback(writer.transport.abort)
            if self._resetting:
                return
            with contextlib.suppress(OSError):
                up_reader, up_writer = await asyncio.open_connection(
                    *split_address(self.target)
                )
                stack.callback(up_writer.transport.abort)
                copies = [
                    asyncio.ensure_future(
                        _copy_bytes(reader, up_writer, self._forward)
                    ),
                    asyncio.ensure_future(
                        _copy_bytes(up_reader, writer, self._backward)
                    ),
                ]
                for copy in copies:
                    stack.callback(copy.cancel)
                await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
                await self._flush(writer)

    async def _flush(self, writer):
        """Lets what was written arrive before the connection ends."""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(1):
                writer.write_eof()
                await writer.drain()
                await asyncio.sleep(0.01)

    async def _close(self):
        self._accepting.cancel()
        for filler in self._fillers:
            filler.close()
        self.reset()
        await asyncio.gather(
            self._accepting, *self._tasks, return_exceptions=True
        )
        self._socket.close()


async def _copy_bytes(reader, writer, passing):
    with contextlib.suppress(OSError):
        while chunk := await reader.read(READ_SIZE_BYTES):
            await passing.wait()
            writer.write(chunk)
            await writer.drain()
        await passing.wait()


def draw_cut(rng: random.Random) -> Cut:
    """Returns a kind of cut."""
    return rng.choice(list(Cut))
