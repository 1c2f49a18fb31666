"""Stand-in of the platform's store: a log with topics compacted by key."""

import asyncio
import base64
import json
import struct
import urllib.parse

from httpio import encode_response, read_request

JSON = {'Content-Type': 'application/json'}


class Store:
    """Topics of records; it keeps all of them."""

    def __init__(self):
        self.topics = {}
        self.changed = asyncio.Event()
        self.address = ''
        self._writers = set()
        # Whether it answers all calls with 503.
        self.down = False
        # Addresses at which it does so.
        self.closed = set()

    async def start(self):
        self.address = await self.listen()

    async def listen(self):
        """Opens a further address; returns it.

        A machine that calls the store there can be turned away alone.
        """
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        return '127.0.0.1:%d' % server.sockets[0].getsockname()[1]

    def put(self, topic, key, document):
        """Appends a keyed record, as the operator and the runners do."""
        content = b'' if document is None else json.dumps(document).encode()
        name = key.encode()
        self._append(topic, bytes([len(name)]) + name + content)

    def _append(self, topic, record):
        self.topics.setdefault(topic, []).append(record)
        self.changed.set()
        self.changed = asyncio.Event()

    def close(self):
        """Closes all connections."""
        for writer in tuple(self._writers):
            writer.close()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        address = '%s:%d' % writer.get_extra_info('sockname')
        while True:
            request = await read_request(reader)
            if request is None:
                self._writers.discard(writer)
                writer.close()
                return
            parts = urllib.parse.urlsplit(request.target)
            query = dict(urllib.parse.parse_qsl(parts.query))
            status, body = 503, b'{}'
            if not self.down and address not in self.closed:
                status, body = await self._handle(
                    parts.path, query, request.body)
            if self.down or address in self.closed:
                status, body = 503, b'{}'
            headers = JSON if parts.path != '/log-read' else {}
            writer.write(encode_response(status, headers, body))

    async def _handle(self, path, query, body):
        topic = query.get('topic', '')
        if path == '/log-newest':
            return 200, self._newest(topic)
        if path == '/log-read':
            return await self._read(topic, query)
        if path == '/log-append':
            if topic in {'keyed.op', 'keyed.servers'}:
                return 403, b'{}'
            return self._take(topic, body)
        return 404, b'{}'

    def _newest(self, topic):
        found = {}
        for offset, record in enumerate(self.topics.get(topic, ())):
            end = 1 + record[0]
            found.pop(record[1:end], None)
            if record[end:]:
                found[record[1:end]] = (offset, record[end:])
        items = [
            {
                'key': key.decode(),
                'value': base64.b64encode(value).decode(),
                'offset': offset,
            }
            for key, (offset, value) in found.items()
        ]
        end = len(self.topics.get(topic, ()))
        return json.dumps({'items': items, 'hasMore': False, 'end': end}).encode()

    async def _read(self, topic, query):
        start = int(query['from'])
        wait_s = int(query.get('waitMs', '0')) / 1000
        if start > len(self.topics.get(topic, ())):
            return 410, b'{"first":0}'
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_s
        while start >= len(self.topics.get(topic, ())) and loop.time() < until:
            try:
                await asyncio.wait_for(self.changed.wait(), until - loop.time())
            except TimeoutError:
                break
        records = self.topics.get(topic, [])
        framed = [struct.pack('>I', len(one)) + one for one in records[start:]]
        return 200, struct.pack('>QQ', len(records), 0) + b''.join(framed)

    def _take(self, topic, body):
        first = len(self.topics.get(topic, ()))
        while body:
            size = struct.unpack('>I', body[:4])[0]
            self._append(topic, body[4 : 4 + size])
            body = body[4 + size :]
        end = len(self.topics.get(topic, ()))
        return 200, json.dumps({'offset': first, 'end': end}).encode()
