"""Applies changes of the configuration and tells how far they are."""

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

# How long a lost append is looked for.
READ_BACK_TIMEOUT_MS = 3000


class ChangeOutcome(enum.Enum):
    """How far a change is."""

    ACCEPTED = 'accepted'
    DECIDED = 'decided'
    CONFLICT = 'conflict'
    INVALID = 'invalid'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


class EntryState(enum.Enum):
    """How far a change is at one entry."""

    IN_FORCE = 'in_force'
    WAITING = 'waiting'
    LAPSED = 'lapsed'


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeReport:
    """What is known of a change."""

    change_id: str
    outcome: ChangeOutcome
    version: int = 0
    author: str = ''
    message: str = ''
    differences: tuple[Difference, ...] = ()
    entries: tuple[tuple[str, EntryState], ...] = ()


class ConfigurationChanges:
    """Applies changes through the log and follows them to acceptance."""

    def __init__(
        self,
        fold: ConfigurationFold,
        permission: PermissionHolder,
        tracker: AcceptanceTracker,
        prober: PermissionProber,
        log: LogService,
    ) -> None:
        """Wraps what an entry knows.

        Args:
            fold: Tells what was decided.
            permission: Tells what peers have said.
            tracker: Tells what is accepted.
            prober: Asks peers.
            log: Where changes go.
        """
        self._fold = fold
        self._permission = permission
        self._tracker = tracker
        self._prober = prober
        self._log = log

    async def apply(self, proposal: ProposalBody) -> ChangeReport:
        """Applies a change and waits for its end.

        Args:
            proposal: A checked proposal with a change id.

        Returns:
            How it ended. An unknown change can be asked for by its id.
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
        """Takes an entry out of all known sets on an operator's word.

        Args:
            member: An entry that certainly does not run any more.

        Raises:
            PlatformError: If the log is not known to have the record.
        """
        record = {'type': 'leave', 'member': member, 'final': True}
        await self._log.append(CONFIGURATION_STREAM, record)

    async def progress(self, change_id: str) -> ChangeReport:
        """Asks all entries how far a change is.

        Args:
            change_id: Id of the change.
        """
        if change_id in self._fold.state.decisions:
            await self._prober.probe_all()
        return self.report(change_id)

    def report(
        self,
        change_id: str,
        proposal: ProposalBody | None = None,
    ) -> ChangeReport:
        """Tells what is known of a change now.

        Args:
            change_id: Id of the change.
            proposal: What was proposed, for the differences of a conflict.
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
        """Tells whether no entry admits work before a position."""
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
