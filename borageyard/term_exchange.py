"""Exchange of scheduler terms with peers, by gossip and polls."""

import asyncio
import contextlib
from collections.abc import Callable, Iterable, Sequence

from .clock import MS_PER_S, Clock
from .events import Event, log_event
from .generated.peer_elections import (
    SchedulerNewsBody,
    SchedulerPollBody,
    SchedulerPollReplyBody,
    SchedulerTermBody,
)
from .machine_capacity.entry_capacity import stated_cores
from .peers import GossipSection, PeerError, PeerLink
from .scheduler_election import SchedulerElection
from .scheduler_terms import PollAnswer, SchedulerTerm, TermReport

# Delay in which several changes are passed on together.
ANNOUNCE_DELAY_MS = 20
# Peers that are polled, and answers that suffice.
POLLED_PEERS = 5
ENOUGH_ANSWERS = 3
# Larger entries among those that a small one polls, so that one of them is
# among the first answers.
POLLED_LARGER = 3
POLL_TIMEOUT_MS = 250


class TermExchange:
    """Passes the terms that one entry knows on to its peers.

    Each entry passes on what is news to it, so news reach the whole fleet
    although each entry sends to its neighbours only.
    """

    def __init__(
        self,
        election: SchedulerElection,
        link: PeerLink,
        clock: Clock,
        on_report: Callable[[], None],
    ) -> None:
        """Registers the gossip section and the poll handler on the link.

        Args:
            election: Merges the terms that peers report.
            link: Link to the peers.
            clock: Source of monotonic time.
            on_report: Called after each report of a peer was merged.
        """
        self._election = election
        self._link = link
        self._clock = clock
        self._on_report = on_report
        self._announcement: asyncio.TimerHandle | None = None
        self._polls = 0
        # Returns the largest computing power of an entry known to be ready.
        self.ready_cores: Callable[[], float] = float
        link.register(SchedulerPollBody, self._handle_poll)
        link.add_gossip_section(
            GossipSection(
                SchedulerNewsBody,
                self._provide,
                self._consume,
                urgent=True,
                periodic=False,
            ),
        )

    def announce(self) -> None:
        """Sends the terms to the neighbours after a short delay."""
        if self._announcement is None:
            loop = asyncio.get_running_loop()
            self._announcement = loop.call_later(
                ANNOUNCE_DELAY_MS / MS_PER_S, self._send
            )

    def close(self) -> None:
        """Cancels a pending announcement."""
        if self._announcement is not None:
            self._announcement.cancel()
            self._announcement = None

    async def poll(
        self, groups: Iterable[str], larger: Sequence[str] = ()
    ) -> Sequence[PollAnswer]:
        """Polls some peers, the last schedulers of the groups first.

        Args:
            groups: Groups for which a scheduler is sought.
            larger: Entries beside which this one is small, in the order of
                the last contact; some of them are polled before all others.

        Returns:
            The answers.
        """
        answers: list[PollAnswer] = []
        with contextlib.ExitStack() as stack:
            asks = [
                asyncio.ensure_future(self._ask(peer_id))
                for peer_id in self._peers_to_poll(groups, larger)
            ]
            for ask in asks:
                stack.callback(ask.cancel)
            for asked in asyncio.as_completed(asks):
                answer = await asked
                if answer is not None:
                    answers.append(answer)
                if len(answers) >= ENOUGH_ANSWERS:
                    break
        return answers

    async def hand_over(self, peer_id: str, groups: Sequence[str]) -> None:
        """Asks a peer to schedule groups of this entry from now on.

        Args:
            peer_id: Id of the peer.
            groups: The groups.
        """
        await self._ask(peer_id, groups)

    def _peers_to_poll(
        self, groups: Iterable[str], larger: Sequence[str]
    ) -> Sequence[str]:
        last_ids = [
            election.term.scheduler_id
            for election in map(self._election.state_of, groups)
            if election.term is not None
        ]
        peer_ids = self._link.peer_ids()
        connected_ids = self._link.connected_ids()
        self._polls += 1
        ordered = (
            *larger[:1],
            *_rotate(larger, self._polls * POLLED_LARGER)[:POLLED_LARGER],
            *last_ids,
            *_rotate(connected_ids, self._polls * POLLED_PEERS),
            *_rotate(peer_ids, self._polls * POLLED_PEERS),
        )
        known_ids = frozenset(peer_ids)
        known = [name for name in dict.fromkeys(ordered) if name in known_ids]
        return known[:POLLED_PEERS]

    async def _ask(
        self, peer_id: str, handed_over: Sequence[str] = ()
    ) -> PollAnswer | None:
        """Merges what a peer knows; returns its answer if there is one."""
        try:
            reply = await self._link.request(
                peer_id,
                SchedulerPollBody(
                    terms=self._encode_terms(), handed_over=list(handed_over)
                ),
                SchedulerPollReplyBody,
                POLL_TIMEOUT_MS,
            )
        except PeerError as error:
            log_event(
                Event.PEER_UNANSWERED,
                peer_id=peer_id,
                request_id='',
                reason=str(error),
            )
            return None
        self._merge(peer_id, reply.terms)
        return PollAnswer(
            peer_id,
            stated_cores(reply.processor_cores) or 0,
            reply.ready,
            stated_cores(reply.ready_cores) or 0,
        )

    async def _handle_poll(
        self, peer_id: str, message: SchedulerPollBody
    ) -> SchedulerPollReplyBody:
        self._merge(peer_id, message.terms)
        self._take_over(peer_id, message.handed_over)
        election = self._election
        return SchedulerPollReplyBody(
            terms=self._encode_terms(),
            processor_cores=election.capacity.own_cores or 0,
            ready=election.eligible,
            ready_cores=self.ready_cores(),
        )

    def _take_over(self, peer_id: str, groups: Iterable[str]) -> None:
        now_ms = self._clock.steady_ms()
        taken = [
            self._election.take_over(group, peer_id, now_ms) for group in groups
        ]
        if any(taken):
            self.announce()
            self._on_report()

    def _provide(self) -> SchedulerNewsBody:
        return SchedulerNewsBody(terms=self._encode_terms())

    def _consume(self, peer_id: str, gossip: SchedulerNewsBody) -> None:
        self._merge(peer_id, gossip.terms)

    def _merge(self, peer_id: str, terms: Iterable[SchedulerTermBody]) -> None:
        now_ms = self._clock.steady_ms()
        self._election.note_contact()
        news = [
            self._election.merge(_decode_term(body), peer_id, now_ms)
            for body in terms
        ]
        if any(news):
            self.announce()
        self._on_report()

    def _send(self) -> None:
        self._announcement = None
        self._link.send_section(SchedulerNewsBody)

    def _encode_terms(self) -> list[SchedulerTermBody]:
        return [
            SchedulerTermBody(
                group=report.term.group,
                number=report.term.number,
                scheduler_id=report.term.scheduler_id,
                incarnation=report.term.incarnation,
                renewal=report.term.renewal,
                ended=report.term.ended,
                age_ms=max(round(report.age_ms), 0),
            )
            for report in self._election.reports(self._clock.steady_ms())
        ]


def _decode_term(body: SchedulerTermBody) -> TermReport:
    term = SchedulerTerm(
        body.group,
        body.number,
        body.scheduler_id,
        body.incarnation,
        body.renewal,
        body.ended,
    )
    return TermReport(term, body.age_ms)


def _rotate(names: Sequence[str], by: int) -> Sequence[str]:
    start = by % max(len(names), 1)
    return (*names[start:], *names[:start])
