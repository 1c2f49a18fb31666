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
    # Monotonic times at which it appeared, and last had a target.
    since_ms: float
    present_at_ms: float = -math.inf
    # Monotonic time until which it is listed on behalf of a peer.
    wanted_until_ms: float = -math.inf
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
        for present_key in present:
            version = self._versions.setdefault(present_key, _Version(now_ms))
            version.present_at_ms = now_ms
        self._versions = {
            key: known
            for key, known in self._versions.items()
            if now_ms <= known.present_at_ms + KEPT_MS or self._is_due(known)
        }

    def want(self, keys: Iterable[VersionKey], now_ms: float) -> None:
        """Has versions listed whose targets this entry may not know yet.

        Args:
            keys: Services and versions.
            now_ms: Monotonic time.
        """
        for key in keys:
            known = self._versions.setdefault(key, _Version(now_ms))
            known.wanted_until_ms = now_ms + WANTED_MS

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

    def due(self) -> Mapping[str, Collection[str]]:
        """Returns, by service, the versions that the store is to list."""
        return _group(
            key for key, known in self._versions.items() if self._is_due(known)
        )

    def unlisted(
        self, since_ms: float = math.inf
    ) -> Mapping[str, Collection[str]]:
        """Returns, by service, those that it is not known to list.

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

    def unlisted_here(self) -> Mapping[str, Collection[str]]:
        """Returns, by service, those of them that have targets.

        Those that only peers know are left out, so that entries do not ask one
        another for them for ever.
        """
        return _group(
            key
            for key, known in self._versions.items()
            if self._is_present(known) and not known.listed
        )

    def _is_due(self, known: _Version) -> bool:
        is_wanted = known.wanted_until_ms >= self._updated_at_ms
        return is_wanted or self._is_present(known)

    def _is_present(self, known: _Version) -> bool:
        return known.present_at_ms >= self._updated_at_ms


def _group(keys: Iterable[VersionKey]) -> Mapping[str, Collection[str]]:
    grouped: dict[str, set[str]] = {}
    for service, version in keys:
        grouped.setdefault(service, set()).add(version)
    return grouped
