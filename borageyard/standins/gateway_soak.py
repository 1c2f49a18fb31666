"""Series of overlapping disturbances of gateways and targets, from a seed."""

import asyncio
import contextlib
import dataclasses
import random
import time
from collections.abc import Sequence
from types import TracebackType
from typing import Self

from ..clock import MS_PER_S
from ..gateway import ACCEPT_AFTER_STOP_MS
from .gateway_deployment import (
    FAILURE_DOMAINS,
    GatewayDeployment,
    build_document,
)
from .gateway_target import GatewayTarget
from .registered_target import CrashPlan, TargetPlan
from .soak_callers import CRASHING_PART

ENGINES = 8
ENGINE_SERVICE = 'model'
ENGINE_WORK_MS = 20
# Pause between the starts of two disturbances.
PAUSE_S = (0.1, 0.7)
LASTING_S = (0.5, 2.0)
# Bounds of the silence of a sound engine.
SILENCE_MS = (800, 1600)
# Bounds of the time until an engine is back after a crash.
RESTART_MS = (300, 1500)
EXPIRE_MS = (0, 0, 400)
DRAIN_S = 2
ROUTE_TIMEOUT_MS = 8000
# Maximum number of gateways that stop at the same time.
MAX_STOPPING = 2
PLANS = (
    *(
        TargetPlan(f'desk-{number}', 'desk', FAILURE_DOMAINS[number])
        for number in range(2)
    ),
    *(
        TargetPlan(
            f'model-{number}',
            ENGINE_SERVICE,
            FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)],
            'engine',
            work_ms=ENGINE_WORK_MS,
        )
        for number in range(ENGINES)
    ),
    *(
        TargetPlan(
            f'planner-{number}', 'planner', FAILURE_DOMAINS[number], 'batch'
        )
        for number in range(2)
    ),
)


@dataclasses.dataclass(slots=True)
class StopSpan:
    """Time from the stop of a gateway until it runs again."""

    gateway: int
    began_s: float
    ended_s: float | None = None


class GatewaySoak:
    """Disturbs a deployment of gateways."""

    def __init__(self, deployment: GatewayDeployment, seed: int) -> None:
        """Creates a soak of a running deployment.

        Args:
            deployment: Running deployment with ``PLANS``.
            seed: Seed of the disturbances.
        """
        self.stops: list[StopSpan] = []
        self._deployment = deployment
        self._random = random.Random(f'soak {seed}')
        self._version = 1
        self._until_s: float = 0
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> Self:
        """Returns the soak."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Ends the engines that the soak started."""
        await self._stack.aclose()

    @property
    def engines(self) -> Sequence[GatewayTarget]:
        """All engines, also those that have left."""
        return [
            target
            for target in self._deployment.targets.values()
            if target.plan.service == ENGINE_SERVICE
        ]

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
            for span in self.stops
        )

    async def run(self, until_s: float) -> None:
        """Disturbs the deployment and waits until all disturbances are over.

        Args:
            until_s: Monotonic time after which none begins, and stops begin
                only earlier, by the time that gateways take to stop.
        """
        self._until_s = until_s
        self._configure()
        for engine in self.engines:
            engine.faults.crashing_part = CRASHING_PART
            self._plan_crash(engine)
        disturbances = (
            self._silence,
            self._unframe,
            self._break_off,
            self._replace,
            self._stop_gateway,
            self._stop_gateway,
            self._change_configuration,
            self._change_configuration,
        )
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < until_s:
                disturb = self._random.choice(disturbances)
                group.create_task(disturb())
                await self._pause(PAUSE_S)

    def _plan_crash(self, engine: GatewayTarget) -> None:
        engine.faults.crash = CrashPlan(
            after_events=self._random.choice((0, 0, 1)),
            expire_ms=self._random.choice(EXPIRE_MS),
            restart_ms=self._random.uniform(*RESTART_MS),
            keeps_id=self._random.choice((False, False, True)),
            keeps_address=self._random.choice((False, True)),
        )

    def _some_engines(self) -> Sequence[GatewayTarget]:
        engines = self.engines
        return self._random.sample(engines, len(engines) // 2)

    async def _silence(self) -> None:
        engines = self._some_engines()
        events = self._random.randrange(engines[0].plan.events)
        for engine in engines:
            engine.faults.silent_after = events
            engine.faults.silence_ms = self._random.uniform(*SILENCE_MS)
        await self._pause(LASTING_S)
        for engine in engines:
            engine.faults.silent_after = None

    async def _unframe(self) -> None:
        engines = self._some_engines()
        connection = self._random.choice(('close', 'keep-alive'))
        for engine in engines:
            engine.faults.unframed = True
            engine.faults.unframed_connection = connection
        await self._pause(LASTING_S)
        for engine in engines:
            engine.faults.unframed = False

    async def _break_off(self) -> None:
        engine = self._random.choice(self.engines)
        engine.faults.break_after = self._random.randrange(engine.plan.events)
        engine.faults.reset_midway = self._random.choice((0, 1))

    async def _replace(self) -> None:
        """Starts an engine, then drains the one that it replaces."""
        former = self._random.choice(self.engines)
        if former.leaving:
            return
        former.leaving = True
        number = len(self.engines)
        plan = dataclasses.replace(former.plan, target_id=f'model-{number}')
        target = GatewayTarget(
            plan, self._deployment.store, self._deployment.results
        )
        target.faults.crashing_part = CRASHING_PART
        self._plan_crash(target)
        self._deployment.targets[plan.target_id] = target
        await self._stack.enter_async_context(target.running())
        await former.leave(DRAIN_S)

    async def _stop_gateway(self) -> None:
        """Stops a gateway as a signal does and starts it again."""
        stopping = {span.gateway for span in self.stops if not span.ended_s}
        others = set(range(len(self._deployment.gateways))) - stopping
        ends_s = time.monotonic() + ACCEPT_AFTER_STOP_MS / MS_PER_S
        if len(stopping) >= MAX_STOPPING or ends_s > self._until_s:
            return
        number = self._random.choice(sorted(others))
        span = StopSpan(number, time.monotonic())
        self.stops.append(span)
        running = self._deployment.gateways[number]
        running.stop.set()
        await running.task
        await self._deployment.restart(number, store_down=False)
        span.ended_s = time.monotonic()

    async def _change_configuration(self) -> None:
        for _ in range(self._random.choice((1, 1, 3))):
            self._configure()
            await self._pause(PAUSE_S)

    def _configure(self) -> None:
        """Writes a configuration that allows all requests of the callers."""
        self._version += 1
        document = build_document(self._version)
        for route in document['routes']:
            route['timeoutMs'] = ROUTE_TIMEOUT_MS
        further = {
            **document['routes'][0],
            'name': 'further',
            'pathPrefix': f'/further{self._version}/',
        }
        if self._random.choice((False, True)):
            document['routes'].append(further)
        document['limits']['idleTimeoutMs'] = self._random.choice((4000, 5000))
        self._deployment.configure(document)

    async def _pause(self, span_s: tuple[float, float]) -> None:
        await asyncio.sleep(self._random.uniform(*span_s))
