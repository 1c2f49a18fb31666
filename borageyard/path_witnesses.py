"""Tells a crash of a target from a partition of this entry."""

import asyncio
import contextlib
import enum
import functools
from collections.abc import Collection, Iterable, Sequence

from .fleet_state import FleetState
from .rendezvous import hash_weight
from .roster import RosterRow, TargetPhase
from .target_probe import TargetProbe

# Targets that are asked; one that can be reached is enough.
WITNESSES = 3


def choose_witnesses(
    rows: Iterable[RosterRow], key: str, excluded_ids: Collection[str]
) -> Sequence[RosterRow]:
    """Returns targets that this entry should reach if it has a path to any.

    Targets of several services and failure domains come first: what ends all
    targets of one service should not look like a partition.

    Args:
        rows: Announcements of targets.
        key: What the choice depends on, so that it differs between entries.
        excluded_ids: Targets that may be down.
    """
    candidates = [
        row
        for row in rows
        if row.phase is TargetPhase.READY and row.target_id not in excluded_ids
    ]
    candidates.sort(key=lambda row: hash_weight(key, row.target_id))
    chosen: list[RosterRow] = []
    while candidates and len(chosen) < WITNESSES:
        best = min(candidates, key=functools.partial(_likeness, chosen))
        candidates.remove(best)
        chosen.append(best)
    return chosen


def _likeness(chosen: Sequence[RosterRow], row: RosterRow) -> tuple[int, int]:
    """Returns how many of the chosen targets share service and domain."""
    same_service = [one for one in chosen if one.service == row.service]
    domains = [one.failure_domain for one in same_service]
    return len(same_service), domains.count(row.failure_domain)


class RefusalCause(enum.Enum):
    """Why a target refuses the connections of this entry."""

    DOWN = 'down'
    # No target accepts them.
    PARTITIONED = 'partitioned'
    # The target answers a peer.
    PATH_LOST = 'path_lost'


class PathWitnesses:
    """Finds out whether this entry has a path to targets."""

    def __init__(self, state: FleetState, probe: TargetProbe) -> None:
        """Stores the dependencies.

        Args:
            state: Holds the target roster.
            probe: Opens connections to targets.
        """
        self._state = state
        self._probe = probe

    async def find_silent(
        self, key: str, lost_ids: Collection[str]
    ) -> Sequence[str]:
        """Returns the witnesses if none of them can be reached.

        Args:
            key: What the choice of witnesses depends on.
            lost_ids: Targets that may be down.

        Returns:
            Ids of the witnesses; empty if one can be reached, or if there are
            none.
        """
        rows = choose_witnesses(self._state.roster.rows(), key, lost_ids)
        async with contextlib.AsyncExitStack() as stack:
            probes = [
                asyncio.ensure_future(self._probe.can_connect(row.address))
                for row in rows
            ]
            for probe in probes:
                stack.callback(probe.cancel)
            for listening in asyncio.as_completed(probes):
                if await listening:
                    return ()
        return [row.target_id for row in rows]

    async def explain_refusal(
        self, target_id: str, address: str, lost_ids: Collection[str]
    ) -> RefusalCause:
        """Returns why a target refuses connections.

        Args:
            target_id: The target.
            address: Its address.
            lost_ids: Targets that may be down as well.
        """
        if await self.find_silent(target_id, {target_id, *lost_ids}):
            return RefusalCause.PARTITIONED
        reason = await self._probe.check_status(
            target_id, address, through_peer=True
        )
        return RefusalCause.DOWN if reason else RefusalCause.PATH_LOST
