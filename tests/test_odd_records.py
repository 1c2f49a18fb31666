"""Tests of records that another writer left in the shared store."""

import asyncio
import base64
import json
import sys
import types
from http import HTTPStatus

import pydantic
import pytest

from borageyard import entry_presences
from borageyard import fleet_state as fleet_state_module
from borageyard.clock import SystemClock
from borageyard.document_validation import DocumentError, check_document
from borageyard.fleet_state import FleetState
from borageyard.http_client import (
    HttpCall,
    HttpCallError,
    HttpClient,
    HttpReply,
)
from borageyard.inbound import InboundRequest, TargetSend
from borageyard.platform.answer_notices import AnswerNotices
from borageyard.platform.documents import DocumentDecoder
from borageyard.platform.store import StoreTables
from borageyard.platform.targets import HttpTargetSender
from borageyard.roster import RosterRow, TargetPhase
from borageyard.shared_table import (
    HistoryLostError,
    StoreError,
    Table,
    TablePage,
    TableRecord,
)
from borageyard.standins.gateway_deployment import build_document
from borageyard.standins.streaming_fleet import StreamingFleet
from borageyard.target_departures import TargetDepartures
from borageyard.target_limits import TargetLimits
from tests.raw_http import answering
from tests.test_gateway import deployment, events, wait_until

REQUEST = InboundRequest(
    request_id='r1',
    host='h',
    method='POST',
    path='/',
    request_target='/',
    headers={'x-attempt-id': 'r1'},
    body=b'',
    received_at_ms=0,
    wait_ms=1000,
)
SOUND = types.MappingProxyType(
    {
        'service': 'model',
        'address': '127.0.0.1:9',
        'zone': 'north',
        'slots': 8,
        'state': 'ready',
    }
)
# Within which the users count on the service after a restart.
RECOVERY_S = 12
ODD_CONTENT = b'"odd"'
ODD_DOCUMENT = 'odd'
# JSON numbers beyond the range of a float, in digits.
HUGE_NUMBERS = tuple('9' * digits for digits in (400, 4000, 6000))
PRESENCE = types.MappingProxyType(
    {'instance_id': 'e', 'incarnation': 1, 'peer_address': '127.0.0.1:9'}
)


def nested(left):
    """Returns JSON that is nested almost as deep as the parser takes."""
    depth = sys.getrecursionlimit() - left
    return b'[' * depth + b']' * depth


def encoded(key, content):
    """Returns a record of a topic."""
    return bytes((len(key),)) + key + content


def odd_targets():
    """Yields records that name no target to use."""
    for left in range(10, 60):
        yield encoded(b'deep%d' % left, b'{"service": %b}' % nested(left))
    for name, odd in (
        ('port', {'address': '127.0.0.1:65536'}),
        ('ports', {'address': '127.0.0.1:99999'}),
        ('host', {'address': '999.1.1.1:80'}),
        ('born', {'born': 10**30}),
        ('sequence', {'sequence': 10**30}),
        ('zone', {'zone': '\ud800'}),
        ('cold', {'coldLeftMs': 10**400}),
        ('cold-text', {'coldLeftMs': '5'}),
        ('cold-null', {'coldLeftMs': None}),
        ('slots', {'slots': 0}),
    ):
        content = json.dumps({**SOUND, **odd}).encode()
        yield encoded(name.encode(), content)
    yield encoded(b'\xff\xfe', json.dumps(dict(SOUND)).encode())


def odd_presences():
    """Yields records that name no entry to connect to."""
    yield encoded(b'deep', b'{"instance_id": %b}' % nested(20))
    for name, odd in (
        ('port', {'peer_address': '127.0.0.1:99999'}),
        ('host', {'peer_address': 'somewhere'}),
        ('incarnation', {'incarnation': 10**30}),
        ('domain', {'failure_domain': '\ud800'}),
    ):
        content = json.dumps({**PRESENCE, **odd}).encode()
        yield encoded(name.encode(), content)


class TestGateways:
    """Two gateways that read such records."""

    async def test_each_costs_that_record_only(self):
        """Prompts are served, and targets that leave are noticed."""
        async with deployment(2) as callers:
            store = callers.running.store
            targets = list(odd_targets())
            for record in targets:
                store.append('keyed.servers', record)
            presences = list(odd_presences())
            for record in presences:
                store.append('keyed.status', record)
            callers.running.targets['model-0'].withdraw()
            states = [callers.state(number) for number in range(2)]
            await wait_until(
                lambda: all(
                    len(state.roster.ready('model')) == 1 for state in states
                )
            )
            for number in range(6):
                reply = await callers.stream('/brief/x', gateway=number % 2)
                assert reply.status == 200
                assert events(reply)
            for state in states:
                invalid = state.refused.counts
                assert invalid[Table.TARGETS.value] == len(targets)
                assert invalid[Table.ENTRIES.value] == len(presences)


class TestRestart:
    """Gateways that start while such a record of a target stands."""

    @pytest.mark.parametrize('digits', HUGE_NUMBERS, ids=len)
    @pytest.mark.parametrize(
        'field', ['coldLeftMs', 'slots', 'born', 'sequence', 'other']
    )
    async def test_requests_are_served(self, field, digits):
        """A number that no field can hold costs that record only."""
        async with deployment(2) as callers:
            running = callers.running
            content = json.dumps({**SOUND, field: 0}).replace(
                f'"{field}": 0', f'"{field}": {digits}'
            )
            record = encoded(b'odd', content.encode())
            running.store.append('keyed.servers', record)
            for started in range(2):
                await running.restart(started, store_down=False)
            async with asyncio.timeout(RECOVERY_S):
                await wait_until(
                    lambda: all(
                        one.gateway.is_ready() for one in running.gateways
                    )
                )
            replies = [
                await callers.call('/read/a', gateway=number % 2)
                for number in range(12)
            ]
            assert {reply.status for reply in replies} == {200}


class FailingModel(pydantic.BaseModel):
    """Model whose validation fails with an error that is no refusal."""

    @pydantic.model_validator(mode='before')
    @classmethod
    def fail(cls, document):
        """Fails for some documents, and accepts no other one."""
        if document == ODD_DOCUMENT:
            raise ZeroDivisionError(document)
        raise ValueError(document)


class FailingDecoder(DocumentDecoder):
    """Decoder that fails for some contents."""

    def configuration(self, content):
        """Decodes a sound configuration."""
        self._require_sound(content)
        return super().configuration(content)

    def target(self, target_id, content):
        """Decodes a sound target."""
        self._require_sound(content)
        return super().target(target_id, content)

    def _require_sound(self, content):
        if content == ODD_CONTENT:
            raise ZeroDivisionError(content)


def fail(*arguments):
    """Fails, as a decoder does that meets what nobody expected."""
    raise ZeroDivisionError(arguments)


def sound_target(offset):
    """Returns the record of a target to use."""
    content = json.dumps(dict(SOUND)).encode()
    return TableRecord(offset, f'target-{offset}', content)


def configuration(offset, content=None):
    """Returns a record of the operator's configuration."""
    document = json.dumps(build_document(offset)).encode()
    return TableRecord(offset, 'config', content or document)


class TestFailingDecoders:
    """Records that make their decoder fail in a way that nobody expects."""

    def test_target(self):
        """The targets before and after it are used."""
        state = FleetState(FailingDecoder())
        odd = TableRecord(2, 'odd', ODD_CONTENT)
        page = TablePage((sound_target(1), odd, sound_target(3)), 4)
        state.replace(Table.TARGETS, page)
        rows = state.roster.rows()
        assert [row.target_id for row in rows] == ['target-1', 'target-3']
        assert state.refused.counts[Table.TARGETS.value] == 1

    def test_target_of_an_earlier_era(self):
        """Revisions of such records are compared as if they had none."""
        state = FleetState(FailingDecoder())
        odd = TableRecord(2, 'odd', ODD_CONTENT)
        state.apply(Table.TARGETS, TablePage((odd,), 3))
        state.replace(Table.TARGETS, TablePage((sound_target(1), odd), 3, 1))
        assert [row.target_id for row in state.roster.rows()] == ['target-1']

    @pytest.mark.parametrize('content', [ODD_CONTENT, b'{}'])
    def test_configuration(self, content):
        """The version before stays in force, and later ones are used."""
        state = FleetState(FailingDecoder())
        odd = configuration(2, content)
        for offset, record in enumerate((configuration(1), odd)):
            page = TablePage((record,), offset + 1)
            state.apply(Table.CONFIGURATION, page)
        assert state.version == 1
        assert state.refused.counts[Table.CONFIGURATION.value] == 1
        state.apply(Table.CONFIGURATION, TablePage((configuration(3),), 4))
        assert state.version == 3

    def test_groups_of_a_configuration(self, monkeypatch):
        """A version whose services can't be grouped isn't in force at all."""
        state = FleetState(FailingDecoder())
        state.apply(Table.CONFIGURATION, TablePage((configuration(1),), 2))
        groups = state.groups
        monkeypatch.setattr(fleet_state_module, 'schedule_groups', fail)
        state.apply(Table.CONFIGURATION, TablePage((configuration(2),), 3))
        assert (state.version, state.groups) == (1, groups)

    def test_presence(self, monkeypatch):
        """The other entries are known."""
        state = FleetState(DocumentDecoder())
        odd = json.dumps({**PRESENCE, 'failure_domain': 'odd'}).encode()
        sound = json.dumps(dict(PRESENCE)).encode()
        records = (TableRecord(1, 'odd', odd), TableRecord(2, 'e', sound))
        state.apply(Table.ENTRIES, TablePage(records, 3))
        monkeypatch.setattr(
            entry_presences,
            'require_name',
            lambda name: name and fail(name),
        )
        for _ in range(2):
            (presence,) = state.presences.listed()
            assert presence.instance_id == PRESENCE['instance_id']
        assert state.refused.counts[Table.ENTRIES.value] == 1

    async def test_version(self):
        """The other versions are listed; each record is counted once."""
        fleet = StreamingFleet(1)
        sound = {'service': 'model', 'software_version': 'v1'}
        store = fleet.store
        store.write(Table.VERSIONS, 'sound', json.dumps(sound).encode())
        store.write(Table.VERSIONS, 'odd', ODD_CONTENT)
        async with fleet.running():
            (entry,) = fleet.entries.values()
            for _ in range(3):
                assert await entry.listing.read('model') == {'v1'}
            assert entry.state.refused.counts[Table.VERSIONS.value] == 1

    async def test_origins(self):
        """The origins in other records are known."""
        fleet = StreamingFleet(1)
        sound = {
            'request_id': 'r1',
            'service': 'model',
            'software_version': 'v1',
            'left_ms': 60_000,
        }
        huge = {**sound, 'left_ms': 10**400}
        for content in (
            ODD_CONTENT,
            json.dumps({'origins': [huge]}).encode(),
            json.dumps({'origins': [sound]}).encode(),
        ):
            fleet.store.write(Table.ORIGINS, '', content)
        async with fleet.running():
            (entry,) = fleet.entries.values()
            await entry.journal.read_origins()
            assert entry.journal.origins.find('r1', 0)
            assert entry.state.refused.counts[Table.ORIGINS.value] == 2

    def test_document(self):
        """Validation that fails is a refusal which names the document."""
        with pytest.raises(DocumentError, match=r'd1: .*ZeroDivisionError'):
            check_document(FailingModel, ODD_DOCUMENT, 'd1')
        with pytest.raises(DocumentError, match='d1'):
            check_document(FailingModel, {}, 'd1')


class StoreStub:
    """Answers each call to the store in the same way."""

    def __init__(self, status, document):
        """Sets the answer, a JSON document."""
        self._reply = HttpReply(status, {}, json.dumps(document).encode())

    async def request(self, call):
        """Returns the answer."""
        return self._reply


def item(key, **fields):
    """Returns an item of a snapshot."""
    content = base64.b64encode(json.dumps(dict(SOUND)).encode()).decode()
    return {'key': key, 'value': content, 'offset': 1, **fields}


def newest(*items, **fields):
    """Returns the tables of a store whose snapshots have such items."""
    page = {'items': items, 'hasMore': False, 'end': 9, **fields}
    return StoreTables(StoreStub(200, page), 'h:1')


class TestStoreAnswers:
    """Answers of the store with odd numbers, types or contents."""

    @pytest.mark.parametrize(
        'odd',
        [
            {'key': 5},
            {'key': None},
            {'value': 5},
            {'offset': '1'},
            {'offset': -1},
            {'offset': 10**30},
            {'offset': 10**400},
        ],
        ids=lambda odd: str(odd)[:30],
    )
    async def test_item_costs_itself(self, odd):
        """The items around it are read."""
        items = [item('a'), {**item('odd'), **odd}, item('b'), 'odd', {}]
        tables = newest(*items)
        page = await tables.snapshot(Table.TARGETS)
        assert [record.key for record in page.records] == ['a', 'b']

    @pytest.mark.parametrize('value', ['=', 'a', 'odd!', '\u00e9'])
    async def test_value_that_is_no_base64(self, value):
        """It is the content of a record that names no target."""
        tables = newest(item('a'), item('odd', value=value))
        state = FleetState(DocumentDecoder())
        state.replace(Table.TARGETS, await tables.snapshot(Table.TARGETS))
        assert [row.target_id for row in state.roster.rows()] == ['a']
        assert state.refused.counts[Table.TARGETS.value] == 1

    async def test_next_page_follows_the_last_item_that_is_read(self):
        """A snapshot goes on after it, or fails if there is none."""
        with pytest.raises(StoreError):
            await newest('odd', hasMore=True).snapshot(Table.TARGETS)

    @pytest.mark.parametrize('end', [-1, 10**30, 10**400, '9', None])
    async def test_end_of_a_snapshot(self, end):
        """An end that no history has fails the read."""
        with pytest.raises(StoreError):
            await newest(item('a'), end=end).snapshot(Table.TARGETS)

    @pytest.mark.parametrize('first', [-1, 10**30, 10**400, '9', None])
    async def test_first_offset(self, first):
        """A history without a known start is read again from a snapshot."""
        store = StoreStub(HTTPStatus.GONE, {'first': first})
        with pytest.raises(HistoryLostError) as raised:
            await StoreTables(store, 'h:1').read(Table.TARGETS, 5, 0)
        assert raised.value.first == 0


class TestHttpClient:
    """Calls that can't be made."""

    @pytest.mark.parametrize(
        'call',
        [
            HttpCall('127.0.0.1:99999', 'GET', '/'),
            HttpCall('127.0.0.1:port', 'GET', '/'),
            HttpCall('127.0.0.1', 'GET', '/'),
        ],
    )
    async def test_address_is_an_error_of_the_call(self, call):
        """It says that nothing was sent."""
        async with HttpClient() as client:
            with pytest.raises(HttpCallError) as raised:
                await client.request(call)
        assert not raised.value.sent


class TestAnswerHeaders:
    """Headers of targets that state no numbers."""

    @pytest.mark.parametrize('count', [b'\xb2', b'9' * 5000, b'-1'])
    async def test_answer_is_delivered(self, count):
        """What can't be read is taken as not stated."""
        head = (
            b'HTTP/1.1 200 OK\r\nx-attempt-id: r1\r\nx-server-stamp: s\r\n'
            b'x-instance-load: %b,0,1\r\nkeep-alive: timeout=%b\r\n'
            b'content-length: 2\r\n\r\nok' % (count, count)
        )
        limits = TargetLimits(SystemClock())
        departures = TargetDepartures(SystemClock())
        async with answering(head) as address, HttpClient() as client:
            sender = HttpTargetSender(client, AnswerNotices(limits, departures))
            row = RosterRow('t1', 's', address, 'a', TargetPhase.READY)
            async with sender.send(TargetSend(REQUEST, row, 1000)) as answer:
                assert answer.load is None
                assert [chunk async for chunk in answer.chunks] == [b'ok']
