"""A target that writes earlier refusals once more, and other false answers."""

import asyncio
import contextlib
import dataclasses
import random
from http import HTTPStatus

from borageyard.http_messages import HttpResponse
from borageyard.standins.gateway_target import GatewayTarget
from borageyard.standins.unframed_server import _WRITER

NAMED = (
    'HTTP/1.1 503 Full\r\nx-not-executed: 1\r\nx-attempt-id: {0}\r\n'
    'content-length: 0\r\n\r\n'
)
UNNAMED = 'HTTP/1.1 503 Full\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n'


@dataclasses.dataclass
class Copies:
    """Which refusals are written once more.

    Attributes:
        refused_share: Share of the requests that are refused in any case.
        share: Share of the refusals.
        unnamed_share: Share of the refusals that name no request.
        most_times: Most copies of one refusal.
        late_share: Share of the copies that come one answer later.
    """

    refused_share: float = 0
    share: float = 0
    unnamed_share: float = 0
    most_times: int = 1
    late_share: float = 0


class CopyingTarget(GatewayTarget):
    """Queues a few requests, refuses the others, and repeats refusals."""

    def __init__(self, plan, store, results, seed, number, queue=2):
        """Initializes a target that does not listen yet.

        Args:
            plan: Identity, kind and capacity.
            store: Store to which it announces itself.
            results: Results of all batching targets.
            seed: Seed of the choice of copies.
            number: Number of the target, which the choice depends on, too.
            queue: Number of requests that may wait.
        """
        super().__init__(plan, store, results)
        self.copies = Copies()
        self.copied = 0
        self.refused = 0
        # Status of answers to requests that ran, and their share.
        self.unproven = (0, 0)
        self.unproven_ids = []
        self._rng = random.Random((seed << 8) + number)
        self._queue = queue
        self._waiting = 0
        self._freed = asyncio.Event()
        # Copies that come before the next answers, by connection.
        self._pending = {}

    async def _respond(self, request):
        writer = _WRITER.get()
        pending = self._pending.pop(writer, [])
        late = []
        for copy, is_late in pending:
            if is_late:
                late.append((copy, False))
            else:
                self.copied += 1
                writer.write(copy)
        if late:
            self._pending[writer] = late
        response = await super()._respond(request)
        if 'x-not-executed' not in response.headers:
            return response
        self.refused += 1
        return self._refuse(request, response, writer)

    def _refuse(self, request, response, writer):
        rng = self._rng
        request_id = request.header('x-attempt-id')
        raw = NAMED.format(request_id)
        if rng.random() < self.copies.unnamed_share:
            raw = UNNAMED
            response = dataclasses.replace(
                response,
                headers={
                    name: text
                    for name, text in response.headers.items()
                    if name != 'x-attempt-id'
                },
            )
        if rng.random() < self.copies.share:
            for _ in range(rng.randint(1, self.copies.most_times)):
                is_late = rng.random() < self.copies.late_share
                self._pending.setdefault(writer, []).append(
                    (raw.encode(), is_late)
                )
        return response

    async def _run(self, request):
        if self._rng.random() < self.copies.refused_share:
            self.faults.reject = 1
        if self._running >= self.plan.slots and self._waiting < self._queue:
            with self._count_waiting():
                while self._running >= self.plan.slots:
                    self._freed.clear()
                    await self._freed.wait()
        return await super()._run(request)

    @contextlib.contextmanager
    def _count_waiting(self):
        self._waiting += 1
        with contextlib.ExitStack() as stack:
            stack.callback(self._end_wait)
            yield

    def _end_wait(self):
        self._waiting -= 1

    def _end_run(self):
        super()._end_run()
        self._freed.set()

    async def _execute(self, request, headers):
        response = await super()._execute(request, headers)
        status, share = self.unproven
        if status and self._rng.random() < share:
            self.unproven_ids.append(request.header('x-attempt-id'))
            if response.chunks is not None:
                await response.chunks.aclose()
            return HttpResponse(HTTPStatus(status), b'busy', headers=headers)
        return response
