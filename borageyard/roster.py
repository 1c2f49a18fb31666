"""Roster of targets, built from their announcements in the shared store."""

import dataclasses
import enum
from collections.abc import (
    Callable,
    Collection,
    Iterable,
    Mapping,
    Sequence,
)

from .shared_table import UNPLACED


class TargetPhase(enum.Enum):
    """Phase of a target: whether it takes new work."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclasses.dataclass(frozen=True, slots=True)
class RosterRow:
    """Announcement of a target."""

    target_id: str
    service: str
    address: str
    failure_domain: str
    phase: TargetPhase
    slots: int = 0
    # Start time of the process in milliseconds since the epoch.
    incarnation: int = 0
    # Sequence number of the announcement within the incarnation.
    announcement_number: int = 0
    # Version of its software, not of its model weights; empty if unknown.
    software_version: str = ''
    # Time for which the target said that it is cold; 0 if it did not.
    cold_left_ms: float = 0

    @property
    def version_key(self) -> tuple[int, int]:
        """Returns the key that orders the announcements of a target."""
        return self.incarnation, self.announcement_number


@dataclasses.dataclass(frozen=True, slots=True)
class RosterChange:
    """Record of the shared store about one target."""

    offset: int
    target_id: str
    # None if the record was removed or contains no target.
    row: RosterRow | None


class AddressHolders:
    """Which of the targets that name an address has it.

    Designed for addresses that are reused, for records of other writers, and
    for clocks that were set back: what a target said itself counts more than
    when it started by its record.
    """

    def __init__(self) -> None:
        """Starts without knowledge of any address."""
        # Usable targets that get no work as another one has their address.
        self.hidden: Sequence[RosterRow] = ()
        # Incarnations that turned out to be gone.
        self._avoided: dict[str, int] = {}
        # Target and incarnation that answered at an address, and the start of
        # the target that seemed to have it.
        self._answering: dict[str, tuple[str, int, int]] = {}
        self._holders: dict[str, RosterRow] = {}

    def avoid(self, row: RosterRow) -> None:
        """Takes an incarnation to be gone for good.

        Args:
            row: Target whose address another one answered.
        """
        self._avoided[row.target_id] = row.incarnation

    def newest_start(self, row: RosterRow) -> int:
        """Returns the start of the target that seems to have an address.

        Args:
            row: Another target that names the address.
        """
        _, newest, _ = self._claim(self._holders.get(row.address, row))
        return newest

    def note_answering(self, row: RosterRow, newest: int) -> None:
        """Gives an address to one of the targets that name it.

        Args:
            row: Target that answered there.
            newest: Start of the target that seemed to have the address when
                it was asked. One that starts later has it again.
        """
        self._answering[row.address] = (row.target_id, row.incarnation, newest)

    def usable(self, rows: Iterable[RosterRow]) -> list[RosterRow]:
        """Returns the targets that take new work at their address.

        Args:
            rows: All targets.
        """
        holders: dict[str, RosterRow] = {}
        ready: list[RosterRow] = []
        for row in rows:
            holder = holders.get(row.address)
            if holder is None or self._claim(holder) <= self._claim(row):
                holders[row.address] = row
            if row.phase is TargetPhase.READY and not self._is_avoided(row):
                ready.append(row)
        self._holders = holders
        self.hidden = [one for one in ready if holders[one.address] is not one]
        return [one for one in ready if holders[one.address] is one]

    def _claim(self, row: RosterRow) -> tuple[bool, int, bool]:
        """Returns what decides between targets that name one address."""
        target_id, incarnation, newest = self._answering.get(
            row.address, ('', 0, 0)
        )
        if (target_id, incarnation) == (row.target_id, row.incarnation):
            return not self._is_avoided(row), newest, True
        return not self._is_avoided(row), row.incarnation, False

    def _is_avoided(self, row: RosterRow) -> bool:
        return self._avoided.get(row.target_id) == row.incarnation


class EvacuatedTargets:
    """Targets that get no new work as their failure domain is evacuated."""

    def __init__(
        self, newest: Mapping[str, RosterRow], on_change: Callable[[], None]
    ) -> None:
        """Starts without evacuated failure domains.

        Args:
            newest: Newest announcements by target, also of those that left.
            on_change: Called after the evacuated domains changed.
        """
        # Services whose usable targets are all evacuated.
        self.services: frozenset[str] = frozenset()
        self._newest = newest
        self._on_change = on_change
        self._domains: frozenset[str] = frozenset()

    def update(self, domains: Collection[str]) -> None:
        """Leaves the targets of some failure domains out of every choice.

        Args:
            domains: All evacuated failure domains.
        """
        self._domains = frozenset(domains)
        self._on_change()

    def has(self, target_id: str) -> bool:
        """Returns whether the failure domain of a target is evacuated.

        Args:
            target_id: Id of the target, which may have left the roster.
        """
        row = self._newest.get(target_id)
        return row is not None and row.failure_domain in self._domains

    def leave_out(self, rows: Sequence[RosterRow]) -> Sequence[RosterRow]:
        """Returns the targets that are not evacuated.

        Args:
            rows: All targets that would take new work.
        """
        left = [row for row in rows if row.failure_domain not in self._domains]
        self.services = frozenset(row.service for row in rows).difference(
            row.service for row in left
        )
        return left


class TargetRoster:
    """The current targets.

    Each record is applied once, in the order of the offsets of an era. An
    announcement that is older than one already seen is ignored, and an
    incarnation that was draining once never takes new work again.
    """

    def __init__(self) -> None:
        """Creates an empty roster."""
        self.offset = 0
        # Number of times that targets were added, removed or changed.
        self.revision = 0
        self._changes: dict[str, RosterChange] = {}
        self._newest: dict[str, RosterRow] = {}
        self._holders = AddressHolders()
        # Incarnations whose departure was heard of, and is not in their record.
        self._unannounced: dict[str, int] = {}
        self._by_service: dict[str, tuple[RosterRow, ...]] = {}
        self.evacuated = EvacuatedTargets(self._newest, self._index)

    def apply(self, changes: Iterable[RosterChange], end: int) -> bool:
        """Applies records of the store.

        Args:
            changes: Records, each about one target.
            end: Offset after the last record that was read.

        Returns:
            Whether a target was added, removed or changed.
        """
        changed = [self._apply_change(change) for change in changes]
        self.offset = max(self.offset, end)
        if any(changed):
            self.revision += 1
            self._index()
        return any(changed)

    def restart(self) -> None:
        """Starts over with the offsets of another era; keeps the targets."""
        self.offset = 0
        self._changes = {
            target_id: dataclasses.replace(change, offset=UNPLACED)
            for target_id, change in self._changes.items()
        }

    def ready(self, service: str) -> Sequence[RosterRow]:
        """Returns the targets of a service that take new work."""
        return self._by_service.get(service, ())

    def find(self, target_id: str) -> RosterRow | None:
        """Returns a target by its id in any phase, or None if unknown."""
        change = self._changes.get(target_id)
        return change.row if change else None

    def rows(self) -> Sequence[RosterRow]:
        """Returns all targets in any phase."""
        return [change.row for change in self._changes.values() if change.row]

    def mark_draining(self, target_id: str, incarnation: int) -> bool:
        """Records that a target drains although its record does not say so.

        Args:
            target_id: Id of the target.
            incarnation: Incarnation that drains; others are left as they are.

        Returns:
            Whether it was taken to be ready.
        """
        change = self._changes.get(target_id)
        row = change.row if change else None
        if change is None or row is None or row.incarnation != incarnation:
            return False
        if row.phase is TargetPhase.DRAINING:
            return False
        draining = dataclasses.replace(row, phase=TargetPhase.DRAINING)
        self._changes[target_id] = dataclasses.replace(change, row=draining)
        self._newest[target_id] = draining
        self._unannounced[target_id] = incarnation
        self.revision += 1
        self._index()
        return True

    def unannounced_departures(self) -> Mapping[str, int]:
        """Returns the incarnations that drain although their record says not.

        Whoever knows the records only takes these targets for ready.
        """
        return dict(self._unannounced)

    def has_drained(self, row: RosterRow) -> bool:
        """Returns whether an incarnation drains, or did before it was gone.

        Args:
            row: Any announcement of the incarnation.
        """
        newest = self._newest.get(row.target_id)
        return (
            newest is not None
            and newest.incarnation == row.incarnation
            and newest.phase is TargetPhase.DRAINING
        )

    def avoid(self, row: RosterRow) -> None:
        """Excludes an incarnation until a new one is announced.

        Args:
            row: Target that turned out to be gone.
        """
        self._holders.avoid(row)
        self._index()

    def newest_start(self, row: RosterRow) -> int:
        """Returns the start of the target that seems to have an address.

        Args:
            row: Another target that names the address.
        """
        return self._holders.newest_start(row)

    def note_answering(self, row: RosterRow, newest: int) -> None:
        """Gives an address to one of the targets that name it.

        Args:
            row: Target that answered there.
            newest: Start of the target that seemed to have the address when
                it was asked.
        """
        self._holders.note_answering(row, newest)
        self._index()

    @property
    def hidden(self) -> Sequence[RosterRow]:
        """Returns usable targets without work, as another has their address."""
        return self._holders.hidden

    @property
    def services(self) -> Mapping[str, Sequence[RosterRow]]:
        """Returns the targets that take new work, by service."""
        return self._by_service

    def _apply_change(self, change: RosterChange) -> bool:
        previous_change = self._changes.get(change.target_id)
        if (
            previous_change is not None
            and UNPLACED not in {change.offset, previous_change.offset}
            and change.offset <= previous_change.offset
        ):
            return False
        previous = previous_change.row if previous_change else None
        self._note_announcement(change)
        row = self._merge_row(change.row, previous)
        self._changes[change.target_id] = dataclasses.replace(change, row=row)
        return _comparable(previous) != _comparable(row)

    def _note_announcement(self, change: RosterChange) -> None:
        row = change.row
        departed = self._unannounced.get(change.target_id)
        if departed is None:
            return
        if (
            row is None
            or row.incarnation > departed
            or row.phase is TargetPhase.DRAINING
        ):
            self._unannounced.pop(change.target_id)

    def _merge_row(
        self,
        row: RosterRow | None,
        previous: RosterRow | None,
    ) -> RosterRow | None:
        if row is None:
            return None
        newest = self._newest.get(row.target_id)
        if newest is not None and row.version_key < newest.version_key:
            return previous
        was_draining = (
            newest is not None
            and newest.phase is TargetPhase.DRAINING
            and newest.incarnation == row.incarnation
        )
        if was_draining:
            row = dataclasses.replace(row, phase=TargetPhase.DRAINING)
        self._newest[row.target_id] = row
        return row

    def _index(self) -> None:
        rows = self._holders.usable(self.rows())
        rows.sort(key=lambda row: row.target_id)
        grouped: dict[str, list[RosterRow]] = {}
        for row in self.evacuated.leave_out(rows):
            grouped.setdefault(row.service, []).append(row)
        self._by_service = {
            service: tuple(members) for service, members in grouped.items()
        }


def _comparable(row: RosterRow | None) -> object:
    if row is None:
        return None
    return dataclasses.replace(row, announcement_number=0, cold_left_ms=0)
