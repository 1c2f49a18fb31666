"""In-memory order client and weight store."""

import dataclasses
from collections.abc import Mapping

from ..backing_services import PlatformError
from ..generated.log_leases import OrderBody
from ..orders import Order, OrderError
from .orders import StaleOrderError, StandinOrders


class MemoryOrderClient:
    """Sends orders to stand-in targets in the same process."""

    def __init__(self, targets: Mapping[str, StandinOrders]) -> None:
        """Initializes a client.

        Args:
            targets: Order handling of each reachable target, by address.
        """
        self._targets = targets

    async def send(self, address: str, order: Order, number: int) -> None:
        """Sends an order.

        Args:
            address: Address of the target.
            order: Order to send.
            number: Fencing number of the order.

        Raises:
            OrderError: If the target is unreachable or refuses the order
                because its fencing number is stale.
        """
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
    """In-memory weight store."""

    rate: float
    outage: bool = False

    async def rate_bytes_per_s(self) -> float:
        """Returns the rate that all loads share, in bytes per second.

        Raises:
            PlatformError: In an outage.
        """
        if self.outage:
            raise PlatformError('outage')
        return self.rate
