"""Draws the requests of a deployment under a load pattern."""

import dataclasses
import random
from collections.abc import Iterator, Sequence

from ..chains import ChainOrder, ChainStage
from ..clock import MS_PER_S
from ..engine_placer import Prompt, PromptPart
from .load_patterns import LoadPattern
from .load_sheets import KindLoad, SheetLoad, StageLoad

# Worth of a request by its size, against the mean of its kind.
OUTPUT_WEIGHT = 10
BASE_WORTH = 0.3
MOST_WORTH = 4
# Requests of a kind come in groups of this many on average.
GROUP = 3
GROUP_SPAN_MS = 100


@dataclasses.dataclass(slots=True)
class LoadRequest:
    """A request and what its callers see of it."""

    kind: KindLoad
    order: ChainOrder
    worth: float
    sent_at_ms: float
    tries: int = 1
    # Time of targets that was spent on it.
    work_ms: float = 0
    scheduler: int = 0


class LoadRequests:
    """Draws arrivals and requests from one seeded source."""

    def __init__(
        self,
        sheet: SheetLoad,
        pattern: LoadPattern,
        source: random.Random,
    ) -> None:
        """Draws the parts that prompts share.

        Args:
            sheet: The deployment.
            pattern: What happens.
            source: Seeded random source.
        """
        self._sheet = sheet
        self._pattern = pattern
        self._random = source
        self._count = 0
        self._parts = {
            kind.name: self._draw_parts(kind) for kind in sheet.kinds
        }

    def arrivals(self) -> Iterator[tuple[float, KindLoad]]:
        """Yields the time in ms and the kind of each request."""
        for kind in self._sheet.kinds:
            at_s: float = 0
            while at_s < self._pattern.length_s:
                rate = kind.per_s * self._pattern.factor(kind.name, at_s)
                at_s += self._random.expovariate(rate / GROUP)
                for _ in range(self._draw_group()):
                    spread_ms = self._random.random() * GROUP_SPAN_MS
                    yield at_s * MS_PER_S + spread_ms, kind

    def draw(self, kind: KindLoad, now_ms: float) -> LoadRequest:
        """Returns a request.

        Args:
            kind: Its kind.
            now_ms: Virtual time.
        """
        self._count += 1
        order = self._draw_order(kind, now_ms)
        return LoadRequest(kind, order, _worth_of(kind, order.prompt), now_ms)

    def _draw_group(self) -> int:
        """Returns the size of a group: geometric with the given mean."""
        size = 1
        while self._random.random() > 1 / GROUP:
            size += 1
        return size

    def _draw_parts(self, kind: KindLoad) -> Sequence[Sequence[PromptPart]]:
        return [
            [
                PromptPart(
                    '/'.join((kind.name, str(depth), str(number))),
                    round(spread.draw(self._random)),
                )
                for number in range(count)
            ]
            for depth, (spread, count) in enumerate(kind.shared)
        ]

    def _draw_order(self, kind: KindLoad, now_ms: float) -> ChainOrder:
        chain_id = f'{kind.name}-{self._count}'
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
        return ChainOrder(
            chain_id=chain_id,
            piece_key='key',
            stages=tuple(
                self._draw_stage(kind, number, stage)
                for number, stage in enumerate(kind.stages)
            ),
            engine_service='engine',
            prompt=prompt,
            priority=kind.priority,
            soft_deadline_at_ms=now_ms + kind.aim_ms,
            deadline_at_ms=now_ms + kind.deadline_ms,
            received_at_ms=now_ms,
        )

    def _draw_stage(
        self,
        kind: KindLoad,
        number: int,
        stage: StageLoad,
    ) -> ChainStage:
        pieces = 0
        if self._random.random() < stage.share:
            pieces = max(round(stage.pieces.draw(self._random)), 1)
        return ChainStage(
            stage.service,
            pieces,
            stage.after,
            stage.result_bytes,
            f'{kind.name}/{number}',
        )


def _worth_of(kind: KindLoad, prompt: Prompt) -> float:
    size = prompt.prompt_tokens + OUTPUT_WEIGHT * prompt.output_tokens
    shared = sum(spread.mean for spread, _ in kind.shared)
    mean = kind.prompt.mean + shared + OUTPUT_WEIGHT * kind.output.mean
    factor = BASE_WORTH + (1 - BASE_WORTH) * size / mean
    return kind.worth * min(factor, MOST_WORTH)
