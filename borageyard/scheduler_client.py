"""Finds the entry that schedules a group of services and asks it."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from .chains import ChainOrder, ChainStage
from .clock import Clock
from .engine_board import Placement, Prompt, PromptPart
from .events import Event, log_event
from .fleet_state import FleetState
from .generated.peer_chains import (
    ChainEventBody,
    ChainEventReplyBody,
    ChainReplyBody,
    ChainRequestBody,
    ChainStageBody,
    PromptBody,
    PromptPartBody,
)
from .membership import Membership
from .peers import PeerError, PeerLink
from .plans import ChainRefusal, Denial, Grant
from .scheduler_service import SchedulerService
from .succession import choose_scheduler

# Time in which a peer takes in a report; losing one only wastes memory.
EVENT_TIMEOUT_MS = 1000
MAX_OWNERS = 4
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
        self.leaving = False
        self._instance_id = instance_id
        self._state = state
        self._membership = membership
        self._peers = peers
        self._service = service
        self._clock = clock
        self._owners: dict[str, str] = {}
        self._telling: set[asyncio.Task[None]] = set()
        peers.register(ChainRequestBody, self._handle_chain)
        peers.register(ChainEventBody, self._handle_event)

    async def place(
        self,
        order: ChainOrder,
        excluded: frozenset[str],
    ) -> Grant | Denial:
        """Has the stages of a request run and an engine chosen.

        An owner that can't be reached is passed over: what it had begun is
        done again by the next one.

        Args:
            order: What the request needs.
            excluded: Engines that failed it.
        """
        passed: set[str] = set()
        while len(passed) < MAX_OWNERS:
            owner_id = self._owner_of(order.engine_service, passed)
            self._owners[order.chain_id] = owner_id
            if owner_id == self._instance_id:
                return await self._service.place(order, excluded)
            try:
                return await self._ask(owner_id, order, excluded)
            except PeerError as error:
                passed.add(owner_id)
                log_event(
                    Event.PEER_UNANSWERED,
                    peer_id=owner_id,
                    request_id=order.chain_id,
                    reason=str(error),
                )
        return Denial(order.chain_id, ChainRefusal.FAILING, RETRY_AFTER_MS)

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
        owner_id = self._owners.pop(chain_id, None)
        if owner_id is None:
            return
        if owner_id == self._instance_id:
            self._service.note_ended(chain_id)
            return
        self._tell(owner_id, chain_id, 'ended', '')

    def _owner_of(self, service: str, passed: set[str]) -> str:
        group = self._state.groups.get(service, service)
        now_ms = self._clock.steady_ms()
        started = {
            member.instance_id: member.incarnation
            for member in self._membership.alive(now_ms)
            # Those without an address are not ready: they know no targets.
            if member.address and member.instance_id not in passed
        }
        ready = bool(self._state.roster.services) and not self.leaving
        if ready or not started:
            started[self._instance_id] = self._membership.incarnation
        return choose_scheduler(group, started) or self._instance_id

    async def _ask(
        self,
        owner_id: str,
        order: ChainOrder,
        excluded: frozenset[str],
    ) -> Grant | Denial:
        now_ms = self._clock.steady_ms()
        reply = await self._peers.request(
            owner_id,
            _encode_order(order, excluded, now_ms),
            ChainReplyBody,
            max(order.deadline_at_ms - now_ms, 1),
        )
        if reply.refusal:
            reason = ChainRefusal(reply.refusal)
            return Denial(order.chain_id, reason, reply.retry_after_ms)
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
        order = _decode_order(request, now_ms)
        excluded = frozenset(request.excluded)
        settled = await self._service.place(order, excluded)
        if isinstance(settled, Denial):
            return ChainReplyBody(
                refusal=settled.reason.value,
                retry_after_ms=settled.retry_after_ms,
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
        self._spawn(self._send_event(owner_id, message))

    async def _send_event(
        self,
        owner_id: str,
        message: ChainEventBody,
    ) -> None:
        try:
            await self._peers.request(
                owner_id,
                message,
                ChainEventReplyBody,
                EVENT_TIMEOUT_MS,
            )
        except PeerError as error:
            log_event(
                Event.PEER_UNANSWERED,
                peer_id=owner_id,
                request_id=message.chain_id,
                reason=str(error),
            )

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._telling.add(task)
        task.add_done_callback(self._telling.discard)


def _encode_order(
    order: ChainOrder,
    excluded: frozenset[str],
    now_ms: float,
) -> ChainRequestBody:
    return ChainRequestBody(
        chain_id=order.chain_id,
        piece_key=order.piece_key,
        stages=[
            ChainStageBody(
                service=stage.service,
                pieces=stage.pieces,
                after=list(stage.after),
                result_bytes=stage.result_bytes,
                work=stage.work,
            )
            for stage in order.stages
        ],
        engine_service=order.engine_service,
        prompt=PromptBody(
            model=order.prompt.model,
            parts=[
                PromptPartBody(id=part.part_id, tokens=part.tokens)
                for part in order.prompt.parts
            ],
            prompt_tokens=order.prompt.prompt_tokens,
            output_tokens=order.prompt.output_tokens,
        ),
        priority=order.priority,
        aim_left_ms=order.aim_at_ms - now_ms,
        deadline_left_ms=order.deadline_at_ms - now_ms,
        excluded=sorted(excluded),
    )


def _decode_order(request: ChainRequestBody, now_ms: float) -> ChainOrder:
    prompt = request.prompt
    return ChainOrder(
        chain_id=request.chain_id,
        piece_key=request.piece_key,
        stages=tuple(
            ChainStage(
                stage.service,
                stage.pieces,
                tuple(stage.after),
                stage.result_bytes,
                stage.work,
            )
            for stage in request.stages
        ),
        engine_service=request.engine_service,
        prompt=Prompt(
            prompt.model,
            tuple(PromptPart(part.id, part.tokens) for part in prompt.parts),
            prompt.prompt_tokens,
            prompt.output_tokens,
        ),
        priority=request.priority,
        aim_at_ms=now_ms + request.aim_left_ms,
        deadline_at_ms=now_ms + request.deadline_left_ms,
        received_at_ms=now_ms,
    )
