"""Keeps an entry's view of the deployment in sync with the shared store."""

import asyncio
import contextlib
import dataclasses
import functools
import math
from collections.abc import AsyncIterator, Mapping

from .backing_services import ROLE_ENTRY, Instance
from .clock import MS_PER_S, Clock
from .configuration_lag import ConfigurationLag
from .events import Event, log_event
from .fleet_state import FleetState
from .generated.peer_fleet import (
    EntryPresenceBody,
    TableNewsBody,
)
from .generated.peer_membership import PeerMembershipBody
from .membership import Membership
from .peers import GossipSection, PeerAddress, PeerLink
from .presence_announcer import PresenceAnnouncer
from .shared_table import MIRRORED_TABLES, SharedTables, Table
from .table_catch_up import TableCatchUp
from .table_reader import TableReader
from .tasks import running_tasks

# Long-poll wait for changes of the entries. It is long because calls to the
# store are billed and new entries open streams to the others anyway.
ENTRIES_POLL_MS = 10_000
# Long-poll wait for changes of the configuration, as a share of the time in
# which changes have to be in force: a read that misses a change must end, and
# the next one succeed, within that time.
CONFIGURATION_POLL_SHARE = 0.4
# Interval between reads of the targets, as a share of the time after which a
# leaving target must get no new work.
TARGETS_INTERVAL_SHARE = 0.5
# Age of the last read of the targets, as a share of the same time, after which
# peers are asked for records.
TARGETS_STALE_SHARE = 0.75
TICK_MS = 250
# Logged as the age of a read that there never was.
UNKNOWN_AGE_MS = -1


@dataclasses.dataclass(frozen=True, slots=True)
class SyncBounds:
    """Times in which changes in the store have to be in force at all entries.

    The store is read as seldom as they allow, because its calls are billed.
    """

    configuration_ms: float = 2000
    # Time after which a leaving target must get no new work.
    departure_ms: float = 2000


DEFAULT_BOUNDS = SyncBounds()


class FleetSync:
    """Reads the shared store; fetches from peers while it is unreachable."""

    def __init__(
        self,
        presence: EntryPresenceBody,
        state: FleetState,
        tables: SharedTables,
        link: PeerLink,
        membership: Membership,
        clock: Clock,
        bounds: SyncBounds = DEFAULT_BOUNDS,
    ) -> None:
        """Registers the handlers of peer messages; starts no task.

        Args:
            presence: Identity and addresses that this entry announces.
            state: View that is kept up to date.
            tables: The shared store.
            link: Streams to the other entries.
            membership: The other entries.
            clock: Source of monotonic time.
            bounds: Times in which changes have to be in force.
        """
        self._bounds = bounds
        self.membership = membership
        self.leaving = False
        self.overloaded = False
        # Address for callers; empty until this entry is ready.
        self.address = ''
        self._presence = presence
        self._state = state
        self._link = link
        self._clock = clock
        self.announcer = PresenceAnnouncer(presence, state, tables, clock)
        self.lag = ConfigurationLag()
        self._reader = TableReader(state, tables, self.announcer, clock)
        # Entries that opened a stream to this one. After a start while
        # the store is unreachable, no other entries are known.
        self._greeted: dict[str, EntryPresenceBody] = {}
        self._catch_up = TableCatchUp(
            state,
            self._reader,
            link,
            membership,
            presence.failure_domain,
            clock,
            bounds.departure_ms * TARGETS_STALE_SHARE,
        )
        link.add_gossip_section(
            GossipSection(
                PeerMembershipBody,
                self._provide_membership,
                self._consume_membership,
                urgent=True,
            ),
        )
        link.add_gossip_section(
            GossipSection(
                TableNewsBody,
                self._provide_offsets,
                self._consume_offsets,
                urgent=True,
            ),
        )

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Runs the tasks that keep the view up to date within the scope."""
        async with running_tasks(
            functools.partial(
                self._reader.poll,
                Table.CONFIGURATION,
                self._bounds.configuration_ms * CONFIGURATION_POLL_SHARE,
                0,
            ),
            functools.partial(
                self._reader.poll,
                Table.TARGETS,
                0,
                self._bounds.departure_ms * TARGETS_INTERVAL_SHARE,
            ),
            functools.partial(
                self._reader.poll, Table.ENTRIES, ENTRIES_POLL_MS, 0
            ),
            self.announcer.run,
            self._catch_up.run,
            self._tick,
        ):
            yield

    def is_behind(self) -> bool:
        """Returns whether peers have a version in force that this lacks."""
        return self._state.version < self.lag.known_version

    def count_entries(self) -> int:
        """Returns the number of known entries, with lost ones and this one."""
        return len(self.membership.members()) + 1

    @property
    def invalid_records(self) -> Mapping[str, int]:
        """Number of records that could not be used, by table."""
        return self._state.refused.counts

    def read_ages_ms(self) -> Mapping[str, float]:
        """Returns the age of the last read of the store by table.

        Tables that were never read are left out.
        """
        now_ms = self._clock.steady_ms()
        return {
            table.value: now_ms - mirror.read_at_ms
            for table, mirror in self._state.mirrors.items()
            if math.isfinite(mirror.read_at_ms)
        }

    def add_greeted_entry(self, entry: EntryPresenceBody) -> None:
        """Records an entry that opened a stream to this one.

        Args:
            entry: Presence that the entry announced.
        """
        self._greeted[entry.instance_id] = entry

    async def _tick(self) -> None:
        """Periodically updates the membership and the streams to peers."""
        while True:
            now_ms = self._clock.steady_ms()
            rows = self._entry_rows()
            self.membership.note_list(rows, now_ms)
            self.membership.tick(now_ms)
            self._state.apply_delayed_removals(now_ms)
            self._report_lag(now_ms)
            self._link.update_peers(
                PeerAddress(
                    row.instance_id,
                    row.peer_address,
                    row.failure_domain,
                )
                for row in rows
            )
            await asyncio.sleep(TICK_MS / MS_PER_S)

    def _report_lag(self, now_ms: float) -> None:
        """Logs that this entry lacks a version that peers have in force."""
        self.lag.note_in_force(self._state.version)
        if self.lag.take_alarm(now_ms):
            read_age_ms = self.read_ages_ms().get(
                Table.CONFIGURATION.value, UNKNOWN_AGE_MS
            )
            log_event(
                Event.CONFIGURATION_BEHIND,
                version=self._state.version,
                known_version=self.lag.known_version,
                behind_ms=round(self.lag.behind_ms(now_ms)),
                store_read_age_ms=round(read_age_ms),
                store_reachable=self._reader.is_reachable(Table.CONFIGURATION),
            )

    def _entry_rows(self) -> list[Instance]:
        known_entries = dict(self._greeted)
        for announced in self._state.presences.listed():
            greeted = known_entries.get(announced.instance_id)
            if greeted is None or greeted.incarnation <= announced.incarnation:
                known_entries[announced.instance_id] = announced
        return [_instance_of(entry) for entry in known_entries.values()]

    def _provide_membership(self) -> PeerMembershipBody:
        return PeerMembershipBody(
            incarnation=self._presence.incarnation,
            address=self.address,
            failure_domain=self._presence.failure_domain,
            leaving=self.leaving,
            overloaded=self.overloaded,
            processor_cores=self._presence.processor_cores,
        )

    def _consume_membership(
        self, peer_id: str, gossip: PeerMembershipBody
    ) -> None:
        now_ms = self._clock.steady_ms()
        self.membership.note_gossip(peer_id, gossip, now_ms)

    def _provide_offsets(self) -> TableNewsBody:
        return TableNewsBody(
            ends={
                table.value: self._state.mirrors[table].end
                for table in MIRRORED_TABLES
            },
            era=self._state.era,
            version=self._state.version,
            evacuated=sorted(self._state.evacuations.domains),
        )

    def _consume_offsets(self, peer_id: str, gossip: TableNewsBody) -> None:
        self._reader.follow_era(gossip.era, peer_id)
        self.lag.note_known(gossip.version, self._clock.steady_ms())
        self._catch_up.note_news(peer_id, gossip)


def _instance_of(entry: EntryPresenceBody) -> Instance:
    return Instance(
        instance_id=entry.instance_id,
        role=ROLE_ENTRY,
        address='',
        failure_domain=entry.failure_domain,
        peer_address=entry.peer_address,
        incarnation=entry.incarnation,
        processor_cores=entry.processor_cores,
    )
