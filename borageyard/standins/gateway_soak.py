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
from .gateway_stops import GatewayStops
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


class GatewaySoak:
    """Disturbs a deployment of gateways."""

    def __init__(self, deployment: GatewayDeployment, seed: int) -> None:
        """Creates a soak of a running deployment.

        Args:
            deployment: Running deployment with ``PLANS``.
            seed: Seed of the disturbances.
        """
        self._deployment = deployment
        self._random = random.Random(f'soak {seed}')
        self.stops = GatewayStops(deployment, self._random)
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

    async def run(self, until_s: float, *, unplanned: bool) -> None:
        """Disturbs the deployment and waits until all disturbances are over.

        Args:
            until_s: Monotonic time after which none begins, and stops begin
                only earlier, by the time that gateways take to stop.
            unplanned: Whether gateways are killed and lose the store, too.
        """
        self._until_s = until_s
        self._configure()
        for engine in self.engines:
            engine.faults.crashing_part = CRASHING_PART
            self._plan_crash(engine)
        disturbances = [
            self._silence,
            self._unframe,
            self._break_off,
            self._replace,
            self._stop_gateway,
            self._stop_gateway,
            self._change_configuration,
            self._change_configuration,
        ]
        if unplanned:
            disturbances += [self._kill_gateway, self._lose_store]
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
        ends_s = time.monotonic() + ACCEPT_AFTER_STOP_MS / MS_PER_S
        if ends_s <= self._until_s:
            await self.stops.stop()

    async def _kill_gateway(self) -> None:
        await self.stops.kill(self._random.uniform(*LASTING_S))

    async def _lose_store(self) -> None:
        """Lets the store reject the calls of some gateways."""
        gateways = self._random.sample(
            self._deployment.gateways, len(self._deployment.gateways) // 2
        )
        for gateway in gateways:
            gateway.store.faults.down = True
        await self._pause(LASTING_S)
        for other in gateways:
            other.store.faults.down = False

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
