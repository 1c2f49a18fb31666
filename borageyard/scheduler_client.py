"""Client for the entry that schedules a group of services."""

import asyncio
import dataclasses
import functools
from typing import TypeGuard

from .chain_messages import (
    decode_chain_spec,
    decode_refusal,
    decode_results,
    decode_start,
    encode_chain_spec,
    encode_event,
    encode_refusal,
    encode_results,
)
from .chains import ChainSpec
from .clock import MS_PER_S, Clock
from .election_service import ElectionService
from .engine_failures import EngineFailures
from .engine_placer import Placement
from .events import Event, log_event
from .failure_domains.grant_review import GrantReview, deny_evacuated
from .fleet_state import FleetState
from .generated.peer_chains import (
    ChainEventBody,
    ChainEventReplyBody,
    ChainReplyBody,
    ChainRequestBody,
)
from .peer_notifier import PeerNotifier
from .peers import PeerError, PeerLink
from .plans import ChainRefusal, Denial, Grant
from .result_tracker import ResultTracker
from .scheduler_service import SchedulerService
from .target_backoffs import TargetBackoffs
from .target_speed.target_speeds import EngineStart

# Time for which a request that no scheduler takes waits for a new one: until
# the term of a lost scheduler has expired and several candidates were lost.
MAX_UNPLACED_MS = 3000
# Pause before a request is sent again.
RETRY_PAUSE_MS = 50
# Time in which a broken stream is reopened: the minimum reconnect delay of the
# peer link plus one round trip.
RECONNECT_MS = 120
ATTEMPTS_PER_SCHEDULER = 2
# Time for which the scheduler keeps a request after its sender has gone.
LINGER_MS = 600
RETRY_AFTER_MS = 500


class SchedulerClient:
    """Sends requests to the elected scheduler of a group.

    If it can't be reached, another entry passes the request on to it. If that
    fails too or the request was moved, it waits for the next scheduler.
    """

    def __init__(
        self,
        instance_id: str,
        state: FleetState,
        elections: ElectionService,
        peers: PeerLink,
        service: SchedulerService,
        clock: Clock,
        backoffs: TargetBackoffs,
    ) -> None:
        """Registers the handlers for messages of peers.

        Args:
            instance_id: Id of this entry.
            state: Targets and configuration.
            elections: Elects the schedulers.
            peers: Streams to the other entries.
            service: The scheduler of this entry.
            clock: Source of monotonic time.
            backoffs: Pauses that engines asked this entry for.
        """
        self.failures = EngineFailures()
        self._backoffs = backoffs
        self._instance_id = instance_id
        self._elections = elections
        self._state = state
        self._peers = peers
        self._service = service
        self._clock = clock
        # Id of the scheduling entry by request id.
        self._schedulers: dict[str, str] = {}
        self._results = ResultTracker(peers, clock)
        # Entries that did not answer any attempt, until they answer again.
        self._unresponsive: set[str] = set()
        # Requests that another entry was asked to pass on; each one goes to
        # the next entry.
        self._relay_count = 0
        self._notifier = PeerNotifier(peers)
        peers.register(ChainRequestBody, self._handle_chain)
        peers.register(ChainEventBody, self._handle_event)
        service.call_runner.results_listener = self._results.publish_results
        elections.add_listener(self._release_foreign_services)

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
        engines = self._state.roster.ready(spec.engine_service)
        pause_ms = min(map(self._backoffs.remaining_ms, engines), default=0)
        if pause_ms:
            return Denial(spec.chain_id, ChainRefusal.NO_TARGET, pause_ms)
        if excluded and await self.failures.are_own():
            spec = dataclasses.replace(spec, avoided=spec.avoided | excluded)
            excluded = frozenset()
        excluded |= self._backoffs.paused_ids(engines)
        excluded |= self._state.roster.unannounced_departures().keys()
        review = GrantReview(self._state.roster.evacuated, excluded)
        unplaced_since_ms = self._clock.steady_ms()
        while True:
            until_ms = min(
                unplaced_since_ms + MAX_UNPLACED_MS, spec.deadline_at_ms
            )
            outcome = review.check(
                await self._place_once(spec, review.excluded, until_ms)
            )
            if outcome is not None and not _is_open(outcome):
                return outcome
            now_ms = self._clock.steady_ms()
            if outcome is not None:
                unplaced_since_ms = now_ms
                until_ms = spec.deadline_at_ms
            if now_ms + RETRY_PAUSE_MS >= until_ms:
                break
            await asyncio.sleep(RETRY_PAUSE_MS / MS_PER_S)
            spec = dataclasses.replace(
                spec, results=self._results.results_of(spec.chain_id)
            )
        return Denial(spec.chain_id, ChainRefusal.FAILING, RETRY_AFTER_MS)

    def note_started(
        self, chain_id: str, start: EngineStart | None = None
    ) -> None:
        """Notifies the scheduler that the engine has started its answer.

        Args:
            chain_id: Id of the request.
            start: When it did, and what the engine stated.
        """
        self._tell('started', chain_id, start=start)

    def note_failed(self, chain_id: str, engine_id: str) -> None:
        """Notifies the scheduler that an engine failed a request.

        The engine is not named if this entry is partitioned from all.
        """
        self.failures.report(
            engine_id, functools.partial(self._tell, 'failed', chain_id)
        )

    def note_ended(self, chain_id: str) -> None:
        """Notifies the scheduler that a request has ended."""
        scheduler_id = self._forget(chain_id)
        if scheduler_id:
            self._tell_at(scheduler_id, encode_event('ended', chain_id))

    def _forget(self, chain_id: str) -> str:
        """Forgets a request; returns the entry that it was sent to."""
        self._results.forget(chain_id)
        return self._schedulers.pop(chain_id, '')

    def _tell(
        self,
        event: str,
        chain_id: str,
        engine_id: str = '',
        start: EngineStart | None = None,
    ) -> None:
        """Passes an event of a request on to the entry that schedules it."""
        scheduler_id = self._schedulers.get(chain_id, self._instance_id)
        message = encode_event(event, chain_id, engine_id, start)
        self._tell_at(scheduler_id, message)

    def _tell_at(self, scheduler_id: str, message: ChainEventBody) -> None:
        if scheduler_id == self._instance_id:
            _apply_event(self._service, message)
            return
        self._notifier.notify(
            scheduler_id, message, ChainEventReplyBody, message.chain_id
        )

    async def _place_once(
        self,
        spec: ChainSpec,
        excluded: frozenset[str],
        until_ms: float,
    ) -> Grant | Denial | None:
        """Returns the outcome from the present scheduler, if there is one.

        Args:
            spec: The request.
            excluded: Ids of the engines that failed it.
            until_ms: Monotonic time until which to wait for a scheduler.
        """
        denial = deny_evacuated(spec, self._state.roster.evacuated)
        if denial is not None:
            return denial
        service = spec.engine_service
        scheduler_id = await self._elections.wait_for(service, until_ms)
        if not scheduler_id:
            return None
        if scheduler_id == self._instance_id:
            self._assign(spec.chain_id, scheduler_id)
            placed = await self._service.place(spec, excluded)
            self._keep_moved_results(scheduler_id, placed)
            return placed
        outcome = await self._place_with_retry(scheduler_id, spec, excluded)
        if outcome is None and self._elections.find(service) == scheduler_id:
            outcome = await self._place_by_relay(scheduler_id, spec, excluded)
        return outcome

    async def _place_by_relay(
        self,
        scheduler_id: str,
        spec: ChainSpec,
        excluded: frozenset[str],
    ) -> Grant | Denial | None:
        """Returns the outcome from a scheduler that this entry can't reach.

        Its renewals arrive through other entries, so one of those is asked to
        pass the request on.
        """
        relays = [
            peer_id
            for peer_id in self._peers.connected_ids()
            if peer_id != scheduler_id
        ]
        if not relays:
            return None
        self._relay_count += 1
        relay_id = relays[self._relay_count % len(relays)]
        self._assign(spec.chain_id, relay_id)
        try:
            outcome = await self._place_at_peer(
                relay_id, spec, excluded, relay=True
            )
        except PeerError as error:
            _log_unanswered(relay_id, spec.chain_id, error)
            return None
        if isinstance(outcome, Denial):
            if outcome.reason is ChainRefusal.UNREACHABLE:
                return None
            self._keep_moved_results(relay_id, outcome)
        return outcome

    def _assign(self, chain_id: str, scheduler_id: str) -> None:
        """Records the entry that a request is sent to."""
        self._schedulers[chain_id] = scheduler_id
        self._results.assign_scheduler(chain_id, scheduler_id)

    async def _place_with_retry(
        self,
        scheduler_id: str,
        spec: ChainSpec,
        excluded: frozenset[str],
    ) -> Grant | Denial | None:
        """Returns the outcome from a peer, or None if it does not answer.

        The stream to a live peer is reopened at once after it breaks, and the
        peer keeps the request meanwhile, so a second attempt is worthwhile.
        """
        self._assign(spec.chain_id, scheduler_id)
        for _ in range(ATTEMPTS_PER_SCHEDULER):
            try:
                outcome = await self._place_at_peer(
                    scheduler_id, spec, excluded
                )
            except PeerError as error:
                _log_unanswered(scheduler_id, spec.chain_id, error)
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

    def _release_foreign_services(self) -> None:
        """Releases requests that another entry now schedules."""
        foreign_services = [
            service
            for service in self._state.groups
            if self._elections.find(service) != self._instance_id
        ]
        self._service.release(frozenset(foreign_services))

    async def _place_at_peer(
        self,
        peer_id: str,
        spec: ChainSpec,
        excluded: frozenset[str],
        *,
        relay: bool = False,
    ) -> Grant | Denial:
        now_ms = self._clock.steady_ms()
        message = encode_chain_spec(spec, excluded, now_ms)
        message.relay = relay
        reply = await self._peers.request(
            peer_id,
            message,
            ChainReplyBody,
            max(spec.deadline_at_ms - now_ms, 1),
        )
        if reply.refusal:
            reason = decode_refusal(reply)
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
        if self._state.roster.has_drained(engine):
            # The peer may not have heard of the departure yet.
            log_event(
                Event.GRANT_DECLINED,
                request_id=spec.chain_id,
                engine_id=engine.target_id,
            )
            return Denial(spec.chain_id, ChainRefusal.NO_TARGET, RETRY_AFTER_MS)
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
            if request.relay:
                outcome = await self._relay(spec, excluded)
            else:
                outcome = await self._service.place(spec, excluded, LINGER_MS)
        if isinstance(outcome, Denial):
            return ChainReplyBody(
                refusal=encode_refusal(outcome.reason),
                over_share=outcome.reason is ChainRefusal.SHARE,
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

    async def _relay(
        self, spec: ChainSpec, excluded: frozenset[str]
    ) -> Grant | Denial:
        """Passes a request of a peer on to the scheduler."""
        scheduler_id = self._elections.find(spec.engine_service)
        if scheduler_id == self._instance_id:
            return await self._service.place(spec, excluded, LINGER_MS)
        outcome: Grant | Denial | None = None
        if scheduler_id:
            outcome = await self._place_with_retry(scheduler_id, spec, excluded)
        if isinstance(outcome, Grant):
            # Needed until the peer reports the end of the request.
            return outcome
        self._forget(spec.chain_id)
        return outcome or Denial(
            spec.chain_id, ChainRefusal.UNREACHABLE, RETRY_AFTER_MS
        )

    async def _handle_event(
        self,
        peer_id: str,
        event_body: ChainEventBody,
    ) -> ChainEventReplyBody:
        # The request is scheduled here, or was passed on by this entry.
        chain_id = event_body.chain_id
        if event_body.event == 'ended':
            relayed_to = self._forget(chain_id)
        else:
            relayed_to = self._schedulers.get(chain_id, '')
        self._tell_at(relayed_to or self._instance_id, event_body)
        return ChainEventReplyBody()


def _apply_event(service: SchedulerService, message: ChainEventBody) -> None:
    """Applies an event of a request that is scheduled here."""
    chain_id = message.chain_id
    if message.event == 'started':
        service.note_started(chain_id, decode_start(message))
    elif message.event == 'failed':
        service.note_failed(chain_id, message.engine_id)
    else:
        service.note_ended(chain_id)


def _log_unanswered(peer_id: str, chain_id: str, error: PeerError) -> None:
    log_event(
        Event.PEER_UNANSWERED,
        peer_id=peer_id,
        request_id=chain_id,
        reason=str(error),
    )


def _is_moved(outcome: Grant | Denial) -> TypeGuard[Denial]:
    """Returns whether another entry schedules the request from now on."""
    if isinstance(outcome, Denial):
        return outcome.reason is ChainRefusal.MOVED
    return False


def _is_open(outcome: Grant | Denial) -> bool:
    """Returns whether a scheduler is to be asked again."""
    if isinstance(outcome, Grant):
        return False
    return outcome.reason in {ChainRefusal.MOVED, ChainRefusal.DECLINED}
