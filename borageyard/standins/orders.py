"""Handling of orders by a stand-in target."""

import asyncio
from collections.abc import Callable

from ..configuration import Configuration
from ..generated.log_leases import OrderBody
from ..orders import LOAD, desired_models
from .target import StandinTarget

DEFAULT_RATE_BYTES_PER_S = 1e9


class StaleOrderError(Exception):
    """The fencing number of an order is lower than the newest one."""


class StandinOrders:
    """Loads and unloads models as ordered.

    A target refuses new calls while it loads a model.
    """

    def __init__(
        self,
        target: StandinTarget,
        *,
        fencing: bool = False,
        rate_bytes_per_s: float = DEFAULT_RATE_BYTES_PER_S,
    ) -> None:
        """Initializes without accepted orders.

        Args:
            target: Target that loads and unloads models.
            fencing: Whether orders with stale fencing numbers are refused.
            rate_bytes_per_s: Rate of a load, in bytes per second.
        """
        self.target = target
        self.fencing = fencing
        self.rate_bytes_per_s = rate_bytes_per_s
        self.newest_number = -1
        self.accepted: list[OrderBody] = []
        self._loads: set[asyncio.Task[None]] = set()

    def accept(self, order: OrderBody) -> None:
        """Accepts an order; a load continues in the background.

        Args:
            order: Order to carry out.

        Raises:
            StaleOrderError: If fencing is on and the number of the order is
                lower than the newest one.
        """
        if self.fencing and order.number < self.newest_number:
            raise StaleOrderError(f'newest number is {self.newest_number}')
        self.newest_number = max(self.newest_number, order.number)
        self.accepted.append(order)
        if order.action != LOAD:
            self._update_versions(order, frozenset.difference)
            return
        load = asyncio.ensure_future(self._load(order))
        self._loads.add(load)
        load.add_done_callback(self._loads.discard)

    async def _load(self, order: OrderBody) -> None:
        target = self.target
        target.loading += 1
        await asyncio.sleep(order.size_bytes / self.rate_bytes_per_s)
        target.loading -= 1
        if target.alive:
            self._update_versions(order, frozenset.union)

    def _update_versions(
        self,
        order: OrderBody,
        combine: Callable[[frozenset[str], frozenset[str]], frozenset[str]],
    ) -> None:
        models = self.target.models
        loaded = frozenset(models.get(order.model, ()))
        versions = combine(loaded, frozenset((order.version,)))
        models[order.model] = tuple(sorted(versions))
        if not versions:
            models.pop(order.model)


def preload(target: StandinTarget, configuration: Configuration) -> None:
    """Loads the models that the service of a target declares, at once.

    Args:
        target: Target to modify.
        configuration: Configuration that declares the service.
    """
    service = configuration.services[target.profile.service]
    if service.model in configuration.models:
        desired = desired_models(configuration, service)
        for name, (versions, _) in desired.items():
            target.models[name] = versions
