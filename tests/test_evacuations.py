"""Tests that evacuated failure domains get no new work."""

import asyncio
import dataclasses
import functools
import itertools
import json
import types

import pytest

from borageyard.chains import ChainSpec, ChainStage, HandoverResult
from borageyard.clock import ManualClock
from borageyard.engine_placer import Prompt
from borageyard.failure_domains.evacuations import Evacuations
from borageyard.failure_domains.grant_review import deny_evacuated
from borageyard.failure_domains.guarded_client import GuardedClient
from borageyard.fleet_state import FleetState
from borageyard.generated.peer_fleet import TableRequestBody
from borageyard.http_client import HttpCall, HttpCallError, HttpClient
from borageyard.http_messages import HttpResponse
from borageyard.platform.documents import DocumentDecoder
from borageyard.record_pieces import PieceAssembly, cut_page
from borageyard.shared_table import Table, TablePage, TableRecord
from borageyard.standins.gateway_deployment import build_document
from borageyard.standins.keyed_store import OPERATOR_TOPIC
from borageyard.standins.restored_fleet import RestoredFleet
from borageyard.standins.virtual_time import in_virtual_time
from tests.raw_http import answering
from tests.test_gateway import deployment, wait_until
from tests.test_gateway_limits import send
from tests.test_http_client import listening

NORTH = 'evacuate/north'
TABLE = Table.CONFIGURATION
# Bound of the users from the acknowledgement of a record.
EVACUATION_S = 5


def evacuation(offset, content=b'{}', key=NORTH):
    """Returns a record about an evacuation."""
    return TableRecord(offset, key, content)


def page(*records, era=1):
    """Returns a page that ends after its last record."""
    return TablePage(records, records[-1].offset + 1, era)


def document(offset, version):
    """Returns the record of a configuration."""
    content = json.dumps(build_document(version)).encode()
    return TableRecord(offset, 'config', content)


@pytest.fixture
def state():
    """Returns a view with a target in the north."""
    known = FleetState(DocumentDecoder())
    known.restart(1)
    row = {
        'service': 'desk',
        'address': '10.0.0.1:80',
        'zone': 'north',
        'slots': 1,
        'state': 'ready',
    }
    record = TableRecord(1, 't', json.dumps(row).encode())
    known.apply(Table.TARGETS, page(record))
    return known


class TestRecords:
    """Guards against sends to a domain whose record was misread."""

    @pytest.mark.parametrize('content', [b'{}', b'{"a": 1}', b'{', b'\xff'])
    @pytest.mark.parametrize('domain', ['north', '', 'a/b', 'Ø !'])
    def test_any_record_counts(self, domain, content):
        """A misspelt content still means that the domain is to be left."""
        evacuations = Evacuations(ManualClock(7))
        key = f'evacuate/{domain}'
        assert evacuations.apply([evacuation(1, content, key)])
        assert evacuations.domains == {domain}
        assert evacuations.since_ms(domain) == 7
        assert not evacuations.apply([evacuation(2, content, key)])
        assert evacuations.apply([evacuation(3, None, key)])
        assert not evacuations.domains
        assert evacuations.is_known(domain)

    @pytest.mark.parametrize('order', list(itertools.permutations(range(4))))
    def test_order_and_copies(self, state, order):
        """Records that are late or come twice change nothing."""
        records = [
            evacuation(number, content)
            for number, content in (
                (4, b'{}'),
                (5, None),
                (6, b'{}'),
                (7, None),
            )
        ]
        for index in order:
            state.apply(TABLE, page(records[index]))
            state.apply(TABLE, page(records[index]))
        assert state.roster.ready('desk')
        state.apply(TABLE, page(evacuation(8)))
        state.apply(TABLE, page(records[3]))
        assert not state.roster.ready('desk')
        assert state.roster.evacuated.services == {'desk'}
        assert state.roster.evacuated.has('t')

    @pytest.mark.parametrize('last', ['document', 'evacuation'])
    def test_both_keys_on_one_page(self, state, last):
        """Either kind of record hid the other one if it came last."""
        records = [document(3, 5), evacuation(4)]
        if last == 'document':
            records = [evacuation(3), document(4, 5)]
        state.apply(TABLE, page(*records))
        assert state.version == 5
        assert state.evacuations.domains == {'north'}
        assert not state.refused.counts

    def test_snapshot_without_the_key(self, state):
        """The record was removed while the history was lost."""
        state.apply(TABLE, page(evacuation(4)))
        state.replace(TABLE, TablePage((document(2, 1),), 9, 1))
        assert state.roster.ready('desk')

    def test_new_era(self, state):
        """A copy from before the record does not end the evacuation."""
        state.apply(TABLE, page(evacuation(40)))
        state.replace(TABLE, TablePage((document(2, 1),), 3, 2))
        assert not state.roster.ready('desk')
        late = TablePage((evacuation(41, None),), 42, 1)
        state.apply(TABLE, late)
        assert not state.roster.ready('desk')
        state.apply(TABLE, page(evacuation(3, None), era=2))
        assert state.roster.ready('desk')
        state.restart(3)
        state.apply(TABLE, page(evacuation(1), era=3))
        assert not state.roster.ready('desk')

    @pytest.mark.parametrize('era', [1, 2])
    @pytest.mark.parametrize('before', [True, False])
    def test_peer_sends_them_beside_a_large_document(self, state, before, era):
        """A small record kept the document from ever being cut."""
        records = [evacuation(3, b'x' * 9000), document(4, 5)]
        if not before:
            records = [document(3, 5), evacuation(4, b'x' * 9000)]
        state.apply(TABLE, page(*records))
        if era == 2:
            state.restart(2)
        other = FleetState(DocumentDecoder())
        assembly = PieceAssembly()
        for _ in range(100):
            asked = TableRequestBody(
                table=TABLE.value,
                offset=0,
                max_bytes=200,
                digest=assembly.digest,
                start=assembly.received_bytes,
            )
            reply = cut_page(state.mirrors[TABLE].since(0), asked)
            added = [assembly.add(body) for body in reply.records]
            if None not in added:
                other.apply(TABLE, TablePage(tuple(added), reply.end, era))
            if other.version and other.evacuations.domains:
                return
        raise AssertionError('the peer never got all records')


def note(taken, table, page, peer_id):
    """Notes the table of a page that a peer sent."""
    taken.append(table)


class TestPeers:
    """Guards against entries that the store turns away."""

    def served(self, fleet):
        """Returns the entries that send to targets of the domain."""
        return [
            name for name, entry in fleet.entries.items() if fleet.ready(entry)
        ]

    @in_virtual_time
    async def test_store_turns_some_entries_away(self):
        """Their peers forward records and removals, within the bound."""
        async with RestoredFleet(9).running() as fleet:
            for number in range(8):
                fleet.entries[f'entry-{number}'].tables.cut = True
            await asyncio.sleep(3)
            fleet.store.write(TABLE, NORTH, b'{}')
            await asyncio.sleep(EVACUATION_S)
            assert not self.served(fleet)
            assert not fleet.entries['entry-0'].state.refused.counts
            fleet.store.write(TABLE, NORTH, None)
            await asyncio.sleep(EVACUATION_S)
            assert len(self.served(fleet)) == 9

    @pytest.mark.parametrize('restored', [True, False])
    @in_virtual_time
    async def test_entry_that_starts_in_between(self, restored):
        """It hears of an evacuation that the store lost or does not tell."""
        async with RestoredFleet(5).running() as fleet:
            ends = dict(fleet.store.ends())
            fleet.store.write(TABLE, NORTH, b'{}')
            await asyncio.sleep(2)
            if restored:
                fleet.store.restore(ends)
            fleet.start_entry('entry-9')
            fleet.entries['entry-9'].tables.cut = not restored
            await asyncio.sleep(EVACUATION_S)
            assert fleet.entries['entry-9'].state.roster.rows()
            assert not self.served(fleet)
            fleet.store.write(TABLE, NORTH, None)
            await asyncio.sleep(EVACUATION_S)
            assert len(self.served(fleet)) == 6

    @in_virtual_time
    async def test_store_is_away(self):
        """Known evacuations hold."""
        async with RestoredFleet(5).running() as fleet:
            fleet.store.write(TABLE, NORTH, b'{}')
            await asyncio.sleep(1)
            fleet.store.down = True
            fleet.start_entry('entry-9')
            await asyncio.sleep(20)
            assert not self.served(fleet)

    @in_virtual_time
    async def test_readers_of_the_store_do_not_ask_peers(self):
        """A record would cost each entry a copy of the whole document."""
        async with RestoredFleet(5).running() as fleet:
            taken = []
            for entry in fleet.entries.values():
                entry.sync._catch_up._apply = functools.partial(note, taken)
            fleet.store.write(TABLE, NORTH, b'{}')
            await asyncio.sleep(3)
            assert not self.served(fleet)
            assert TABLE not in taken


async def answer_once(arrived, refused, reader, writer):
    """Answers a request; breaks off the next one as its work is refused."""
    arrived.append(await reader.readuntil(b'\r\n\r\n'))
    writer.write(b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok')
    await writer.drain()
    arrived.append(await reader.readuntil(b'\r\n\r\n'))
    refused.append('evacuated')
    writer.close()


class TestSends:
    """Guards against sends after the choice of a target."""

    async def test_broken_connection_repeats_nothing(self):
        """The HTTP client sent again whatever had happened meanwhile."""
        arrived = []
        refused = []
        handle = functools.partial(answer_once, arrived, refused)
        async with listening(handle) as address, HttpClient() as client:
            guarded = GuardedClient(client)
            guarded.check = lambda target_id, is_repeat: ''.join(refused)
            call = HttpCall(address, 'GET', '/', target_id='t')
            assert (await guarded.request(call)).body == b'ok'
            with pytest.raises(HttpCallError) as caught:
                await guarded.request(call)
            assert caught.value.sent
            with pytest.raises(HttpCallError) as caught:
                await guarded.request(call)
            assert not caught.value.sent
            assert len(arrived) == 2

    async def test_other_calls_go_on(self):
        """Results are read and freed, and targets are probed."""
        head = b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n'
        async with answering(head) as address, HttpClient() as client:
            guarded = GuardedClient(client)
            guarded.check = lambda target_id, is_repeat: 'evacuated'
            reply = await guarded.request(HttpCall(address, 'GET', '/'))
            assert reply.status == 200


async def evacuate(callers, domain):
    """Evacuates a domain, and waits until both gateways know it."""
    callers.running.store.put(OPERATOR_TOPIC, f'evacuate/{domain}', {})
    states = [callers.state(number) for number in range(2)]
    await wait_until(
        lambda: all(domain in one.evacuations.domains for one in states)
    )


async def metric(callers, name):
    """Returns a metric of a gateway."""
    gateway = callers.running.gateways[0].gateway
    call = HttpCall(gateway.settings.metrics_address, 'GET', '/metrics')
    text = (await callers.client.request(call)).body.decode()
    (line,) = (one for one in text.split('\n') if one.startswith(f'{name} '))
    return float(line.split()[1])


@pytest.mark.parametrize('service', ['desk', 'model', 'planner'])
class TestGateways:
    """Requests of all kinds while a failure domain is evacuated."""

    async def test_other_domain_takes_all(self, service):
        """Until the evacuation ends."""
        async with deployment() as callers:
            await evacuate(callers, 'north')
            north, south = callers.targets(service)
            north.arrivals_s.clear()
            replies = [
                await send(callers, service, number) for number in range(8)
            ]
            assert {reply.status for reply in replies} == {200}
            assert south.arrivals_s
            assert not north.arrivals_s
            assert await metric(callers, 'borageyard_evacuated_domains') == 1
            for running in callers.running.gateways:
                check = running.gateway.dependencies.calls.own.check
                assert check(north.plan.target_id, False)
                assert not check(south.plan.target_id, False)
            store = callers.running.store
            store.put(OPERATOR_TOPIC, NORTH, None)
            await wait_until(
                lambda: all(
                    len(callers.state(number).roster.ready(service)) == 2
                    for number in range(2)
                )
            )

    async def test_all_domains(self, service):
        """Requests are refused at once, as not run; entries stay ready."""
        async with deployment() as callers:
            for domain in ('north', 'south'):
                await evacuate(callers, domain)
            targets = callers.targets(service)
            for cleared in targets:
                cleared.arrivals_s.clear()
            loop = asyncio.get_running_loop()
            for number in range(4):
                started_s = loop.time()
                reply = await send(callers, service, number)
                assert loop.time() < started_s + 1
                assert reply.status == 503
                assert float(reply.headers['retry-after']) > 0
            assert not any(used.arrivals_s for used in targets)
            for running in callers.running.gateways:
                assert running.gateway.is_ready()


async def fail(late_calls, request):
    """Records a call with pieces and fails it."""
    late_calls.append(request)
    return HttpResponse(500)


class TestWaitingRequests:
    """Requests that wait when their failure domain is evacuated."""

    async def test_pieces_that_were_not_sent_go_elsewhere(self):
        """Pieces in progress complete, the next stage runs in the south."""
        async with deployment() as callers:
            planners = callers.targets('planner')
            for held in planners:
                held.pieces_released.clear()
            waiting = [
                asyncio.ensure_future(send(callers, 'planner', number))
                for number in range(6)
            ]
            await wait_until(
                lambda: all(called.arrivals_s for called in planners)
            )
            await evacuate(callers, 'north')
            late_calls = []
            planners[0]._run_pieces = functools.partial(fail, late_calls)
            for released in planners:
                released.pieces_released.set()
            replies = await asyncio.gather(*waiting)
            assert {reply.status for reply in replies} == {200}
            assert not late_calls
            assert len(callers.runs('model')) == 6

    async def test_no_domain_is_left(self):
        """They are refused at once, not at their deadline."""
        async with deployment() as callers:
            for target in callers.targets('planner'):
                target.faults.silent = True
            waiting = [
                asyncio.ensure_future(send(callers, 'planner', number))
                for number in range(12)
            ]
            await asyncio.sleep(0.2)
            for domain in ('north', 'south'):
                await evacuate(callers, domain)
            async with asyncio.timeout(1.5):
                replies = await asyncio.gather(*waiting)
            assert {reply.status for reply in replies} == {503}


class TestDenial:
    """Requests whose targets are all evacuated."""

    def test_results_may_still_be_read(self):
        """A request that goes on was denied although nothing was missing."""
        fresh = ChainSpec(
            chain_id='c',
            piece_key='',
            stages=(ChainStage('plan', 1, (), 8000, 'route/0'),),
            engine_service='model',
            prompt=Prompt('', (), 0, 0),
            priority=0,
            soft_deadline_at_ms=1,
            deadline_at_ms=2,
            received_at_ms=0,
        )
        result = HandoverResult(0, 0, 'h', 't', 9)
        begun = dataclasses.replace(fresh, results=(result,))
        evacuated = types.SimpleNamespace(services=frozenset(('plan',)))
        assert deny_evacuated(fresh, evacuated) is not None
        assert deny_evacuated(begun, evacuated) is None
