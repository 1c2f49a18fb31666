"""What an entry believes of the deployment: configuration and targets."""

from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

from .document_validation import DocumentError
from .events import Event, log_event
from .plans import FleetView
from .roster import RosterChange, RosterRow, TargetRoster
from .serving_configuration import ServingConfiguration, group_services
from .shared_table import Table, TablePage, TableRecord
from .table_mirror import TableMirror


class RecordDecoder(Protocol):
    """Turns records of the shared store into the product's types."""

    def configuration(self, content: bytes) -> ServingConfiguration:
        """Decodes what the operator declared.

        Raises:
            DocumentError: If it is malformed.
        """

    def target(self, target_id: str, content: bytes) -> RosterRow:
        """Decodes what a target announced.

        Raises:
            DocumentError: If it names no target.
        """


class FleetState:
    """Configuration and targets, folded from tables by offset.

    Records may come from the store or from a peer; the newest offset wins,
    so nothing ever goes back.
    """

    def __init__(self, decoder: RecordDecoder) -> None:
        """Starts without a configuration and without targets.

        Args:
            decoder: Decodes records.
        """
        self.configuration: ServingConfiguration | None = None
        self.groups: Mapping[str, str] = {}
        self.roster = TargetRoster()
        self.mirrors = {table: TableMirror() for table in Table}
        self._decoder = decoder
        self._hold_until_ms: float | None = None
        self._held: dict[str, TableRecord] = {}
        self._listeners: list[Callable[[Table], None]] = []

    def add_listener(self, listener: Callable[[Table], None]) -> None:
        """Names whom to tell after a table changed."""
        self._listeners.append(listener)

    def apply(
        self,
        table: Table,
        page: TablePage,
        *,
        from_peer: bool = False,
    ) -> None:
        """Takes in records of the history of a table.

        Args:
            table: Which table.
            page: Its records.
            from_peer: Whether a peer read them, whose store is at hand.
        """
        fresh = self.mirrors[table].apply(page)
        if table is Table.TARGETS and not from_peer:
            fresh = self._hold(fresh)
        self._fold(table, fresh)

    def replace(self, table: Table, page: TablePage) -> None:
        """Takes in a snapshot of a table."""
        fresh = self.mirrors[table].replace(page)
        if table is Table.TARGETS:
            fresh = self._hold(fresh)
        self._fold(table, fresh)

    def hold_removals(self, until_ms: float) -> None:
        """Keeps targets whose records are removed, for a time.

        Records lapse while the store is away, whether their targets live or
        not; those that live announce themselves again after its return.

        Args:
            until_ms: Steady time at which a missing target counts as gone.
        """
        self._hold_until_ms = until_ms

    def settle_removals(self, now_ms: float) -> None:
        """Lets targets go that did not announce themselves again.

        Args:
            now_ms: Steady time.
        """
        if self._hold_until_ms is None or now_ms < self._hold_until_ms:
            return
        self._hold_until_ms = None
        held = tuple(self._held.values())
        self._held.clear()
        self._fold(Table.TARGETS, held)

    def view(self) -> FleetView:
        """Returns the targets that take new work, by what they are for."""
        configuration = self.configuration
        if configuration is None:
            return FleetView({}, {})
        services = configuration.services.values()
        return FleetView(
            engines={
                service.name: self.roster.ready(service.name)
                for service in services
                if service.engine is not None
            },
            batching={
                service.name: (service.batch, self.roster.ready(service.name))
                for service in services
                if service.batch is not None
            },
        )

    def _hold(self, fresh: Sequence[TableRecord]) -> Sequence[TableRecord]:
        """Sets removals aside while they may only be lapses."""
        for record in fresh:
            self._held.pop(record.key, None)
            if record.content is None and self._hold_until_ms is not None:
                self._held[record.key] = record
        return [kept for kept in fresh if kept.key not in self._held]

    def _fold(self, table: Table, fresh: Sequence[TableRecord]) -> None:
        if not fresh:
            return
        if table is Table.CONFIGURATION:
            self._take_configuration(fresh[-1])
        elif table is Table.TARGETS:
            self._take_targets(fresh)
        for listener in self._listeners:
            listener(table)

    def _take_configuration(self, record: TableRecord) -> None:
        if record.content is None:
            return
        try:
            configuration = self._decoder.configuration(record.content)
        except DocumentError as error:
            log_event(Event.CONFIGURATION_REJECTED, reason=str(error))
            return
        self.configuration = configuration
        self.groups = group_services(configuration.routes)
        log_event(
            Event.SERVING_CHANGED,
            version=configuration.version,
            offset=record.offset,
            routes=len(configuration.routes),
        )

    def _take_targets(self, fresh: Sequence[TableRecord]) -> None:
        changes = [
            RosterChange(record.offset, record.key, self._decode(record))
            for record in fresh
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
        except DocumentError as error:
            log_event(
                Event.TARGET_RECORD_INVALID,
                target_id=record.key,
                reason=str(error),
            )
        return None
