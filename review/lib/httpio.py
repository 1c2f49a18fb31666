"""Minimal HTTP/1.1 reading and writing for the stand-ins and the clients."""

import asyncio
import dataclasses


@dataclasses.dataclass
class Message:
    """A request or the head of a response."""

    start: str
    headers: dict
    body: bytes = b''

    @property
    def method(self):
        return self.start.split(' ')[0]

    @property
    def target(self):
        return self.start.split(' ')[1]

    @property
    def status(self):
        return int(self.start.split(' ')[1])


async def read_head(reader):
    """Returns the head of a message, or None at the end of the stream."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, OSError):
        return None
    lines = raw.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, found, value = line.partition(':')
        if found:
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_request(reader):
    """Returns a complete request, or None at the end of the stream."""
    message = await read_head(reader)
    if message is None:
        return None
    length = int(message.headers.get('content-length', '0'))
    try:
        message.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, OSError):
        return None
    return message


async def read_chunks(reader):
    """Yields the chunks of a chunked body; raises EOFError if it is cut."""
    while True:
        line = await reader.readline()
        if not line.endswith(b'\r\n'):
            raise EOFError('cut')
        size = int(line, 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        yield data[:-2]


def encode_response(status, headers, body=b'', reason='Status'):
    """Returns a response with a length."""
    lines = [f'HTTP/1.1 {status} {reason}']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    lines += [f'Content-Length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode('latin-1') + body


def chunk(data):
    """Returns one chunk of a chunked body."""
    return b'%x\r\n%b\r\n' % (len(data), data)
