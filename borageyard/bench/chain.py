"""An entry before bare targets, for benches of what an entry costs."""

import contextlib
import dataclasses
import json
from collections.abc import AsyncIterator, Iterator, Sequence
from typing import Any

from ..backing_services import ROLE_TARGET, Instance, MemoryInstances, MemoryLog
from ..clock import SystemClock
from ..configuration_log import CONFIGURATION_STREAM
from ..entry import Entry
from ..generated.settings import EntrySettings
from ..http_messages import encode_event, encode_json
from ..http_server import HttpServer
from ..standins.platform_http import (
    InstancesHandler,
    LogHandler,
    WeightsHandler,
)
from .bare import BareClient, bare_server

ANY_PORT = '127.0.0.1:0'
KINDS = ('encoder', 'retriever', 'reranker', 'engine')
ORGANISATION = 'bench'
PATH = '/v1/pipelines/chain'
SMALL_BODY = b'{"text":"x"}'
# Long, so that no control work falls into a run.
POLL_MS = 600_000
SLOTS = 1000


@dataclasses.dataclass(slots=True)
class Chain:
    """An entry, its targets and a bare server at the entry's place."""

    entry_address: str
    bare_address: str
    target_addresses: Sequence[str]
    clients: dict[str, list[BareClient]] = dataclasses.field(
        default_factory=dict,
    )

    async def exchange(
        self,
        address: str,
        path: str,
        body: bytes,
        headers: Sequence[tuple[str, str]] = (),
    ) -> bytes:
        """Does one exchange over a kept connection."""
        idle = self.clients.setdefault(address, [])
        client = idle.pop() if idle else await BareClient.open(address)
        answer = await client.request(path, body, headers)
        idle.append(client)
        return answer

    async def ask_entry(self, body: bytes = SMALL_BODY) -> None:
        """Sends a request through the entry and checks its answer."""
        headers = [('x-borage-organisation', ORGANISATION)]
        answer = await self.exchange(self.entry_address, PATH, body, headers)
        stages = json.loads(answer).get('stages', ())
        if len(stages) != len(KINDS):
            raise ValueError(answer.decode())

    async def ask_floor(self, body: bytes = SMALL_BODY) -> None:
        """Does the same exchanges without an entry."""
        headers = [('x-borage-organisation', ORGANISATION)]
        await self.exchange(self.bare_address, PATH, body, headers)
        for address in self.target_addresses:
            await self.ask_target(address)

    async def ask_target(self, address: str) -> None:
        """Does one direct call to a target."""
        await self.exchange(address, '/v1/run', _call_body(stream=False))

    async def stream_entry(self, body: bytes = SMALL_BODY) -> None:
        """Streams tokens through the entry and checks the end."""
        headers = [
            ('x-borage-organisation', ORGANISATION),
            ('accept', 'text/event-stream'),
        ]
        answer = await self.exchange(self.entry_address, PATH, body, headers)
        if b'"type":"answer"' not in answer:
            raise ValueError(answer.decode())

    async def stream_target(self) -> None:
        """Streams tokens from the engine itself."""
        body = _call_body(stream=True)
        await self.exchange(self.target_addresses[-1], '/v1/run', body)

    def close(self) -> None:
        """Drops the callers' connections."""
        for clients in self.clients.values():
            for client in clients:
                client.close()


@contextlib.asynccontextmanager
async def running(
    tokens: int,
    pause_s: float,
) -> AsyncIterator[Chain]:
    """Runs an entry with bare targets.

    Args:
        tokens: Tokens that the engine streams.
        pause_s: Time before each token.

    Yields:
        The chain.
    """
    async with contextlib.AsyncExitStack() as stack:
        targets = [
            await stack.enter_async_context(
                bare_server(_TargetScript(f'{kind}-0', tokens).answer, pause_s),
            )
            for kind in KINDS
        ]
        bare = await stack.enter_async_context(bare_server(_answer_whole))
        entry = await _start_entry(stack, targets)
        chain = Chain(entry.address, bare, targets)
        stack.callback(chain.close)
        yield chain


async def _start_entry(
    stack: contextlib.AsyncExitStack,
    targets: Sequence[str],
) -> Entry:
    log = MemoryLog(SystemClock())
    instances = MemoryInstances(
        [
            Instance(
                instance_id=f'{kind}-0',
                role=ROLE_TARGET,
                address=address,
                failure_domain='bench-a',
                service=kind,
            )
            for kind, address in zip(KINDS, targets, strict=True)
        ],
    )
    addresses = await _start_platform(stack, log, instances)
    proposal = {
        'type': 'apply',
        'base_version': 0,
        'author': 'bench',
        'document': _document(),
    }
    log.append_now(CONFIGURATION_STREAM, proposal)
    entry = Entry(_settings(addresses))
    await stack.enter_async_context(entry)
    await entry.core.fold.configuration_known.wait()
    return entry


async def _start_platform(
    stack: contextlib.AsyncExitStack,
    log: MemoryLog,
    instances: MemoryInstances,
) -> dict[str, str]:
    handlers = {
        'log_address': LogHandler(log).handle,
        'instances_address': InstancesHandler(instances).handle,
        'weights_address': WeightsHandler(1).handle,
    }
    addresses = {}
    for name, handler in handlers.items():
        server = await stack.enter_async_context(HttpServer(handler))
        await server.start(ANY_PORT)
        addresses[name] = server.address
    return addresses


def _settings(addresses: dict[str, str]) -> EntrySettings:
    return EntrySettings.model_validate(
        {
            'instance_id': 'entry-0',
            'failure_domain': 'bench-a',
            'listen_address': ANY_PORT,
            'peer_address': ANY_PORT,
            'platform': {
                **addresses,
                'instances_poll_ms': POLL_MS,
                'load_poll_ms': POLL_MS,
            },
        },
    )


def _document() -> dict[str, Any]:
    services = {kind: {'kind': kind, 'max_in_flight': SLOTS} for kind in KINDS}
    stages = [
        {'name': kind, 'service': kind, 'inputs': [source]}
        for kind, source in zip(KINDS, ('request', *KINDS), strict=False)
    ]
    limit = {'limit_requests_per_s': 100_000, 'burst_requests': 100_000}
    return {
        'format': 1,
        'organisations': {ORGANISATION: limit},
        'services': services,
        'pipelines': {'chain': {'stages': stages}},
    }


class _TargetScript:
    """What a bare target answers."""

    def __init__(self, target_id: str, tokens: int) -> None:
        self._target_id = target_id
        self._tokens = tokens

    def answer(self, body: bytes) -> Any:
        """Returns an answer, tokens, or a load report where nothing is sent."""
        if not body:
            return self._load_report()
        call = json.loads(body)
        if not call.get('stream'):
            return _answer_whole(body)
        return self._events(call['attempt_id'])

    def _load_report(self) -> bytes:
        report = {
            'target_id': self._target_id,
            'reported_at_ms': 0,
            'running': 0,
            'queued': 0,
            'slots': SLOTS,
        }
        return encode_json(report)

    def _events(self, attempt_id: str) -> Iterator[bytes]:
        for offset in range(self._tokens):
            event = {'attempt_id': attempt_id, 'offset': offset, 'token': 'to '}
            yield encode_event(event)
        yield encode_event(
            {
                'attempt_id': attempt_id,
                'offset': self._tokens,
                'done': True,
                'tokens': self._tokens,
            },
        )


def _answer_whole(body: bytes) -> bytes:
    attempt_id = json.loads(body or b'{}').get('attempt_id', '')
    return encode_json({'attempt_id': attempt_id, 'output': {'text': 'x'}})


def _call_body(*, stream: bool) -> bytes:
    """Returns a body like that of an entry's call."""
    call = {
        'attempt_id': '0197b7f2-7f2e-7cc0-8000-000000000000',
        'request_id': '0197b7f2-7f2e-7cc0-8000-000000000001',
        'idempotency_key': '',
        'organisation': ORGANISATION,
        'stage': 'encoder',
        'operation': '',
        'model': '',
        'model_version': '',
        'priority': 0,
        'cache_prefix': '',
        'deadline_ms': 8000,
        'stream': stream,
        'resume_from': 0,
        'inputs': {'request': {'text': 'x'}},
    }
    return encode_json(call)
