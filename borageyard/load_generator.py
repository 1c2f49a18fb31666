"""Open-loop load: who asks for what, when and how large it is."""

import dataclasses
import random
import types
from collections.abc import Mapping, Sequence

from .clock import MS_PER_S

PREFIXES_PER_ORGANISATION = 12
PREFIX_TOKENS = 400
MAX_INPUT_TOKENS = 6000
MAX_OUTPUT_TOKENS = 400
SIZE_SPREAD = 0.6


@dataclasses.dataclass(frozen=True, slots=True)
class PipelineLoad:
    """Requests for one pipeline."""

    share: float
    deadline_ms: float
    input_tokens: float = 400
    output_tokens: float = 80


@dataclasses.dataclass(frozen=True, slots=True)
class LoadProfile:
    """What the callers of a deployment ask for."""

    pipelines: Mapping[str, PipelineLoad]
    organisations: Mapping[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request that a caller makes at a time."""

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
    """A time with an even rate of requests."""

    duration_ms: float
    rate_per_s: float


DAWN_RUSH = LoadProfile(
    pipelines=types.MappingProxyType(
        {
            'route-summary': PipelineLoad(0.4, 6000),
            'owner-assistant': PipelineLoad(0.35, 6000),
            'booking': PipelineLoad(0.15, 9000),
            'check-in': PipelineLoad(0.05, 4000),
            'payment': PipelineLoad(0.05, 9000),
        }
    ),
    organisations=types.MappingProxyType(
        {
            'tjarnarhus-kennels': 0.4,
            'reykjavik-walks': 0.25,
            'dispatch': 0.2,
            'akureyri-walks': 0.08,
            'selfoss-walks': 0.07,
        }
    ),
)
LONG_HISTORIES = LoadProfile(
    pipelines=types.MappingProxyType(
        {
            'loan-letter': PipelineLoad(0.35, 9000, 1500, 100),
            'holdings-summary': PipelineLoad(0.3, 9000, 2500, 60),
            'partner-suggestion': PipelineLoad(0.2, 9000, 800, 60),
            'loan-placement': PipelineLoad(0.15, 9000, 500, 40),
        }
    ),
    organisations=types.MappingProxyType(
        {
            'kerala-state': 0.4,
            'kochi-public': 0.22,
            'tvm-university': 0.2,
            'kozhikode-college': 0.1,
            'malabar-schools': 0.08,
        }
    ),
)


class LoadGenerator:
    """Draws arrivals of a profile from a seed."""

    def __init__(self, profile: LoadProfile, seed: int) -> None:
        """Seeds the draws.

        Args:
            profile: What is asked for.
            seed: Seed of the random source.
        """
        self._profile = profile
        self._random = random.Random(seed)

    def arrivals(self, phases: Sequence[RatePhase]) -> list[Arrival]:
        """Returns the arrivals of some phases, one after another.

        Args:
            phases: Rates over time.
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
        """Returns the arrivals of one organisation alone.

        Args:
            phase: Its rate.
            organisation: Its name.
            start_ms: When it begins.
        """
        return [
            dataclasses.replace(arrival, organisation=organisation)
            for arrival in self._draw_phase(phase, start_ms)
        ]

    def _draw_phase(self, phase: RatePhase, start_ms: float) -> list[Arrival]:
        drawn = []
        at_ms = start_ms
        while True:
            at_ms += self._random.expovariate(phase.rate_per_s) * MS_PER_S
            if at_ms >= start_ms + phase.duration_ms:
                return drawn
            drawn.append(self._draw(at_ms))

    def _draw(self, at_ms: float) -> Arrival:
        name = self._pick(
            {
                pipeline: load.share
                for pipeline, load in self._profile.pipelines.items()
            },
        )
        load = self._profile.pipelines[name]
        organisation = self._pick(self._profile.organisations)
        number = self._random.randrange(PREFIXES_PER_ORGANISATION)
        input_tokens = self._size(load.input_tokens, MAX_INPUT_TOKENS)
        return Arrival(
            at_ms=at_ms,
            pipeline=name,
            organisation=organisation,
            deadline_ms=load.deadline_ms,
            input_tokens=input_tokens + PREFIX_TOKENS,
            output_tokens=self._size(load.output_tokens, MAX_OUTPUT_TOKENS),
            cache_prefix=f'{organisation}-{number}',
        )

    def _pick(self, shares: Mapping[str, float]) -> str:
        names = list(shares)
        return self._random.choices(names, list(shares.values()))[0]

    def _size(self, median: float, largest: int) -> int:
        drawn = median * self._random.lognormvariate(0, SIZE_SPREAD)
        return max(1, min(round(drawn), largest))
