"""Plans which models targets are ordered to load and unload.

Planning is level-triggered: it compares desired with observed state.
"""

import dataclasses
from collections.abc import Iterable, Mapping, Sequence
from typing import Literal, Protocol

from .configuration import Configuration, Service

MS_PER_S = 1000
LOAD: Literal['load'] = 'load'
UNLOAD: Literal['unload'] = 'unload'
# Limit on the time from sending an order until it has ended.
ORDER_TIMEOUT_MS = 1000
# Share of the other targets' slots that must stay free while one reloads.
HEADROOM_SHARE = 0.2
# Concurrent loads; they share the transfer rate of the weight store.
MAX_LOADS = 1
# Multiple of the expected load time after which an order is repeated.
REPEAT_DELAY_FACTOR = 2.0
MIN_REPEAT_DELAY_MS = 2000
NOT_DESIRED: tuple[tuple[str, ...], int] = ((), 0)


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order to one target to load or unload a model version."""

    target_id: str
    action: Literal['load', 'unload']
    model: str
    version: str
    size_bytes: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ObservedTarget:
    """Last reported state of a target that may receive orders."""

    target_id: str
    service: str
    loaded: Mapping[str, tuple[str, ...]]
    busy_slots: int
    slots: int

    def has(self, model: str, version: str) -> bool:
        """Returns whether a version of a model is loaded."""
        return version in self.loaded.get(model, ())


class OrderError(Exception):
    """An order was not confirmed by its target."""

    def __init__(self, reason: str, *, stale: bool = False) -> None:
        """Creates the error.

        Args:
            reason: Text for the log.
            stale: Whether the target refused an outdated fencing number.
        """
        super().__init__(reason)
        self.stale = stale


class OrderClient(Protocol):
    """Sends orders to targets."""

    async def send(self, address: str, order: Order, number: int) -> None:
        """Sends an order.

        Args:
            address: Address of the target.
            order: The order.
            number: Fencing number of the sender's lease.

        Raises:
            OrderError: If the target refused the order, or it is unknown
                whether the order arrived.
        """


@dataclasses.dataclass(slots=True)
class OrderPlanner:
    """Compares desired with observed state and limits the orders sent."""

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
            rate_bytes_per_s: Transfer rate of the weight store.
            now_ms: Monotonic time.
            may_unload: Whether no request can still need a version that is
                not in the configuration.
        """
        missing, surplus = self._compare(configuration, targets, may_unload)
        unmet = {*missing, *surplus}
        self._repeat_at_ms = {
            order: at_ms
            for order, at_ms in self._repeat_at_ms.items()
            if order in unmet and now_ms < at_ms
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

    def clear_repeat_delay(self, order: Order) -> None:
        """Allows a failed order to be sent again without delay."""
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
            target_missing = [
                Order(target.target_id, LOAD, name, version, size_bytes)
                for name, (versions, size_bytes) in desired.items()
                for version in versions
                if not target.has(name, version)
            ]
            missing.extend(target_missing)
            if may_unload and not target_missing:
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
    """Returns the models that the targets of a service must have loaded.

    Args:
        configuration: The configuration.
        service: A service with a model.

    Returns:
        Versions and size in bytes by name: the model first, then its adapters
        as ``model/adapter``, which have size 0.
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
    """Returns whether a target may load a model now.

    A target that has no version of the service's model loaded may load at
    once. Any other target may only if other targets of the service can carry
    its whole load meanwhile and keep `HEADROOM_SHARE` of their slots free.

    Args:
        target: The target to load on.
        targets: All targets.
        service: Service of the target.
        loading: Ids of the targets that are loading.
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
