"""Places prompts on model engines by cached parts, load and inputs."""

import collections
import dataclasses
import math
from collections.abc import Mapping, Sequence

from .failure_domains.domain_spill import transfer_cost_ms
from .rendezvous import choose
from .roster import RosterRow
from .target_speed.target_speeds import EngineStart, FleetSpeeds, is_usual

# Prompt tokens that an engine prefills in a millisecond (from the load sheets
# of both users).
PREFILL_TOKENS_PER_MS = 32.4
# Time that each running request adds to a decoding step (from the load sheets
# of both users).
STEP_MS_PER_REQUEST = 0.0234
# Decoding steps of running requests before the first token of a new request:
# its prompt is prefilled in chunks between them.
FIRST_TOKEN_STEPS = 10
# Further weight of shared tokens that are not cached. Prefilling a shared part
# again soon delays other requests as well as its own, and the users price it
# at about its full worth.
SHARED_MISS_WEIGHT = 3
# Cost that is added for all engines except the one that the first part of a
# prompt is assigned to, so that requests go to one engine before any has
# cached the part.
UNASSIGNED_ENGINE_PENALTY_MS = 30
# Age after which a cached part counts as evicted: several times the seconds
# within which the users price a repeated prefill.
CACHE_RETENTION_MS = 40_000
MAX_CACHED_PARTS = 4096
# First parts of prompts whose assigned engine is remembered.
MAX_ASSIGNED_PARTS = 4096
# Time in which an engine generates a token (from the load sheets of both
# users).
OUTPUT_TOKEN_MS = 8
# Least number of uncached tokens of a prompt that the speed of its engine is
# learned from. The time of a shorter one is mostly that of the start.
MIN_LEARNED_TOKENS = 1000
# Longest wait of such a prompt for the one before it, relative to the time of
# its own prefill. After a longer queue the error of the wait is too large.
MAX_WAIT_RATIO = 1
NEVER_MS = -math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that other requests may share."""

    part_id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """The prompt of a request, and how many tokens it asks for."""

    model: str
    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    output_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementQuery:
    """Input of a placement, besides the state of the engines."""

    prompt: Prompt
    engines: Sequence[RosterRow]
    # Bytes of inputs, by failure domain of the target that holds them.
    inputs_bytes: Mapping[str, float] = dataclasses.field(default_factory=dict)
    excluded: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """The chosen engine, with its expected cost and cached tokens."""

    engine: RosterRow
    cost_ms: float
    cached_tokens: int


@dataclasses.dataclass(slots=True)
class _EngineRequest:
    engine: RosterRow
    pending_prefill_tokens: int
    held_tokens: int
    output_tokens: int
    sent_at_ms: float
    # Whether it had to wait for a slot.
    queued: bool
    prefilling: bool = True


@dataclasses.dataclass(slots=True)
class _EngineState:
    cached: collections.OrderedDict[str, float]
    pending_prefill_tokens: int = 0
    held_tokens: int = 0
    output_tokens: int = 0
    # Time of the latest first event of an answer.
    last_first_ms: float = NEVER_MS
    running: int = 0
    avoid_until_ms: float = 0

    def slot_wait_ms(self, slots: int) -> float:
        """Returns the time until a further request gets a slot, in ms.

        Args:
            slots: Requests that the engine runs at once; 0 if unknown.
        """
        if not 0 < slots <= self.running:
            return 0
        run_ms = self.output_tokens / self.running * OUTPUT_TOKEN_MS
        return (self.running - slots + 1) * run_ms / slots


@dataclasses.dataclass(frozen=True, slots=True)
class _QueryCosts:
    """The parts of the cost of a query that are the same for many engines."""

    prompt: Prompt
    shared_tokens: int
    # Engine that the first part of the prompt is assigned to.
    assigned_id: str | None
    # Cost of fetching the inputs, by failure domain of the engine.
    transfers_ms: Mapping[str, float]
    now_ms: float


class EnginePlacer:
    """Chooses engines from a record of the requests sent to them.

    Designed for bursts of prompts that share long parts: each part is
    prefilled by few engines, and by a second one only when waiting for the
    first would take longer.
    """

    def __init__(self, speeds: FleetSpeeds | None = None) -> None:
        """Creates a placer without engines.

        Args:
            speeds: Learns and knows the speeds of the engines.
        """
        # Requests that an engine runs at once, by service, as far as that is
        # declared; otherwise its announcement counts.
        self.slots: Mapping[str, int] = {}
        self._speeds = speeds or FleetSpeeds()
        self._engines: dict[str, _EngineState] = {}
        self._requests: dict[str, _EngineRequest] = {}
        # Engine among those of the last query, by prompt part.
        self._assigned: dict[str, str | None] = {}
        self._assigned_among: Sequence[str] = ()

    def place(self, query: PlacementQuery, now_ms: float) -> Placement | None:
        """Returns the engine with the lowest cost, or None without engines.

        Engines that failed recently are used only if there are no others.

        Args:
            query: What is to be placed.
            now_ms: Monotonic time.
        """
        eligible = [
            row for row in query.engines if row.target_id not in query.excluded
        ]
        healthy = [
            row
            for row in eligible
            if self._engine(row).avoid_until_ms <= now_ms
        ]
        candidates = healthy or eligible
        if not candidates:
            return None
        costs = self._query_costs(query, candidates, now_ms)
        cached = [self._cached_tokens(row, costs) for row in candidates]
        costs_ms = [
            self._cost_ms(row, tokens, costs)
            for row, tokens in zip(candidates, cached, strict=True)
        ]
        best = costs_ms.index(min(costs_ms))
        return Placement(candidates[best], costs_ms[best], cached[best])

    def note_sent(
        self,
        request_id: str,
        prompt: Prompt,
        placement: Placement,
        now_ms: float,
    ) -> None:
        """Records that a request was sent to an engine.

        Args:
            request_id: Id of the request.
            prompt: Its prompt.
            placement: The engine that it was sent to.
            now_ms: Monotonic time.
        """
        self.note_ended(request_id)
        uncached_tokens = max(prompt.prompt_tokens - placement.cached_tokens, 0)
        held = prompt.prompt_tokens + prompt.output_tokens
        engine = self._engine(placement.engine)
        self._requests[request_id] = _EngineRequest(
            placement.engine,
            uncached_tokens,
            held,
            prompt.output_tokens,
            now_ms,
            0 < self._slots_of(placement.engine) <= engine.running,
        )
        engine.pending_prefill_tokens += uncached_tokens
        engine.held_tokens += held
        engine.output_tokens += prompt.output_tokens
        engine.running += 1
        for part in prompt.parts:
            self.note_cached(placement.engine, part.part_id, now_ms)

    def is_sent(self, request_id: str) -> bool:
        """Returns whether a request is at an engine, as far as is known."""
        return request_id in self._requests

    def note_started(
        self,
        request_id: str,
        start: EngineStart | None = None,
        prefill_ms: float | None = None,
        now_ms: float = 0,
    ) -> None:
        """Records that the engine of a request has started its answer.

        Args:
            request_id: Id of the request.
            start: What its entry saw, if it said so.
            prefill_ms: Time that the engine took for the prompt; None if it is
                not known.
            now_ms: Monotonic time.
        """
        request = self._requests.get(request_id)
        if request is None:
            return
        if start is not None and start.engine_id == request.engine.target_id:
            self._speeds.note_stated(
                request.engine, start.slowdown_ratio, now_ms
            )
        if not request.prefilling:
            return
        request.prefilling = False
        target_id = request.engine.target_id
        engine = self._engines[target_id]
        engine.pending_prefill_tokens -= request.pending_prefill_tokens
        first_ms = now_ms
        if start is not None and start.after_ms is not None:
            first_ms = request.sent_at_ms + start.after_ms
        previous_ms = engine.last_first_ms
        engine.last_first_ms = max(previous_ms, first_ms)
        if (
            prefill_ms is not None
            and start is not None
            and start.engine_id == target_id
            and is_usual(start.slowdown_ratio)
        ):
            # The engine turned to it when it had prefilled the one before.
            wait_ms = max(previous_ms - first_ms + prefill_ms, 0)
            self._learn(request, prefill_ms - wait_ms, wait_ms)

    def note_ended(self, request_id: str) -> None:
        """Records that a request is no longer at its engine."""
        request = self._requests.pop(request_id, None)
        if request is None:
            return
        engine = self._engines[request.engine.target_id]
        engine.running -= 1
        engine.held_tokens -= request.held_tokens
        engine.output_tokens -= request.output_tokens
        if request.prefilling:
            engine.pending_prefill_tokens -= request.pending_prefill_tokens

    def note_failure(self, target_id: str, until_ms: float) -> None:
        """Avoids an engine for a while, and drops the record of its cache.

        Args:
            target_id: The engine.
            until_ms: Monotonic time until which others are preferred.
        """
        engine = self._engines.get(target_id)
        if engine is not None:
            engine.avoid_until_ms = until_ms
            engine.cached.clear()

    def note_cached(
        self,
        row: RosterRow,
        part_id: str,
        now_ms: float,
    ) -> None:
        """Records that an engine has a part of prompts in its cache.

        Args:
            row: The engine.
            part_id: Id of the part.
            now_ms: Monotonic time.
        """
        cached = self._engine(row).cached
        cached[part_id] = now_ms
        cached.move_to_end(part_id)
        if len(cached) > MAX_CACHED_PARTS:
            cached.popitem(last=False)

    def _engine(self, row: RosterRow) -> _EngineState:
        engine = self._engines.get(row.target_id)
        if engine is None:
            engine = _EngineState(collections.OrderedDict())
            self._engines[row.target_id] = engine
        return engine

    def _learn(
        self, request: _EngineRequest, took_ms: float, wait_ms: float
    ) -> None:
        """Learns the speed of an engine from a prompt that hardly waited."""
        tokens = request.pending_prefill_tokens
        waited_long = request.queued or wait_ms > MAX_WAIT_RATIO * took_ms
        if tokens >= MIN_LEARNED_TOKENS and not waited_long:
            self._speeds.of_service(request.engine.service).note_run(
                request.engine.target_id,
                request.engine.incarnation,
                tokens / PREFILL_TOKENS_PER_MS,
                max(took_ms, 1),
            )

    def _slots_of(self, row: RosterRow) -> int:
        return self.slots.get(row.service) or row.slots

    def _query_costs(
        self,
        query: PlacementQuery,
        candidates: Sequence[RosterRow],
        now_ms: float,
    ) -> _QueryCosts:
        parts = query.prompt.parts
        domains = {row.failure_domain for row in candidates}
        return _QueryCosts(
            prompt=query.prompt,
            shared_tokens=sum(part.tokens for part in parts[:-1]),
            assigned_id=self._assigned_engine(query) if parts else None,
            transfers_ms={
                domain: _transfer_cost_ms(query, domain) for domain in domains
            },
            now_ms=now_ms,
        )

    def _assigned_engine(self, query: PlacementQuery) -> str | None:
        """Returns the engine that the first part of a prompt is assigned to.

        It is remembered: hashing the names of 150 engines takes longer than
        the rest of a placement.
        """
        root = query.prompt.parts[0].part_id
        names = [engine.target_id for engine in query.engines]
        is_full = len(self._assigned) >= MAX_ASSIGNED_PARTS
        if is_full or names != self._assigned_among:
            self._assigned.clear()
            self._assigned_among = names
        if root not in self._assigned:
            self._assigned[root] = choose(root, names)
        return self._assigned[root]

    def _cost_ms(
        self, row: RosterRow, cached: int, costs: _QueryCosts
    ) -> float:
        """Returns the cost of sending a prompt to an engine.

        Args:
            row: The engine.
            cached: Tokens of the prompt that it has cached.
            costs: What is the same for many engines.
        """
        engine = self._engine(row)
        missed_shared_tokens = max(costs.shared_tokens - cached, 0)
        uncached_tokens = max(costs.prompt.prompt_tokens - cached, 0)
        tokens = (
            engine.pending_prefill_tokens
            + uncached_tokens
            + SHARED_MISS_WEIGHT * missed_shared_tokens
        )
        prefill_ms = tokens / PREFILL_TOKENS_PER_MS
        speeds = self._speeds.of_service(row.service)
        if speeds.active:
            prefill_ms *= speeds.slowdown(row.target_id, costs.now_ms)
            prefill_ms += engine.slot_wait_ms(self._slots_of(row))
        cost_ms = (
            prefill_ms
            + engine.running * STEP_MS_PER_REQUEST * FIRST_TOKEN_STEPS
            + costs.transfers_ms[row.failure_domain]
        )
        if row.target_id != costs.assigned_id:
            cost_ms += UNASSIGNED_ENGINE_PENALTY_MS
        return cost_ms

    def _cached_tokens(self, row: RosterRow, costs: _QueryCosts) -> int:
        """Returns the tokens of the leading parts that an engine has cached."""
        cached = self._engine(row).cached
        oldest_ms = costs.now_ms - CACHE_RETENTION_MS
        tokens = 0
        for part in costs.prompt.parts:
            if cached.get(part.part_id, NEVER_MS) <= oldest_ms:
                break
            tokens += part.tokens
        return tokens


def _transfer_cost_ms(query: PlacementQuery, failure_domain: str) -> float:
    """Returns the cost of inputs in other failure domains, in ms."""
    remote_bytes = sum(
        size_bytes
        for domain, size_bytes in query.inputs_bytes.items()
        if domain != failure_domain
    )
    return transfer_cost_ms(remote_bytes)
