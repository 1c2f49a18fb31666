"""Attributes crashes of engines to keys that the lost requests share."""

import collections
import dataclasses
import math
from collections.abc import Callable, Iterable, Mapping, Sequence

from .answer_progress import AnswerStage
from .request_keys import RequestKeys

# Crashes that one request must explain to be taken for their cause.
CRASHES_OF_REQUEST = 2
# The same for parts of prompts that no sound answer is known of.
CRASHES_OF_PARTS = 3
# The same for other parts, and if several explain the same crashes.
CRASHES_OF_SOUND_PARTS = 5
# Time between crashes from which they count as independent.
APART_MS = 1000
# Different requests that must share the parts.
MIN_REQUESTS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class EngineRun:
    """One incarnation of an engine."""

    target_id: str
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Suspect:
    """A request that was lost when an engine crashed.

    An answer that was being written had its first event shortly before.
    """

    keys: RequestKeys
    stage: AnswerStage


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """End of an engine, as all entries together know it."""

    engine: EngineRun
    # Monotonic time.
    at_ms: float
    # Suspects by the key of their request.
    suspects: Mapping[str, Suspect]

    @property
    def answered(self) -> Sequence[Suspect]:
        """Returns the suspects whose answers had begun."""
        return [
            suspect
            for suspect in self.suspects.values()
            if suspect.stage is not AnswerStage.WAITING
        ]

    @property
    def foremost(self) -> Sequence[Suspect]:
        """Returns the suspects whose answers had begun; all if none had."""
        return self.answered or tuple(self.suspects.values())

    def is_sole(self, keys: frozenset[str]) -> bool:
        """Returns whether all suspects with a head and no event have some keys.

        Args:
            keys: The keys.
        """
        beginning = self.beginning
        return bool(beginning) and all(
            keys <= suspect.keys.all_keys for suspect in beginning
        )

    @property
    def beginning(self) -> Sequence[Suspect]:
        """Returns the suspects with a head and no event."""
        return [
            suspect
            for suspect in self.suspects.values()
            if suspect.stage is AnswerStage.BEGUN
        ]


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """Keys that all requests which explain some crashes have in common."""

    keys: frozenset[str]
    crashes: Sequence[Crash]

    @property
    def last_at_ms(self) -> float:
        """Returns the time of the last crash."""
        return max(crash.at_ms for crash in self.crashes)

    @property
    def rank(self) -> tuple[int, int, Sequence[str]]:
        """Returns the sort key of the best explanation, the greatest one."""
        return len(self.keys), len(self.crashes), sorted(self.keys)

    def rivals(self, other: 'Explanation') -> bool:
        """Returns whether other keys explain just the same crashes.

        Args:
            other: Another explanation.
        """
        return not (self.keys & other.keys) and {
            crash.engine for crash in self.crashes
        } == {crash.engine for crash in other.crashes}


# A crash, and a request that may have caused it with its possible parts.
Blame = tuple[Crash, str, frozenset[str]]
# Returns whether a key had a sound answer that rules it out for a crash.
RuledOut = Callable[[str, Crash], bool]
SuspectsOf = Callable[[Crash], Sequence[Suspect]]


def frequent_parts(crashes: Iterable[Crash]) -> frozenset[str]:
    """Returns the parts that requests of several crashes share.

    Args:
        crashes: Crashes with requests that had a head and no event.
    """
    counts: collections.Counter[str] = collections.Counter()
    for crash in crashes:
        parts = [suspect.keys.part_keys for suspect in crash.beginning]
        counts.update(frozenset.union(*parts))
    return frozenset(part for part, count in counts.items() if count > 1)


def count_apart(crashes: Iterable[Crash]) -> int:
    """Returns the number of crashes, those of about one time as one.

    Args:
        crashes: The crashes.
    """
    count = 0
    last_ms = -math.inf
    for at_ms in sorted(crash.at_ms for crash in crashes):
        if at_ms - last_ms >= APART_MS:
            count += 1
            last_ms = at_ms
    return count


def explain_by_parts(
    crashes: Sequence[Crash],
    suspects_of: SuspectsOf,
    ruled_out: RuledOut,
    min_crashes: int,
) -> Sequence[Explanation]:
    """Returns the parts of prompts that explain most crashes.

    A part that crashes engines is in one request of each crash. The parts that
    all these requests share are taken together, so that requests with only
    some of them are not blamed.

    Args:
        crashes: Crashes without an explanation yet.
        suspects_of: Returns the requests that may have caused a crash.
        ruled_out: Whether a part is known to be sound.
        min_crashes: Number of crashes that an explanation needs.

    Returns:
        The best explanation; several if they explain the same crashes and
        there is no doubt that one of them is right; none if there are too few.
    """
    found = [
        Explanation(
            frozenset.intersection(*(parts for _, _, parts in blames)),
            _distinct(crash for crash, _, _ in blames),
        )
        for blames in _group_by_part(crashes, suspects_of, ruled_out)
        if len({request_key for _, request_key, _ in blames}) >= MIN_REQUESTS
    ]
    explanations = [
        explanation
        for explanation in found
        if len(explanation.crashes) >= min_crashes
    ]
    if not explanations:
        return ()
    best = max(explanations, key=lambda explanation: explanation.rank)
    rivals = [other for other in explanations if other.rivals(best)]
    if rivals and len(best.crashes) < CRASHES_OF_SOUND_PARTS:
        return ()
    return (best, *rivals)


def explain_by_request(
    crashes: Sequence[Crash], suspects_of: SuspectsOf, ruled_out: RuledOut
) -> Sequence[Explanation]:
    """Returns the requests that crashed several engines when sent again.

    Args:
        crashes: Crashes without an explanation yet.
        suspects_of: Returns the requests that may have caused a crash.
        ruled_out: Whether a request is known to be sound.
    """
    by_request: dict[str, list[Crash]] = collections.defaultdict(list)
    for crash in crashes:
        for suspect in suspects_of(crash):
            if not ruled_out(suspect.keys.request_key, crash):
                by_request[suspect.keys.request_key].append(crash)
    return [
        Explanation(frozenset((request_key,)), blamed)
        for request_key, blamed in by_request.items()
        if len(blamed) >= CRASHES_OF_REQUEST
    ]


def _group_by_part(
    crashes: Sequence[Crash], suspects_of: SuspectsOf, ruled_out: RuledOut
) -> Iterable[Sequence[Blame]]:
    """Returns the possible causes of the crashes, grouped by each part."""
    by_part: dict[str, list[Blame]] = collections.defaultdict(list)
    for crash in crashes:
        for suspect in suspects_of(crash):
            parts = frozenset(
                part
                for part in suspect.keys.part_keys
                if not ruled_out(part, crash)
            )
            for part in parts:
                by_part[part].append((crash, suspect.keys.request_key, parts))
    return by_part.values()


def _distinct(crashes: Iterable[Crash]) -> Sequence[Crash]:
    return tuple({crash.engine: crash for crash in crashes}.values())
