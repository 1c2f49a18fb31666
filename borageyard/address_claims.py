"""Finds out which of several targets has an address."""

import asyncio
import collections
import contextlib
from collections.abc import AsyncIterator

from .backoff import retry_delays
from .clock import MS_PER_S
from .events import Event, log_event
from .fleet_state import FleetState
from .roster import RosterRow
from .shared_table import Table
from .target_probe import OTHER_TARGET, TargetProbe
from .tasks import running_tasks

# Number of times that a target which does not answer is asked.
MAX_QUESTIONS = 5

# A target at an address.
_Claim = tuple[str, int, str]


class AddressClaims:
    """Asks targets whose address is in the record of another one as well.

    Designed for records of other writers and for clocks that were set back: the
    target that started later has the address by its record only, and hides one
    that answers there.
    """

    def __init__(self, state: FleetState, probe: TargetProbe) -> None:
        """Follows the table of targets.

        Args:
            state: Holds the target roster.
            probe: Asks targets for their status.
        """
        self._state = state
        self._probe = probe
        self._changed = asyncio.Event()
        # Number of questions to targets at addresses of others.
        self._questions: collections.Counter[_Claim] = collections.Counter()
        state.add_listener(self._on_table_change)

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Asks targets within the scope."""
        async with running_tasks(self._settle):
            yield

    def _on_table_change(self, table: Table) -> None:
        if table is Table.TARGETS:
            self._changed.set()

    async def _settle(self) -> None:
        delays = retry_delays()
        while True:
            self._changed.clear()
            hidden = self._unsettled()
            if not hidden:
                delays = retry_delays()
                await self._changed.wait()
                continue
            answering = await asyncio.gather(*map(self._is_answering, hidden))
            if any(answering):
                self._state.notify(Table.TARGETS)
            await asyncio.sleep(next(delays) / MS_PER_S)

    def _unsettled(self) -> list[RosterRow]:
        """Returns the hidden targets that are to be asked."""
        roster = self._state.roster
        for gone in self._questions.keys() - set(map(_claim, roster.rows())):
            self._questions.pop(gone)
        return [
            row
            for row in roster.hidden
            if self._questions[_claim(row)] < MAX_QUESTIONS
        ]

    async def _is_answering(self, row: RosterRow) -> bool:
        """Gives a hidden target its address if it answers there."""
        self._questions[_claim(row)] += 1
        # A later target may start there before the answer is read.
        newest = self._state.roster.newest_start(row)
        reason = await self._probe.check_status(row.target_id, row.address)
        if reason == OTHER_TARGET:
            self._questions[_claim(row)] = MAX_QUESTIONS
        if not reason:
            self._state.roster.note_answering(row, newest)
        log_event(
            Event.ADDRESS_CLAIMED,
            target_id=row.target_id,
            address=row.address,
            reason=reason,
        )
        return not reason


def _claim(row: RosterRow) -> _Claim:
    return row.target_id, row.incarnation, row.address
