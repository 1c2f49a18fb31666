"""Differences between two configuration documents."""

import dataclasses
from collections.abc import Iterator, Mapping
from typing import Any

from .document_validation import abbreviate_json

ROOT = '$'
ABSENT = 'absent'


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """A JSON path where two documents differ; a missing value is empty."""

    path: str
    theirs: str
    ours: str

    def __str__(self) -> str:
        """Returns the difference as one line of text."""
        theirs = self.theirs or ABSENT
        ours = self.ours or ABSENT
        return f'{self.path}: {theirs} -> {ours}'


def differences(theirs: Any, ours: Any, path: str = ROOT) -> list[Difference]:
    """Compares two decoded documents.

    Args:
        theirs: The document in force.
        ours: The proposed document.
        path: JSON path of both documents, a prefix of the paths returned.

    Returns:
        The innermost differences, sorted by member name at each level.
    """
    return list(_compare(theirs, ours, path))


def _compare(theirs: Any, ours: Any, path: str) -> Iterator[Difference]:
    if isinstance(theirs, Mapping) and isinstance(ours, Mapping):
        for name in sorted(theirs.keys() | ours.keys()):
            yield from _compare_member(theirs, ours, path, name)
    elif theirs != ours:
        yield Difference(path, abbreviate_json(theirs), abbreviate_json(ours))


def _compare_member(
    theirs: Mapping[str, Any],
    ours: Mapping[str, Any],
    path: str,
    name: str,
) -> Iterator[Difference]:
    place = f'{path}.{name}'
    if name not in theirs:
        yield Difference(place, '', abbreviate_json(ours[name]))
    elif name not in ours:
        yield Difference(place, abbreviate_json(theirs[name]), '')
    else:
        yield from _compare(theirs[name], ours[name], place)
