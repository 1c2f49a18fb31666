"""Follows the configuration stream and appends an entry's records to it."""

import asyncio
import contextlib
from collections.abc import Callable, Sequence

from .backing_services import (
    ROLE_ENTRY,
    Instance,
    LogService,
    OffsetExpiredError,
    PlatformError,
    Record,
)
from .clock import MS_PER_S, Clock
from .configuration_log import (
    CONFIGURATION_STREAM,
    ConfigurationFold,
    LogGapError,
)
from .configuration_state import instance_id_of
from .events import Event, log_event
from .permission import AcceptanceTracker, PermissionHolder

READ_WAIT_MS = 250
READ_RETRY_MS = 100
APPEND_CHECK_INTERVAL_MS = 50
JOIN_ATTEMPTS = 3
# Time for an append to be read back before the entry appends the same
# record again.
MIN_APPEND_INTERVAL_MS = 1000
# Delay per rank among the members for records that any entry may append, so
# that entries do not all append the same record.
RANK_DELAY_MS = 100
# How long an entry must be missing from the instance list before any member
# may remove it from the membership.
MISSING_TIMEOUT_MS = 5000
# Share of the log retention after which a checkpoint is due, and the extra
# share per rank.
CHECKPOINT_AGE_SHARE = 0.25
CHECKPOINT_RANK_SHARE = 0.01

ListInstances = Callable[[], Sequence[Instance]]


class ConfigurationReader:
    """Reads the configuration stream; a read to the head grants permission."""

    def __init__(
        self,
        fold: ConfigurationFold,
        log: LogService,
        permission: PermissionHolder,
        tracker: AcceptanceTracker,
        clock: Clock,
    ) -> None:
        """Creates the reader.

        Args:
            fold: State into which records are folded.
            log: Log that has the configuration stream.
            permission: Notified of reads that reached the head.
            tracker: Notified of new positions.
            clock: Source of monotonic time.
        """
        self.fold = fold
        self._log = log
        self._permission = permission
        self._tracker = tracker
        self._clock = clock

    async def catch_up(self, wait_ms: float = 0) -> None:
        """Reads and folds the next page of records.

        If the next record has expired, it recovers from a checkpoint.

        Args:
            wait_ms: How long the log waits for a record if there is none.

        Raises:
            PlatformError: If the log does not answer, or records are missing
                and no checkpoint covers them.
        """
        sent_at_ms = self._clock.steady_ms()
        offset = self.fold.state.next_offset
        try:
            page = await self._log.read(CONFIGURATION_STREAM, offset, wait_ms)
        except OffsetExpiredError as error:
            await self._recover(error)
            return
        try:
            self.fold.fold_page(page)
        except LogGapError as error:
            raise PlatformError(str(error)) from error
        self._permission.note_head(sent_at_ms, page.head)
        self._tracker.note_fold()

    async def follow(self) -> None:
        """Reads until cancelled; retries after errors of the log."""
        while True:
            try:
                await self.catch_up(READ_WAIT_MS)
            except PlatformError as error:
                log_event(Event.PLATFORM_FAILED, reason=str(error))
                await asyncio.sleep(READ_RETRY_MS / MS_PER_S)

    async def _recover(self, expired: OffsetExpiredError) -> None:
        """Adopts a checkpoint that leaves no gap to the retained records."""
        offset = expired.start
        while offset < expired.head:
            page = await self._log.read(CONFIGURATION_STREAM, offset)
            if self.fold.recover(page.records, expired.start):
                self._tracker.note_fold()
                return
            if not page.records:
                break
            offset = page.records[-1].offset + 1
        log_event(Event.CONFIGURATION_GAP, start=expired.start)
        raise PlatformError(
            f'no checkpoint reaches the oldest retained offset {expired.start}'
        )


class ConfigurationWriter:
    """Appends joins, and what any member may append.

    These are leaves of missing members, accepted positions and checkpoints.
    """

    def __init__(
        self,
        reader: ConfigurationReader,
        tracker: AcceptanceTracker,
        permission: PermissionHolder,
        log: LogService,
        clock: Clock,
        retention_ms: float,
    ) -> None:
        """Creates the writer.

        Args:
            reader: Reads appended records back.
            tracker: Tracks the accepted position.
            permission: Holds this entry's member name.
            log: Log to which records are appended.
            clock: Source of monotonic and wall time.
            retention_ms: Milliseconds for which the log retains a record.
        """
        self._reader = reader
        self._fold = reader.fold
        self._tracker = tracker
        self._permission = permission
        self._log = log
        self._clock = clock
        self._retention_ms = retention_ms
        self._started_at_ms = clock.wall_ms()
        self._appended_at_ms: dict[str, float] = {}
        self._first_seen_at_ms: dict[str, float] = {}

    async def join(self) -> None:
        """Joins the membership; stops without an error if the log fails."""
        with contextlib.suppress(PlatformError):
            await self._reader.catch_up()
            for _ in range(JOIN_ATTEMPTS):
                if self._permission.is_member:
                    return
                await self._append_join()
                await self._reader.catch_up()

    async def leave(self) -> None:
        """Leaves the membership for good; ignores a failed append."""
        record = {
            'type': 'leave',
            'member': self._permission.member,
            'final': True,
        }
        with contextlib.suppress(PlatformError):
            await self._log.append(CONFIGURATION_STREAM, record)

    async def run(self, list_instances: ListInstances) -> None:
        """Appends the records that are due, until cancelled.

        Args:
            list_instances: Returns the instance list as last read.
        """
        while True:
            await asyncio.sleep(APPEND_CHECK_INTERVAL_MS / MS_PER_S)
            for record in self._due_records(list_instances()):
                with contextlib.suppress(PlatformError):
                    await self._log.append(CONFIGURATION_STREAM, record)

    def _due_records(self, rows: Sequence[Instance]) -> list[Record]:
        """Returns the records that this entry has to append now."""
        due: list[Record] = []
        member = self._permission.member
        if not self._permission.is_member and not self._permission.closed:
            due.append({'type': 'join', 'member': member})
        if self._permission.is_member:
            due.extend(self._due_shared_records(rows))
        return [record for record in due if self._may_append(record)]

    def _due_shared_records(self, rows: Sequence[Instance]) -> list[Record]:
        """Returns the due records that any member may append."""
        now_ms = self._clock.steady_ms()
        due: list[Record] = []
        accepted = self._tracker.accepted
        if accepted > self._fold.state.floor and self._is_my_turn(
            _accepted_key(accepted),
            now_ms,
        ):
            due.append({'type': 'accepted', 'position': accepted})
        for member in self._departed_members(rows, now_ms):
            log_event(Event.MEMBER_LEFT, member=member)
            due.append({'type': 'leave', 'member': member})
        if self._needs_checkpoint():
            due.append(self._fold.checkpoint())
        return due

    def _is_my_turn(self, append_key: str, now_ms: float) -> bool:
        """Returns whether members of lower rank had time to append."""
        since_ms = self._first_seen_at_ms.setdefault(append_key, now_ms)
        return now_ms >= since_ms + self._rank() * RANK_DELAY_MS

    def _rank(self) -> int:
        members = sorted(self._fold.state.members)
        return members.index(self._permission.member)

    def _departed_members(
        self, rows: Sequence[Instance], now_ms: float
    ) -> list[str]:
        """Returns the members missing from the instance list for long enough.

        A list without entries removes nobody.
        """
        listed_ids = {row.instance_id for row in rows if row.role == ROLE_ENTRY}
        missing = {
            member
            for member in self._fold.state.members
            if listed_ids and instance_id_of(member) not in listed_ids
        }
        missing.discard(self._permission.member)
        current = missing | {_accepted_key(self._tracker.accepted)}
        for append_key in self._first_seen_at_ms.keys() - current:
            self._first_seen_at_ms.pop(append_key)
        wait_ms = MISSING_TIMEOUT_MS + self._rank() * RANK_DELAY_MS
        return [
            member
            for member in sorted(missing)
            if now_ms
            >= self._first_seen_at_ms.setdefault(member, now_ms) + wait_ms
        ]

    def _needs_checkpoint(self) -> bool:
        latest_ms = self._fold.checkpoint_at_ms or self._started_at_ms
        share = CHECKPOINT_AGE_SHARE + self._rank() * CHECKPOINT_RANK_SHARE
        age_ms = self._clock.wall_ms() - latest_ms
        return age_ms >= self._retention_ms * share

    def _may_append(self, record: Record) -> bool:
        """Returns whether a record of this type and member may be appended.

        It may if there was none, or the last one had time to be read back.
        The append is then recorded with the current time.
        """
        now_ms = self._clock.steady_ms()
        append_key = f'{record["type"]}-{record.get("member", "")}'
        earlier_ms = self._appended_at_ms.get(append_key)
        if (
            earlier_ms is not None
            and now_ms < earlier_ms + MIN_APPEND_INTERVAL_MS
        ):
            return False
        self._appended_at_ms[append_key] = now_ms
        return True

    async def _append_join(self) -> None:
        record = {'type': 'join', 'member': self._permission.member}
        await self._log.append(CONFIGURATION_STREAM, record)


def _accepted_key(position: int) -> str:
    return f'accepted-{position}'
