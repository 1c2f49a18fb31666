"""Configuration and known entries folded from their stream of the log."""

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
    instance_of,
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
    """Records that do not follow those folded so far."""


class ConfigurationFold:
    """Folds the records in log order; all entries come to the same state."""

    def __init__(self) -> None:
        """Starts before the first record."""
        self.state = FoldState()
        self.known = asyncio.Event()
        self.changed = asyncio.Event()
        self.checkpoint_at_ms: float | None = None
        self._kinds: Mapping[
            str,
            tuple[type[pydantic.BaseModel], Callable[[Any, LogRecord], None]],
        ] = types.MappingProxyType(
            {
                'apply': (ApplyRecord, self._take_apply),
                'join': (JoinRecord, self._take_join),
                'leave': (LeaveRecord, self._take_leave),
                'accepted': (AcceptedRecord, self._take_accepted),
                CHECKPOINT: (CheckpointRecord, self._note_checkpoint),
            },
        )

    def current(self) -> Configuration | None:
        """Returns the configuration decided last."""
        return self.state.current

    @property
    def version(self) -> int:
        """Returns the version decided last; 0 before the first."""
        return self.state.version

    @property
    def permission_bound_ms(self) -> int:
        """Returns the longest permission that any entry may still hold."""
        return max((row.permission_ms for row in self.state.history), default=0)

    def take(self, page: LogPage) -> None:
        """Folds records in; those folded before are passed over.

        Args:
            page: Records that follow those taken so far.

        Raises:
            LogGapError: If records between are missing.
        """
        for stored in page.records:
            expected = self.state.next_offset
            if stored.offset > expected:
                raise LogGapError(f'expected offset {expected}')
            if stored.offset == expected:
                self._take_record(stored)
                self.state.next_offset = stored.offset + 1
        if page.records:
            self.notify()

    def recover(self, records: Iterable[LogRecord], start: int) -> bool:
        """Takes the state of the first checkpoint that leaves no gap.

        Args:
            records: What the log still holds.
            start: Offset of the oldest record kept.

        Returns:
            Whether there was one.
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
        """Takes a state folded elsewhere, if it is ahead of this one.

        Args:
            checkpoint: Body of a checkpoint record.

        Returns:
            Whether the state was taken.
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
        """Wakes whoever waits for a change of what is in force."""
        if self.state.current is not None:
            self.known.set()
        self.changed.set()
        self.changed = asyncio.Event()

    def _take_record(self, stored: LogRecord) -> None:
        kind = self._kinds.get(str(stored.body.get('type')))
        if kind is None:
            return
        model, take = kind
        try:
            record = check_document(model, dict(stored.body), RECORD)
        except DocumentError as error:
            log_event(Event.CONFIGURATION_REJECTED, reason=str(error))
            return
        take(record, stored)

    def _take_apply(self, record: ApplyRecord, stored: LogRecord) -> None:
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

    def _take_join(self, record: JoinRecord, stored: LogRecord) -> None:
        if record.member in self.state.members:
            return
        instance_id = instance_of(record.member)
        staying = frozenset(
            member
            for member in self.state.members
            if instance_of(member) != instance_id
        )
        members = staying | {record.member}
        self.state.change_members(members, stored.offset + 1)

    def _take_leave(self, record: LeaveRecord, stored: LogRecord) -> None:
        state = self.state
        if record.member in state.members:
            members = state.members - {record.member}
            state.change_members(members, stored.offset + 1)
        if record.final:
            state.drop_member(record.member)

    def _take_accepted(self, record: AcceptedRecord, stored: LogRecord) -> None:
        if self.state.floor < record.position <= stored.offset:
            self.state.raise_floor(record.position)

    def _note_checkpoint(
        self,
        record: CheckpointRecord,
        stored: LogRecord,
    ) -> None:
        self.checkpoint_at_ms = stored.appended_at_ms
