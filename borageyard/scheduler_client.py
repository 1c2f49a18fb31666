"""Finds the entry that schedules a group of services and asks it."""

import asyncio
import dataclasses
from typing import TypeGuard

from .chain_messages import (
    decode_order,
    decode_results,
    encode_order,
    encode_results,
)
from .chains import ChainOrder
from .clock import MS_PER_S, Clock
from .engine_board import Placement
from .events import Event, log_event
from .fleet_state import FleetState
from .generated.peer_chains import (
    ChainEventBody,
    ChainEventReplyBody,
    ChainReplyBody,
    ChainRequestBody,
)
from .membership import Membership
from .peer_notifier import PeerNotifier
from .peers import PeerError, PeerLink
from .plans import ChainRefusal, Denial, Grant
from .result_keeper import ResultKeeper
from .scheduler_finder import SETTLE_MS, SchedulerFinder
from .scheduler_service import SchedulerService

MAX_OWNERS = 4
# Time in which a stream that broke off is open again (shortest pause of the
# link and a way there and back), how often one entry is asked, and the time
# for which the entry asked keeps the request.
RECONNECT_MS = 120
TRIES = 2
LINGER_MS = 600
# Pause between looks whether the other entries were heard after the start.
SETTLE_POLL_MS = 20
RETRY_AFTER_MS = 500


class SchedulerClient:
    """Asks the scheduler of a group, on which the entries agree."""

    def __init__(
        self,
        instance_id: str,
        state: FleetState,
        membership: Membership,
        peers: PeerLink,
        service: SchedulerService,
        clock: Clock,
    ) -> None:
        """Registers what peers may ask.

        Args:
            instance_id: Id of this entry.
            state: Targets and configuration.
            membership: The other entries.
            peers: The streams to them.
            service: The scheduler of this entry.
            clock: Source of steady time.
        """
        self._instance_id = instance_id
        self._finder = SchedulerFinder(instance_id, state, membership, clock)
        self._state = state
        self._peers = peers
        self._service = service
        self._clock = clock
        # Who schedules each request.
        self._owners: dict[str, str] = {}
        self._keeper = ResultKeeper(peers, clock)
        # Entries that did not answer when they were asked again.
        self._doubted: set[str] = set()
        self._teller = PeerNotifier(peers)
        peers.register(ChainRequestBody, self._handle_chain)
        peers.register(ChainEventBody, self._handle_event)
        service.calls.made_listener = self._keeper.note_made

    async def place(
        self,
        order: ChainOrder,
        excluded: frozenset[str],
    ) -> Grant | Denial:
        """Has the stages of a request run and an engine chosen.

        An owner that can't be reached is passed over: the next one goes on
        with what was told to be made.

        Args:
            order: What the request needs.
            excluded: Engines that failed it.
        """
        await self._settle()
        passed: frozenset[str] = frozenset()
        while len(passed) < MAX_OWNERS:
            owner_id = self._finder.find(order.engine_service, passed)
            self._owners[order.chain_id] = owner_id
            self._keeper.expect(order.chain_id, owner_id)
            settled = await self._try(owner_id, order, excluded)
            if settled is not None and not _is_moved(settled):
                return settled
            passed |= {owner_id}
            known = self._keeper.known(order.chain_id)
            order = dataclasses.replace(order, results=known, passed_over=True)
        return Denial(order.chain_id, ChainRefusal.FAILING, RETRY_AFTER_MS)

    def leave(self) -> None:
        """Leaves scheduling to others, with all that is under way."""
        self._finder.leaving = True
        self._review()

    def note_started(self, chain_id: str) -> None:
        """Tells the scheduler that the engine has read the inputs."""
        owner_id = self._owners.get(chain_id, self._instance_id)
        if owner_id == self._instance_id:
            self._service.note_started(chain_id)
            return
        self._tell(owner_id, chain_id, 'started', '')

    def note_failed(self, chain_id: str, engine_id: str) -> None:
        """Tells the scheduler that an engine failed a request."""
        owner_id = self._owners.get(chain_id, self._instance_id)
        if owner_id == self._instance_id:
            self._service.note_failed(chain_id, engine_id)
            return
        self._tell(owner_id, chain_id, 'failed', engine_id)

    def note_ended(self, chain_id: str) -> None:
        """Tells the scheduler that a request is over."""
        self._keeper.forget(chain_id)
        owner_id = self._owners.pop(chain_id, None)
        if owner_id is None:
            return
        if owner_id == self._instance_id:
            self._service.note_ended(chain_id)
            return
        self._tell(owner_id, chain_id, 'ended', '')

    async def _try(
        self,
        owner_id: str,
        order: ChainOrder,
        excluded: frozenset[str],
    ) -> Grant | Denial | None:
        """Returns what an entry settles, or none if it does not answer.

        A stream that broke off is opened again at once if its peer lives,
        which has kept the request meanwhile.
        """
        for _ in range(TRIES):
            try:
                settled = await self._place_at(owner_id, order, excluded)
            except PeerError as error:
                log_event(
                    Event.PEER_UNANSWERED,
                    peer_id=owner_id,
                    request_id=order.chain_id,
                    reason=str(error),
                )
            else:
                self._doubted.discard(owner_id)
                self._note_settled(owner_id, settled)
                return settled
            if owner_id in self._doubted:
                return None
            await asyncio.sleep(RECONNECT_MS / MS_PER_S)
        self._doubted.add(owner_id)
        return None

    def _note_settled(self, owner_id: str, settled: Grant | Denial) -> None:
        if not _is_moved(settled):
            return
        self._keeper.keep(settled.chain_id, settled.results)
        log_event(
            Event.CHAIN_MOVED,
            request_id=settled.chain_id,
            scheduler_id=owner_id,
            results=len(settled.results),
        )

    async def _settle(self) -> None:
        """Waits until the others had the time to be heard after the start."""
        for _ in range(SETTLE_MS // SETTLE_POLL_MS):
            if self._finder.is_settled():
                return
            await asyncio.sleep(SETTLE_POLL_MS / MS_PER_S)

    def _review(self) -> None:
        """Gives up requests that another entry schedules by now."""
        self._service.release(self._finder.foreign_services())

    async def _place_at(
        self,
        owner_id: str,
        order: ChainOrder,
        excluded: frozenset[str],
    ) -> Grant | Denial:
        self._review()
        if owner_id == self._instance_id:
            return await self._service.place(order, excluded)
        return await self._ask(owner_id, order, excluded)

    async def _ask(
        self,
        owner_id: str,
        order: ChainOrder,
        excluded: frozenset[str],
    ) -> Grant | Denial:
        now_ms = self._clock.steady_ms()
        reply = await self._peers.request(
            owner_id,
            encode_order(order, excluded, now_ms),
            ChainReplyBody,
            max(order.deadline_at_ms - now_ms, 1),
        )
        if reply.refusal:
            reason = ChainRefusal(reply.refusal)
            results = decode_results(reply.results, self._clock.steady_ms())
            return Denial(
                order.chain_id,
                reason,
                reply.retry_after_ms,
                results,
            )
        engine = self._state.roster.find(reply.engine_id)
        if engine is None:
            raise PeerError(f'engine {reply.engine_id} is not known')
        placement = Placement(engine, reply.cost_ms, 0)
        return Grant(order.chain_id, placement, tuple(reply.handles))

    async def _handle_chain(
        self,
        peer_id: str,
        request: ChainRequestBody,
    ) -> ChainReplyBody:
        now_ms = self._clock.steady_ms()
        order = decode_order(request, now_ms)
        excluded = frozenset(request.excluded)
        self._review()
        with self._keeper.asked(order.chain_id, peer_id):
            settled = await self._service.place(order, excluded, LINGER_MS)
        if isinstance(settled, Denial):
            return ChainReplyBody(
                refusal=settled.reason.value,
                retry_after_ms=settled.retry_after_ms,
                results=encode_results(
                    settled.results,
                    self._clock.steady_ms(),
                ),
            )
        return ChainReplyBody(
            engine_id=settled.placement.engine.target_id,
            handles=list(settled.handles),
            cost_ms=settled.placement.cost_ms,
        )

    async def _handle_event(
        self,
        peer_id: str,
        told: ChainEventBody,
    ) -> ChainEventReplyBody:
        if told.event == 'started':
            self._service.note_started(told.chain_id)
        elif told.event == 'failed':
            self._service.note_failed(told.chain_id, told.engine_id)
        else:
            self._service.note_ended(told.chain_id)
        return ChainEventReplyBody()

    def _tell(
        self,
        owner_id: str,
        chain_id: str,
        event: str,
        engine_id: str,
    ) -> None:
        message = ChainEventBody.model_validate(
            {'chain_id': chain_id, 'event': event, 'engine_id': engine_id},
        )
        self._teller.notify(owner_id, message, ChainEventReplyBody, chain_id)


def _is_moved(settled: Grant | Denial) -> TypeGuard[Denial]:
    """Tells whether another entry schedules a request from now on."""
    if isinstance(settled, Denial):
        return settled.reason is ChainRefusal.MOVED
    return False
