"""In-memory fleet whose entries call targets through each other."""

import asyncio
import collections
import contextlib
from collections.abc import AsyncGenerator, AsyncIterator, Iterable

from ..call_relay import CallRelay
from ..clock import LoopClock
from ..fleet_state import FleetState
from ..http_client import HttpCall, HttpCallError, HttpReply, StreamedReply
from ..memory_peers import MemoryPeerNetwork
from ..path_witnesses import PathWitnesses
from ..peer_calls import PeerCalls
from ..platform.documents import DocumentDecoder
from ..relayed_client import RelayedClient
from ..roster import RosterChange, RosterRow, TargetPhase
from ..target_path_watch import TargetPathWatch
from ..target_paths import TargetPaths

TARGETS = 6
SERVICES = ('desk', 'model')
FAILURE_DOMAINS = ('north', 'south', 'east')
STATUS_OK = 200
CALL_TIMEOUT_MS = 10_000
CHUNKS = (b'one', b'two', b'three')
CHUNK_S = 0.05
CONNECT_TIMEOUT_S = 0.3


class MemoryTargets:
    """Targets of a fleet, and the entries that are partitioned from them."""

    def __init__(self) -> None:
        """Starts without partitions."""
        self.rows = [
            RosterRow(
                f't{number}',
                SERVICES[number % len(SERVICES)],
                f'h:{number}',
                FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)],
                TargetPhase.READY,
                incarnation=1,
            )
            for number in range(TARGETS)
        ]
        self.partitioned: set[str] = set()
        # Whether connections hang in place of being refused.
        self.hangs = False
        self.down: set[str] = set()
        # Ids of the entries that made calls, in order, how often each path was
        # called, and the number of answers that are under way.
        self.callers: list[str] = []
        self.calls_by_path: collections.Counter[str] = collections.Counter()
        self.open_answers = 0
        # Number of chunks after which an answer breaks off; None for never.
        self.break_after: int | None = None

    async def connect(self, name: str, address: str) -> None:
        """Opens a connection.

        Raises:
            OSError: If the target can't be reached.
        """
        if name in self.partitioned and self.hangs:
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            raise TimeoutError('timed out')
        if name in self.partitioned or address in self.down:
            raise ConnectionRefusedError('refused')

    async def answer(self) -> AsyncGenerator[bytes, None]:
        """Yields the body of an answer.

        Raises:
            HttpCallError: If it breaks off.
        """
        with contextlib.ExitStack() as stack:
            self.open_answers += 1
            stack.callback(self._end_answer)
            for number, chunk in enumerate(CHUNKS):
                if number == self.break_after:
                    raise HttpCallError('reset', sent=True)
                await asyncio.sleep(CHUNK_S)
                yield chunk

    def _end_answer(self) -> None:
        self.open_answers -= 1


class MemoryCallClient:
    """Calls in-memory targets; also their probe."""

    def __init__(self, name: str, targets: MemoryTargets) -> None:
        """Creates the client of one entry."""
        self._name = name
        self._targets = targets

    async def request(self, call: HttpCall) -> HttpReply:
        """Makes a call and reads the whole answer."""
        async with self.stream(call) as reply:
            status, headers, chunks = reply
            body = b''.join([chunk async for chunk in chunks])
            return HttpReply(status, headers, body)

    @contextlib.asynccontextmanager
    async def stream(self, call: HttpCall) -> AsyncIterator[StreamedReply]:
        """Makes a call.

        Raises:
            HttpCallError: If the target can't be reached.
        """
        try:
            await self._targets.connect(self._name, call.address)
        except OSError as error:
            raise HttpCallError(str(error), sent=False) from error
        self._targets.callers.append(self._name)
        self._targets.calls_by_path[call.path] += 1
        async with contextlib.aclosing(self._targets.answer()) as chunks:
            yield STATUS_OK, {'address': call.address}, chunks

    async def can_connect(self, address: str) -> bool:
        """Returns whether a target accepts a connection."""
        try:
            await self._targets.connect(self._name, address)
        except OSError:
            return False
        return True

    async def is_listening(self, address: str) -> bool | None:
        """Returns whether a target listens."""
        return await self.can_connect(address)

    async def check_status(
        self, target_id: str, address: str, *, through_peer: bool = False
    ) -> str:
        """Returns why a target does not answer."""
        return '' if await self.can_connect(address) else 'refused'


class RelayingEntry:
    """The parts of an entry that call targets."""

    def __init__(
        self, name: str, targets: MemoryTargets, network: MemoryPeerNetwork
    ) -> None:
        """Joins the network."""
        self.name = name
        self.state = FleetState(DocumentDecoder())
        changes = [
            RosterChange(number, row.target_id, row)
            for number, row in enumerate(targets.rows)
        ]
        self.state.roster.apply(changes, len(changes))
        clock = LoopClock()
        own = MemoryCallClient(name, targets)
        link = network.join(name)
        self.watch = TargetPathWatch(
            TargetPaths(name), PathWitnesses(self.state, own), clock
        )
        self.client = RelayedClient(own)
        self.client.join(self.watch, PeerCalls(self.watch.paths, link, clock))
        self.relay = CallRelay(
            own, lambda headers: None, self.state, self.watch, link, clock
        )

    async def call(
        self,
        number: int = 0,
        timeout_ms: float = CALL_TIMEOUT_MS,
        path: str = '/',
    ) -> HttpReply:
        """Calls a target.

        Args:
            number: Number of the target.
            timeout_ms: Time limit for the answer.
            path: Path of the call.

        Raises:
            HttpCallError: If there is no complete answer.
        """
        return await self.client.request(
            HttpCall(
                f'h:{number}',
                'POST',
                path,
                timeout_ms=timeout_ms,
                target_id=f't{number}',
            )
        )


class RelayingFleet:
    """Entries that share targets."""

    def __init__(self, size: int) -> None:
        """Creates entries that are not started.

        Args:
            size: Number of entries.
        """
        self.network = MemoryPeerNetwork()
        self.targets = MemoryTargets()
        self.entries = [
            RelayingEntry(f'n{number}', self.targets, self.network)
            for number in range(size)
        ]

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator['RelayingFleet']:
        """Runs the fleet within the scope."""
        async with contextlib.AsyncExitStack() as stack:
            for entry in self.entries:
                await stack.enter_async_context(entry.watch.running())
                await stack.enter_async_context(entry.relay.running())
            yield self

    def partition(self, entries: Iterable[RelayingEntry]) -> None:
        """Partitions just these entries from all targets."""
        self.targets.partitioned = {entry.name for entry in entries}
