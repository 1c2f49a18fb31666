"""Whether the end of a connection is the end of its response."""

import asyncio
import contextlib
import fcntl
import socket
import struct
import termios
from typing import Any

from .clock import MS_PER_S

# First byte of the TCP information (tcp(7)) of a socket that was reset.
TCP_CLOSE = 7
TCP_INFO_BYTES = 1
# Count of the bytes that the peer has not acknowledged.
UNSENT_BYTES = struct.Struct('i')
# Request from which on a server may have ended a response without having read
# all of it, although all of it has arrived.
LONG_REQUEST_BYTES = 65_536
# Looks at the connection in which such a server resets it, and the time between
# two of them. They are counted, as a process that stands still sees nothing.
LOOKS_FOR_RESET = 50
POLL_MS = 5


async def await_clean_end(
    writer: asyncio.StreamWriter, request_bytes: int
) -> None:
    """Waits until the end of a connection is known to be no failure.

    A response that has no length ends with its connection, and is whole only
    if nothing went wrong there. A server that ends its direction before it has
    read a request resets the connection afterwards. So the end counts once the
    server has received the whole request, and after a pause if the request is
    long.

    Args:
        writer: Bytes to the server, which has ended its direction.
        request_bytes: Size of the request.

    Raises:
        ConnectionResetError: If the connection was reset.
    """
    if writer.get_extra_info('sslcontext') is not None:
        # TLS ends both directions at once.
        return
    looks = LOOKS_FOR_RESET if request_bytes > LONG_REQUEST_BYTES else 0
    while True:
        pending = _unacknowledged_bytes(writer)
        if _is_reset(writer):
            raise ConnectionResetError('reset after the end of the response')
        if not pending and not looks:
            return
        looks = max(looks - 1, 0)
        await asyncio.sleep(POLL_MS / MS_PER_S)


def _unacknowledged_bytes(writer: asyncio.StreamWriter) -> int:
    """Returns how much of what was written the peer has not received."""
    buffered_bytes = writer.transport.get_write_buffer_size()
    connection: Any = writer.get_extra_info('socket')
    if buffered_bytes or connection is None:
        return buffered_bytes
    with contextlib.suppress(OSError):
        unsent = fcntl.ioctl(
            connection.fileno(), termios.TIOCOUTQ, bytes(UNSENT_BYTES.size)
        )
        return int(UNSENT_BYTES.unpack(unsent)[0])
    return 0


def _is_reset(writer: asyncio.StreamWriter) -> bool:
    if writer.is_closing():
        # Only a write that failed closes it while a response is read.
        return True
    connection: Any = writer.get_extra_info('socket')
    if connection is None:
        return False
    with contextlib.suppress(OSError):
        state = connection.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
        )
        return bool(state[0] == TCP_CLOSE)
    return False
