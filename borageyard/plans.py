"""Decisions of the chain scheduler, and its view of the fleet."""

import dataclasses
import enum
from collections.abc import Mapping, Sequence

from .batch_targets import BatchCall
from .chains import HandoverResult, PieceResult
from .engine_placer import Placement
from .roster import RosterRow
from .serving_configuration import BatchLimits


class ChainRefusal(enum.Enum):
    """Why a request gets no engine from a scheduler."""

    NO_TIME = 'no_time'
    NO_TARGET = 'no_target'
    # Its organisation has its share of a service that is short of room.
    SHARE = 'share'
    FAILING = 'failing'
    # Another entry schedules the request from now on.
    MOVED = 'moved'
    # The entry that was to pass the request on does not reach the scheduler.
    UNREACHABLE = 'unreachable'
    # The entry of the request knows that the granted engine takes no new work.
    DECLINED = 'declined'


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """An engine for a request, and the handles of the inputs to fetch."""

    chain_id: str
    placement: Placement
    handles: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Denial:
    """A request that this scheduler does not serve, and why."""

    chain_id: str
    reason: ChainRefusal
    retry_after_ms: float
    # Results of a request that another entry schedules from now on.
    results: tuple[HandoverResult, ...] = ()


@dataclasses.dataclass(slots=True)
class Plan:
    """What the caller of the scheduler is to do now."""

    calls: list[BatchCall] = dataclasses.field(default_factory=list)
    grants: list[Grant] = dataclasses.field(default_factory=list)
    denials: list[Denial] = dataclasses.field(default_factory=list)
    # Results that are no longer needed.
    results_to_free: list[PieceResult] = dataclasses.field(default_factory=list)
    # When to plan again at the latest.
    wake_at_ms: float | None = None

    def wake_by(self, at_ms: float) -> None:
        """Requests the next plan no later than a monotonic time in ms."""
        if self.wake_at_ms is None or at_ms < self.wake_at_ms:
            self.wake_at_ms = at_ms


@dataclasses.dataclass(frozen=True, slots=True)
class FleetView:
    """Targets that take new work, by service, with declared limits."""

    engines: Mapping[str, Sequence[RosterRow]]
    batching: Mapping[str, tuple[BatchLimits, Sequence[RosterRow]]]
    # Requests that an engine runs at once, by service.
    engine_slots: Mapping[str, int] = dataclasses.field(default_factory=dict)
    # Services whose targets are all in evacuated failure domains.
    evacuated_services: frozenset[str] = frozenset()
