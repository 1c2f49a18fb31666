"""Folds the configuration stream into configuration and membership."""

import asyncio
import types
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Final

import pydantic

from .backing_services import LogPage, LogRecord
from .configuration import Configuration, parse_configuration
from .configuration_state import (
    CHECKPOINT,
    FoldState,
    decode_state,
    encode_state,
    instance_id_of,
)
from .document_validation import DocumentError, check_document
from .events import Event, log_event
from .generated.log_configuration import (
    AcceptedRecord,
    ApplyRecord,
    CheckpointRecord,
    DecisionRecord,
    JoinRecord,
    LeaveRecord,
)

CONFIGURATION_STREAM = 'configuration'
RECORD = 'record'
WON: Final = 'won'
CONFLICT: Final = 'conflict'
INVALID: Final = 'invalid'


class LogGapError(Exception):
    """Records between those folded and those of a page are missing."""


class ConfigurationFold:
    """Folds records in log order.

    Entries that have folded the same records have the same state.
    """

    def __init__(self) -> None:
        """Creates the state before the first record."""
        self.state = FoldState()
        self.configuration_known = asyncio.Event()
        self.changed = asyncio.Event()
        self.checkpoint_at_ms: float | None = None
        self._record_types: Mapping[
            str,
            tuple[type[pydantic.BaseModel], Callable[[Any, LogRecord], None]],
        ] = types.MappingProxyType(
            {
                'apply': (ApplyRecord, self._fold_apply),
                'join': (JoinRecord, self._fold_join),
                'leave': (LeaveRecord, self._fold_leave),
                'accepted': (AcceptedRecord, self._fold_accepted),
                CHECKPOINT: (CheckpointRecord, self._note_checkpoint),
            },
        )

    def current(self) -> Configuration | None:
        """Returns the configuration decided last, or none before the first."""
        return self.state.current

    @property
    def version(self) -> int:
        """Returns the version decided last; 0 before the first."""
        return self.state.version

    @property
    def permission_bound_ms(self) -> int:
        """Returns the longest permission that any entry may still hold.

        It is the maximum over the versions in the history.
        """
        return max((row.permission_ms for row in self.state.history), default=0)

    def fold_page(self, page: LogPage) -> None:
        """Folds a page of records; skips records that are folded already.

        Args:
            page: Records that continue or overlap those folded so far.

        Raises:
            LogGapError: If records before one of the page are missing.
        """
        for stored in page.records:
            expected = self.state.next_offset
            if stored.offset > expected:
                raise LogGapError(
                    f'records are missing; expected offset {expected} next'
                )
            if stored.offset == expected:
                self._fold_record(stored)
                self.state.next_offset = stored.offset + 1
        if page.records:
            self.notify()

    def recover(self, records: Iterable[LogRecord], start: int) -> bool:
        """Adopts the state of the first checkpoint that leaves no gap.

        A checkpoint leaves no gap if the records that follow its state are
        still in the log.

        Args:
            records: Records that the log still holds.
            start: Offset of the oldest record that the log holds.

        Returns:
            Whether a checkpoint was adopted.
        """
        for stored in records:
            if stored.body.get('type') != CHECKPOINT:
                continue
            if stored.body.get('next_offset', -1) < start:
                continue
            if self.adopt(stored.body):
                return True
        return False

    def adopt(self, checkpoint: object) -> bool:
        """Replaces the state by one from a checkpoint, if that is ahead.

        A malformed checkpoint is logged and ignored.

        Args:
            checkpoint: Body of a checkpoint record.

        Returns:
            Whether the state was replaced.
        """
        try:
            state = decode_state(checkpoint)
        except DocumentError as error:
            log_event(Event.CONFIGURATION_REJECTED, reason=str(error))
            return False
        if state.next_offset <= self.state.next_offset:
            return False
        self.state = state
        log_event(Event.CONFIGURATION_ADOPTED, version=self.version)
        self.notify()
        return True

    def checkpoint(self) -> dict[str, Any]:
        """Returns the state as the body of a checkpoint record."""
        return encode_state(self.state)

    def notify(self) -> None:
        """Wakes all tasks that wait for a change of the state.

        Sets `configuration_known` once there is a configuration.
        """
        if self.state.current is not None:
            self.configuration_known.set()
        self.changed.set()
        self.changed = asyncio.Event()

    def _fold_record(self, stored: LogRecord) -> None:
        record_type = self._record_types.get(str(stored.body.get('type')))
        if record_type is None:
            return
        model, fold_record = record_type
        try:
            record = check_document(model, dict(stored.body), RECORD)
        except DocumentError as error:
            log_event(Event.CONFIGURATION_REJECTED, reason=str(error))
            return
        fold_record(record, stored)

    def _fold_apply(self, record: ApplyRecord, stored: LogRecord) -> None:
        if record.change_id in self.state.decisions:
            return
        decision = DecisionRecord(
            change_id=record.change_id or f'offset-{stored.offset}',
            author=record.author,
            verdict=CONFLICT,
            version=self.version,
            position=stored.offset + 1,
            appended_at_ms=stored.appended_at_ms,
        )
        if record.base_version == self.version:
            decision = self._decide(record, decision)
        self.state.note_decision(decision)

    def _decide(
        self,
        record: ApplyRecord,
        decision: DecisionRecord,
    ) -> DecisionRecord:
        try:
            proposed = parse_configuration(record.document, self.version + 1)
        except DocumentError as error:
            log_event(Event.CONFIGURATION_REJECTED, reason=str(error))
            return decision.model_copy(update={'verdict': INVALID})
        won = decision.model_copy(
            update={
                'verdict': WON,
                'version': proposed.version,
                'digest': proposed.digest,
                'permission_ms': proposed.permission_ms,
                'deadline_ms': proposed.longest_deadline_ms,
            },
        )
        self.state.put_in_force(proposed, record.document, won)
        log_event(
            Event.CONFIGURATION_IN_FORCE,
            version=proposed.version,
            digest=proposed.digest,
            author=record.author,
        )
        return won

    def _fold_join(self, record: JoinRecord, stored: LogRecord) -> None:
        if record.member in self.state.members:
            return
        instance_id = instance_id_of(record.member)
        staying = frozenset(
            member
            for member in self.state.members
            if instance_id_of(member) != instance_id
        )
        members = staying | {record.member}
        self.state.change_members(members, stored.offset + 1)

    def _fold_leave(self, record: LeaveRecord, stored: LogRecord) -> None:
        state = self.state
        if record.member in state.members:
            members = state.members - {record.member}
            state.change_members(members, stored.offset + 1)
        if record.final:
            state.drop_member(record.member)

    def _fold_accepted(self, record: AcceptedRecord, stored: LogRecord) -> None:
        if self.state.floor < record.position <= stored.offset:
            self.state.raise_floor(record.position)

    def _note_checkpoint(
        self,
        record: CheckpointRecord,
        stored: LogRecord,
    ) -> None:
        self.checkpoint_at_ms = stored.appended_at_ms
