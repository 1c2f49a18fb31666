"""Takes records from peers that the shared store does not deliver."""

import asyncio
import contextlib

from .clock import MS_PER_S, Clock
from .events import Event, log_event
from .fleet_state import FleetState
from .generated.peer_fleet import (
    TableNewsBody,
    TableReplyBody,
    TableRequestBody,
)
from .membership import Membership
from .peers import PeerError, PeerLink
from .record_pieces import PieceAssembly, PieceError, cut_page
from .rendezvous import hash_weight
from .shared_table import MIRRORED_TABLES, Table, TablePage
from .table_reader import TableReader

# Time limit for a piece, and the time below which a larger one is asked for.
PIECE_TIMEOUT_MS = 500
QUICK_PIECE_MS = 100
# Sizes of a piece. The largest one takes a tenth of a second on the slowest
# links of the users, so that heartbeats pass between pieces.
MIN_PIECE_BYTES = 8192
FIRST_PIECE_BYTES = 32_768
MAX_PIECE_BYTES = 131_072
# Interval at which to see whether the store delivers what peers have.
CHECK_INTERVAL_MS = 250
# Time for which a peer that failed is asked after all others.
FAILURE_MS = 3000


class TableCatchUp:
    """Asks peers that are ahead, one piece at a time.

    Designed for entries whose links carry little more than one document in the
    time that a change may take: peers are asked only while no answer of the
    store is arriving, and what has arrived is kept when another peer goes on.
    """

    def __init__(
        self,
        state: FleetState,
        reader: TableReader,
        link: PeerLink,
        membership: Membership,
        failure_domain: str,
        clock: Clock,
        stale_after_ms: float,
    ) -> None:
        """Registers the handler of requests; starts no task.

        Args:
            state: View that is kept up to date.
            reader: Reads the store.
            link: Link to the peers.
            membership: The other entries and their failure domains.
            failure_domain: Failure domain of this entry.
            clock: Source of monotonic time.
            stale_after_ms: Age of the last read of the targets after which
                records are requested.
        """
        self._stale_after_ms = stale_after_ms
        self._state = state
        self._reader = reader
        self._link = link
        self._membership = membership
        self._failure_domain = failure_domain
        self._clock = clock
        # Peers that are ahead, with their latest news.
        self._ahead: dict[Table, dict[str, TableNewsBody]] = {
            table: {} for table in MIRRORED_TABLES
        }
        self._assemblies = {table: PieceAssembly() for table in MIRRORED_TABLES}
        self._failed_at_ms: dict[str, float] = {}
        self._piece_bytes = FIRST_PIECE_BYTES
        self._needed = asyncio.Event()
        link.register(TableRequestBody, self._handle_request)

    def note_news(self, peer_id: str, news: TableNewsBody) -> None:
        """Records how far a peer has read the tables.

        Args:
            peer_id: Id of the peer.
            news: Its positions.
        """
        for table in MIRRORED_TABLES:
            if self._is_ahead(table, news) and self._needs_records(table):
                self._ahead[table][peer_id] = news
                self._needed.set()
            else:
                self._ahead[table].pop(peer_id, None)

    async def run(self) -> None:
        """Requests what peers have and this entry lacks, until cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CHECK_INTERVAL_MS / MS_PER_S):
                    await self._needed.wait()
            self._needed.clear()
            asked = True
            while asked:
                # In turn, so that no table waits for a large one.
                steps = [await self._step(table) for table in MIRRORED_TABLES]
                asked = any(steps)

    async def _step(self, table: Table) -> bool:
        """Requests one piece of a table; returns whether a peer was asked."""
        peer_id = self._choose(table)
        if not peer_id or self._reader.is_receiving(table):
            return False
        try:
            more = await self._request_piece(table, peer_id)
        except (PeerError, PieceError) as error:
            log_event(
                Event.PEER_UNANSWERED,
                peer_id=peer_id,
                request_id='',
                reason=str(error),
            )
            self._failed_at_ms[peer_id] = self._clock.steady_ms()
            self._piece_bytes = max(self._piece_bytes // 2, MIN_PIECE_BYTES)
            more = False
        if not more:
            # Until its next news, which say whether it is still ahead.
            self._ahead[table].pop(peer_id, None)
        return True

    def _choose(self, table: Table) -> str:
        """Returns the best peer that is ahead; empty if there is none."""
        ahead = self._ahead[table]
        if table is Table.CONFIGURATION:
            ahead = {
                peer_id: news
                for peer_id, news in ahead.items()
                if self._is_ahead(table, news)
            }
            self._ahead[table] = ahead
        return min(ahead, key=self._rank, default='')

    def _rank(self, peer_id: str) -> tuple[bool, bool, bytes]:
        """Returns a key that sorts sound and near peers first."""
        failed_at_ms = self._failed_at_ms.get(peer_id)
        failed = (
            failed_at_ms is not None
            and self._clock.steady_ms() - failed_at_ms < FAILURE_MS
        )
        domains = {
            member.instance_id: member.failure_domain
            for member in self._membership.members()
        }
        distant = domains.get(peer_id) != self._failure_domain
        own_id = self._membership.instance_id
        return failed, distant, hash_weight(own_id, peer_id)

    async def _request_piece(self, table: Table, peer_id: str) -> bool:
        """Requests a piece and applies what is whole.

        Returns:
            Whether the same peer has more.

        Raises:
            PeerError: If it did not answer in time.
            PieceError: If the piece does not fit what had arrived.
        """
        assembly = self._assemblies[table]
        news = self._ahead[table][peer_id]
        offset = self._offset(table, news)
        started_at_ms = self._clock.steady_ms()
        reply = await self._link.request(
            peer_id,
            TableRequestBody(
                table=table.value,
                offset=offset,
                era=self._state.era,
                max_bytes=self._piece_bytes,
                digest=assembly.digest,
                start=assembly.received_bytes,
            ),
            TableReplyBody,
            PIECE_TIMEOUT_MS,
        )
        if self._clock.steady_ms() - started_at_ms < QUICK_PIECE_MS:
            self._piece_bytes = min(self._piece_bytes * 2, MAX_PIECE_BYTES)
        added = [assembly.add(body) for body in reply.records]
        whole = tuple(record for record in added if record is not None)
        if len(whole) < len(added):
            return True
        end = reply.end
        if table is Table.CONFIGURATION and news.evacuated is None:
            # The peer keeps only one of the keys, so its records do not show
            # that there are no others before their end.
            end = 0
        self._apply(table, TablePage(whole, end, reply.era), peer_id)
        return reply.more and self._offset(table, news) > offset

    def _offset(self, table: Table, news: TableNewsBody) -> int:
        """Returns the offset from which records are missing."""
        own_end = self._state.mirrors[table].end
        if table is Table.CONFIGURATION and (
            news.version > self._state.version
            or news.ends.get(table.value, 0) <= own_end
        ):
            # The peer may know a record from an earlier era, without an offset.
            return 0
        return own_end

    def _apply(self, table: Table, page: TablePage, peer_id: str) -> None:
        self._reader.follow_era(page.era, peer_id)
        self._state.apply(table, page, from_peer=True)
        log_event(
            Event.TABLE_CAUGHT_UP,
            table=table.value,
            peer_id=peer_id,
            end=page.end,
        )

    def _is_ahead(self, table: Table, news: TableNewsBody) -> bool:
        """Returns whether a peer has records that this entry lacks."""
        own_end = self._state.mirrors[table].end
        is_behind = (
            news.era == self._state.era
            and news.ends.get(table.value, 0) > own_end
        )
        if table is not Table.CONFIGURATION:
            return is_behind
        if news.version > self._state.version:
            return True
        evacuations = self._state.evacuations
        missing = set(news.evacuated or ()).difference(evacuations.domains)
        if is_behind and news.evacuated is not None:
            # An entry that reads the store is slightly behind some peers.
            return bool(missing) or self._is_stale(table)
        return news.era == self._state.era and not all(
            map(evacuations.is_known, missing)
        )

    def _needs_records(self, table: Table) -> bool:
        """Returns whether to request the records of a peer that is ahead."""
        if table is Table.CONFIGURATION:
            return True
        if table is Table.ENTRIES:
            return not self._reader.is_reachable(table)
        # Targets announce themselves continually, so an entry that reads the
        # store itself is always slightly behind some peer.
        return self._is_stale(table)

    def _is_stale(self, table: Table) -> bool:
        read_at_ms = self._state.mirrors[table].read_at_ms
        return self._clock.steady_ms() - read_at_ms > self._stale_after_ms

    async def _handle_request(
        self,
        peer_id: str,
        request: TableRequestBody,
    ) -> TableReplyBody:
        mirror = self._state.mirrors[Table(request.table)]
        return cut_page(mirror.since(request.offset, request.era), request)
