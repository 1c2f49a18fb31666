"""Directory of the targets that stages can run on."""

import asyncio
import dataclasses
from collections.abc import Iterable, Sequence

from .clock import MS_PER_S, Clock
from .events import Event, log_event
from .platform import (
    ROLE_TARGET,
    STATE_LEAVING,
    Instance,
    InstanceList,
    PlatformError,
)
from .target import LoadReport, TargetClient, TargetError


@dataclasses.dataclass(slots=True)
class TargetState:
    """What an entry knows of one incarnation of a target."""

    instance: Instance
    leaving: bool = False
    report: LoadReport | None = None
    report_received_at_ms: float = 0
    in_flight: int = 0

    @property
    def target_id(self) -> str:
        """Returns the target's instance id."""
        return self.instance.instance_id


class TargetDirectory:
    """Targets by service; a leaving mark holds for an incarnation."""

    def __init__(self) -> None:
        """Starts empty."""
        self._targets: dict[str, TargetState] = {}

    def update(self, instances: Iterable[Instance]) -> None:
        """Takes in a new instance list; an empty one changes nothing.

        Args:
            instances: Rows of the list.
        """
        rows = [row for row in instances if row.role == ROLE_TARGET]
        if not rows:
            return
        self._targets = {row.instance_id: self._merge(row) for row in rows}

    def note_report(self, report: LoadReport, now_ms: float) -> None:
        """Takes in a load report.

        Args:
            report: What the target said.
            now_ms: Steady time of its arrival.
        """
        state = self._targets.get(report.target_id)
        if state is None:
            return
        state.report = report
        state.report_received_at_ms = now_ms
        state.leaving = state.leaving or report.leaving

    def mark_leaving(self, target_id: str) -> bool:
        """Marks a target as leaving for the rest of its incarnation.

        Returns:
            Whether the target is known.
        """
        state = self._targets.get(target_id)
        if state is None:
            return False
        state.leaving = True
        return True

    def all_targets(self) -> Sequence[TargetState]:
        """Returns every known target."""
        return tuple(self._targets.values())

    def candidates(self, service: str) -> Sequence[TargetState]:
        """Returns the targets of a service that may get new work."""
        return tuple(
            state
            for state in self._targets.values()
            if state.instance.service == service and not state.leaving
        )

    def _merge(self, row: Instance) -> TargetState:
        known = self._targets.get(row.instance_id)
        leaving = row.state == STATE_LEAVING
        if known is None or known.instance.incarnation != row.incarnation:
            return TargetState(row, leaving=leaving)
        known.instance = row
        known.leaving = known.leaving or leaving
        return known


class TargetWatcher:
    """Keeps a directory current from the instance list and load reports."""

    def __init__(
        self,
        directory: TargetDirectory,
        instances: InstanceList,
        client: TargetClient,
        clock: Clock,
    ) -> None:
        """Wraps the sources.

        Args:
            directory: What is kept current.
            instances: The platform's list.
            client: The way to targets.
            clock: Source of time.
        """
        self._directory = directory
        self._instances = instances
        self._client = client
        self._clock = clock
        self.listed: Sequence[Instance] = ()

    async def poll_instances(self) -> None:
        """Reads the instance list once."""
        try:
            self.listed = await self._instances.instances()
        except PlatformError as error:
            log_event(Event.PLATFORM_FAILED, reason=str(error))
            return
        self._directory.update(self.listed)

    async def poll_loads(self) -> None:
        """Reads the load report of every target once."""
        targets = self._directory.all_targets()
        await asyncio.gather(*map(self._poll_load, targets))

    async def watch_instances(self, interval_ms: float) -> None:
        """Reads the list for ever."""
        while True:
            await self.poll_instances()
            await asyncio.sleep(interval_ms / MS_PER_S)

    async def watch_loads(self, interval_ms: float) -> None:
        """Reads load reports for ever."""
        while True:
            await self.poll_loads()
            await asyncio.sleep(interval_ms / MS_PER_S)

    async def _poll_load(self, state: TargetState) -> None:
        try:
            report = await self._client.load(state.instance.address)
        except TargetError:
            return
        self._directory.note_report(report, self._clock.steady_ms())
