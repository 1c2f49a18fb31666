"""Callers that keep their connections and record what became of requests."""

import asyncio
import dataclasses
import random
import re
import time
from collections.abc import Sequence

from ..http_client import HttpCall, HttpCallError, HttpClient
from .gateway_deployment import API_KEY, HOST, GatewayDeployment

STATUS_OK = 200
# Statuses that promise that a request has not run.
REFUSALS = frozenset((408, 421, 429, 503))
DEADLINE_MS = 7000
TIMEOUT_MS = 10_000
PAUSE_S = (0.02, 0.2)
FIRST_PARTS = ('a0', 'a1', 'a2')
NEXT_PARTS = ('b0', 'b1', 'b2', 'b3')
CRASHING_PART = 'dead'
EVENT_ID = re.compile('^id: ([0-9]+)\n.*\n\n', re.MULTILINE)
# Kinds of requests: method, path and pieces of the stages.
READ = '/read/a'
BOOK = '/book/a'
RESUMABLE = '/brief/x'
NOT_RESUMABLE = '/reply/x'
PROMPT_KINDS = (
    ('POST', RESUMABLE, ''),
    ('POST', RESUMABLE, '2,1'),
    ('POST', NOT_RESUMABLE, ''),
)
KINDS = (('GET', READ, ''), ('POST', BOOK, ''), *PROMPT_KINDS)


@dataclasses.dataclass(slots=True)
class Outcome:
    """What became of one request.

    Attributes:
        request_id: Id of the request.
        path: Path before the id of the request; it selects the route.
        parts: Parts of the prompt; empty if it has none.
        gateway: Number of the gateway that it was sent to.
        began_s: Monotonic time at which it was sent.
        ended_s: Monotonic time of its end.
        status: Status; None without an answer.
        body: What was received of the body.
        error: Why the answer is not whole; empty if it is.
        connected: Whether the request may have reached the gateway.
    """

    request_id: str
    path: str
    parts: Sequence[str]
    gateway: int
    began_s: float
    ended_s: float = 0
    status: int | None = None
    body: bytes = b''
    error: str = ''
    connected: bool = True

    @property
    def crashing(self) -> bool:
        """Whether engines crash under the request."""
        return CRASHING_PART in self.parts

    @property
    def event_ids(self) -> Sequence[int]:
        """Ids of the complete events received."""
        return [int(found) for found in EVENT_ID.findall(self.body.decode())]


class SoakCallers:
    """Callers of a deployment, who send requests one after another."""

    def __init__(self, deployment: GatewayDeployment, seed: int) -> None:
        """Creates callers that are not sending yet.

        Args:
            deployment: Running deployment.
            seed: Seed of the requests.
        """
        self.outcomes: list[Outcome] = []
        self._deployment = deployment
        self._random = random.Random(f'callers {seed}')
        # Whether the crashing part is the first of a prompt or the second.
        self._crashes_first = self._random.choice((False, True))
        self._sent = 0

    async def send_sound(self, until_s: float) -> None:
        """Sends sound requests over kept connections.

        The caller turns to another gateway when it can't connect to its own.

        Args:
            until_s: Monotonic time after which no request is sent.
        """
        gateway = self._pick_gateway()
        async with HttpClient() as client:
            while time.monotonic() < until_s:
                kind = self._random.choice(KINDS)
                parts = self._draw_parts() if kind in PROMPT_KINDS else ()
                outcome = await self._send(client, gateway, kind, parts)
                if not outcome.connected:
                    gateway = self._pick_gateway()
                await asyncio.sleep(self._random.uniform(*PAUSE_S))

    async def send_crashing(self, until_s: float, pause_s: float) -> None:
        """Sends requests with the crashing part to any gateway.

        Args:
            until_s: Monotonic time after which no request is sent.
            pause_s: Time between two requests.
        """
        async with HttpClient() as client, asyncio.TaskGroup() as group:
            while time.monotonic() < until_s:
                kind = self._random.choice(PROMPT_KINDS)
                gateway = self._pick_gateway()
                first_part, next_part = self._draw_parts()
                if self._crashes_first:
                    parts = (CRASHING_PART, next_part)
                else:
                    parts = (first_part, CRASHING_PART)
                group.create_task(self._send(client, gateway, kind, parts))
                await asyncio.sleep(pause_s)

    def _draw_parts(self) -> tuple[str, str]:
        """Returns shared parts of a sound prompt."""
        return (
            self._random.choice(FIRST_PARTS),
            self._random.choice(NEXT_PARTS),
        )

    def _pick_gateway(self) -> int:
        return self._random.randrange(len(self._deployment.gateways))

    async def _send(
        self,
        client: HttpClient,
        gateway: int,
        kind: tuple[str, str, str],
        parts: Sequence[str],
    ) -> Outcome:
        self._sent += 1
        method, path, pieces = kind
        outcome = Outcome(
            format(self._sent, '08x'),
            path,
            parts,
            gateway,
            time.monotonic(),
        )
        call = HttpCall(
            self._deployment.gateways[gateway].address,
            method,
            f'{path}/{outcome.request_id}',
            headers=_headers(outcome, pieces),
            timeout_ms=TIMEOUT_MS,
            repeatable=False,
        )
        try:
            await _receive(client, call, outcome)
        except HttpCallError as error:
            outcome.error = error.reason
            outcome.connected = error.sent
        outcome.ended_s = time.monotonic()
        self.outcomes.append(outcome)
        return outcome


async def _receive(
    client: HttpClient, call: HttpCall, outcome: Outcome
) -> None:
    async with client.stream(call) as (status, _, chunks):
        outcome.status = status
        async for chunk in chunks:
            outcome.body += chunk


def _headers(outcome: Outcome, pieces: str) -> dict[str, str]:
    headers = {
        'host': HOST,
        'x-attempt-id': outcome.request_id,
        'x-deadline-ms': str(DEADLINE_MS),
        'authorization': f'Token {API_KEY}',
    }
    if not outcome.parts:
        return headers
    parts = [f'{part}:50' for part in (*outcome.parts, outcome.request_id)]
    return {
        **headers,
        'x-model': 'm',
        'x-token-count': '150,20',
        'x-prefix-hash': ','.join(parts),
        'x-pieces': pieces,
        'x-piece-key': 'abc',
    }
