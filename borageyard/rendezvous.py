"""Rendezvous hashing (Thaler and Ravishankar 1998)."""

import hashlib
from collections.abc import Iterable

HASH_BYTES = 8


def hash_weight(key: str, name: str) -> bytes:
    """Returns the weight of a name for a key.

    Args:
        key: Key to assign.
        name: A name that the key may be assigned to.
    """
    pair = f'{key}\n{name}'
    return hashlib.blake2b(pair.encode(), digest_size=HASH_BYTES).digest()


def choose(key: str, names: Iterable[str]) -> str | None:
    """Returns the name with the highest weight, or none without names.

    Args:
        key: Key to assign.
        names: Names that the key may be assigned to.
    """
    return max(names, key=lambda name: hash_weight(key, name), default=None)
