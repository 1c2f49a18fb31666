"""Tests of the view of the deployment built from the shared store."""

import json

import pytest

from borageyard.fleet_state import FleetState
from borageyard.platform.documents import DocumentDecoder
from borageyard.shared_table import (
    HistoryLostError,
    MemoryTables,
    StoreError,
    Table,
    TablePage,
    TableRecord,
)
from borageyard.standins.gateway_deployment import build_document
from borageyard.table_mirror import TableMirror


def record(offset, key='k', content=b'x'):
    """Returns a table record."""
    return TableRecord(offset, key, content)


def page(*records, end=None):
    """Returns a page of records that ends after the last one by default."""
    last = records[-1].offset + 1 if records else 0
    return TablePage(records, last if end is None else end)


def version(state):
    """Returns the version of the configuration in force, if any."""
    return state.configuration.version if state.configuration else None


class TestMirror:
    """Local copy of a table."""

    def test_newest_offset_wins(self):
        """A record older than the known one of its key is ignored."""
        mirror = TableMirror()
        assert mirror.apply(page(record(5)))
        assert not mirror.apply(page(record(3)))
        assert mirror.end == 6

    def test_snapshot_drops_what_it_lacks(self):
        """Keys that were removed while the history was lost are dropped."""
        mirror = TableMirror()
        mirror.apply(page(record(1, 'a'), record(2, 'b')))
        fresh = mirror.replace(TablePage((record(2, 'b'),), 9))
        assert fresh == [TableRecord(8, 'a', None)]
        assert [held.key for held in mirror.records()] == ['b']

    def test_snapshot_keeps_what_is_newer(self):
        """A record from a peer may be newer than the snapshot."""
        mirror = TableMirror()
        mirror.apply(page(record(20, 'a')))
        assert not mirror.replace(TablePage((), 9))
        assert mirror.records()

    def test_peer_learns_of_dropped_keys(self):
        """Records from one copy update another one, removals included."""
        mirror = TableMirror()
        mirror.apply(page(record(1, 'a'), record(2, 'b')))
        other = TableMirror()
        other.apply(mirror.since(0))
        mirror.apply(page(TableRecord(3, 'a', None)))
        other.apply(mirror.since(other.end))
        assert other.records() == mirror.records()


class TestConfiguration:
    """Which configuration is in force."""

    def build(self, number):
        """Returns the record of a configuration version."""
        content = json.dumps(build_document(number)).encode()
        return record(number, 'configuration', content)

    def test_older_record_is_ignored(self):
        """An older record does not replace a newer configuration."""
        state = FleetState(DocumentDecoder())
        state.apply(Table.CONFIGURATION, page(self.build(4)))
        state.apply(Table.CONFIGURATION, page(self.build(2)))
        assert version(state) == 4

    def test_malformed_keeps_the_one_in_force(self):
        """A malformed record does not replace the configuration."""
        state = FleetState(DocumentDecoder())
        state.apply(Table.CONFIGURATION, page(self.build(4)))
        broken = record(5, 'configuration', b'{')
        state.apply(Table.CONFIGURATION, page(broken))
        assert version(state) == 4

    def test_listeners(self):
        """Listeners run once per change, not for a repeated record."""
        changed = []
        state = FleetState(DocumentDecoder())
        state.add_listener(changed.append)
        state.apply(Table.CONFIGURATION, page(self.build(1)))
        state.apply(Table.CONFIGURATION, page(self.build(1)))
        assert changed == [Table.CONFIGURATION]


@pytest.mark.looptime
class TestMemoryTables:
    """In-memory implementation of the store."""

    async def test_history(self):
        """Reads wait for records; reading truncated history is an error."""
        tables = MemoryTables()
        tables.write(Table.ENTRIES, 'a', b'1')
        tables.write(Table.ENTRIES, 'a', None)
        read = await tables.read(Table.ENTRIES, 0, 0)
        assert [found.content for found in read.records] == [b'1', None]
        assert not (await tables.snapshot(Table.ENTRIES)).records
        assert not (await tables.read(Table.ENTRIES, 2, 1000)).records
        tables.truncate_history(Table.ENTRIES)
        with pytest.raises(HistoryLostError):
            await tables.read(Table.ENTRIES, 0, 0)

    async def test_down(self):
        """Calls fail while the store is down."""
        tables = MemoryTables()
        tables.down = True
        with pytest.raises(StoreError):
            await tables.put(Table.ENTRIES, 'a', b'1')


class TestDelayedRemovals:
    """Targets whose records expired while the store was unreachable."""

    def build(self):
        """Returns a view of one target that delays removals."""
        row = {
            'service': 'desk',
            'address': '10.0.0.1:80',
            'zone': 'north',
            'slots': 1,
            'state': 'ready',
        }
        self.content = json.dumps(row).encode()
        state = FleetState(DocumentDecoder())
        state.apply(Table.TARGETS, page(record(1, 't', self.content)))
        state.delay_removals(1000)
        return state

    def test_kept_until_announced_again(self):
        """A target that announces itself again stays ready throughout."""
        state = self.build()
        state.replace(Table.TARGETS, TablePage((), 5))
        assert state.roster.ready('desk')
        state.apply(Table.TARGETS, page(record(6, 't', self.content)))
        state.apply_delayed_removals(1000)
        assert state.roster.ready('desk')

    def test_removed_if_not_announced_again(self):
        """A target still missing at the end of the delay is removed."""
        state = self.build()
        state.apply(Table.TARGETS, page(record(5, 't', None)))
        state.apply_delayed_removals(999)
        assert state.roster.ready('desk')
        state.apply_delayed_removals(1000)
        assert not state.roster.ready('desk')

    def test_removal_by_a_peer_is_immediate(self):
        """A removal from a peer is not delayed: that peer reads the store."""
        state = self.build()
        gone = page(record(5, 't', None))
        state.apply(Table.TARGETS, gone, from_peer=True)
        assert not state.roster.ready('desk')
