"""Orders to stand-ins and the weight store in memory."""

import dataclasses
from collections.abc import Mapping

from ..backing_services import PlatformError
from ..generated.log_leases import OrderBody
from ..orders import Order, OrderError
from .orders import StaleOrderError, StandinOrders


class MemoryOrderClient:
    """Gives orders to stand-ins of the same process."""

    def __init__(self, targets: Mapping[str, StandinOrders]) -> None:
        """Names the targets that can be reached.

        Args:
            targets: Order books of stand-ins by address.
        """
        self._targets = targets

    async def send(self, address: str, order: Order, number: int) -> None:
        """Sends an order."""
        orders = self._targets.get(address)
        if orders is None or not orders.target.alive:
            raise OrderError('refused')
        body = OrderBody(
            number=number,
            action=order.action,
            model=order.model,
            version=order.version,
            size_bytes=order.size_bytes,
        )
        try:
            orders.accept(body)
        except StaleOrderError as error:
            raise OrderError(str(error), stale=True) from error


@dataclasses.dataclass(slots=True)
class MemoryWeights:
    """The weight store in memory."""

    rate: float
    outage: bool = False

    async def rate_bytes_per_s(self) -> float:
        """Returns the rate that all loads share."""
        if self.outage:
            raise PlatformError('outage')
        return self.rate
