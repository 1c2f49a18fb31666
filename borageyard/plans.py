"""What the chain scheduler decides, and what it decides on."""

import dataclasses
import enum
from collections.abc import Mapping, Sequence

from .batch_targets import BatchCall
from .chains import HandoverResult, PieceResult
from .engine_placer import Placement
from .roster import RosterRow
from .serving import BatchLimits


class ChainRefusal(enum.Enum):
    """Why a request gets no engine."""

    NO_TIME = 'no_time'
    NO_TARGET = 'no_target'
    FAILING = 'failing'
    # Another entry schedules it from now on.
    MOVED = 'moved'


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """An engine for a request, and the inputs that it is to fetch."""

    chain_id: str
    placement: Placement
    handles: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Denial:
    """A request that can't be served."""

    chain_id: str
    reason: ChainRefusal
    retry_after_ms: float
    # What was made for a request that another entry schedules from now on.
    results: tuple[HandoverResult, ...] = ()


@dataclasses.dataclass(slots=True)
class Plan:
    """What is to be done now."""

    calls: list[BatchCall] = dataclasses.field(default_factory=list)
    grants: list[Grant] = dataclasses.field(default_factory=list)
    denials: list[Denial] = dataclasses.field(default_factory=list)
    # Results that are no longer needed.
    freed: list[PieceResult] = dataclasses.field(default_factory=list)
    # When to plan again at the latest.
    wake_at_ms: float | None = None

    def wake(self, at_ms: float) -> None:
        """Asks to plan again no later than a time."""
        if self.wake_at_ms is None or at_ms < self.wake_at_ms:
            self.wake_at_ms = at_ms


@dataclasses.dataclass(frozen=True, slots=True)
class FleetView:
    """Targets that take new work, and what is declared of them."""

    engines: Mapping[str, Sequence[RosterRow]]
    batching: Mapping[str, tuple[BatchLimits, Sequence[RosterRow]]]
