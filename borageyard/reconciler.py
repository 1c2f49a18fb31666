"""Reconciles targets with the declared models under the control lease."""

import asyncio
import contextlib

from .backing_services import (
    LogService,
    OffsetExpiredError,
    PlatformError,
    WeightStore,
)
from .clock import MS_PER_S, Clock
from .configuration import Configuration
from .configuration_service import ConfigurationService
from .events import Event, log_event
from .leases import LEASE_STREAM, LeaseManager
from .orders import (
    ORDER_TIMEOUT_MS,
    ObservedTarget,
    Order,
    OrderClient,
    OrderError,
    OrderPlanner,
)
from .permission import drift_safe_wait_ms
from .targets import TargetDirectory, TargetState

RECONCILE_INTERVAL_MS = 250


class LeaseUpdater:
    """Reads the lease stream and appends proposals that are due."""

    def __init__(
        self,
        manager: LeaseManager,
        log: LogService,
        clock: Clock,
    ) -> None:
        """Creates the updater.

        Args:
            manager: Folds lease records and proposes new ones.
            log: Log that has the lease stream.
            clock: Source of monotonic time.
        """
        self.manager = manager
        self._log = log
        self._clock = clock

    async def step(self) -> None:
        """Reads new records and appends a proposal if one is due.

        Errors of the log end the step; the next one tries again.
        """
        with contextlib.suppress(PlatformError):
            await self._read()
            proposal = self.manager.propose(self._clock.steady_ms())
            if proposal is not None:
                record = proposal.model_dump(mode='json')
                await self._log.append(LEASE_STREAM, record)
                await self._read()

    async def _read(self) -> None:
        try:
            page = await self._log.read(LEASE_STREAM, self.manager.next_offset)
        except OffsetExpiredError as error:
            self.manager.skip_to(error.start)
            return
        self.manager.fold_page(page, self._clock.steady_ms())


class Reconciler:
    """Compares desired with observed models and sends orders periodically."""

    def __init__(
        self,
        configuration: ConfigurationService,
        directory: TargetDirectory,
        updater: LeaseUpdater,
        orders: OrderClient,
        weights: WeightStore,
        clock: Clock,
    ) -> None:
        """Creates the reconciler.

        Args:
            configuration: Desired state and the accepted position.
            directory: Observed state.
            updater: Updates the control lease.
            orders: Sends orders to targets.
            weights: Weight store; provides its transfer rate.
            clock: Source of monotonic time.
        """
        self._configuration = configuration
        self._directory = directory
        self._updater = updater
        self._orders = orders
        self._weights = weights
        self._clock = clock
        self._planner = OrderPlanner()
        self._accepted_position = 0
        self._accepted_at_ms: float = 0

    async def run(self) -> None:
        """Reconciles periodically until cancelled."""
        while True:
            await self._updater.step()
            with contextlib.suppress(PlatformError):
                await self._reconcile()
            await asyncio.sleep(RECONCILE_INTERVAL_MS / MS_PER_S)

    def may_send_orders(self) -> bool:
        """Returns whether this entry may send orders now."""
        return self._fencing_number() is not None

    async def _reconcile(self) -> None:
        configuration = self._configuration.fold.current()
        self._note_accepted()
        if configuration is None or not self.may_send_orders():
            return
        rate_bytes_per_s = await self._weights.rate_bytes_per_s()
        chosen = self._planner.plan(
            configuration,
            self._observe(),
            rate_bytes_per_s,
            self._clock.steady_ms(),
            may_unload=self._may_unload(configuration),
        )
        for order in chosen:
            await self._send(order)

    def _fencing_number(self) -> int | None:
        """Returns the fencing number, or None if no order may be sent.

        It is None until all orders of an earlier holder have ended.
        """
        manager = self._updater.manager
        now_ms = self._clock.steady_ms()
        if now_ms < self._orders_allowed_at_ms():
            return None
        return manager.fencing_number(now_ms)

    def _orders_allowed_at_ms(self) -> float:
        """Returns the time by which orders of an earlier holder have ended."""
        held_since_ms = self._updater.manager.held_since_ms()
        return held_since_ms + drift_safe_wait_ms(ORDER_TIMEOUT_MS)

    def _observe(self) -> list[ObservedTarget]:
        """Returns the targets that have reported since orders may be sent."""
        return [
            _observe_target(state)
            for state in self._directory.all_targets()
            if state.report is not None
            and not state.leaving
            and state.report_received_at_ms >= self._orders_allowed_at_ms()
        ]

    def _note_accepted(self) -> None:
        history = self._configuration.fold.state.history
        position = history[-1].position if history else 0
        if self._accepted_position == position:
            return
        if position <= self._configuration.tracker.accepted:
            self._accepted_position = position
            self._accepted_at_ms = self._clock.steady_ms()

    def _may_unload(self, configuration: Configuration) -> bool:
        """Returns whether no request is pinned to an earlier version.

        That is so once the longest deadline of the history has passed since
        the current version was accepted.
        """
        history = self._configuration.fold.state.history
        if history[-1].position != self._accepted_position:
            return False
        longest_ms = max(row.deadline_ms for row in history)
        ends_at_ms = self._accepted_at_ms + drift_safe_wait_ms(longest_ms)
        return self._clock.steady_ms() >= ends_at_ms

    async def _send(self, order: Order) -> None:
        number = self._fencing_number()
        state = self._directory.find(order.target_id)
        if number is None or state is None:
            self._planner.clear_repeat_delay(order)
            return
        try:
            await self._orders.send(state.instance.address, order, number)
        except OrderError as error:
            self._planner.clear_repeat_delay(order)
            log_event(
                Event.ORDER_FAILED,
                target_id=order.target_id,
                action=order.action,
                reason=str(error),
            )
            return
        log_event(
            Event.ORDER_SENT,
            target_id=order.target_id,
            action=order.action,
            model=order.model,
            version=order.version,
            number=number,
        )


def build_reconciler(
    configuration: ConfigurationService,
    directory: TargetDirectory,
    log: LogService,
    orders: OrderClient,
    weights: WeightStore,
    clock: Clock,
) -> Reconciler:
    """Creates a reconciler with its lease.

    Args:
        configuration: Desired state and the accepted position.
        directory: Observed state.
        log: Log that has the lease stream.
        orders: Sends orders to targets.
        weights: Weight store; provides its transfer rate.
        clock: Source of monotonic time.

    Returns:
        The reconciler.
    """
    manager = LeaseManager(configuration.permission.member)
    return Reconciler(
        configuration,
        directory,
        LeaseUpdater(manager, log, clock),
        orders,
        weights,
        clock,
    )


def _observe_target(state: TargetState) -> ObservedTarget:
    report = state.report
    if report is None:
        return ObservedTarget(state.target_id, '', {}, 0, 0)
    return ObservedTarget(
        target_id=state.target_id,
        service=state.instance.service,
        loaded=report.models,
        busy_slots=report.running + report.queued,
        slots=report.slots,
    )
