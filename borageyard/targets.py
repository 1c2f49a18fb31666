"""Directory of the targets that stages can run on."""

import asyncio
import collections
import dataclasses
import math
from collections.abc import Callable, Iterable, Mapping, Sequence

from .backing_services import (
    ROLE_TARGET,
    STATE_LEAVING,
    Instance,
    InstanceList,
    PlatformError,
)
from .clock import MS_PER_S, Clock
from .events import Event, log_event
from .peer_calls import PeerCalls
from .target_client import LoadReport, TargetClient, TargetError

# Time in which the weight of a report or of peers' news falls to 1/e.
FADE_MS = 1000
# Weight of the assumption that nobody else uses a target.
PRIOR_WEIGHT = 0.01
MAX_OWN_CHANGES = 256
DURATION_WEIGHT = 0.2
DEFAULT_SLOTS = 8
# Time for which the weighed load of other entries is used again.
REWEIGH_MS = 20


@dataclasses.dataclass(slots=True)
class TargetState:
    """What an entry knows of one incarnation of a target."""

    instance: Instance
    leaving: bool = False
    report: LoadReport | None = None
    report_received_at_ms: float = 0
    in_flight: int = 0
    duration_ms: float = 0
    samples: int = 0
    reported_others: float = 0
    reported_at_ms: float = -math.inf
    weighed_others: float = 0
    weighed_at_ms: float = -math.inf
    peer_calls: PeerCalls = dataclasses.field(default_factory=PeerCalls)
    own_changes: collections.deque[tuple[float, int]] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_OWN_CHANGES),
    )

    @property
    def target_id(self) -> str:
        """Returns the target's instance id."""
        return self.instance.instance_id

    @property
    def slots(self) -> int:
        """Returns how many calls the target runs at once."""
        return self.report.slots if self.report else DEFAULT_SLOTS

    def change_in_flight(self, change: int, now_ms: float) -> None:
        """Counts an own call that starts (1) or ends (-1)."""
        self.in_flight += change
        self.own_changes.append((now_ms, change))

    def note_duration(self, duration_ms: float) -> None:
        """Learns from the time of a whole answer."""
        self.samples += 1
        weight = max(DURATION_WEIGHT, 1 / self.samples)
        self.duration_ms += weight * (duration_ms - self.duration_ms)

    def note_report(self, report: LoadReport, now_ms: float) -> None:
        """Takes in a load report.

        Args:
            report: What the target said.
            now_ms: Steady time at which it was true.
        """
        self.report = report
        self.reported_at_ms = now_ms
        self.leaving = self.leaving or report.leaving
        own_then = self.in_flight - sum(
            change
            for changed_at_ms, change in self.own_changes
            if changed_at_ms > now_ms
        )
        whole = report.running + report.queued
        self.weighed_at_ms = -math.inf
        self.reported_others = max(whole - own_then, 0)

    def load(self, now_ms: float) -> float:
        """Returns the calls that it has now, as far as can be told.

        Args:
            now_ms: Steady time.
        """
        return self.in_flight + self.others(now_ms)

    def others(self, now_ms: float) -> float:
        """Returns the calls of other entries, older news weighing less."""
        if now_ms - self.weighed_at_ms >= REWEIGH_MS:
            self.weighed_others = self._weigh_others(now_ms)
            self.weighed_at_ms = now_ms
        return self.weighed_others

    def _weigh_others(self, now_ms: float) -> float:
        report_weight = _freshness(now_ms - self.reported_at_ms)
        told_weight: float = 0
        if self.peer_calls.oldest_ms <= now_ms:
            told_weight = _freshness(now_ms - self.peer_calls.oldest_ms)
        told = self.peer_calls.at(self.target_id)
        weighed = report_weight * self.reported_others + told_weight * told
        return weighed / (report_weight + told_weight + PRIOR_WEIGHT)


class TargetDirectory:
    """Targets by service; a leaving mark holds for an incarnation."""

    def __init__(self) -> None:
        """Starts empty."""
        self._targets: dict[str, TargetState] = {}
        self._by_service: dict[str, list[TargetState]] = {}
        self._peer_calls = PeerCalls()

    def update(self, instances: Iterable[Instance]) -> None:
        """Takes in a new instance list; an empty one changes nothing.

        Args:
            instances: Rows of the list.
        """
        rows = [row for row in instances if row.role == ROLE_TARGET]
        if not rows:
            return
        self._targets = {row.instance_id: self._merge(row) for row in rows}
        self._by_service = {}
        for state in self._targets.values():
            service = state.instance.service
            self._by_service.setdefault(service, []).append(state)

    def note_report(
        self,
        report: LoadReport,
        now_ms: float,
        age_ms: float = 0,
    ) -> None:
        """Takes in a load report.

        Args:
            report: What the target said.
            now_ms: Steady time of its arrival.
            age_ms: How old it was then.
        """
        state = self._targets.get(report.target_id)
        if state is None:
            return
        state.report_received_at_ms = now_ms
        state.note_report(report, now_ms - max(age_ms, 0))

    def note_peer(
        self,
        peer_id: str,
        in_flight: Mapping[str, int],
        now_ms: float,
    ) -> None:
        """Takes in how many calls a peer has at each target.

        Args:
            peer_id: Who said it.
            in_flight: Calls by target id; targets without any are left out.
            now_ms: Steady time.
        """
        self._peer_calls.note(peer_id, in_flight, now_ms)

    def forget_silent(self, now_ms: float) -> None:
        """Drops what peers said that have been silent for long."""
        self._peer_calls.forget_silent(now_ms)

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

    def find(self, target_id: str) -> TargetState | None:
        """Returns a target by its id, or none if it is not known."""
        return self._targets.get(target_id)

    def all_targets(self) -> Sequence[TargetState]:
        """Returns every known target."""
        return tuple(self._targets.values())

    def candidates(self, service: str) -> Sequence[TargetState]:
        """Returns the targets of a service that may get new work."""
        known = self._by_service.get(service, ())
        return [state for state in known if not state.leaving]

    def _merge(self, row: Instance) -> TargetState:
        known = self._targets.get(row.instance_id)
        leaving = row.state == STATE_LEAVING
        if known is None or known.instance.incarnation != row.incarnation:
            return TargetState(
                row,
                leaving=leaving,
                peer_calls=self._peer_calls,
            )
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
        note_instances: Callable[[Sequence[Instance]], None] | None = None,
    ) -> None:
        """Wraps the sources.

        Args:
            directory: What is kept current.
            instances: The platform's list.
            client: The way to targets.
            clock: Source of time.
            note_instances: Is given each instance list.
        """
        self._note_instances = note_instances
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
        if self._note_instances is not None:
            self._note_instances(self.listed)

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
        now_ms = self._clock.steady_ms()
        age_ms = self._clock.wall_ms() - report.reported_at_ms
        self._directory.note_report(report, now_ms, age_ms)


def _freshness(age_ms: float) -> float:
    return math.exp(-max(age_ms, 0) / FADE_MS)
