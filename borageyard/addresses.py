"""Addresses of entries for callers."""

import dataclasses
import random
from collections.abc import Iterable, Sequence

MAX_ADDRESSES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class EntryAddress:
    """An entry that callers may use."""

    instance_id: str
    address: str
    failure_domain: str
    running: int = 0


def order_entries(
    entries: Iterable[EntryAddress],
    failure_domain: str,
    rng: random.Random,
) -> Sequence[EntryAddress]:
    """Orders entries for a caller.

    Entries of the caller's failure domain come first. Within a group the
    order is drawn at random, entries with less running work being drawn
    earlier in proportion.

    Args:
        entries: Entries that are alive and not leaving.
        failure_domain: Where the caller is; empty if unknown.
        source: Seeded source of the draw.

    Returns:
        At most a fixed number of entries.
    """
    drawn = [(_random_key(entry, rng), entry) for entry in entries]
    ordered = sorted(
        drawn,
        key=lambda pair: (
            pair[1].failure_domain != failure_domain,
            pair[0],
        ),
    )
    return [entry for _, entry in ordered][:MAX_ADDRESSES]


def _random_key(entry: EntryAddress, rng: random.Random) -> float:
    """Draws an exponential time whose rate falls with the load."""
    return rng.expovariate(1 / (1 + entry.running))
