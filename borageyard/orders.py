"""Orders to targets: what to load and unload, decided level by level."""

import dataclasses
from collections.abc import Iterable, Mapping, Sequence
from typing import Literal, Protocol

from .configuration import Configuration, Service

MS_PER_S = 1000
LOAD: Literal['load'] = 'load'
UNLOAD: Literal['unload'] = 'unload'
# Longest time from sending an order to its end.
ORDER_TIMEOUT_MS = 1000
# Free share of the slots that must stay when a target is taken.
HEADROOM_SHARE = 0.2
# Loads that run at once; they share the rate of the weight store.
MAX_LOADS = 1
# Factor on the expected load time before an order is repeated.
REPEAT_DELAY_FACTOR = 2.0
MIN_REPEAT_DELAY_MS = 2000
NOT_DESIRED: tuple[tuple[str, ...], int] = ((), 0)


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """One order to one target."""

    target_id: str
    action: Literal['load', 'unload']
    model: str
    version: str
    size_bytes: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ObservedTarget:
    """What is known of a target that may get orders."""

    target_id: str
    service: str
    loaded: Mapping[str, tuple[str, ...]]
    busy_slots: int
    slots: int

    def has(self, model: str, version: str) -> bool:
        """Tells whether a version of a model is loaded."""
        return version in self.loaded.get(model, ())


class OrderError(Exception):
    """An order that was not confirmed."""

    def __init__(self, reason: str, *, stale: bool = False) -> None:
        """Keeps the reason.

        Args:
            reason: For logs.
            stale: Whether the target refused the fencing number as old.
        """
        super().__init__(reason)
        self.stale = stale


class OrderClient(Protocol):
    """The way of orders to targets."""

    async def send(self, address: str, order: Order, number: int) -> None:
        """Sends an order.

        Args:
            address: Address of the target.
            order: What it shall do.
            number: Fencing number of the sender's lease.

        Raises:
            OrderError: If it was refused or is not known to have arrived.
        """


@dataclasses.dataclass(slots=True)
class OrderPlanner:
    """Compares desired with observed state and paces the difference."""

    _repeat_at_ms: dict[Order, float] = dataclasses.field(default_factory=dict)

    def plan(
        self,
        configuration: Configuration,
        targets: Sequence[ObservedTarget],
        rate_bytes_per_s: float,
        now_ms: float,
        *,
        may_unload: bool,
    ) -> list[Order]:
        """Returns the orders to send now.

        Args:
            configuration: Desired state.
            targets: Observed state.
            rate_bytes_per_s: Rate of the weight store.
            now_ms: Steady time.
            may_unload: Whether no request can need another version any more.
        """
        missing, surplus = self._compare(configuration, targets, may_unload)
        different = {*missing, *surplus}
        self._repeat_at_ms = {
            order: at_ms
            for order, at_ms in self._repeat_at_ms.items()
            if order in different and now_ms < at_ms
        }
        chosen = [order for order in surplus if order not in self._repeat_at_ms]
        chosen.extend(self._choose_loads(configuration, targets, missing))
        for order in chosen:
            expected_ms = order.size_bytes / rate_bytes_per_s * MS_PER_S
            repeat_delay_ms = max(
                expected_ms * REPEAT_DELAY_FACTOR, MIN_REPEAT_DELAY_MS
            )
            self._repeat_at_ms[order] = now_ms + repeat_delay_ms
        return chosen

    def forget(self, order: Order) -> None:
        """Lets an order that failed be sent again."""
        self._repeat_at_ms.pop(order, None)

    def _compare(
        self,
        configuration: Configuration,
        targets: Iterable[ObservedTarget],
        may_unload: bool,
    ) -> tuple[list[Order], list[Order]]:
        missing: list[Order] = []
        surplus: list[Order] = []
        for target in targets:
            service = configuration.services.get(target.service)
            if service is None or service.model not in configuration.models:
                continue
            desired = desired_models(configuration, service)
            lacking = [
                Order(target.target_id, LOAD, name, version, size_bytes)
                for name, (versions, size_bytes) in desired.items()
                for version in versions
                if not target.has(name, version)
            ]
            missing.extend(lacking)
            if may_unload and not lacking:
                surplus.extend(_surplus(target, desired))
        return missing, surplus

    def _choose_loads(
        self,
        configuration: Configuration,
        targets: Sequence[ObservedTarget],
        missing: Sequence[Order],
    ) -> list[Order]:
        loading = {
            order.target_id
            for order in self._repeat_at_ms
            if order.action == LOAD
        }
        chosen: list[Order] = []
        for order in missing:
            if len(loading) >= MAX_LOADS:
                break
            target = _find_target(targets, order.target_id)
            service = configuration.services[target.service]
            if may_load(target, targets, service, loading):
                loading.add(order.target_id)
                chosen.append(order)
        return chosen


def desired_models(
    configuration: Configuration,
    service: Service,
) -> dict[str, tuple[tuple[str, ...], int]]:
    """Returns versions and size of what a service's targets must load.

    Args:
        configuration: The configuration.
        service: A service with a model.

    Returns:
        The model first, then its adapters as ``model/adapter``.
    """
    model = configuration.models[service.model]
    desired = {model.name: (model.versions, model.size_bytes)}
    for adapter in model.adapters:
        desired[f'{model.name}/{adapter}'] = (model.versions, 0)
    return desired


def may_load(
    target: ObservedTarget,
    targets: Sequence[ObservedTarget],
    service: Service,
    loading: set[str],
) -> bool:
    """Tells whether the other targets can carry the load of a service.

    Args:
        target: The target that would load.
        targets: All targets.
        service: Service of the target.
        loading: Targets that load now.
    """
    if not target.loaded.get(service.model):
        return True
    peers = [peer for peer in targets if peer.service == service.name]
    others = [
        peer
        for peer in peers
        if peer is not target
        and peer.target_id not in loading
        and peer.loaded.get(service.model)
    ]
    demand = sum(peer.busy_slots for peer in peers)
    capacity = sum(peer.slots for peer in others) * (1 - HEADROOM_SHARE)
    return bool(others) and demand <= capacity


def _surplus(
    target: ObservedTarget,
    desired: Mapping[str, tuple[tuple[str, ...], int]],
) -> list[Order]:
    return [
        Order(target.target_id, UNLOAD, name, version)
        for name, versions in target.loaded.items()
        for version in versions
        if version not in desired.get(name, NOT_DESIRED)[0]
    ]


def _find_target(
    targets: Sequence[ObservedTarget],
    target_id: str,
) -> ObservedTarget:
    return next(target for target in targets if target.target_id == target_id)
