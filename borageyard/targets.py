"""Directory of the targets that can run stages."""

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
from .peer_call_counts import PeerCallCounts
from .target_client import LoadReport, TargetClient, TargetError

# Time in which the weight of a load report or of peers' gossip decays to 1/e.
LOAD_DECAY_MS = 1000
# Weight of the prior assumption that no other entry uses a target.
PRIOR_WEIGHT = 0.01
# Recent starts and ends of own calls that are kept for each target.
MAX_OWN_CHANGES = 256
# Weight of a new duration in the moving average.
DURATION_WEIGHT = 0.2
DEFAULT_SLOTS = 8
# Time for which the estimated load of other entries is cached.
OTHERS_LOAD_TTL_MS = 20


@dataclasses.dataclass(slots=True)
class TargetState:
    """State of one incarnation of a target as this entry sees it."""

    instance: Instance
    leaving: bool = False
    report: LoadReport | None = None
    report_received_at_ms: float = 0
    in_flight: int = 0
    duration_ms: float = 0
    samples: int = 0
    reported_others_load: float = 0
    reported_at_ms: float = -math.inf
    others_load_estimate: float = 0
    others_estimated_at_ms: float = -math.inf
    peer_calls: PeerCallCounts = dataclasses.field(
        default_factory=PeerCallCounts
    )
    # Monotonic time and change of ``in_flight``; a load report is compared with
    # the calls in flight at the time to which it refers.
    own_changes: collections.deque[tuple[float, int]] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_OWN_CHANGES),
    )

    @property
    def target_id(self) -> str:
        """Returns the target's instance id."""
        return self.instance.instance_id

    @property
    def slots(self) -> int:
        """Returns how many calls the target runs concurrently."""
        return self.report.slots if self.report else DEFAULT_SLOTS

    def change_in_flight(self, change: int, now_ms: float) -> None:
        """Counts a call of this entry that starts (1) or ends (-1)."""
        self.in_flight += change
        self.own_changes.append((now_ms, change))

    def note_duration(self, duration_ms: float) -> None:
        """Updates the average duration with that of a complete answer."""
        self.samples += 1
        weight = max(DURATION_WEIGHT, 1 / self.samples)
        self.duration_ms += weight * (duration_ms - self.duration_ms)

    def note_report(self, report: LoadReport, now_ms: float) -> None:
        """Records a load report.

        Args:
            report: The load that the target reported.
            now_ms: Monotonic time to which the report refers.
        """
        self.report = report
        self.reported_at_ms = now_ms
        self.leaving = self.leaving or report.leaving
        own_then = self.in_flight - sum(
            change
            for changed_at_ms, change in self.own_changes
            if changed_at_ms > now_ms
        )
        total_calls = report.running + report.queued
        self.others_estimated_at_ms = -math.inf
        self.reported_others_load = max(total_calls - own_then, 0)

    def load(self, now_ms: float) -> float:
        """Returns the estimated number of calls on the target.

        Args:
            now_ms: Monotonic time.
        """
        return self.in_flight + self.others_load(now_ms)

    def others_load(self, now_ms: float) -> float:
        """Estimates the calls of other entries; older reports weigh less."""
        if now_ms - self.others_estimated_at_ms >= OTHERS_LOAD_TTL_MS:
            self.others_load_estimate = self._estimate_others_load(now_ms)
            self.others_estimated_at_ms = now_ms
        return self.others_load_estimate

    def _estimate_others_load(self, now_ms: float) -> float:
        report_weight = _decay_weight(now_ms - self.reported_at_ms)
        peer_weight: float = 0
        if self.peer_calls.oldest_ms <= now_ms:
            peer_weight = _decay_weight(now_ms - self.peer_calls.oldest_ms)
        peer_load = self.peer_calls.total_at(self.target_id)
        weighted_load = (
            report_weight * self.reported_others_load + peer_weight * peer_load
        )
        return weighted_load / (report_weight + peer_weight + PRIOR_WEIGHT)


class TargetDirectory:
    """Known targets by service; a leaving mark ends at a restart."""

    def __init__(self) -> None:
        """Starts empty."""
        self._targets: dict[str, TargetState] = {}
        self._by_service: dict[str, list[TargetState]] = {}
        self._peer_calls = PeerCallCounts()

    def update(self, instances: Iterable[Instance]) -> None:
        """Replaces the targets; a list without targets is ignored.

        Args:
            instances: Rows of the instance list, of any role.
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
        """Records a load report.

        Args:
            report: The load that the target reported; ignored if the target
                is unknown.
            now_ms: Monotonic time at which it arrived.
            age_ms: Its age at that time.
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
        """Records how many calls a peer has on each target.

        Args:
            peer_id: Id of the peer.
            in_flight: Calls by target id; targets without calls are omitted.
            now_ms: Monotonic time.
        """
        self._peer_calls.note(peer_id, in_flight, now_ms)

    def forget_silent(self, now_ms: float) -> None:
        """Drops the call counts of peers that have long been silent."""
        self._peer_calls.forget_silent(now_ms)

    def mark_leaving(self, target_id: str) -> bool:
        """Marks a target as leaving until its next incarnation.

        Returns:
            Whether the target is known.
        """
        state = self._targets.get(target_id)
        if state is None:
            return False
        state.leaving = True
        return True

    def find(self, target_id: str) -> TargetState | None:
        """Returns a target by its id, or ``None`` if it is unknown."""
        return self._targets.get(target_id)

    def all_targets(self) -> Sequence[TargetState]:
        """Returns every known target."""
        return tuple(self._targets.values())

    def candidates(self, service: str) -> Sequence[TargetState]:
        """Returns the targets of a service that may receive new calls."""
        listed = self._by_service.get(service, ())
        return [state for state in listed if not state.leaving]

    def _merge(self, row: Instance) -> TargetState:
        existing = self._targets.get(row.instance_id)
        leaving = row.state == STATE_LEAVING
        if existing is None or existing.instance.incarnation != row.incarnation:
            return TargetState(
                row,
                leaving=leaving,
                peer_calls=self._peer_calls,
            )
        existing.instance = row
        existing.leaving = existing.leaving or leaving
        return existing


class TargetWatcher:
    """Polls the instance list and load reports to update a directory."""

    def __init__(
        self,
        directory: TargetDirectory,
        instances: InstanceList,
        client: TargetClient,
        clock: Clock,
        on_instances: Callable[[Sequence[Instance]], None] | None = None,
    ) -> None:
        """Initializes the watcher.

        Args:
            directory: Directory to update.
            instances: Instance list of the platform.
            client: Client that reads load reports from targets.
            clock: Source of time.
            on_instances: Called with each instance list that was read.
        """
        self._on_instances = on_instances
        self._directory = directory
        self._instances = instances
        self._client = client
        self._clock = clock
        self.listed: Sequence[Instance] = ()

    async def poll_instances(self) -> None:
        """Reads the instance list once; logs a failure of the platform."""
        try:
            self.listed = await self._instances.instances()
        except PlatformError as error:
            log_event(Event.PLATFORM_FAILED, reason=str(error))
            return
        self._directory.update(self.listed)
        if self._on_instances is not None:
            self._on_instances(self.listed)

    async def poll_loads(self) -> None:
        """Reads the load report of every target once, ignoring failures."""
        targets = self._directory.all_targets()
        await asyncio.gather(*map(self._poll_load, targets))

    async def watch_instances(self, interval_ms: float) -> None:
        """Polls the instance list until cancelled."""
        while True:
            await self.poll_instances()
            await asyncio.sleep(interval_ms / MS_PER_S)

    async def watch_loads(self, interval_ms: float) -> None:
        """Polls the load reports until cancelled."""
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


def _decay_weight(age_ms: float) -> float:
    return math.exp(-max(age_ms, 0) / LOAD_DECAY_MS)
