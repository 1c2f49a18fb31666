"""Stand-in target with a server and a record in the store."""

import abc
import asyncio
import contextlib
import dataclasses
import functools
import time
from collections.abc import AsyncIterator, Coroutine
from typing import Any

from ..clock import MS_PER_S
from ..http_messages import HttpLimits, HttpRequest, HttpResponse
from .keyed_store import TARGETS_TOPIC, KeyedStore
from .open_runs import OpenRuns
from .unframed_server import UnframedServer

LOOPBACK = '127.0.0.1:0'


@dataclasses.dataclass(frozen=True, slots=True)
class TargetPlan:
    """Identity, kind and capacity of a target."""

    target_id: str
    service: str
    failure_domain: str
    kind: str = 'plain'
    work_ms: float = 1
    events: int = 5
    max_results: int = 100
    # Maximum number of concurrent requests; further ones are rejected.
    slots: int = 8
    # Time in ms in which an engine prefills a prompt token not in its cache.
    token_ms: float = 0
    software_version: str = 'v1'


@dataclasses.dataclass(frozen=True, slots=True)
class CrashPlan:
    """How an engine crashes under a prompt part and comes back."""

    # Number of events written before the crash; 0 for after the head.
    after_events: int = 0
    # Time after which the record goes from the store; 0 for at once.
    expire_ms: float = 0
    # Time after which the engine is back; ``None`` for never.
    restart_ms: float | None = 500
    # Whether it comes back under its former id, as a new incarnation.
    keeps_id: bool = False
    # Whether it comes back at its former address.
    keeps_address: bool = True
    # Whether it falls silent in place of closing its connections and its
    # listener, as when its machine loses power behind a load balancer.
    silent: bool = False


class RegisteredTarget(abc.ABC):
    """Target that announces itself in the store and may crash."""

    def __init__(self, plan: TargetPlan, store: KeyedStore) -> None:
        """Initializes a target that does not listen yet.

        Args:
            plan: Identity, kind and capacity of the target.
            store: Store to which the target announces itself.
        """
        self.plan = plan
        self.store = store
        self.address = ''
        # Ids under which the target crashed, and monotonic times, in order.
        self.crashed_ids: list[str] = []
        self.crash_times_s: list[float] = []
        # Monotonic times at which all connections had ended after a crash.
        self.closed_times_s: list[float] = []
        self.open_runs = OpenRuns()
        # Whether the target drains or has left.
        self.leaving = False
        # Incarnations that crashed silently, and their servers.
        self._silent: dict[int, UnframedServer] = {}
        self._incarnation = 1
        self._announcement_number = 0
        self._server: UnframedServer | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Listens and announces the target as ready until the context exits.

        The announcement stays in the store afterwards.
        """
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self._stop)
            await self._start(LOOPBACK)
            yield

    def announce(self, state: str) -> None:
        """Writes the record of the target to the store.

        Args:
            state: State to announce.
        """
        self._announcement_number += 1
        row = {
            'service': self.plan.service,
            'address': self.address,
            'zone': self.plan.failure_domain,
            'version': self.plan.software_version,
            'slots': 8,
            'state': state,
            'coldLeftMs': 0,
            'sequence': self._announcement_number,
            'born': self._incarnation,
        }
        self.store.put(TARGETS_TOPIC, self.plan.target_id, row)

    def restart(self) -> None:
        """Announces a new incarnation, as after a crash.

        The records of what the target ran are retained.
        """
        self._incarnation += 1
        self.announce('ready')

    def withdraw(self) -> None:
        """Deletes the record of the target from the store."""
        self.store.put(TARGETS_TOPIC, self.plan.target_id, None)

    def crash(self, crash: CrashPlan) -> None:
        """Closes the listener and all connections; the target may come back.

        Args:
            crash: What follows. A target that has already crashed ignores it.
        """
        if self._server is None:
            return
        self.open_runs.break_off_all()
        self.crashed_ids.append(self.plan.target_id)
        self.crash_times_s.append(time.monotonic())
        if crash.silent:
            self._silent[self._incarnation] = self._server
        else:
            self._begin(self._close(self._server))
        self._server = None
        if crash.expire_ms:
            self._begin(self._expire(crash.expire_ms))
        else:
            self.withdraw()
        if crash.restart_ms is not None:
            self._begin(self._come_back(crash, crash.restart_ms))

    async def leave(self, drain_s: float) -> None:
        """Drains the target, then ends it once nothing runs.

        Args:
            drain_s: Time from the announcement to the removal of the record.
        """
        self.leaving = True
        self.announce('draining')
        await asyncio.sleep(drain_s)
        self.withdraw()
        if self._server is not None:
            await self._server.finish()
        # It may have crashed meanwhile.
        if self._server is not None:
            await self._server.close()
            self._server = None

    async def wait_while_silent(self) -> None:
        """Waits for ever in a target that crashed silently."""
        if self._incarnation in self._silent:
            await asyncio.Event().wait()

    @abc.abstractmethod
    async def _respond(self, request: HttpRequest) -> HttpResponse:
        """Handles one request."""

    @abc.abstractmethod
    def _forget(self) -> None:
        """Discards what a target does not know after a restart."""

    async def _start(self, address: str) -> None:
        self._server = UnframedServer(
            functools.partial(self._respond_as, self._incarnation),
            HttpLimits(),
        )
        await self._server.start(address)
        self.address = self._server.address
        self.announce('ready')

    async def _respond_as(
        self, incarnation: int, request: HttpRequest
    ) -> HttpResponse:
        if incarnation in self._silent:
            await asyncio.Event().wait()
        return await self._respond(request)

    async def _stop(self) -> None:
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for server in (self._server, *self._silent.values()):
            if server is not None:
                await server.close()

    def _begin(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _close(self, server: UnframedServer) -> None:
        await server.close()
        self.closed_times_s.append(time.monotonic())

    async def _expire(self, after_ms: float) -> None:
        target_id = self.plan.target_id
        incarnation = self._incarnation
        await asyncio.sleep(after_ms / MS_PER_S)
        if self.plan.target_id != target_id or self._incarnation == incarnation:
            self.store.put(TARGETS_TOPIC, target_id, None)

    async def _come_back(self, crash: CrashPlan, after_ms: float) -> None:
        await asyncio.sleep(after_ms / MS_PER_S)
        if self.leaving:
            return
        silent_server = self._silent.get(self._incarnation)
        if silent_server is not None:
            silent_server.stop_listening()
        self._incarnation += 1
        self._forget()
        if not crash.keeps_id:
            first_id, _, _ = self.plan.target_id.partition('.')
            target_id = f'{first_id}.{self._incarnation}'
            self.plan = dataclasses.replace(self.plan, target_id=target_id)
        await self._start(self.address if crash.keeps_address else LOOPBACK)
