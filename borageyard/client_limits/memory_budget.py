"""Accounts for the memory that clients make a process hold; no I/O."""

import collections
import contextlib
import enum
import math
from collections.abc import Callable, Iterator

# Memory that a process needs for itself: 45 MB at rest, and what its tables,
# plans, peer streams and calls take under load.
OWN_BYTES = 64_000_000
# Share of the rest that clients may fill. A body may be held twice: its end is
# joined to it, and the connection to a target copies what it can't send yet.
BUDGET_SHARE = 0.5
DEFAULT_MEMORY_BYTES = 256_000_000
# A body and an answer of the default limit (4 MiB), and the reserve.
MIN_BUDGET_BYTES = 12_582_912
# Part of the budget that only connections with few bytes may use.
RESERVE_SHARE = 0.125
SMALL_BYTES = 65_536
# Memory of an open connection that holds no bytes: 17 KB measured with 1,500
# of them, 22 KB with a begun head.
CONNECTION_BYTES = 24_000
# Part of the budget that is left however many connections are open.
MIN_SHARE = 0.25
# Time without a byte after which a connection gives way to one that sends.
# Compliant clients send a body without pauses.
QUIET_MS = 1000
# Time between two searches for quiet connections that found none, as each one
# looks at all connections.
SEARCH_INTERVAL_MS = 50


class HoldPhase(enum.Enum):
    """What a connection holds memory for."""

    # A request that is not complete: nothing of it was passed on.
    RECEIVING = 'receiving'
    # A request in progress, which is not given up.
    RUNNING = 'running'
    # An answer that the client does not read at present.
    ANSWERING = 'answering'


class HeldMemory:
    """Memory held for one connection, or for one answer of a target."""

    def __init__(
        self, budget: 'MemoryBudget', on_evict: Callable[[], object] | None
    ) -> None:
        """Starts without memory; to be created by ``MemoryBudget.open``.

        Args:
            budget: Budget that it counts for.
            on_evict: Called when the connection must release its memory.
        """
        self.phase = HoldPhase.RECEIVING
        self.held_bytes = 0
        self.last_byte_ms: float = 0
        self.evicted = False
        # Whether the process itself does not read on, for want of room.
        self.waiting = False
        self.on_evict = on_evict
        self._budget = budget

    @property
    def is_evictable(self) -> bool:
        """Whether it holds memory that may be taken from it."""
        running = self.phase is HoldPhase.RUNNING or self.on_evict is None
        return bool(self.held_bytes) and not running

    @property
    def rank(self) -> int:
        """Returns how early it gives way, 0 for the first ones."""
        if self.held_bytes <= SMALL_BYTES:
            return 2
        return int(self.waiting)

    def may_give_way(self, since_ms: float) -> bool:
        """Returns whether it is evictable and got no byte after a time.

        Args:
            since_ms: Monotonic time.
        """
        return self.is_evictable and self.last_byte_ms <= since_ms

    def progresses_since(self, since_ms: float) -> bool:
        """Returns whether it receives a request and got bytes after a time.

        Args:
            since_ms: Monotonic time.
        """
        return self.is_evictable and self.last_byte_ms > since_ms

    def add(self, size_bytes: int, now_ms: float) -> None:
        """Counts bytes that arrived; may evict this or other connections.

        Args:
            size_bytes: Number of bytes.
            now_ms: Monotonic time.
        """
        self.touch(now_ms)
        self.hold(self.held_bytes + size_bytes)
        self._budget.enforce(self)

    def hold(self, held_bytes: int) -> None:
        """Sets what it holds now.

        Args:
            held_bytes: Number of bytes.
        """
        if not self.evicted:
            self._budget.held_bytes += held_bytes - self.held_bytes
            self.held_bytes = held_bytes
            if not held_bytes:
                self._budget.note_released(self)

    def touch(self, now_ms: float) -> None:
        """Notes that bytes came or went.

        Args:
            now_ms: Monotonic time.
        """
        self.last_byte_ms = now_ms
        if not self.evicted:
            self._budget.note_recent(self)

    def make_room(self, now_ms: float) -> bool:
        """Returns whether it may read on; quiet connections give way.

        Args:
            now_ms: Monotonic time.
        """
        return self._budget.make_room(self, now_ms)

    @contextlib.contextmanager
    def answering(self, now_ms: Callable[[], float]) -> Iterator[None]:
        """Lets it be evicted for an unread answer within the context.

        Args:
            now_ms: Returns the monotonic time.
        """
        phase = self.phase
        self.touch(now_ms())
        self.phase = HoldPhase.ANSWERING
        with contextlib.ExitStack() as stack:
            stack.callback(setattr, self, 'phase', phase)
            yield

    def close(self) -> None:
        """Releases what it holds."""
        if not self.evicted:
            self.hold(0)
            self.evicted = True
            self._budget.forget(self)


class MemoryBudget:
    """Bounds the memory that all connections of a process hold together."""

    def __init__(self, total_bytes: int) -> None:
        """Starts without connections.

        Args:
            total_bytes: Bytes for open connections and what they hold.
        """
        self.total_bytes = total_bytes
        self.held_bytes = 0
        self._open_count = 0
        # Time before which a search finds no quiet connection again.
        self._next_search_ms: float = 0
        # Connection that may go on while others wait for room.
        self._favoured: HeldMemory | None = None
        # In the order of their last bytes, the longest quiet one first.
        self._by_age: collections.OrderedDict[HeldMemory, None] = (
            collections.OrderedDict()
        )

    @property
    def max_bytes(self) -> int:
        """Bytes that may be held, besides the connections themselves."""
        left_bytes = self.total_bytes - self._open_count * CONNECTION_BYTES
        return max(left_bytes, int(self.total_bytes * MIN_SHARE))

    def open(self, on_evict: Callable[[], object] | None = None) -> HeldMemory:
        """Returns the account of a connection, to be closed at its end.

        Args:
            on_evict: Called when its memory must be released; without it the
                connection is never evicted.
        """
        self._open_count += 1
        return HeldMemory(self, on_evict)

    def forget(self, held: HeldMemory) -> None:
        """Removes a connection that has ended."""
        self._open_count -= 1
        self.note_released(held)

    def note_recent(self, held: HeldMemory) -> None:
        """Makes a connection the last one to give way."""
        self._by_age[held] = None
        self._by_age.move_to_end(held)

    def note_released(self, held: HeldMemory) -> None:
        """Removes a connection that holds nothing from those that may."""
        self._by_age.pop(held, None)

    def make_room(self, asker: HeldMemory, now_ms: float) -> bool:
        """Returns whether a connection may hold more.

        Connections that have been quiet for ``QUIET_MS`` are evicted for it.
        One connection at a time is favoured: those that wait as well are
        evicted for it, so that many incomplete bodies don't block each other.

        Args:
            asker: Connection that wants to read.
            now_ms: Monotonic time.
        """
        quiet_since_ms = now_ms - QUIET_MS
        is_favoured = self._favour(asker, quiet_since_ms)
        while self._is_short(asker):
            if not is_favoured and now_ms < self._next_search_ms:
                return False
            waiting_since_ms = math.inf if is_favoured else -math.inf
            victim = self._find_victim(asker, quiet_since_ms, waiting_since_ms)
            if victim is None:
                self._next_search_ms = now_ms + SEARCH_INTERVAL_MS
                return False
            self._evict(victim)
        return True

    def replace_quiet(self, now_ms: float) -> bool:
        """Evicts a stalled request in favour of a new connection, if any.

        Answers do not give way: a new connection is not worth work that was
        done, and a client that reads slowly looks quiet.

        Args:
            now_ms: Monotonic time.
        """
        quiet_since_ms = now_ms - QUIET_MS
        victim = _first_by_rank(
            held
            for held in self._by_age
            if held.phase is HoldPhase.RECEIVING
            and not held.waiting
            and held.may_give_way(quiet_since_ms)
        )
        if victim is not None:
            self._evict(victim)
        return victim is not None

    def enforce(self, asker: HeldMemory) -> None:
        """Evicts until the budget is kept, if anything can be evicted.

        Args:
            asker: Connection that just received bytes; it is the last one
                to be evicted.
        """
        while self.is_exceeded(asker):
            victim = self._find_victim(asker) or asker
            if not victim.is_evictable:
                return
            self._evict(victim)

    def is_exceeded(self, asker: HeldMemory) -> bool:
        """Returns whether the budget is not kept, unless the asker is alone.

        Args:
            asker: Connection that holds memory.
        """
        return self.held_bytes > self.max_bytes and self._is_short(asker)

    def _is_short(self, asker: HeldMemory) -> bool:
        """Returns whether there is no room for a connection to hold more.

        A request that is alone has room, however large it may be.
        """
        limit_bytes = self.max_bytes
        reserve_bytes = int(limit_bytes * RESERVE_SHARE)
        if asker.held_bytes > SMALL_BYTES:
            limit_bytes -= reserve_bytes
        others_bytes = self.held_bytes - asker.held_bytes
        return self.held_bytes > limit_bytes and others_bytes > reserve_bytes

    def _favour(self, asker: HeldMemory, quiet_since_ms: float) -> bool:
        """Returns whether a connection is the favoured one; may choose it."""
        favoured = self._favoured
        if favoured is None or not favoured.progresses_since(quiet_since_ms):
            self._favoured = asker
        return self._favoured is asker

    def _find_victim(
        self,
        asker: HeldMemory | None,
        quiet_since_ms: float = math.inf,
        waiting_since_ms: float = math.inf,
    ) -> HeldMemory | None:
        """Returns the connection that has gone longest without a byte.

        Those with more than ``SMALL_BYTES`` come first, and of them those that
        the process itself does not keep waiting.

        Args:
            asker: Connection that is not chosen.
            quiet_since_ms: Latest time of the last byte from its client.
            waiting_since_ms: The same for one that the process keeps waiting.
        """
        since_ms = {False: quiet_since_ms, True: waiting_since_ms}
        return _first_by_rank(
            held
            for held in self._by_age
            if held is not asker and held.may_give_way(since_ms[held.waiting])
        )

    def _evict(self, victim: HeldMemory) -> None:
        on_evict = victim.on_evict
        victim.close()
        if on_evict is not None:
            on_evict()


def _first_by_rank(candidates: Iterator[HeldMemory]) -> HeldMemory | None:
    """Returns the first one of the lowest rank; looks no further than that."""
    found: HeldMemory | None = None
    for held in candidates:
        if not held.rank:
            return held
        if found is None or held.rank < found.rank:
            found = held
    return found


def budget_bytes(memory_bytes: float | None) -> int:
    """Returns the budget of a process.

    Args:
        memory_bytes: Memory of its machine; None if unknown.
    """
    available_bytes = (memory_bytes or DEFAULT_MEMORY_BYTES) - OWN_BYTES
    return max(int(available_bytes * BUDGET_SHARE), MIN_BUDGET_BYTES)
