"""Load of the users' deployments, as their sheets state it."""

import dataclasses
import math
import random
import types
from collections.abc import Mapping

from ..serving_configuration import BatchLimits

MS_PER_S = 1000
BYTES_PER_MB = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Spread:
    """A log-normal quantity with a given mean."""

    mean: float
    sigma: float = 0
    most: float = math.inf

    def draw(self, source: random.Random) -> float:
        """Returns one value.

        Args:
            source: Seeded random source.
        """
        if not self.sigma:
            return self.mean
        centre = math.log(self.mean) - self.sigma**2 / 2
        return min(source.lognormvariate(centre, self.sigma), self.most)


@dataclasses.dataclass(frozen=True, slots=True)
class StageLoad:
    """Pieces that requests of a kind need of a service."""

    service: str
    pieces: Spread
    result_bytes: float
    after: tuple[int, ...] = ()
    # Part of the requests that need the stage at all.
    share: float = 1
    # Time of a piece, against the declared one.
    work: float = 1


@dataclasses.dataclass(frozen=True, slots=True)
class KindLoad:
    """Requests of one kind."""

    name: str
    per_s: float
    aim_ms: float
    deadline_ms: float
    worth: float
    late_worth: float
    priority: int
    stages: tuple[StageLoad, ...]
    prompt: Spread
    # Tokens and number of the parts that requests share, outermost first.
    shared: tuple[tuple[Spread, int], ...]
    output: Spread


@dataclasses.dataclass(frozen=True, slots=True)
class SheetLoad:
    """One deployment's kinds, engines and batching targets."""

    name: str
    domains: tuple[str, ...]
    engines: int
    services: Mapping[str, tuple[BatchLimits, int]]
    kinds: tuple[KindLoad, ...]


def _limits(
    size: int,
    piece_ms: float,
    room_mb: float,
) -> BatchLimits:
    return BatchLimits(
        slots=1,
        queue=2,
        size=size,
        call_ms=200,
        piece_ms=piece_ms,
        result_memory_bytes=room_mb * BYTES_PER_MB,
        keep_ms=4 * MS_PER_S,
    )


_BRIEF_PROMPT = Spread(2890, 1, 18300)
_BRIEF_SHARED = ((Spread(2520, 0.4), 4), (Spread(3780, 0.7), 102))
_REPLY_PROMPT = Spread(1800, 1.3, 6870)
_REPLY_SHARED = ((Spread(341, 0.4), 8), (Spread(227, 0.7), 90))
_SHORT_PROMPT = Spread(543, 0.89, 2310)
_SHORT_SHARED = ((Spread(103, 0.4), 8), (Spread(68.6, 0.7), 152))
_LARGE_BYTES = 1_500_000
_MIDDLE_BYTES = 60_000
_SMALL_BYTES = 6000
_HEAD_BYTES = 8000
_NOTES = Spread(10, 0.4, 25)

HUNDAGANGA = SheetLoad(
    name='hundaganga',
    domains=('is-south-a', 'is-south-b', 'is-south-c'),
    engines=6,
    services=types.MappingProxyType(
        {
            'leidir': (_limits(5, 33.6, 11.25), 3),
            'greidsla': (_limits(18, 9.53333, 2.29091), 3),
            'tilkynning': (_limits(30, 5.76, 0.391667), 3),
        },
    ),
    kinds=(
        KindLoad(
            name='round-brief',
            per_s=4.37,
            aim_ms=1600,
            deadline_ms=8000,
            worth=4.1,
            late_worth=0.61,
            priority=1,
            stages=(
                StageLoad(
                    'leidir',
                    Spread(2.5, 0.6, 10),
                    _LARGE_BYTES,
                    share=0.7,
                ),
            ),
            prompt=_BRIEF_PROMPT,
            shared=_BRIEF_SHARED,
            output=Spread(52, 1.4, 208),
        ),
        KindLoad(
            name='owner-reply',
            per_s=5.77,
            aim_ms=2300,
            deadline_ms=6000,
            worth=2.1,
            late_worth=0.32,
            priority=0,
            stages=(
                StageLoad('leidir', Spread(1), _HEAD_BYTES, work=0.3),
                StageLoad('greidsla', Spread(6), _MIDDLE_BYTES, (0,)),
                StageLoad('tilkynning', _NOTES, _SMALL_BYTES, (1,)),
            ),
            prompt=_REPLY_PROMPT,
            shared=_REPLY_SHARED,
            output=Spread(23, 1.4, 90),
        ),
        KindLoad(
            name='walk-narration',
            per_s=6.49,
            aim_ms=2000,
            deadline_ms=20_000,
            worth=0.44,
            late_worth=0.066,
            priority=2,
            stages=(
                StageLoad(
                    'leidir',
                    Spread(1.5, 0.6, 6),
                    _LARGE_BYTES,
                    share=0.4,
                ),
                StageLoad('leidir', Spread(1), _HEAD_BYTES, work=0.3),
                StageLoad('greidsla', Spread(6), _MIDDLE_BYTES, (1,)),
                StageLoad('tilkynning', _NOTES, _SMALL_BYTES, (2,)),
            ),
            prompt=_SHORT_PROMPT,
            shared=_SHORT_SHARED,
            output=Spread(234, 0.7, 552),
        ),
    ),
)

VEMBANAD = SheetLoad(
    name='vembanad',
    domains=('kochi-a', 'kochi-b', 'tvm-a', 'kozhikode-a'),
    engines=5,
    services=types.MappingProxyType(
        {
            'catalogue': (_limits(4, 42, 9), 4),
            'patron-notify': (_limits(5, 33.6, 0.6875), 4),
            'courier-log': (_limits(13, 13.2308, 0.1755), 4),
        },
    ),
    kinds=(
        KindLoad(
            name='holding-digest',
            per_s=2.98,
            aim_ms=2500,
            deadline_ms=10_000,
            worth=4.1,
            late_worth=0.61,
            priority=1,
            stages=(
                StageLoad(
                    'catalogue',
                    Spread(1.5, 0.6, 6),
                    _LARGE_BYTES,
                    share=0.4,
                ),
                StageLoad('catalogue', Spread(1), _HEAD_BYTES, work=0.3),
                StageLoad('patron-notify', Spread(4), _MIDDLE_BYTES, (1,)),
                StageLoad('courier-log', _NOTES, _SMALL_BYTES, (2,)),
            ),
            prompt=_BRIEF_PROMPT,
            shared=((Spread(2520, 0.4), 4), (Spread(3780, 0.7), 70)),
            output=Spread(52, 1.4, 208),
        ),
        KindLoad(
            name='loan-letter',
            per_s=3.94,
            aim_ms=2300,
            deadline_ms=6000,
            worth=2.1,
            late_worth=0.32,
            priority=0,
            stages=(
                StageLoad('catalogue', Spread(1), _HEAD_BYTES, work=0.3),
                StageLoad('patron-notify', Spread(4), _MIDDLE_BYTES, (0,)),
                StageLoad('courier-log', _NOTES, _SMALL_BYTES, (1,)),
            ),
            prompt=_REPLY_PROMPT,
            shared=_REPLY_SHARED,
            output=Spread(23, 1.4, 90),
        ),
        KindLoad(
            name='patron-chat',
            per_s=4.42,
            aim_ms=1100,
            deadline_ms=15_000,
            worth=0.44,
            late_worth=0.066,
            priority=2,
            stages=(
                StageLoad(
                    'catalogue',
                    Spread(2.5, 0.6, 10),
                    _LARGE_BYTES,
                    share=0.7,
                ),
            ),
            prompt=_SHORT_PROMPT,
            shared=_SHORT_SHARED,
            output=Spread(266, 0.7, 630),
        ),
    ),
)

SHEETS: Mapping[str, SheetLoad] = types.MappingProxyType(
    {sheet.name: sheet for sheet in (HUNDAGANGA, VEMBANAD)},
)
