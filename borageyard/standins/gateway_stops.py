"""Stops and kills of gateways of a deployment, drawn at random."""

import asyncio
import dataclasses
import random
import time

from .gateway_deployment import GatewayDeployment

# Maximum number of gateways that stop at the same time.
MAX_STOPPING = 2


@dataclasses.dataclass(slots=True)
class StopSpan:
    """Time from the stop of a gateway until it runs again.

    Attributes:
        gateway: Number of the gateway.
        killed: Whether it was killed.
        began_s: Monotonic time of the stop.
        closed_s: Monotonic time at which it had closed; None before that.
        ended_s: Monotonic time at which it was started; None before that.
    """

    gateway: int
    killed: bool
    began_s: float
    closed_s: float | None = None
    ended_s: float | None = None


class GatewayStops:
    """Stops gateways and knows when each of them ran."""

    def __init__(
        self, deployment: GatewayDeployment, draws: random.Random
    ) -> None:
        """Creates a record without stops.

        Args:
            deployment: Running deployment.
            draws: Draws the gateways.
        """
        self.spans: list[StopSpan] = []
        self._deployment = deployment
        self._random = draws

    async def stop(self) -> None:
        """Stops a gateway as a signal does and starts it again."""
        span = self._begin(killed=False)
        if span is not None:
            running = self._deployment.gateways[span.gateway]
            running.stop.set()
            await running.task
            await self._end(span)

    async def kill(self, down_s: float) -> None:
        """Kills a gateway and starts it again.

        Args:
            down_s: Time until the start.
        """
        span = self._begin(killed=True)
        if span is not None:
            await self._deployment.gateways[span.gateway].kill()
            await asyncio.sleep(down_s)
            await self._end(span)

    def is_in_touch(self, gateway: int, at_s: float, window_s: float) -> bool:
        """Returns whether no stop of a gateway touches the time before.

        Args:
            gateway: Number of the gateway.
            at_s: Monotonic time.
            window_s: Length of the time before.
        """
        return not any(
            span.gateway == gateway
            and span.began_s <= at_s
            and (span.ended_s is None or span.ended_s > at_s - window_s)
            for span in self.spans
        )

    def was_killed(self, gateway: int, after_s: float, before_s: float) -> bool:
        """Returns whether a gateway was dead at some time of a span.

        Args:
            gateway: Number of the gateway.
            after_s: Monotonic time of the begin of the span.
            before_s: Monotonic time of its end.
        """
        return any(
            span.killed
            and span.gateway == gateway
            and span.began_s <= before_s
            and (span.ended_s is None or span.ended_s >= after_s)
            for span in self.spans
        )

    def has_closed(self, gateway: int, after_s: float, before_s: float) -> bool:
        """Returns whether a gateway that stopped closed within a span.

        Args:
            gateway: Number of the gateway.
            after_s: Monotonic time of the begin of the span.
            before_s: Monotonic time of its end.
        """
        return any(
            span.closed_s is not None
            and span.gateway == gateway
            and after_s <= span.closed_s <= before_s
            for span in self.spans
        )

    def _begin(self, *, killed: bool) -> StopSpan | None:
        """Returns the stop of a gateway that runs; None if too many stop."""
        stopping = {span.gateway for span in self.spans if not span.ended_s}
        others = set(range(len(self._deployment.gateways))) - stopping
        if len(stopping) >= MAX_STOPPING:
            return None
        gateway = self._random.choice(sorted(others))
        span = StopSpan(gateway, killed, time.monotonic())
        self.spans.append(span)
        return span

    async def _end(self, span: StopSpan) -> None:
        span.closed_s = time.monotonic()
        await self._deployment.restart(span.gateway, store_down=False)
        span.ended_s = time.monotonic()
