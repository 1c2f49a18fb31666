"""Which software versions the shared store is known to list."""

import dataclasses
import math
from collections.abc import Collection, Iterable, Mapping

from .served_versions import HISTORY_MS

# A service and a software version of its targets.
VersionKey = tuple[str, str]

# Time for which a version without a target counts as listed. The scheduler,
# whose view may be some seconds older, keeps it in the list for longer.
KEPT_MS = HISTORY_MS / 2
# Time for which a version is listed on behalf of a peer.
WANTED_MS = 5000


@dataclasses.dataclass(slots=True)
class _Version:
    # Monotonic time at which it appeared.
    since_ms: float
    # Monotonic time until which it has targets, as far as is known.
    present_until_ms: float
    listed: bool = False


class ListedVersions:
    """The versions that an entry knows, and whether the store lists them.

    That a version is listed is a fact about the store, so it may be learned
    from any entry, and stays true until the scheduler removes the version.
    """

    def __init__(self) -> None:
        """Starts without versions."""
        self._versions: dict[VersionKey, _Version] = {}
        self._updated_at_ms: float = 0

    def update(self, present: Iterable[VersionKey], now_ms: float) -> None:
        """Records the versions of the present targets.

        Args:
            present: Their services and versions.
            now_ms: Monotonic time.
        """
        self._updated_at_ms = now_ms
        self._note_present(present, now_ms, now_ms)
        self._versions = {
            key: known
            for key, known in self._versions.items()
            if now_ms <= known.present_until_ms + KEPT_MS
        }

    def want(self, keys: Iterable[VersionKey], now_ms: float) -> None:
        """Has versions listed whose targets this entry may not know yet.

        Args:
            keys: Services and versions.
            now_ms: Monotonic time.
        """
        self._note_present(keys, now_ms, now_ms + WANTED_MS)

    def confirm(self, keys: Iterable[VersionKey]) -> bool:
        """Records that the store lists versions.

        Args:
            keys: Services and versions; those that never appeared here are
                ignored.

        Returns:
            Whether one of them was not known to be listed.
        """
        unlisted = [
            self._versions[key]
            for key in keys
            if key in self._versions and not self._versions[key].listed
        ]
        for known in unlisted:
            known.listed = True
        return bool(unlisted)

    def remove(self, key: VersionKey) -> None:
        """Records that a version was removed from the list."""
        self._versions.pop(key, None)

    def has(self, key: VersionKey) -> bool:
        """Returns whether the store is known to list a version."""
        known = self._versions.get(key)
        return known is not None and known.listed

    def present(self) -> Mapping[str, Collection[str]]:
        """Returns the versions that have targets, by service."""
        return _group(
            key for key, known in self._versions.items() if self._is_due(known)
        )

    def unlisted(
        self, since_ms: float = math.inf
    ) -> Mapping[str, Collection[str]]:
        """Returns versions that are not known to be listed, by service.

        Args:
            since_ms: Monotonic time by which they must have appeared.
        """
        return _group(
            key
            for key, known in self._versions.items()
            if self._is_due(known)
            and not known.listed
            and known.since_ms <= since_ms
        )

    def _is_due(self, known: _Version) -> bool:
        """Returns whether a version has targets, or is listed for a peer."""
        return known.present_until_ms >= self._updated_at_ms

    def _note_present(
        self, keys: Iterable[VersionKey], now_ms: float, until_ms: float
    ) -> None:
        for key in keys:
            known = self._versions.setdefault(key, _Version(now_ms, until_ms))
            known.present_until_ms = max(known.present_until_ms, until_ms)


def _group(keys: Iterable[VersionKey]) -> Mapping[str, Collection[str]]:
    grouped: dict[str, set[str]] = {}
    for service, version in keys:
        grouped.setdefault(service, set()).add(version)
    return grouped
