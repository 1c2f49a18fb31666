"""Applies configuration changes and reports their progress."""

import asyncio
import contextlib
import dataclasses
import enum
from collections.abc import Callable

from .backing_services import AppendRefusedError, LogService, PlatformError
from .clock import MS_PER_S
from .configuration_diff import Difference, differences
from .configuration_log import (
    CONFIGURATION_STREAM,
    INVALID,
    WON,
    ConfigurationFold,
)
from .generated.http_configuration import ProposalBody
from .generated.log_configuration import DecisionRecord
from .permission import AcceptanceTracker, PermissionHolder
from .permission_probes import PermissionProber

# Wait for a record to be read back after an append without confirmation.
READ_BACK_TIMEOUT_MS = 3000


class ChangeOutcome(enum.Enum):
    """Outcome of a change.

    A decided change is the current version in log order. It is accepted once
    no entry admits work under an earlier version.
    """

    ACCEPTED = 'accepted'
    DECIDED = 'decided'
    CONFLICT = 'conflict'
    INVALID = 'invalid'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


class EntryState(enum.Enum):
    """Progress of a decided change at one entry.

    A lapsed entry has not confirmed the change, but its serving permission
    for earlier versions has expired.
    """

    IN_FORCE = 'in_force'
    WAITING = 'waiting'
    LAPSED = 'lapsed'


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeReport:
    """Current knowledge of a change, for the operator."""

    change_id: str
    outcome: ChangeOutcome
    version: int = 0
    author: str = ''
    message: str = ''
    differences: tuple[Difference, ...] = ()
    entries: tuple[tuple[str, EntryState], ...] = ()


class ConfigurationChanges:
    """Appends changes to the log and tracks them until acceptance."""

    def __init__(
        self,
        fold: ConfigurationFold,
        permission: PermissionHolder,
        tracker: AcceptanceTracker,
        prober: PermissionProber,
        log: LogService,
    ) -> None:
        """Creates the service.

        Args:
            fold: Folded configuration stream; holds the decisions.
            permission: Holds the positions reported by peers.
            tracker: Knows which positions are accepted.
            prober: Requests the positions of peers.
            log: Log to which changes are appended.
        """
        self._fold = fold
        self._permission = permission
        self._tracker = tracker
        self._prober = prober
        self._log = log

    async def apply(self, proposal: ProposalBody) -> ChangeReport:
        """Appends a change and waits until it is accepted or rejected.

        The wait is limited to the proposal's ``wait_ms``. After an append
        that was not confirmed, it first waits for the record to be read back.

        Args:
            proposal: A validated proposal with a change id.

        Returns:
            The state of the change at the end of the wait. If it is unknown,
            `progress` can be called with the change id later.
        """
        record = proposal.model_dump(exclude={'wait_ms'})
        change_id = proposal.change_id
        try:
            await self._log.append(
                CONFIGURATION_STREAM,
                {'type': 'apply', **record},
            )
        except AppendRefusedError as error:
            return ChangeReport(
                change_id,
                ChangeOutcome.REFUSED,
                message=f'the log did not take the change: {error}',
            )
        except PlatformError:
            await self._wait_until(
                lambda: change_id in self._fold.state.decisions,
                READ_BACK_TIMEOUT_MS,
            )
        await self._wait_until(
            lambda: self._has_ended(change_id),
            proposal.wait_ms,
        )
        return self.report(change_id, proposal)

    async def forget(self, member: str) -> None:
        """Removes an entry from all memberships at an operator's request.

        Args:
            member: An entry that is certain not to run any more.

        Raises:
            PlatformError: If the log did not confirm the append.
        """
        record = {'type': 'leave', 'member': member, 'final': True}
        await self._log.append(CONFIGURATION_STREAM, record)

    async def progress(self, change_id: str) -> ChangeReport:
        """Requests the positions of all peers and reports on a change.

        Args:
            change_id: Id of the change. Peers are only probed if the change
                has been decided.

        Returns:
            The state of the change, with the progress of each entry.
        """
        if change_id in self._fold.state.decisions:
            await self._prober.probe_all()
        return self.report(change_id)

    def report(
        self,
        change_id: str,
        proposal: ProposalBody | None = None,
    ) -> ChangeReport:
        """Reports on a change from local knowledge.

        Args:
            change_id: Id of the change.
            proposal: The proposal, if the report of a conflict shall list its
                differences from the document in force.

        Returns:
            The state of the change.
        """
        state = self._fold.state
        decision = state.decisions.get(change_id)
        if decision is None:
            return ChangeReport(
                change_id,
                ChangeOutcome.UNKNOWN,
                message='look again with this id',
            )
        if decision.verdict == WON:
            return self._report_won(decision)
        found: list[Difference] = []
        if proposal is not None:
            found = differences(state.document or {}, proposal.document)
        invalid = decision.verdict == INVALID
        return ChangeReport(
            change_id,
            ChangeOutcome.INVALID if invalid else ChangeOutcome.CONFLICT,
            version=state.version,
            author=state.history[-1].author if state.history else '',
            differences=tuple(found),
        )

    def is_accepted(self, position: int) -> bool:
        """Returns whether no entry admits work below a position any more."""
        return position <= self._tracker.accepted

    def _report_won(self, decision: DecisionRecord) -> ChangeReport:
        accepted = self.is_accepted(decision.position)
        missing = EntryState.LAPSED if accepted else EntryState.WAITING
        reached_by_member = self._permission.reached_by_member(
            decision.position
        )
        return ChangeReport(
            decision.change_id,
            ChangeOutcome.ACCEPTED if accepted else ChangeOutcome.DECIDED,
            version=decision.version,
            author=decision.author,
            entries=tuple(
                (member, EntryState.IN_FORCE if has_reached else missing)
                for member, has_reached in reached_by_member.items()
            ),
        )

    def _has_ended(self, change_id: str) -> bool:
        decision = self._fold.state.decisions.get(change_id)
        if decision is None:
            return False
        return decision.verdict != WON or self.is_accepted(decision.position)

    async def _wait_until(
        self,
        is_met: Callable[[], bool],
        timeout_ms: float,
    ) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                while not is_met():
                    await self._fold.changed.wait()
