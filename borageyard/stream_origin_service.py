"""Exchanges between entries which software version began a stream."""

import asyncio
from collections.abc import Collection, Sequence

from .clock import Clock
from .election_service import ElectionService
from .events import Event, log_event
from .fleet_state import FleetState
from .generated.peer_streams import (
    StreamOriginBody,
    StreamOriginQueryBody,
    StreamOriginQueryReplyBody,
    StreamOriginsBody,
    StreamOriginsReplyBody,
)
from .peer_notifier import PeerNotifier
from .peers import PeerError, PeerLink
from .rendezvous import hash_weight
from .served_versions import HISTORY_MS
from .shared_table import Table
from .stream_journal import StreamJournal, decode_origin, encode_origin
from .stream_origins import StreamOrigin

# Entries that keep the origin of a stream besides the one that relays it.
BACKUPS = 3
# Time limit for the answer of a peer; the caller waits for its next event.
QUERY_TIMEOUT_MS = 200
# Age of the last read of the targets up to which this entry knows all versions
# that serve: the interval of the reads, and the time that two of them take.
FRESH_MS = 2000


class StreamOriginService:
    """Knows which version began a stream, also one of another entry.

    Each entry remembers the streams that it relays. While a service has one
    version, all entries know the origin of its streams anyway. Once it has a
    second one, each entry gives the origins of its streams to some others,
    which are chosen by a hash of the request, so that whoever takes a stream up
    can ask them, and to the scheduler, which keeps them in the store in case
    that all entries are lost.
    """

    def __init__(
        self,
        state: FleetState,
        elections: ElectionService,
        link: PeerLink,
        clock: Clock,
        journal: StreamJournal,
    ) -> None:
        """Registers its messages on the link and a listener on the tables.

        Args:
            state: Holds the target roster.
            elections: Elects the schedulers, which know all present versions.
            link: Link to the peers.
            clock: Source of time.
            journal: What the shared store knows of streams.
        """
        self._state = state
        self._elections = elections
        self._link = link
        self._clock = clock
        self._journal = journal
        self._origins = journal.origins
        self._versions = journal.versions
        # Revision of the roster that the history includes.
        self._revision = 0
        self._notifier = PeerNotifier(link)
        link.register(StreamOriginsBody, self._handle_origins)
        link.register(StreamOriginQueryBody, self._handle_query)
        state.add_listener(self._on_table_change)

    def note_begun(self, origin: StreamOrigin) -> None:
        """Remembers the origin of a stream that this entry relays.

        Args:
            origin: The origin.
        """
        self._origins.add(origin, shared=False)
        self._share(origin.service)

    async def resolve(
        self, request_id: str, service: str, span_ms: float
    ) -> str | None:
        """Returns the version that began a stream, or None if unknown.

        Args:
            request_id: Id of the request that brought its first event.
            service: Service of its engines.
            span_ms: Time since which it may have been running.
        """
        own = self._reply(request_id, service, span_ms)
        if own.known:
            return own.software_version
        peer_ids = self._peers_to_ask(request_id, service)
        query = StreamOriginQueryBody(
            request_id=request_id, service=service, span_ms=span_ms
        )
        replies = await asyncio.gather(
            *(self._ask(peer_id, query) for peer_id in peer_ids)
        )
        answered = [reply for reply in replies if reply is not None]
        version = None
        cut_off = bool(peer_ids) and not answered
        if not cut_off or self._knows_all_versions(service, span_ms):
            version = _find_version([own, *answered])
        source = 'entries'
        if version is None:
            await self._journal.read_origins()
            origin = self._origins.find(request_id, self._clock.steady_ms())
            version = origin.software_version if origin else None
            source = 'store'
        log_event(
            Event.STREAM_ORIGIN_SOUGHT,
            request_id=request_id,
            software_version=version,
            source=source,
            recent_versions=own.recent_versions,
            complete=own.complete,
            answered=len(answered),
            asked=len(peer_ids),
        )
        return version

    def _peers_to_ask(self, request_id: str, service: str) -> Sequence[str]:
        """Returns the peers that may know the origin of a stream.

        The relaying entry is left out when it chooses its backups, so one more
        is asked; and it may have taken others for lost than this one does. The
        scheduler had seen the version of the engine.
        """
        known = frozenset(self._link.peer_ids())
        live = known.intersection(self._elections.candidates())
        wanted = dict.fromkeys(
            [
                *_rank(request_id, live)[: BACKUPS + 1],
                *_rank(request_id, known)[: BACKUPS + 1],
                self._elections.find(service),
            ]
        )
        return [peer_id for peer_id in wanted if peer_id in known]

    def _knows_all_versions(self, service: str, span_ms: float) -> bool:
        """Returns whether this entry needs no peer to know all versions.

        It has read the store all the time and just now.
        """
        now_ms = self._clock.steady_ms()
        read_at_ms = self._state.mirrors[Table.TARGETS].read_at_ms
        fresh = now_ms - read_at_ms <= FRESH_MS
        return fresh and self._versions.is_complete(service, span_ms, now_ms)

    def _backups(self, request_id: str) -> Sequence[str]:
        known = frozenset(self._link.peer_ids())
        live = known.intersection(self._elections.candidates())
        return _rank(request_id, live)[:BACKUPS]

    async def _ask(
        self, peer_id: str, query: StreamOriginQueryBody
    ) -> StreamOriginQueryReplyBody | None:
        try:
            return await self._link.request(
                peer_id, query, StreamOriginQueryReplyBody, QUERY_TIMEOUT_MS
            )
        except PeerError as error:
            log_event(
                Event.PEER_UNANSWERED,
                peer_id=peer_id,
                request_id=query.request_id,
                reason=str(error),
            )
        return None

    def _reply(
        self, request_id: str, service: str, span_ms: float
    ) -> StreamOriginQueryReplyBody:
        """Returns what this entry knows of a stream."""
        now_ms = self._clock.steady_ms()
        origin = self._origins.find(request_id, now_ms)
        return StreamOriginQueryReplyBody(
            known=origin is not None,
            software_version=origin.software_version if origin else '',
            recent_versions=sorted(
                self._versions.recent(service, span_ms, now_ms)
            ),
            complete=self._versions.is_complete(service, span_ms, now_ms),
        )

    async def _handle_query(
        self, peer_id: str, query: StreamOriginQueryBody
    ) -> StreamOriginQueryReplyBody:
        return self._reply(query.request_id, query.service, query.span_ms)

    async def _handle_origins(
        self, peer_id: str, message: StreamOriginsBody
    ) -> StreamOriginsReplyBody:
        now_ms = self._clock.steady_ms()
        for body in message.origins:
            origin = decode_origin(body, now_ms)
            self._origins.add(origin, shared=True)
            if self._journal.keeps(origin.service):
                self._journal.record([origin])
        return StreamOriginsReplyBody()

    def _on_table_change(self, table: Table) -> None:
        roster = self._state.roster
        if table is not Table.TARGETS or roster.revision == self._revision:
            return
        self._revision = roster.revision
        rows = roster.rows()
        self._versions.update(rows, self._clock.steady_ms())
        self._journal.note_targets()
        services = {row.service for row in rows}
        for service in services:
            self._share(service)

    def _share(self, service: str) -> None:
        """Gives origins to the backups if the service has several versions."""
        now_ms = self._clock.steady_ms()
        if len(self._versions.recent(service, HISTORY_MS, now_ms)) < 2:
            return
        origins = self._origins.take_unshared(service, now_ms)
        if self._journal.keeps(service):
            self._journal.record(origins)
        by_peer: dict[str, list[StreamOriginBody]] = {}
        for origin in origins:
            body = encode_origin(origin, now_ms)
            for peer_id in self._keepers(origin):
                by_peer.setdefault(peer_id, []).append(body)
        for peer_id, bodies in by_peer.items():
            message = StreamOriginsBody(origins=bodies)
            self._notifier.notify(peer_id, message, StreamOriginsReplyBody)

    def _keepers(self, origin: StreamOrigin) -> Collection[str]:
        """Returns the peers that keep an origin: backups and the scheduler."""
        scheduler_id = self._elections.find(origin.service)
        keepers = {scheduler_id, *self._backups(origin.request_id)}
        return keepers.intersection(self._link.peer_ids())


def _rank(request_id: str, peer_ids: Collection[str]) -> Sequence[str]:
    """Returns peers in the order in which they keep the origin of a stream."""
    return sorted(
        peer_ids,
        key=lambda peer_id: hash_weight(request_id, peer_id),
        reverse=True,
    )


def _find_version(
    replies: Sequence[StreamOriginQueryReplyBody],
) -> str | None:
    """Returns the version that the answers of several entries show."""
    known = [reply.software_version for reply in replies if reply.known]
    if known:
        return known[0]
    versions = {
        version for reply in replies for version in reply.recent_versions
    }
    if len(versions) == 1 and any(reply.complete for reply in replies):
        return versions.pop()
    return None
