"""Order of the entry addresses that callers are given."""

import dataclasses
import random
from collections.abc import Iterable, Sequence

MAX_ADDRESSES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class EntryAddress:
    """Address and load of an entry that callers may use."""

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
    order is random, weighted so that entries with fewer running requests
    tend to come earlier in proportion.

    Args:
        entries: Entries that are alive and not leaving.
        failure_domain: Failure domain of the caller; empty if unknown.
        rng: Seeded random number generator.

    Returns:
        At most MAX_ADDRESSES entries.
    """
    keyed = [(_random_key(entry, rng), entry) for entry in entries]
    ordered = sorted(
        keyed,
        key=lambda pair: (
            pair[1].failure_domain != failure_domain,
            pair[0],
        ),
    )
    return [entry for _, entry in ordered][:MAX_ADDRESSES]


def _random_key(entry: EntryAddress, rng: random.Random) -> float:
    """Returns an exponential sample whose rate falls with the load."""
    return rng.expovariate(1 / (1 + entry.running))
