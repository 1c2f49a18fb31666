"""Rendezvous hashing (Thaler and Ravishankar 1998)."""

import hashlib
from collections.abc import Iterable

HASH_BYTES = 8


def hash_weight(key: str, name: str) -> bytes:
    """Returns the weight of a name for a key.

    Args:
        key: What is assigned.
        name: To whom it may be assigned.
    """
    pair = f'{key}\n{name}'
    return hashlib.blake2b(pair.encode(), digest_size=HASH_BYTES).digest()


def choose(key: str, names: Iterable[str]) -> str | None:
    """Returns the name with the highest weight, or none without names.

    Args:
        key: What is assigned.
        names: To whom it may be assigned.
    """
    return max(names, key=lambda name: hash_weight(key, name), default=None)
