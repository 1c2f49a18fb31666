"""An entry with bare h11 targets, for benchmarks of the cost of an entry."""

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
SERVICE_KINDS = ('encoder', 'retriever', 'reranker', 'engine')
ORGANISATION_NAME = 'bench'
PIPELINE_PATH = '/v1/pipelines/chain'
SMALL_BODY = b'{"text":"x"}'
# Longer than a run, so that no polling falls into it.
POLL_INTERVAL_MS = 600_000
MAX_IN_FLIGHT = 1000


@dataclasses.dataclass(slots=True)
class EntryBench:
    """An entry, its targets and a bare server that stands in for the entry."""

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
        """Sends a request over a kept-alive connection and returns the body."""
        idle = self.clients.setdefault(address, [])
        client = idle.pop() if idle else await BareClient.open(address)
        response = await client.request(path, body, headers)
        idle.append(client)
        return response

    async def call_entry(self, body: bytes = SMALL_BODY) -> None:
        """Sends a request to the entry and checks that all stages ran.

        Raises:
            ValueError: The response lacks stages.
        """
        headers = [('x-borage-organisation', ORGANISATION_NAME)]
        response = await self.exchange(
            self.entry_address,
            PIPELINE_PATH,
            body,
            headers,
        )
        stages = json.loads(response).get('stages', ())
        if len(stages) != len(SERVICE_KINDS):
            raise ValueError(response.decode())

    async def call_bare(self, body: bytes = SMALL_BODY) -> None:
        """Does the exchanges of a request without an entry."""
        headers = [('x-borage-organisation', ORGANISATION_NAME)]
        await self.exchange(self.bare_address, PIPELINE_PATH, body, headers)
        for address in self.target_addresses:
            await self.call_target(address)

    async def call_target(self, address: str) -> None:
        """Sends one call directly to a target."""
        await self.exchange(address, '/v1/run', _call_body(stream=False))

    async def stream_entry(self, body: bytes = SMALL_BODY) -> None:
        """Streams tokens through the entry and checks that an answer ends them.

        Raises:
            ValueError: The stream holds no answer.
        """
        headers = [
            ('x-borage-organisation', ORGANISATION_NAME),
            ('accept', 'text/event-stream'),
        ]
        response = await self.exchange(
            self.entry_address,
            PIPELINE_PATH,
            body,
            headers,
        )
        if b'"type":"answer"' not in response:
            raise ValueError(response.decode())

    async def stream_target(self) -> None:
        """Streams tokens directly from the engine."""
        body = _call_body(stream=True)
        await self.exchange(self.target_addresses[-1], '/v1/run', body)

    def close(self) -> None:
        """Closes the connections of the callers."""
        for clients in self.clients.values():
            for client in clients:
                client.close()


@contextlib.asynccontextmanager
async def running_bench(
    tokens: int,
    pause_s: float,
) -> AsyncIterator[EntryBench]:
    """Runs an entry with bare targets.

    Args:
        tokens: Number of tokens that the engine streams.
        pause_s: Delay before each token.

    Yields:
        The running benchmark setup.
    """
    async with contextlib.AsyncExitStack() as stack:
        targets = [
            await stack.enter_async_context(
                bare_server(_BareTarget(f'{kind}-0', tokens).respond, pause_s),
            )
            for kind in SERVICE_KINDS
        ]
        bare_address = await stack.enter_async_context(
            bare_server(_complete_answer),
        )
        entry = await _start_entry(stack, targets)
        bench = EntryBench(entry.address, bare_address, targets)
        stack.callback(bench.close)
        yield bench


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
            for kind, address in zip(SERVICE_KINDS, targets, strict=True)
        ],
    )
    addresses = await _start_platform(stack, log, instances)
    proposal = {
        'type': 'apply',
        'base_version': 0,
        'author': 'bench',
        'document': _configuration_document(),
    }
    log.append_now(CONFIGURATION_STREAM, proposal)
    entry = Entry(_entry_settings(addresses))
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


def _entry_settings(addresses: dict[str, str]) -> EntrySettings:
    return EntrySettings.model_validate(
        {
            'instance_id': 'entry-0',
            'failure_domain': 'bench-a',
            'listen_address': ANY_PORT,
            'peer_address': ANY_PORT,
            'platform': {
                **addresses,
                'instances_poll_ms': POLL_INTERVAL_MS,
                'load_poll_ms': POLL_INTERVAL_MS,
            },
        },
    )


def _configuration_document() -> dict[str, Any]:
    services = {
        kind: {'kind': kind, 'max_in_flight': MAX_IN_FLIGHT}
        for kind in SERVICE_KINDS
    }
    stages = [
        {'name': kind, 'service': kind, 'inputs': [source]}
        for kind, source in zip(
            SERVICE_KINDS,
            ('request', *SERVICE_KINDS),
            strict=False,
        )
    ]
    limit = {'limit_requests_per_s': 100_000, 'burst_requests': 100_000}
    return {
        'format': 1,
        'organisations': {ORGANISATION_NAME: limit},
        'services': services,
        'pipelines': {'chain': {'stages': stages}},
    }


class _BareTarget:
    """Responses of a bare target."""

    def __init__(self, target_id: str, tokens: int) -> None:
        self._target_id = target_id
        self._tokens = tokens

    def respond(self, body: bytes) -> Any:
        """Returns an answer or its tokens; for an empty body, a load report."""
        if not body:
            return self._load_report()
        call = json.loads(body)
        if not call.get('stream'):
            return _complete_answer(body)
        return self._events(call['attempt_id'])

    def _load_report(self) -> bytes:
        report = {
            'target_id': self._target_id,
            'reported_at_ms': 0,
            'running': 0,
            'queued': 0,
            'slots': MAX_IN_FLIGHT,
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


def _complete_answer(body: bytes) -> bytes:
    attempt_id = json.loads(body or b'{}').get('attempt_id', '')
    return encode_json({'attempt_id': attempt_id, 'output': {'text': 'x'}})


def _call_body(*, stream: bool) -> bytes:
    """Returns a body like that of a call from an entry to a target."""
    call = {
        'attempt_id': '0197b7f2-7f2e-7cc0-8000-000000000000',
        'request_id': '0197b7f2-7f2e-7cc0-8000-000000000001',
        'idempotency_key': '',
        'organisation': ORGANISATION_NAME,
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
