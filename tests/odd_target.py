"""A target that answers requests with any bytes."""

import asyncio
import contextlib
import functools
import re

from borageyard.standins.keyed_store import TARGETS_TOPIC
from tests.test_gateway import wait_until

ATTEMPT_ID = re.compile(rb'x-attempt-id: *(\S+)', re.IGNORECASE)


class OddTarget:
    """Target whose answers a test writes."""

    def __init__(self, answer):
        """Creates a target that does not listen yet.

        Args:
            answer: Coroutine function that answers a request, given the
                reader, the writer and the request's id. The connection is
                closed when it returns.
        """
        self.answer = answer
        self.requests = 0
        self.address = ''
        self._tasks = set()

    @contextlib.asynccontextmanager
    async def running(self):
        """Listens until the context exits."""
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        self.address = f'{host}:{port}'
        async with server, contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self._end)
            yield self

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        with contextlib.suppress(OSError, EOFError, asyncio.CancelledError):
            head = await reader.readuntil(b'\r\n\r\n')
            self.requests += 1
            found = ATTEMPT_ID.search(head)
            request_id = found.group(1) if found else b''
            await self.answer(reader, writer, request_id)
            await writer.drain()
        writer.close()

    async def _end(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


def sending(content):
    """Returns an answer of fixed bytes; `{id}` stands for the request's id."""

    return functools.partial(_send, content)


async def _send(content, reader, writer, request_id):
    writer.write(content.replace(b'{id}', request_id))


@contextlib.asynccontextmanager
async def replacing(callers, service, answer):
    """Runs an odd target as the only one of a service of a deployment.

    Args:
        callers: Callers of the deployment.
        service: Name of the service.
        answer: Answers its requests.
    """
    store = callers.running.store
    async with OddTarget(answer).running() as target:
        for replaced in callers.targets(service):
            replaced.withdraw()
        row = {
            'service': service,
            'address': target.address,
            'zone': 'north',
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'sequence': 1,
            'born': 1,
        }
        store.put(TARGETS_TOPIC, 'odd', row)
        rosters = [
            running.gateway.state.roster for running in callers.running.gateways
        ]
        await wait_until(
            lambda: all(
                [row.target_id for row in roster.ready(service)] == ['odd']
                for roster in rosters
            )
        )
        yield target
