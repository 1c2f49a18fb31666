"""View of the deployment: configuration and targets, from the store."""

import functools
from collections.abc import Callable, Collection, Mapping, Sequence
from typing import Protocol

from .clock import Clock, SystemClock
from .entry_presences import EntryPresences, decode_presence
from .events import Event, log_event
from .failure_domains.evacuations import (
    Evacuations,
    is_evacuation,
    shorten_evacuations,
)
from .plans import FleetView
from .refused_records import RefusedRecords
from .roster import RosterChange, RosterRow, TargetRoster
from .serving_configuration import ServingConfiguration, schedule_groups
from .shared_table import MIRRORED_TABLES, Table, TablePage, TableRecord
from .table_mirror import TableMirror

# Documents that are kept decoded: the one in force and the next one.
MAX_DECODED = 2


class RecordDecoder(Protocol):
    """Decodes records of the shared store into domain objects."""

    def configuration(self, content: bytes) -> ServingConfiguration:
        """Decodes the configuration that the operator declared.

        Args:
            content: Content of the record.

        Raises:
            DocumentError: If the record is malformed.
        """

    def target(self, target_id: str, content: bytes) -> RosterRow:
        """Decodes the announcement of a target.

        Args:
            target_id: Key of the record.
            content: Content of the record.

        Raises:
            DocumentError: If the record does not describe a target.
        """


class FleetState:
    """Configuration and targets, built from the records of the tables.

    Records may come from the store or from a peer. The record with the newest
    offset of a key wins, or the one with the highest revision if the store was
    restored from a copy, so the view never reverts to an older state.
    """

    def __init__(
        self, decoder: RecordDecoder, clock: Clock | None = None
    ) -> None:
        """Initializes a view without a configuration and without targets.

        Args:
            decoder: Decodes the records of the store.
            clock: Source of monotonic time; by default that of the system.
        """
        self.configuration: ServingConfiguration | None = None
        self.groups: Mapping[str, str] = {}
        self.roster = TargetRoster()
        self.evacuations = Evacuations(clock or SystemClock())
        self.mirrors = {
            table: TableMirror(
                functools.partial(self._revision_of, table),
                is_ordered_by_revision=(
                    _is_configuration if table is Table.CONFIGURATION else None
                ),
                is_ordered_by_offset=(
                    is_evacuation if table is Table.CONFIGURATION else None
                ),
            )
            for table in MIRRORED_TABLES
        }
        # Era of the store that the mirrors follow.
        self.era = 0
        # Returns whether an engine may begin streams: its version is in the
        # list that outlasts the loss of all entries.
        self.is_listed: Callable[[RosterRow], bool] = _is_any
        self.refused = RefusedRecords()
        self.presences = EntryPresences(
            self.mirrors[Table.ENTRIES], self.refused
        )
        self._decoder = decoder
        # Decoding a large document takes long, and a document is looked at
        # several times when it arrives.
        self._decode_configuration = functools.lru_cache(MAX_DECODED)(
            decoder.configuration
        )
        # Targets from before the last restart that the store did not have.
        self._unlisted_targets: Collection[str] = ()
        self._delay_removals_until_ms: float | None = None
        self._delayed_removals: dict[str, TableRecord] = {}
        self._listeners: list[Callable[[Table], None]] = []

    def add_listener(self, listener: Callable[[Table], None]) -> None:
        """Registers a callback that runs after a table changed.

        Args:
            listener: Called with the table that changed.
        """
        self._listeners.append(listener)

    def notify(self, table: Table) -> None:
        """Runs the callbacks after a table changed.

        Args:
            table: Table that changed.
        """
        for listener in self._listeners:
            try:
                listener(table)
            except Exception as error:
                # The others, and the reader of the table, must go on.
                log_event(
                    Event.LISTENER_FAILED, table=table.value, reason=repr(error)
                )

    @property
    def version(self) -> int:
        """Returns the version of the configuration in force, or 0."""
        return self.configuration.version if self.configuration else 0

    @property
    def unlisted_targets(self) -> int:
        """Returns how many known targets a restored store did not have."""
        return len(self._unlisted_targets)

    def restart(self, era: int) -> None:
        """Starts over in another era of the store; keeps what is known.

        Args:
            era: Present era of the store.
        """
        self.era = era
        for mirror in self.mirrors.values():
            mirror.restart(era)
        self.roster.restart()

    def apply(
        self,
        table: Table,
        page: TablePage,
        *,
        from_peer: bool = False,
    ) -> None:
        """Applies records of the history of a table.

        Args:
            table: Table that the records belong to.
            page: Records to apply.
            from_peer: Whether a peer that can reach the store sent them; its
                removals are applied at once.
        """
        if page.era > self.era:
            self.restart(page.era)
        if table is Table.CONFIGURATION:
            page = shorten_evacuations(page)
        new_records = self.mirrors[table].apply(page)
        if table is Table.TARGETS and not from_peer:
            new_records = self._delay_target_removals(new_records)
        self._apply_records(table, new_records)

    def replace(self, table: Table, page: TablePage) -> None:
        """Replaces the contents of a table by a snapshot.

        Args:
            table: Table that the snapshot belongs to.
            page: The newest record of each key.
        """
        if page.era > self.era:
            self.restart(page.era)
        if table is Table.CONFIGURATION:
            page = shorten_evacuations(page)
        mirror = self.mirrors[table]
        new_records = mirror.replace(page)
        if table is Table.TARGETS:
            present_keys = {record.key for record in page.records}
            self._unlisted_targets = [
                key for key in mirror.unplaced_keys() if key not in present_keys
            ]
            new_records = self._delay_target_removals(new_records)
        self._apply_records(table, new_records)

    def delay_removals(self, until_ms: float) -> None:
        """Delays the removal of targets whose records were removed.

        Records expire while the store is unreachable, whether or not their
        targets are alive; live targets announce themselves again once the
        store is back.

        Args:
            until_ms: Monotonic time in milliseconds from which a target without
                a record is removed.
        """
        self._delay_removals_until_ms = until_ms

    def apply_delayed_removals(self, now_ms: float) -> None:
        """Removes the targets that did not announce themselves again.

        Does nothing before the end of the delay.

        Args:
            now_ms: Monotonic time in milliseconds.
        """
        if (
            self._delay_removals_until_ms is None
            or now_ms < self._delay_removals_until_ms
        ):
            return
        self._delay_removals_until_ms = None
        delayed = tuple(self._delayed_removals.values())
        self._delayed_removals.clear()
        unlisted = self.mirrors[Table.TARGETS].drop(self._unlisted_targets)
        self._unlisted_targets = ()
        self._apply_records(Table.TARGETS, (*delayed, *unlisted))

    def view(self) -> FleetView:
        """Returns the targets that accept new work, by kind and service."""
        configuration = self.configuration
        if configuration is None:
            return FleetView({}, {})
        services = configuration.services.values()
        return FleetView(
            engines={
                service.name: self.engines(service.name)
                for service in services
                if service.engine is not None
            },
            batching={
                service.name: (service.batch, self.roster.ready(service.name))
                for service in services
                if service.batch is not None
            },
            engine_slots={
                service.name: service.engine.slots
                for service in services
                if service.engine is not None
            },
            evacuated_services=self.roster.evacuated.services,
        )

    def engines(self, service: str) -> Sequence[RosterRow]:
        """Returns the engines of a service that take new work.

        Args:
            service: Name of the service.
        """
        return [
            row for row in self.roster.ready(service) if self.is_listed(row)
        ]

    def _delay_target_removals(
        self, new_records: Sequence[TableRecord]
    ) -> Sequence[TableRecord]:
        """Delays removals that may be expiries; returns the other records."""
        for record in new_records:
            self._delayed_removals.pop(record.key, None)
            if (
                record.content is None
                and self._delay_removals_until_ms is not None
            ):
                self._delayed_removals[record.key] = record
        return [
            kept
            for kept in new_records
            if kept.key not in self._delayed_removals
        ]

    def _apply_records(
        self, table: Table, new_records: Sequence[TableRecord]
    ) -> None:
        if not new_records:
            return
        if table is Table.CONFIGURATION:
            for document in _documents(new_records)[-1:]:
                self._apply_configuration(document)
            if self.evacuations.apply(
                record for record in new_records if is_evacuation(record.key)
            ):
                self.roster.evacuated.update(self.evacuations.domains)
        elif table is Table.TARGETS:
            self._apply_targets(new_records)
        self.notify(table)

    def _apply_configuration(self, record: TableRecord) -> None:
        if record.content is None:
            return
        with self.refused.skipping(Table.CONFIGURATION, record):
            configuration = self._decode_configuration(record.content)
            if configuration.version < self.version:
                log_event(
                    Event.CONFIGURATION_REJECTED,
                    reason=f'version {configuration.version} is older than '
                    f'{self.version}',
                )
                return
            self.groups = schedule_groups(configuration.routes)
            self.configuration = configuration
            log_event(
                Event.SERVING_CHANGED,
                version=configuration.version,
                offset=record.offset,
                routes=len(configuration.routes),
            )

    def _revision_of(
        self, table: Table, record: TableRecord
    ) -> tuple[int, ...]:
        """Returns the revision that the writer of a record gave it."""
        content = record.content or b''
        with self.refused.skipping(table, record):
            if table is Table.CONFIGURATION:
                return (self._decode_configuration(content).version,)
            if table is Table.TARGETS:
                return self._decoder.target(record.key, content).version_key
            return (decode_presence(record).incarnation,)
        return ()

    def _apply_targets(self, new_records: Sequence[TableRecord]) -> None:
        changes = [
            RosterChange(record.offset, record.key, self._decode(record))
            for record in new_records
        ]
        if self.roster.apply(changes, self.mirrors[Table.TARGETS].end):
            log_event(
                Event.TARGETS_CHANGED,
                offset=self.roster.offset,
                ready={
                    service: len(rows)
                    for service, rows in self.roster.services.items()
                },
            )

    def _decode(self, record: TableRecord) -> RosterRow | None:
        if record.content is None:
            return None
        try:
            return self._decoder.target(record.key, record.content)
        except Exception as error:
            # Whatever it is, the records after this one must be read.
            self.refused.note(Table.TARGETS, record, error)
        return None


def _is_any(row: RosterRow) -> bool:
    return True


def _is_configuration(key: str) -> bool:
    return not is_evacuation(key)


def _documents(records: Sequence[TableRecord]) -> Sequence[TableRecord]:
    return [record for record in records if _is_configuration(record.key)]
