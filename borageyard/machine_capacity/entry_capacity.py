"""Computing power of entries, and which of them are small."""

import math
from collections.abc import Collection, Iterable, Mapping, Sequence

# An entry is small if its computing power is below this share of that of the
# largest entry. Machines of one type differ by less than a factor of two.
SMALL_SHARE = 0.5


def stated_cores(processor_cores: float | None) -> float | None:
    """Returns a stated computing power; None if it can't be used.

    Args:
        processor_cores: Cores of the reference machine, as a peer or the
            settings state them.
    """
    if processor_cores is None or not 0 < processor_cores < math.inf:
        return None
    return processor_cores


def is_below(processor_cores: float | None, largest: float) -> bool:
    """Returns whether an entry is small beside another one.

    An entry that has stated nothing is not.

    Args:
        processor_cores: Computing power of the entry; None if not stated.
        largest: Computing power of the other one; 0 if not stated.
    """
    if processor_cores is None:
        return False
    return processor_cores < SMALL_SHARE * largest


class EntryCapacity:
    """Computing power of one entry and of the others that it knows."""

    def __init__(self, processor_cores: float | None = None) -> None:
        """Starts without other entries.

        Args:
            processor_cores: Computing power of this entry; None if the
                settings do not state it.
        """
        self.own_cores = stated_cores(processor_cores)
        # Computing power of the others that have stated it, by id.
        self.others: Mapping[str, float] = {}

    def is_small(self, candidates: Iterable[str]) -> bool:
        """Returns whether this entry is small beside one of the candidates.

        Args:
            candidates: Ids of other entries.
        """
        return is_below(self.own_cores, self.largest(candidates))

    def largest(self, candidates: Iterable[str]) -> float:
        """Returns the largest computing power of the candidates.

        Args:
            candidates: Ids of other entries; those that have stated nothing
                count as 0.
        """
        return max((self.others.get(name, 0) for name in candidates), default=0)

    def larger(self, candidates: Iterable[str]) -> Sequence[str]:
        """Returns the candidates beside which this entry is small.

        Args:
            candidates: Ids of other entries.
        """
        return [name for name in candidates if self.is_small((name,))]

    def rivals(self, candidates: Collection[str]) -> Collection[str]:
        """Returns the candidates that act in one order with this entry.

        Small entries act after the others, in an order of their own. An entry
        that has stated nothing counts as large, and one that does not know its
        own computing power acts in one order with all.

        Args:
            candidates: Ids of other entries.
        """
        own_cores = self.own_cores
        if own_cores is None:
            return candidates
        largest = max(own_cores, self.largest(candidates))
        is_small = is_below(own_cores, largest)
        return [
            name
            for name in candidates
            if is_below(self.others.get(name), largest) is is_small
        ]
