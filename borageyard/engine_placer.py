"""Places prompts on model engines by cached parts, load and inputs."""

import collections
import dataclasses
import itertools
import math
from collections.abc import Mapping, Sequence

from .rendezvous import choose
from .roster import RosterRow

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
# Cost of fetching a megabyte of inputs from another failure domain: the users'
# price of such bytes relative to the worth of a second of latency.
INPUT_TRANSFER_COST_MS_PER_MB = 60
BYTES_PER_MB = 1_000_000
# Cost that is added for all engines except the one that the first part of a
# prompt is assigned to, so that requests go to one engine before any has
# cached the part.
UNASSIGNED_ENGINE_PENALTY_MS = 30
# Age after which a cached part counts as evicted: several times the seconds
# within which the users price a repeated prefill.
CACHE_RETENTION_MS = 40_000
MAX_CACHED_PARTS = 4096
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
    target_id: str
    pending_prefill_tokens: int
    held_tokens: int
    prefilling: bool = True


@dataclasses.dataclass(slots=True)
class _EngineState:
    cached: collections.OrderedDict[str, float]
    pending_prefill_tokens: int = 0
    held_tokens: int = 0
    running: int = 0
    avoid_until_ms: float = 0


class EnginePlacer:
    """Chooses engines from a record of the requests sent to them.

    Designed for bursts of prompts that share long parts: each part is
    prefilled by few engines, and by a second one only when waiting for the
    first would take longer.
    """

    def __init__(self) -> None:
        """Creates a placer without engines."""
        self._engines: dict[str, _EngineState] = {}
        self._requests: dict[str, _EngineRequest] = {}

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
        placements = [
            self._estimate(query, row, now_ms) for row in healthy or eligible
        ]
        return min(
            placements,
            key=lambda placement: placement.cost_ms,
            default=None,
        )

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
        request = _EngineRequest(
            placement.engine.target_id, uncached_tokens, held
        )
        self._requests[request_id] = request
        engine = self._engine(placement.engine)
        engine.pending_prefill_tokens += uncached_tokens
        engine.held_tokens += held
        engine.running += 1
        for part in prompt.parts:
            self.note_cached(placement.engine, part.part_id, now_ms)

    def is_sent(self, request_id: str) -> bool:
        """Returns whether a request is at an engine, as far as is known."""
        return request_id in self._requests

    def note_started(self, request_id: str) -> None:
        """Records that the engine of a request has started its answer."""
        request = self._requests.get(request_id)
        if request is None or not request.prefilling:
            return
        request.prefilling = False
        self._engines[
            request.target_id
        ].pending_prefill_tokens -= request.pending_prefill_tokens

    def note_ended(self, request_id: str) -> None:
        """Records that a request is no longer at its engine."""
        request = self._requests.pop(request_id, None)
        if request is None:
            return
        engine = self._engines[request.target_id]
        engine.running -= 1
        engine.held_tokens -= request.held_tokens
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
        return self._engines.setdefault(
            row.target_id,
            _EngineState(collections.OrderedDict()),
        )

    def _estimate(
        self,
        query: PlacementQuery,
        row: RosterRow,
        now_ms: float,
    ) -> Placement:
        engine = self._engine(row)
        prompt = query.prompt
        cached = self._cached_tokens(engine, prompt, now_ms)
        shared_tokens = sum(part.tokens for part in prompt.parts[:-1])
        missed_shared_tokens = max(shared_tokens - cached, 0)
        uncached_tokens = max(prompt.prompt_tokens - cached, 0)
        tokens = (
            engine.pending_prefill_tokens
            + uncached_tokens
            + SHARED_MISS_WEIGHT * missed_shared_tokens
        )
        cost_ms = (
            tokens / PREFILL_TOKENS_PER_MS
            + engine.running * STEP_MS_PER_REQUEST * FIRST_TOKEN_STEPS
            + _transfer_cost_ms(query, row)
        )
        if not _is_assigned_engine(query, row):
            cost_ms += UNASSIGNED_ENGINE_PENALTY_MS
        return Placement(row, cost_ms, cached)

    def _cached_tokens(
        self,
        engine: _EngineState,
        prompt: Prompt,
        now_ms: float,
    ) -> int:
        """Returns the tokens of the leading parts that an engine has cached."""
        oldest_ms = now_ms - CACHE_RETENTION_MS
        held = itertools.takewhile(
            lambda part: engine.cached.get(part.part_id, NEVER_MS) > oldest_ms,
            prompt.parts,
        )
        return sum(part.tokens for part in held)


def _transfer_cost_ms(query: PlacementQuery, row: RosterRow) -> float:
    """Returns the cost of inputs in other failure domains, in ms."""
    remote_bytes = sum(
        size_bytes
        for domain, size_bytes in query.inputs_bytes.items()
        if domain != row.failure_domain
    )
    return INPUT_TRANSFER_COST_MS_PER_MB * remote_bytes / BYTES_PER_MB


def _is_assigned_engine(query: PlacementQuery, row: RosterRow) -> bool:
    """Returns whether the first part of a prompt is assigned to an engine."""
    if not query.prompt.parts:
        return False
    root = query.prompt.parts[0].part_id
    names = [engine.target_id for engine in query.engines]
    return choose(root, names) == row.target_id
