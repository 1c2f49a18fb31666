"""How much work leaves a failure domain whose targets are too few."""

import dataclasses
import math
from collections.abc import Mapping

# Cost of moving a megabyte between failure domains. The users price it at an
# eighth of a plain request, and a second of lateness at about half of one.
TRANSFER_COST_MS_PER_MB = 60
BYTES_PER_MB = 1_000_000
# Time that a request and its answer take longer between failure domains.
HOP_MS = 2
# Capacities of the domains that differ by less than this ratio count as even.
EVEN_RATIO = 1.25
# Share of a domain's work from which it begins to leave, and below which it
# stays again.
START_SHARE = 0.1
STOP_SHARE = 0.02
# Time constant with which the share that leaves follows the predicted one.
# Loads are reported within a second, so a quicker share would swing.
DAMPING_MS = 500
# Longest step of that, as loads that are older say little.
MAX_STEP_MS = 100
# Largest share that leaves a domain with targets. What stays shows whether its
# capacity has changed.
MAX_SHARE = 0.9
# Part of the spare capacity elsewhere that one domain uses, as others may use
# it at the same time.
USED_SPARE_SHARE = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class DomainLoad:
    """Capacity and work of the targets of one failure domain."""

    # Requests that its targets run at once, weighed by their speeds.
    capacity: float
    # Requests that run or wait at these targets.
    work: float

    @property
    def spare(self) -> float:
        """Returns the requests that could start at once; negative if full."""
        return self.capacity - self.work


@dataclasses.dataclass(frozen=True, slots=True)
class LeavingCost:
    """What it costs a request to leave its failure domain."""

    # Time of a request that does not wait.
    run_ms: float
    # Bytes of a request and its answer.
    size_bytes: float = 0

    @property
    def relative(self) -> float:
        """Returns the cost as a multiple of the time of a request."""
        return (HOP_MS + transfer_cost_ms(self.size_bytes)) / self.run_ms


class DomainSpill:
    """Shares of the work of failure domains that leave them, for one service.

    Designed for a domain that has lost targets, that has few of them, or whose
    callers ask for more than usual. A request leaves if the predicted wait at
    home is longer than the hop and the price of its bytes: what is left at
    home then waits about that long. A domain that has more work than capacity
    takes in none, and shares follow slowly, so two domains do not swap work.
    """

    def __init__(self) -> None:
        """Creates a spill in which all work stays."""
        self._shares: dict[str, float] = {}
        self._updated_at_ms = -math.inf

    def share(self, domain: str) -> float:
        """Returns the share of the work of a domain that leaves it."""
        return self._shares.get(domain, 0)

    def update(
        self,
        home: str,
        loads: Mapping[str, DomainLoad],
        cost: LeavingCost,
        now_ms: float,
    ) -> float:
        """Follows the loads; returns the share of home's work that leaves it.

        Args:
            home: The failure domain.
            loads: Loads of all failure domains with targets.
            cost: What it costs a request to leave.
            now_ms: Monotonic time.
        """
        own = loads.get(home)
        if own is None or not own.capacity:
            self._shares[home] = 1
            return 1
        previous = min(self.share(home), MAX_SHARE)
        wanted = _wanted_share(home, loads, cost, previous)
        least_share = STOP_SHARE if previous else START_SHARE
        if wanted < least_share:
            wanted = 0
        step_ms = min(max(now_ms - self._updated_at_ms, 0), MAX_STEP_MS)
        self._updated_at_ms = now_ms
        weight = 1 - math.exp(-step_ms / DAMPING_MS)
        share = previous + (wanted - previous) * weight
        if not wanted and share < STOP_SHARE:
            share = 0
        self._shares[home] = share
        return share


def destinations(home: str, loads: Mapping[str, DomainLoad]) -> frozenset[str]:
    """Returns the failure domains that work of another one may go to.

    Those with spare capacity; if no domain has any, all of them.

    Args:
        home: The domain that the work leaves.
        loads: Loads by failure domain.
    """
    others = {name: load for name, load in loads.items() if name != home}
    spare = frozenset(name for name, load in others.items() if load.spare > 0)
    return spare or frozenset(others)


def transfer_cost_ms(size_bytes: float) -> float:
    """Returns the cost of moving bytes between failure domains, in ms.

    Args:
        size_bytes: Number of bytes.
    """
    return TRANSFER_COST_MS_PER_MB * size_bytes / BYTES_PER_MB


def are_even(capacities: Mapping[str, float], target_capacity: float) -> bool:
    """Returns whether targets are spread evenly over failure domains.

    A number of targets that the domains don't divide counts as even: no domain
    has more than one target more than another.

    Args:
        capacities: Capacity by failure domain.
        target_capacity: Capacity of one target.
    """
    most = max(capacities.values(), default=0)
    least = min(capacities.values(), default=0)
    return most <= max(EVEN_RATIO * least, least + target_capacity)


def queue_waits_ms(
    loads: Mapping[str, DomainLoad], run_ms: float
) -> Mapping[str, float]:
    """Returns the predicted mean wait of the work bound for each domain.

    It is 0 in domains with spare capacity, and everywhere if there is none
    anywhere: nobody gains by leaving then.

    Args:
        loads: Loads by failure domain.
        run_ms: Time of a unit of work that does not wait.
    """
    if not any(load.spare > 0 for load in loads.values()):
        return dict.fromkeys(loads, 0)
    return {
        domain: max(-load.spare, 0) / 2 * run_ms / load.capacity
        for domain, load in loads.items()
        if load.capacity
    }


def _wanted_share(
    home: str,
    loads: Mapping[str, DomainLoad],
    cost: LeavingCost,
    previous: float,
) -> float:
    """Returns the share of the work of a domain that should leave it."""
    own = loads[home]
    # What is seen at home is the part that stayed.
    demand = own.work / (1 - previous)
    if not demand:
        return 0
    kept = own.capacity * (1 + cost.relative)
    spare = sum(load.spare for name, load in loads.items() if name != home)
    added = min(1 - kept / demand - previous, USED_SPARE_SHARE * spare / demand)
    return min(max(previous + added, 0), MAX_SHARE)
