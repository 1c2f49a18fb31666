"""Choice of the entries that are named to a caller."""

import dataclasses
import itertools
import random
from collections.abc import Iterable, Mapping, Sequence

from .entry_capacity import is_below, stated_cores

MAX_ADDRESSES = 64
# Entries that are named at least, if there are as many: a caller must find
# another one while the first one is lost.
MIN_ADDRESSES = 3
# Factor on the share of an entry that is overloaded. It is not 0, because its
# news may be late and all may be overloaded.
OVERLOADED_FACTOR = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class ListedEntry:
    """An entry that may be named to callers."""

    address: str
    failure_domain: str = ''
    # Computing power; None if not stated.
    processor_cores: float | None = None
    overloaded: bool = False


class EntryDirectory:
    """Names entries in proportion to their computing power.

    Entries that differ by less than a factor of two are all named. Otherwise an
    answer names some of them, drawn without replacement by systematic sampling
    (Madow 1949): the probability that an entry is named is proportional to its
    power, unless it is so large that it is named always. The draw follows the
    order of the failure domains, so each has its share of each answer.

    Load pattern: callers that pick one of the named entries at random, where
    most entries have a fifth of the processor time of the others.
    """

    def __init__(self, seed: str) -> None:
        """Creates a directory.

        Args:
            seed: Seed of the random numbers.
        """
        self._random = random.Random(seed)

    def choose(
        self, entries: Sequence[ListedEntry], failure_domain: str
    ) -> Sequence[str]:
        """Returns the addresses to name.

        Args:
            entries: The entries that are ready.
            failure_domain: That of the caller, whose entries come first; empty
                if unknown.
        """
        if _are_equal(entries) and len(entries) <= MAX_ADDRESSES:
            return sorted(entry.address for entry in entries)
        weights = _weights(entries)
        ordered = self._shuffle(entries, failure_domain)
        count = _count(ordered, weights)
        chosen = self._draw(ordered, _probabilities(ordered, weights, count))
        chosen |= self._draw_missing_domains(ordered, chosen, weights)
        named = [entry.address for entry in ordered if entry in chosen]
        return named[:MAX_ADDRESSES]

    def _shuffle(
        self, entries: Sequence[ListedEntry], failure_domain: str
    ) -> Sequence[ListedEntry]:
        """Returns the entries by domain, that of the caller first."""
        shuffled = self._random.sample(entries, len(entries))
        domains = sorted(_domains(entries))
        self._random.shuffle(domains)
        places = {name: place for place, name in enumerate(domains)}
        places[failure_domain] = -1
        return sorted(shuffled, key=lambda entry: places[entry.failure_domain])

    def _draw(
        self,
        entries: Sequence[ListedEntry],
        probabilities: Sequence[float],
    ) -> set[ListedEntry]:
        """Draws each entry with its probability."""
        offset = self._random.random()
        ends = list(itertools.accumulate(probabilities, initial=offset))
        return {
            entry
            for entry, (start, end) in zip(
                entries, itertools.pairwise(ends), strict=True
            )
            if int(start) < int(end)
        }

    def _draw_missing_domains(
        self,
        entries: Sequence[ListedEntry],
        chosen: set[ListedEntry],
        weights: Mapping[str, float],
    ) -> set[ListedEntry]:
        """Draws an entry of each domain of which none is chosen."""
        named = {entry.failure_domain for entry in chosen}
        missing = _domains(entries) - named
        drawn: set[ListedEntry] = set()
        for domain in sorted(missing):
            found = [
                entry for entry in entries if entry.failure_domain == domain
            ]
            powers = [weights[entry.address] for entry in found]
            drawn.update(self._random.choices(found, powers))
        return drawn


def _domains(entries: Iterable[ListedEntry]) -> set[str]:
    return {entry.failure_domain for entry in entries}


def _are_equal(entries: Sequence[ListedEntry]) -> bool:
    """Returns whether no entry is small beside another one."""
    stated = [
        entry.processor_cores
        for entry in entries
        if stated_cores(entry.processor_cores)
    ]
    largest = max(filter(None, stated), default=0)
    return not any(is_below(cores, largest) for cores in stated)


def _weights(entries: Sequence[ListedEntry]) -> dict[str, float]:
    """Returns the share of each entry, relative to the largest one.

    An entry that has stated nothing counts as large.
    """
    stated = [stated_cores(entry.processor_cores) for entry in entries]
    largest = max(filter(None, stated), default=1)
    weights: dict[str, float] = {}
    for entry, cores in zip(entries, stated, strict=True):
        factor = OVERLOADED_FACTOR if entry.overloaded else 1
        weights[entry.address] = factor * (cores or largest) / largest
    return weights


def _count(entries: Sequence[ListedEntry], weights: Mapping[str, float]) -> int:
    """Returns how many entries are drawn.

    So few that the largest one need not be named more than once, and that one
    of each other failure domain may be added.
    """
    total = sum(weights.values()) / max(weights.values())
    room = MAX_ADDRESSES + 1 - len(_domains(entries))
    count = max(min(int(total), room), MIN_ADDRESSES)
    return min(count, len(entries))


def _probabilities(
    entries: Sequence[ListedEntry], weights: Mapping[str, float], count: int
) -> Sequence[float]:
    """Returns the probabilities of the entries, whose sum is the count.

    What entries with a probability of 1 can't take is shared by the others.
    """
    certain: set[str] = set()
    while True:
        rest = {
            address: weight
            for address, weight in weights.items()
            if address not in certain
        }
        factor = (count - len(certain)) / (sum(rest.values()) or 1)
        above = {
            address for address, weight in rest.items() if weight * factor >= 1
        }
        if not above:
            break
        certain |= above
    return [
        1 if entry.address in certain else weights[entry.address] * factor
        for entry in entries
    ]
