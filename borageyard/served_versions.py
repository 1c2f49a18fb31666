"""Which versions of a service the shared store lists, and which to change."""

import dataclasses
from collections.abc import Collection, Iterable, Sequence

from .generated.stored_streams import ServedVersionRecord

# Time for which a version stays listed after its last target was gone; longer
# than any stream.
HISTORY_MS = 120_000
# Stands for versions that a restored store may have forgotten.
FORGOTTEN_VERSION = '?'


@dataclasses.dataclass(slots=True)
class _Listed:
    era: int
    # Monotonic time at which no target of the version was left.
    gone_at_ms: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ListChanges:
    """Records to write and versions to remove."""

    writes: Sequence[ServedVersionRecord]
    removals: Sequence[str]


class ServedVersions:
    """Versions of one service that the store lists.

    Designed for the loss of all entries at once: whoever starts afterwards
    learns from the list which versions may have begun the streams that callers
    take up. A version is listed when its first target appears. It is removed
    by a timer of the scheduler, so no clocks of two machines are compared.
    """

    def __init__(
        self, service: str, records: Iterable[ServedVersionRecord]
    ) -> None:
        """Starts with what the store lists.

        Args:
            service: Name of the service.
            records: Records of the store, also of other services.
        """
        self._service = service
        self._listed = {
            record.software_version: _Listed(record.era)
            for record in records
            if record.service == service
        }
        # Whether the store may have been restored since the records were
        # written, without this entry having seen what served.
        self._may_have_forgotten = bool(self._listed)

    def plan(
        self, present: Collection[str], era: int, now_ms: float
    ) -> ListChanges:
        """Returns what to change in the store.

        Args:
            present: Versions of the present targets.
            era: Present era of the store.
            now_ms: Monotonic time.
        """
        listed = self._listed
        wanted = {*listed, *present}
        if self._may_have_forgotten:
            self._may_have_forgotten = any(
                one.era < era for one in listed.values()
            )
        if self._may_have_forgotten:
            wanted.add(FORGOTTEN_VERSION)
        removals = self._find_removable(present, now_ms)
        writes = [
            ServedVersionRecord(
                service=self._service, software_version=version, era=era
            )
            for version in sorted(wanted.difference(removals), key=_write_order)
            if version not in listed or listed[version].era < era
        ]
        return ListChanges(writes, removals)

    def note_written(self, record: ServedVersionRecord) -> None:
        """Records that the store has confirmed a record."""
        version = record.software_version
        self._listed[version] = _Listed(record.era)
        if version == FORGOTTEN_VERSION:
            self._may_have_forgotten = False

    def note_removed(self, version: str) -> None:
        """Records that the store has confirmed a removal."""
        self._listed.pop(version, None)

    def _find_removable(
        self, present: Collection[str], now_ms: float
    ) -> Sequence[str]:
        removable = []
        for version, one in self._listed.items():
            if version in present:
                one.gone_at_ms = None
                continue
            if one.gone_at_ms is None:
                one.gone_at_ms = now_ms
            if now_ms - one.gone_at_ms >= HISTORY_MS:
                removable.append(version)
        return removable


def _write_order(version: str) -> tuple[bool, str]:
    """Puts the versions that may be forgotten first.

    The others show by their era that the list is not complete until then.
    """
    return version != FORGOTTEN_VERSION, version
