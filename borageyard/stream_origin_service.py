"""Exchanges between entries which software version began a stream."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Collection, Sequence

from .clock import MS_PER_S, Clock
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
from .software_versions import VersionHistory
from .stream_journal import StreamJournal, decode_origin, encode_origin
from .stream_origins import StreamOrigin
from .tasks import running_tasks
from .version_listing import VersionListing

# Entries that keep the origin of a stream besides the one that relays it.
BACKUPS = 3
# Time limit for the answer of a peer; the caller waits for its next event.
QUERY_TIMEOUT_MS = 200
# Time in which the store answers as a rule; peers are asked after it.
STORE_FIRST_MS = 50
# Part of the time limit of a query in which a peer reads the store.
PEER_READ_MS = 150
# Age of the last read of the targets up to which the store counts as reached:
# the interval of the reads, and the time that two of them take.
REACHED_MS = 2000
SHARE_INTERVAL_MS = 500


class StreamOriginService:
    """Knows which version began a stream, also one of another entry.

    Each entry remembers the streams that it relays. While a service has one
    version, the list of versions in the store is proof enough; it must be read
    after the stream broke off, as any earlier knowledge may be out of date.
    Once the service has a second version, or the store is out of reach, each
    entry gives the origins of its streams to some others, which are chosen by a
    hash of the request, so that whoever takes a stream up can ask them, and to
    the scheduler, which keeps them in the store in case that all entries are
    lost.
    """

    def __init__(
        self,
        state: FleetState,
        elections: ElectionService,
        link: PeerLink,
        clock: Clock,
        journal: StreamJournal,
        listing: VersionListing,
    ) -> None:
        """Registers its messages on the link and a listener on the tables.

        Args:
            state: Holds the target roster.
            elections: Elects the schedulers, which know all present versions.
            link: Link to the peers.
            clock: Source of time.
            journal: What the shared store knows of streams.
            listing: Versions that the shared store lists.
        """
        self._state = state
        self._elections = elections
        self._link = link
        self._clock = clock
        self._journal = journal
        self._origins = journal.origins
        self._listing = listing
        self._versions = VersionHistory()
        # Revision of the roster that the history includes.
        self._revision = 0
        self._notifier = PeerNotifier(link)
        link.register(StreamOriginsBody, self._handle_origins)
        link.register(StreamOriginQueryBody, self._handle_query)
        state.add_listener(self._on_table_change)

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Shares origins in time within the scope."""
        async with running_tasks(self._share_all):
            yield

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
        async with contextlib.AsyncExitStack() as stack:
            reading = asyncio.ensure_future(self._read_list(own, service))
            stack.callback(reading.cancel)
            await asyncio.wait([reading], timeout=STORE_FIRST_MS / MS_PER_S)
            version, source = await self._seek(
                StreamOriginQueryBody(
                    request_id=request_id, service=service, span_ms=span_ms
                ),
                own,
                reading,
            )
        log_event(
            Event.STREAM_ORIGIN_SOUGHT,
            request_id=request_id,
            software_version=version,
            source=source,
            recent_versions=own.recent_versions,
        )
        return version

    async def _seek(
        self,
        query: StreamOriginQueryBody,
        own: StreamOriginQueryReplyBody,
        reading: asyncio.Task[Collection[str] | None],
    ) -> tuple[str | None, str]:
        """Returns the version that began a stream, and what showed it.

        Args:
            query: The stream.
            own: What this entry knows of it.
            reading: Reads the list of versions.
        """
        if reading.done():
            version = _only_version(reading.result())
            if version is not None:
                return version, 'list'
        query.list_wanted = not reading.done() or reading.result() is None
        replies = await self._ask_all(query)
        for reply in replies:
            if reply.known:
                return reply.software_version, 'entries'
        version = _only_version(await reading)
        if version is not None:
            return version, 'list'
        if reading.result() is None:
            version = _only_version(_join_lists([own, *replies]))
        if version is not None:
            return version, 'list of peers'
        await self._journal.read_origins()
        origin = self._origins.find(query.request_id, self._clock.steady_ms())
        return (origin.software_version if origin else None), 'store'

    async def _read_list(
        self, own: StreamOriginQueryReplyBody, service: str
    ) -> Collection[str] | None:
        """Returns the versions of which a stream may be; None if unknown."""
        if len(own.recent_versions) > 1:
            return own.recent_versions
        listed = await self._listing.read(service)
        if listed is None:
            return None
        # Schedulers of earlier builds use versions that are not listed.
        return {*listed, *own.recent_versions}

    async def _ask_all(
        self, query: StreamOriginQueryBody
    ) -> Sequence[StreamOriginQueryReplyBody]:
        peer_ids = self._peers_to_ask(query.request_id, query.service)
        replies = await asyncio.gather(
            *(self._ask(peer_id, query) for peer_id in peer_ids)
        )
        return [reply for reply in replies if reply is not None]

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
        )

    async def _handle_query(
        self, peer_id: str, query: StreamOriginQueryBody
    ) -> StreamOriginQueryReplyBody:
        reply = self._reply(query.request_id, query.service, query.span_ms)
        if query.list_wanted and not reply.known:
            reading = self._read_list(reply, query.service)
            versions: Collection[str] | None = None
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(PEER_READ_MS / MS_PER_S):
                    versions = await reading
            if versions is not None:
                reply.listed_versions = sorted(versions)
        return reply

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
        services = {row.service for row in rows}
        for service in services:
            self._share(service)

    async def _share_all(self) -> None:
        while True:
            for service in self._origins.services():
                self._share(service)
            await asyncio.sleep(SHARE_INTERVAL_MS / MS_PER_S)

    def _share(self, service: str) -> None:
        """Gives origins to the backups if the store may not show them."""
        now_ms = self._clock.steady_ms()
        if self._is_proved_by_list(service, now_ms):
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

    def _is_proved_by_list(self, service: str, now_ms: float) -> bool:
        """Returns whether the list shows the version of all streams."""
        read_at_ms = self._state.mirrors[Table.TARGETS].read_at_ms
        versions = self._versions.recent(service, HISTORY_MS, now_ms)
        return now_ms - read_at_ms <= REACHED_MS and len(versions) < 2

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


def _join_lists(
    replies: Sequence[StreamOriginQueryReplyBody],
) -> Collection[str] | None:
    """Returns the versions by the reads of peers; None if none has read."""
    lists = [
        reply.listed_versions
        for reply in replies
        if reply.listed_versions is not None
    ]
    if not lists:
        return None
    seen = [reply.recent_versions for reply in replies]
    return {version for versions in (*lists, *seen) for version in versions}


def _only_version(versions: Collection[str] | None) -> str | None:
    """Returns the version if there is just one."""
    if versions is None or len(versions) != 1:
        return None
    return next(iter(versions))
