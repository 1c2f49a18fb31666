"""Client for the entry that schedules a group of services."""

import asyncio
import dataclasses
from collections.abc import Mapping
from typing import TypeGuard

from .chain_messages import (
    decode_chain_spec,
    decode_results,
    encode_chain_spec,
    encode_results,
)
from .chains import ChainSpec
from .clock import MS_PER_S, Clock
from .engine_placer import Placement
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
from .result_tracker import ResultTracker
from .scheduler_finder import DISCOVERY_MS, SchedulerFinder
from .scheduler_service import SchedulerService

MAX_SCHEDULERS_TRIED = 4
# Time in which a broken stream is reopened: the minimum reconnect delay of the
# peer link plus one round trip.
RECONNECT_MS = 120
ATTEMPTS_PER_SCHEDULER = 2
# Time for which the scheduler keeps a request after its sender has gone.
LINGER_MS = 600
# Interval of the checks whether discovery of the other entries is over.
DISCOVERY_POLL_MS = 20
RETRY_AFTER_MS = 500


class SchedulerClient:
    """Sends requests to the scheduler of a group.

    All entries select the same scheduler for a group. If it does not answer or
    has moved the request, the request is sent to the next one.
    """

    def __init__(
        self,
        instance_id: str,
        state: FleetState,
        membership: Membership,
        peers: PeerLink,
        service: SchedulerService,
        clock: Clock,
    ) -> None:
        """Registers the handlers for messages of peers.

        Args:
            instance_id: Id of this entry.
            state: Targets and configuration.
            membership: The other entries.
            peers: Streams to the other entries.
            service: The scheduler of this entry.
            clock: Source of monotonic time.
        """
        self._instance_id = instance_id
        self._finder = SchedulerFinder(instance_id, state, membership, clock)
        self._state = state
        self._peers = peers
        self._service = service
        self._clock = clock
        # Id of the scheduling entry by request id.
        self._schedulers: dict[str, str] = {}
        self._results = ResultTracker(peers, clock)
        # Entries that did not answer any attempt, until they answer again.
        self._unresponsive: set[str] = set()
        self._notifier = PeerNotifier(peers)
        peers.register(ChainRequestBody, self._handle_chain)
        peers.register(ChainEventBody, self._handle_event)
        service.call_runner.results_listener = self._results.publish_results

    @property
    def schedulers(self) -> Mapping[str, str]:
        """Returns the id of the scheduling entry by group of services."""
        return self._finder.selected

    async def place(
        self,
        spec: ChainSpec,
        excluded: frozenset[str],
    ) -> Grant | Denial:
        """Runs the stages of a request and selects its engine.

        If a scheduler does not answer or has moved the request, the next one
        continues with the results reported so far.

        Args:
            spec: Stages, engine service and deadline of the request.
            excluded: Ids of the engines that failed the request.

        Returns:
            The engine and the inputs, or why there are none.
        """
        await self._wait_for_discovery()
        tried: frozenset[str] = frozenset()
        while len(tried) < MAX_SCHEDULERS_TRIED:
            scheduler_id = self._finder.find(spec.engine_service, tried)
            self._schedulers[spec.chain_id] = scheduler_id
            self._results.assign_scheduler(spec.chain_id, scheduler_id)
            outcome = await self._place_with_retry(scheduler_id, spec, excluded)
            if outcome is not None and not _is_moved(outcome):
                return outcome
            tried |= {scheduler_id}
            results = self._results.results_of(spec.chain_id)
            spec = dataclasses.replace(spec, results=results, passed_over=True)
        return Denial(spec.chain_id, ChainRefusal.FAILING, RETRY_AFTER_MS)

    def leave(self) -> None:
        """Stops scheduling here and releases the requests in progress."""
        self._finder.leaving = True
        self._release_foreign_services()

    def note_started(self, chain_id: str) -> None:
        """Notifies the scheduler that the engine has started its answer."""
        scheduler_id = self._schedulers.get(chain_id, self._instance_id)
        if scheduler_id == self._instance_id:
            self._service.note_started(chain_id)
            return
        self._notify_scheduler(scheduler_id, chain_id, 'started', '')

    def note_failed(self, chain_id: str, engine_id: str) -> None:
        """Notifies the scheduler that an engine failed a request."""
        scheduler_id = self._schedulers.get(chain_id, self._instance_id)
        if scheduler_id == self._instance_id:
            self._service.note_failed(chain_id, engine_id)
            return
        self._notify_scheduler(scheduler_id, chain_id, 'failed', engine_id)

    def note_ended(self, chain_id: str) -> None:
        """Notifies the scheduler that a request has ended."""
        self._results.forget(chain_id)
        scheduler_id = self._schedulers.pop(chain_id, None)
        if scheduler_id is None:
            return
        if scheduler_id == self._instance_id:
            self._service.note_ended(chain_id)
            return
        self._notify_scheduler(scheduler_id, chain_id, 'ended', '')

    async def _place_with_retry(
        self,
        scheduler_id: str,
        spec: ChainSpec,
        excluded: frozenset[str],
    ) -> Grant | Denial | None:
        """Returns the outcome from a scheduler, or None if it does not answer.

        The stream to a live peer is reopened at once after it breaks, and the
        peer keeps the request meanwhile, so a second attempt is worthwhile.
        """
        for _ in range(ATTEMPTS_PER_SCHEDULER):
            try:
                outcome = await self._place_at(scheduler_id, spec, excluded)
            except PeerError as error:
                log_event(
                    Event.PEER_UNANSWERED,
                    peer_id=scheduler_id,
                    request_id=spec.chain_id,
                    reason=str(error),
                )
            else:
                self._unresponsive.discard(scheduler_id)
                self._keep_moved_results(scheduler_id, outcome)
                return outcome
            if scheduler_id in self._unresponsive:
                return None
            await asyncio.sleep(RECONNECT_MS / MS_PER_S)
        self._unresponsive.add(scheduler_id)
        return None

    def _keep_moved_results(
        self,
        scheduler_id: str,
        outcome: Grant | Denial,
    ) -> None:
        if not _is_moved(outcome):
            return
        self._results.replace_results(outcome.chain_id, outcome.results)
        log_event(
            Event.CHAIN_MOVED,
            request_id=outcome.chain_id,
            scheduler_id=scheduler_id,
            results=len(outcome.results),
        )

    async def _wait_for_discovery(self) -> None:
        """Waits after startup until others had time to be discovered."""
        for _ in range(DISCOVERY_MS // DISCOVERY_POLL_MS):
            if self._finder.is_discovery_over():
                return
            await asyncio.sleep(DISCOVERY_POLL_MS / MS_PER_S)

    def _release_foreign_services(self) -> None:
        """Releases requests that another entry now schedules."""
        self._service.release(self._finder.foreign_services())

    async def _place_at(
        self,
        scheduler_id: str,
        spec: ChainSpec,
        excluded: frozenset[str],
    ) -> Grant | Denial:
        self._release_foreign_services()
        if scheduler_id == self._instance_id:
            return await self._service.place(spec, excluded)
        return await self._place_at_peer(scheduler_id, spec, excluded)

    async def _place_at_peer(
        self,
        scheduler_id: str,
        spec: ChainSpec,
        excluded: frozenset[str],
    ) -> Grant | Denial:
        now_ms = self._clock.steady_ms()
        reply = await self._peers.request(
            scheduler_id,
            encode_chain_spec(spec, excluded, now_ms),
            ChainReplyBody,
            max(spec.deadline_at_ms - now_ms, 1),
        )
        if reply.refusal:
            reason = ChainRefusal(reply.refusal)
            results = decode_results(reply.results, self._clock.steady_ms())
            return Denial(
                spec.chain_id,
                reason,
                reply.retry_after_ms,
                results,
            )
        engine = self._state.roster.find(reply.engine_id)
        if engine is None:
            raise PeerError(
                f'granted engine {reply.engine_id} is not in the target roster',
            )
        placement = Placement(engine, reply.cost_ms, 0)
        return Grant(spec.chain_id, placement, tuple(reply.handles))

    async def _handle_chain(
        self,
        peer_id: str,
        request: ChainRequestBody,
    ) -> ChainReplyBody:
        now_ms = self._clock.steady_ms()
        spec = decode_chain_spec(request, now_ms)
        excluded = frozenset(request.excluded)
        self._release_foreign_services()
        with self._results.publishing_to(spec.chain_id, peer_id):
            outcome = await self._service.place(spec, excluded, LINGER_MS)
        if isinstance(outcome, Denial):
            return ChainReplyBody(
                refusal=outcome.reason.value,
                retry_after_ms=outcome.retry_after_ms,
                results=encode_results(
                    outcome.results,
                    self._clock.steady_ms(),
                ),
            )
        return ChainReplyBody(
            engine_id=outcome.placement.engine.target_id,
            handles=list(outcome.handles),
            cost_ms=outcome.placement.cost_ms,
        )

    async def _handle_event(
        self,
        peer_id: str,
        event_body: ChainEventBody,
    ) -> ChainEventReplyBody:
        if event_body.event == 'started':
            self._service.note_started(event_body.chain_id)
        elif event_body.event == 'failed':
            self._service.note_failed(event_body.chain_id, event_body.engine_id)
        else:
            self._service.note_ended(event_body.chain_id)
        return ChainEventReplyBody()

    def _notify_scheduler(
        self,
        scheduler_id: str,
        chain_id: str,
        event: str,
        engine_id: str,
    ) -> None:
        message = ChainEventBody.model_validate(
            {'chain_id': chain_id, 'event': event, 'engine_id': engine_id},
        )
        self._notifier.notify(
            scheduler_id, message, ChainEventReplyBody, chain_id
        )


def _is_moved(outcome: Grant | Denial) -> TypeGuard[Denial]:
    """Returns whether another entry schedules the request from now on."""
    if isinstance(outcome, Denial):
        return outcome.reason is ChainRefusal.MOVED
    return False
