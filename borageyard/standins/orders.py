"""Orders as a stand-in target takes them."""

import asyncio
from collections.abc import Callable

from ..configuration import Configuration
from ..generated.log_leases import OrderBody
from ..orders import LOAD, desired_models
from .target import StandinTarget

DEFAULT_RATE_BYTES_PER_S = 1e9


class StaleOrderError(Exception):
    """An order with an old fencing number."""


class StandinOrders:
    """Loads and unloads models; a loading target runs no new calls."""

    def __init__(
        self,
        target: StandinTarget,
        *,
        fencing: bool = False,
        rate_bytes_per_s: float = DEFAULT_RATE_BYTES_PER_S,
    ) -> None:
        """Wraps a target.

        Args:
            target: What loads.
            fencing: Whether old fencing numbers are refused.
            rate_bytes_per_s: Rate of a load.
        """
        self.target = target
        self.fencing = fencing
        self.rate_bytes_per_s = rate_bytes_per_s
        self.newest_number = -1
        self.accepted: list[OrderBody] = []
        self._loads: set[asyncio.Task[None]] = set()

    def accept(self, order: OrderBody) -> None:
        """Takes an order; its work goes on in the background.

        Args:
            order: The order.

        Raises:
            StaleOrderError: If its number is old and fencing is on.
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
    """Starts a target with what its service declares.

    Args:
        target: The target.
        configuration: The configuration.
    """
    service = configuration.services[target.profile.service]
    if service.model in configuration.models:
        desired = desired_models(configuration, service)
        for name, (versions, _) in desired.items():
            target.models[name] = versions
