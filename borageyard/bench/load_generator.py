"""Open-loop load generator.

Draws the time, pipeline, organisation and size of each request.
"""

import dataclasses
import random
from collections.abc import Mapping, Sequence

from ..clock import MS_PER_S
from ..generated.load_profile import LoadProfileDocument

PREFIXES_PER_ORGANISATION = 12
PREFIX_TOKENS = 400
MAX_INPUT_TOKENS = 6000
MAX_OUTPUT_TOKENS = 400
SIZE_SPREAD = 0.6


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request and the time at which a caller sends it."""

    at_ms: float
    pipeline: str
    organisation: str
    deadline_ms: float
    input_tokens: int
    output_tokens: int
    cache_prefix: str
    text: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class RatePhase:
    """A period with a constant mean rate of requests."""

    duration_ms: float
    rate_per_s: float


class LoadGenerator:
    """Draws the arrivals of a load profile from a seeded random source."""

    def __init__(self, profile: LoadProfileDocument, seed: int) -> None:
        """Seeds the random source.

        Args:
            profile: Shares, sizes and deadlines of the requests.
            seed: Seed of the random source.
        """
        self._profile = profile
        self._random = random.Random(seed)

    def arrivals(self, phases: Sequence[RatePhase]) -> list[Arrival]:
        """Returns the arrivals of consecutive phases, in order of time.

        Args:
            phases: The phases; the first one begins at 0 ms.
        """
        drawn = []
        start_ms: float = 0
        for phase in phases:
            drawn.extend(self._draw_phase(phase, start_ms))
            start_ms += phase.duration_ms
        return drawn

    def flood(
        self,
        phase: RatePhase,
        organisation: str,
        start_ms: float,
    ) -> list[Arrival]:
        """Returns arrivals that all come from one organisation.

        Args:
            phase: Rate and duration of the flood.
            organisation: Name of the organisation.
            start_ms: Start of the flood.
        """
        return [
            dataclasses.replace(arrival, organisation=organisation)
            for arrival in self._draw_phase(phase, start_ms)
        ]

    def _draw_phase(self, phase: RatePhase, start_ms: float) -> list[Arrival]:
        drawn: list[Arrival] = []
        at_ms = start_ms
        while True:
            at_ms += self._random.expovariate(phase.rate_per_s) * MS_PER_S
            if at_ms >= start_ms + phase.duration_ms:
                return drawn
            drawn.append(self._draw_arrival(at_ms))

    def _draw_arrival(self, at_ms: float) -> Arrival:
        name = self._pick(
            {
                pipeline: load.share
                for pipeline, load in self._profile.pipelines.items()
            },
        )
        load = self._profile.pipelines[name]
        organisation = self._pick(self._profile.organisations)
        number = self._random.randrange(PREFIXES_PER_ORGANISATION)
        input_tokens = self._draw_size(load.input_tokens, MAX_INPUT_TOKENS)
        return Arrival(
            at_ms=at_ms,
            pipeline=name,
            organisation=organisation,
            deadline_ms=load.deadline_ms,
            input_tokens=input_tokens + PREFIX_TOKENS,
            output_tokens=self._draw_size(
                load.output_tokens,
                MAX_OUTPUT_TOKENS,
            ),
            cache_prefix=f'{organisation}-{number}',
        )

    def _pick(self, shares: Mapping[str, float]) -> str:
        names = list(shares)
        return self._random.choices(names, list(shares.values()))[0]

    def _draw_size(self, median: float, largest: int) -> int:
        drawn = median * self._random.lognormvariate(0, SIZE_SPREAD)
        return max(1, min(round(drawn), largest))
