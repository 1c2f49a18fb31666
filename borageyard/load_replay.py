"""Replays the users' load on the scheduler with models of the targets."""

import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable, Mapping, Sequence

from .batch_targets import BatchCall
from .chain_scheduler import (
    ChainScheduler,
    Denial,
    FleetView,
    Grant,
)
from .chains import ChainOrder, ChainStage, PieceId, PieceResult
from .engine_board import PREFILL_TOKENS_PER_MS, Prompt, PromptPart
from .load_sheets import KindLoad, SheetLoad
from .roster import RosterRow, TargetPhase
from .serving import BatchLimits

MS_PER_S = 1000
# Time of an engine from the end of reading a prompt to the first token.
FIRST_TOKEN_MS = 64
TOKEN_MS = 8
# Calls take this much more or less than declared, at random.
JITTER = 0.1
# Fraction of the first client attempt's wait after which it does not return.
RETURN_SHARE = 1 / 3
OUTPUT_WEIGHT = 10
BASE_WORTH = 0.3
MOST_WORTH = 4
CLUMP = 3
# Delay of a message between entries, both ways and handling.
MESSAGE_MS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Burst:
    """A time in which more requests of a kind come; of all if none is named."""

    at_s: float
    for_s: float
    factor: float
    kind: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Trouble:
    """A time in which targets of a service are down or slow."""

    at_s: float
    for_s: float
    service: str
    count: int = 1
    # How many times as long calls take; 0 if the targets are down.
    slowness: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class LoadPattern:
    """What happens within a replay."""

    name: str
    length_s: float = 30
    rate: float = 1
    bursts: tuple[Burst, ...] = ()
    troubles: tuple[Trouble, ...] = ()


@dataclasses.dataclass(slots=True)
class KindResult:
    """How the requests of a kind fared."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    owed: float = 0
    earned: float = 0


@dataclasses.dataclass(slots=True)
class ReplayResult:
    """Figures of one replay."""

    kinds: dict[str, KindResult]
    # Seconds of batching targets, and those whose results were not used.
    work_s: float = 0
    wasted_s: float = 0
    remote_gb: float = 0
    no_room: int = 0
    inputs_gone: int = 0
    refusal_wait_ms: float = 0

    @property
    def earned_share(self) -> float:
        """Returns the part of the worth that was earned."""
        owed = sum(kind.owed for kind in self.kinds.values())
        earned = sum(kind.earned for kind in self.kinds.values())
        return earned / owed if owed else 0


@dataclasses.dataclass(slots=True)
class _Ask:
    kind: KindLoad
    order: ChainOrder
    worth: float
    sent_at_ms: float
    tries: int = 1
    entry: int = 0


@dataclasses.dataclass(slots=True)
class _Maker:
    row: RosterRow
    limits: BatchLimits
    held: dict[str, tuple[float, float]] = dataclasses.field(
        default_factory=dict,
    )
    made_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    down_until_ms: float = 0
    slow_until_ms: float = 0
    slowness: float = 1
    busy_until_ms: float = 0

    def free_bytes(self, now_ms: float) -> float:
        """Returns the memory left, once what expired is gone."""
        for handle, (_, expires_at_ms) in tuple(self.held.items()):
            if expires_at_ms <= now_ms:
                self.held.pop(handle)
        used = sum(size_bytes for size_bytes, _ in self.held.values())
        return self.limits.room_bytes - used


@dataclasses.dataclass(slots=True)
class _EngineModel:
    row: RosterRow
    busy_until_ms: float = 0
    cached: dict[str, float] = dataclasses.field(default_factory=dict)


SchedulerFactory = Callable[[], ChainScheduler]


class LoadReplay:
    """One deployment under one load pattern, in virtual time."""

    def __init__(
        self,
        sheet: SheetLoad,
        pattern: LoadPattern,
        seed: int,
        schedulers: Sequence[ChainScheduler],
    ) -> None:
        """Prepares a replay.

        Args:
            sheet: The deployment.
            pattern: What happens.
            seed: Seed of all randomness.
            schedulers: One for all entries, or several that each see a part
                of the requests.
        """
        self._sheet = sheet
        self._pattern = pattern
        self._random = random.Random(seed)
        self._schedulers = schedulers
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = itertools.count()
        self._now_ms: float = 0
        self._asks: dict[str, _Ask] = {}
        self._planned_at_ms: dict[int, float] = {}
        self._parts = self._draw_parts()
        self._makers = self._build_makers()
        self._engines = self._build_engines()
        self.result = ReplayResult(
            {kind.name: KindResult() for kind in sheet.kinds},
        )

    def run(self) -> ReplayResult:
        """Plays the pattern to its end."""
        self._update_fleet()
        self._schedule_arrivals()
        for trouble in self._pattern.troubles:
            self._at(
                trouble.at_s * MS_PER_S,
                lambda trouble=trouble: self._begin_trouble(trouble),
            )
        while self._events:
            self._now_ms, _, act = heapq.heappop(self._events)
            act()
        for maker in self._makers.values():
            unused_ms = sum(maker.made_ms.values())
            self.result.wasted_s += unused_ms / MS_PER_S
        return self.result

    def _at(self, at_ms: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_ms, next(self._count), act))

    def _build_makers(self) -> dict[str, _Maker]:
        makers: dict[str, _Maker] = {}
        for service, (limits, count) in self._sheet.services.items():
            for number in range(count):
                row = self._row(service, number)
                makers[row.target_id] = _Maker(row, limits)
        return makers

    def _build_engines(self) -> dict[str, _EngineModel]:
        rows = [
            self._row('engine', number) for number in range(self._sheet.engines)
        ]
        return {row.target_id: _EngineModel(row) for row in rows}

    def _row(self, service: str, number: int) -> RosterRow:
        domains = self._sheet.domains
        return RosterRow(
            target_id=f'{service}-{number}',
            service=service,
            address=f'{service}-{number}',
            failure_domain=domains[number % len(domains)],
            phase=TargetPhase.READY,
        )

    def _update_fleet(self) -> None:
        batching = {
            service: (
                limits,
                tuple(
                    maker.row
                    for maker in self._makers.values()
                    if maker.row.service == service
                ),
            )
            for service, (limits, _) in self._sheet.services.items()
        }
        engines = tuple(engine.row for engine in self._engines.values())
        view = FleetView({'engine': engines}, batching)
        for scheduler in self._schedulers:
            scheduler.update_fleet(view)

    def _draw_parts(self) -> Mapping[str, Sequence[Sequence[PromptPart]]]:
        return {
            kind.name: [
                [
                    PromptPart(
                        f'{kind.name}/{depth}/{number}',
                        round(spread.draw(self._random)),
                    )
                    for number in range(count)
                ]
                for depth, (spread, count) in enumerate(kind.shared)
            ]
            for kind in self._sheet.kinds
        }

    def _schedule_arrivals(self) -> None:
        for kind in self._sheet.kinds:
            at_s = 0.0
            while True:
                rate = self._rate(kind, at_s) / CLUMP
                at_s += self._random.expovariate(rate)
                if at_s >= self._pattern.length_s:
                    break
                for _ in range(1 + int(self._random.expovariate(1 / (CLUMP - 1)))):
                    self._schedule_one(kind, at_s * MS_PER_S)

    def _schedule_one(self, kind: KindLoad, at_ms: float) -> None:
        jitter_ms = self._random.random() * MS_PER_S / 10
        self._at(at_ms + jitter_ms, lambda: self._arrive(kind))

    def _rate(self, kind: KindLoad, at_s: float) -> float:
        factor = self._pattern.rate
        for burst in self._pattern.bursts:
            inside = burst.at_s <= at_s < burst.at_s + burst.for_s
            if inside and burst.kind in {'', kind.name}:
                factor *= burst.factor
        return kind.per_s * factor

    def _arrive(self, kind: KindLoad) -> None:
        order = self._draw_order(kind)
        size = order.prompt.prompt_tokens
        size += OUTPUT_WEIGHT * order.prompt.output_tokens
        shared = sum(spread.mean for spread, _ in kind.shared)
        mean = kind.prompt.mean + shared + OUTPUT_WEIGHT * kind.output.mean
        factor = min(BASE_WORTH + (1 - BASE_WORTH) * size / mean, MOST_WORTH)
        ask = _Ask(kind, order, kind.worth * factor, self._now_ms)
        ask.entry = self._random.randrange(len(self._schedulers))
        row = self.result.kinds[kind.name]
        row.asked += 1
        row.owed += ask.worth
        self._asks[order.chain_id] = ask
        self._submit(ask)

    def _draw_order(self, kind: KindLoad) -> ChainOrder:
        number = next(self._count)
        chain_id = f'{kind.name}-{number}'
        parts = [
            self._random.choice(options) for options in self._parts[kind.name]
        ]
        own = PromptPart(chain_id, round(kind.prompt.draw(self._random)))
        parts.append(own)
        prompt = Prompt(
            'm',
            tuple(parts),
            sum(part.tokens for part in parts),
            round(kind.output.draw(self._random)),
        )
        stages = tuple(
            ChainStage(
                stage.service,
                self._draw_pieces(stage.share, stage.pieces.draw(self._random)),
                stage.after,
                stage.result_bytes,
                f'{kind.name}/{index}',
            )
            for index, stage in enumerate(kind.stages)
        )
        return ChainOrder(
            chain_id=chain_id,
            piece_key='key',
            stages=stages,
            engine_service='engine',
            prompt=prompt,
            priority=kind.priority,
            aim_at_ms=self._now_ms + kind.aim_ms,
            deadline_at_ms=self._now_ms + kind.deadline_ms,
            received_at_ms=self._now_ms,
        )

    def _draw_pieces(self, share: float, drawn: float) -> int:
        if self._random.random() >= share:
            return 0
        return max(round(drawn), 1)

    def _submit(self, ask: _Ask) -> None:
        scheduler = self._schedulers[ask.entry]
        denial = scheduler.submit(ask.order, self._now_ms)
        if denial is not None:
            self._deny(denial)
        self._pump(ask.entry)

    def _pump(self, entry: int) -> None:
        plan = self._schedulers[entry].plan(self._now_ms)
        for call in plan.calls:
            self._run_call(entry, call)
        for grant in plan.grants:
            self._run_engine(entry, grant)
        for denial in plan.denials:
            self._deny(denial)
        for freed in plan.freed:
            maker = self._makers[freed.target_id]
            maker.held.pop(freed.handle, None)
            self._schedulers[entry].note_freed(
                freed.target_id,
                (freed.handle,),
            )
        if plan.wake_at_ms is not None:
            self._wake(entry, plan.wake_at_ms)

    def _wake(self, entry: int, at_ms: float) -> None:
        planned_ms = self._planned_at_ms.get(entry, 0)
        if self._now_ms < planned_ms <= at_ms:
            return
        at_ms = max(at_ms, self._now_ms + 1)
        self._planned_at_ms[entry] = at_ms
        self._at(at_ms, lambda: self._pump(entry))

    def _deny(self, denial: Denial) -> None:
        ask = self._asks[denial.chain_id]
        row = self.result.kinds[ask.kind.name]
        waited_ms = self._now_ms - ask.sent_at_ms
        self.result.refusal_wait_ms = max(
            self.result.refusal_wait_ms,
            waited_ms,
        )
        left_ms = ask.order.deadline_at_ms - self._now_ms
        back_ms = min(denial.retry_after_ms, left_ms * RETURN_SHARE)
        if ask.tries > 1 or left_ms < FIRST_TOKEN_MS:
            row.refused += 1
            return
        ask.tries += 1
        self._at(self._now_ms + back_ms, lambda: self._submit(ask))

    def _run_call(self, entry: int, call: BatchCall) -> None:
        maker = self._makers[call.target.target_id]
        start_ms = max(self._now_ms, maker.busy_until_ms)
        if maker.down_until_ms > self._now_ms:
            self._at(
                self._now_ms + MESSAGE_MS,
                lambda: self._fail_call(entry, call),
            )
            return
        self._begin_call(entry, call, maker, start_ms)

    def _begin_call(
        self,
        entry: int,
        call: BatchCall,
        maker: _Maker,
        start_ms: float,
    ) -> None:
        room_bytes = maker.free_bytes(self._now_ms)
        made: list[tuple[PieceId, float, float]] = []
        took_ms = maker.limits.call_ms
        for piece, size_bytes in zip(
            call.pieces,
            call.sizes_bytes,
            strict=True,
        ):
            if not self._inputs_exist(entry, piece):
                self.result.inputs_gone += 1
                continue
            if size_bytes > room_bytes:
                self.result.no_room += 1
                continue
            room_bytes -= size_bytes
            work_ms = self._piece_ms(piece, maker)
            took_ms += work_ms
            made.append((piece, size_bytes, work_ms))
        slow = maker.slowness if maker.slow_until_ms > self._now_ms else 1
        took_ms *= slow * self._random.uniform(1 - JITTER, 1 + JITTER)
        end_ms = start_ms + took_ms
        maker.busy_until_ms = end_ms
        self.result.work_s += took_ms / MS_PER_S
        share_ms = took_ms / max(len(made), 1)
        results: dict[PieceId, PieceResult] = {}
        for piece, size_bytes, _ in made:
            handle = f'{maker.row.address}/{next(self._count)}'
            maker.held[handle] = (size_bytes, end_ms + maker.limits.keep_ms)
            maker.made_ms[handle] = share_ms
            results[piece] = PieceResult(
                handle,
                maker.row.target_id,
                maker.row.failure_domain,
                size_bytes,
            )
        self._at(
            end_ms + MESSAGE_MS,
            lambda: self._end_call(entry, call, results),
        )

    def _piece_ms(self, piece: PieceId, maker: _Maker) -> float:
        kind = self._asks[piece.chain_id].kind
        return maker.limits.piece_ms * kind.stages[piece.stage].work

    def _inputs_exist(self, entry: int, piece: PieceId) -> bool:
        chain = self._schedulers[entry].chains.get(piece.chain_id)
        if chain is None:
            return True
        inputs = chain.inputs_of(piece.stage)
        for made in inputs:
            maker = self._makers[made.target_id]
            maker.free_bytes(self._now_ms)
            if made.handle not in maker.held:
                return False
        for made in inputs:
            self._makers[made.target_id].made_ms.pop(made.handle, None)
        return True

    def _end_call(
        self,
        entry: int,
        call: BatchCall,
        results: Mapping[PieceId, PieceResult],
    ) -> None:
        scheduler = self._schedulers[entry]
        maker = self._makers[call.target.target_id]
        if maker.down_until_ms > self._now_ms:
            self._fail_call(entry, call)
            return
        scheduler.note_made(call, results, self._now_ms)
        if len(results) < len(call.pieces):
            scheduler.note_no_room(call.target.target_id, self._now_ms)
        self._pump(entry)

    def _fail_call(self, entry: int, call: BatchCall) -> None:
        scheduler = self._schedulers[entry]
        scheduler.note_call_failed(call, self._now_ms, full=False)
        self._pump(entry)

    def _run_engine(self, entry: int, grant: Grant) -> None:
        ask = self._asks[grant.chain_id]
        engine = self._engines[grant.placement.engine.target_id]
        self._count_remote(entry, grant)
        unread = 0
        cached = True
        for part in ask.order.prompt.parts:
            cached = cached and part.part_id in engine.cached
            if not cached:
                unread += part.tokens
            engine.cached[part.part_id] = self._now_ms
        read_ms = unread / PREFILL_TOKENS_PER_MS
        start_ms = max(self._now_ms + MESSAGE_MS, engine.busy_until_ms)
        engine.busy_until_ms = start_ms + read_ms
        first_ms = start_ms + read_ms + FIRST_TOKEN_MS
        self._at(first_ms, lambda: self._start_stream(entry, ask))

    def _count_remote(self, entry: int, grant: Grant) -> None:
        chain = self._schedulers[entry].chains[grant.chain_id]
        domain = grant.placement.engine.failure_domain
        for made in chain.final_results():
            self._makers[made.target_id].made_ms.pop(made.handle, None)
            if made.failure_domain != domain:
                self.result.remote_gb += made.size_bytes / MS_PER_S**3

    def _start_stream(self, entry: int, ask: _Ask) -> None:
        scheduler = self._schedulers[entry]
        scheduler.note_started(ask.order.chain_id)
        row = self.result.kinds[ask.kind.name]
        kind = ask.kind
        if self._now_ms <= ask.order.aim_at_ms:
            row.in_time += 1
            row.earned += ask.worth
        elif self._now_ms <= ask.order.deadline_at_ms:
            row.late += 1
            row.earned += ask.worth * kind.late_worth / kind.worth
        else:
            row.refused += 1
        stream_ms = ask.order.prompt.output_tokens * TOKEN_MS
        self._at(
            self._now_ms + stream_ms,
            lambda: scheduler.remove(ask.order.chain_id),
        )
        self._pump(entry)

    def _begin_trouble(self, trouble: Trouble) -> None:
        until_ms = self._now_ms + trouble.for_s * MS_PER_S
        struck = [
            maker
            for maker in self._makers.values()
            if maker.row.service == trouble.service
        ][: trouble.count]
        for maker in struck:
            if trouble.slowness:
                maker.slow_until_ms = until_ms
                maker.slowness = trouble.slowness
            else:
                maker.down_until_ms = until_ms
                maker.held.clear()
