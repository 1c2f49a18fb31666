"""Tests of evidence about crashes between entries, and of what it causes."""

import asyncio
import dataclasses

import pytest

from borageyard.answer_progress import AnswerStage
from borageyard.clock import LoopClock
from borageyard.crash_attribution import Crash, EngineRun, Suspect
from borageyard.crash_suspects import REPEAT_MS, CrashSuspects
from borageyard.engine_placer import Prompt, PromptPart
from borageyard.engine_watch import EngineWatch
from borageyard.errors import RefusalError
from borageyard.fleet_state import FleetState
from borageyard.inbound import InboundRequest
from borageyard.memory_peers import MemoryPeerNetwork
from borageyard.platform.documents import DocumentDecoder
from borageyard.quarantine_guard import QuarantinedError, QuarantineGuard
from borageyard.request_keys import identify_request
from borageyard.roster import RosterChange, RosterRow, TargetPhase
from borageyard.shared_table import Table
from borageyard.standins.virtual_time import in_virtual_time

SPREAD_S = 0.1


def prompt(*parts, name='x'):
    """Returns a request whose prompt has these shared parts."""
    shared = tuple(PromptPart(part, 9) for part in (*parts, name))
    return InboundRequest(
        name,
        'h',
        'POST',
        '/',
        f'/{name}',
        {},
        b'',
        0,
        None,
        prompt=Prompt('m', shared, 9, 9),
    )


class FixedProbe:
    """Probe with a fixed result."""

    def __init__(self, listening):
        """Stores the result."""
        self.listening = listening
        # Addresses that listen in any case.
        self.up = set()
        # Addresses that answer peers.
        self.up_for_peers = set()
        self.addresses = []

    async def is_listening(self, address):
        """Returns the result after a moment."""
        self.addresses.append(address)
        await asyncio.sleep(0.01)
        return True if address in self.up else self.listening

    async def can_connect(self, address):
        """Returns whether the result is that it listens."""
        return bool(await self.is_listening(address))

    async def check_status(self, target_id, address, *, through_peer=False):
        """Returns why there is no answer after a moment."""
        await asyncio.sleep(0.01)
        if through_peer:
            return '' if address in self.up_for_peers else 'refused'
        return '' if self.listening else 'refused'


class Entry:
    """The parts of an entry that decide about crashes."""

    def __init__(self, network, name, listening=False):
        """Joins a network."""
        clock = LoopClock()
        self.state = FleetState(DocumentDecoder())
        link = network.join(name)
        self.suspects = CrashSuspects(link, clock)
        self.guard = QuarantineGuard(name, self.suspects, link, clock)
        self.probe = FixedProbe(listening)
        self.watch = EngineWatch(self.state, self.suspects, clock, self.probe)

    def lose(self, number, *parts):
        """Loses a request at the start of its answer."""
        engine = row(number)
        send = self.watch.start(prompt(*parts, name=f'n{number}'), engine)
        self.watch.note_answering(send)
        self.watch.note_lost(send, engine.address)

    def change_records(self, count, *, restarted):
        """Reads that the engines are gone or have restarted."""
        rows = [
            row(number, 2) if restarted else None for number in range(count)
        ]
        changes = [
            RosterChange(number + 1, f'e{number}', one)
            for number, one in enumerate(rows)
        ]
        self.state.roster.apply(changes, count + 1)
        self.state.notify(Table.TARGETS)

    async def wait(self, *parts):
        """Waits for an engine with a request."""
        async with self.guard.watching(prompt(*parts)):
            await asyncio.sleep(1)

    def quarantines(self, *parts):
        """Returns whether requests with these parts are refused."""
        try:
            self.guard.require_admitted(prompt(*parts))
        except RefusalError:
            return True
        return False


def row(number, incarnation=1):
    """Returns the record of an engine."""
    return RosterRow(
        f'e{number}',
        'model',
        f'h:{number}',
        'a',
        TargetPhase.READY,
        incarnation=incarnation,
    )


def full_crash(number):
    """Returns a crash with many requests of many parts."""
    parts = [f'{number}-{part}' for part in range(9)]
    requests = [prompt(*parts, name=f'{number}/{one}') for one in range(30)]
    suspects = [
        Suspect(identify_request(request), AnswerStage.BEGUN)
        for request in requests
    ]
    by_request = {one.keys.request_key: one for one in suspects}
    return Crash(EngineRun(f'e{number}', 1), 0, by_request)


class TestDetection:
    """How an entry finds out that an engine has crashed."""

    @in_virtual_time
    async def test_refused_connection(self):
        """Three engines that refuse connections after a loss are enough."""
        entry = Entry(MemoryPeerNetwork(), 'a')
        for number in range(3):
            entry.lose(number, 'bad')
        await asyncio.sleep(SPREAD_S)
        assert entry.quarantines('bad')
        assert len(entry.probe.addresses) == 3

    @in_virtual_time
    async def test_engine_that_is_up(self):
        """Lost connections alone are no crashes."""
        entry = Entry(MemoryPeerNetwork(), 'a', listening=True)
        for number in range(9):
            entry.lose(number, 'bad')
        await asyncio.sleep(SPREAD_S)
        assert not entry.quarantines('bad')

    @in_virtual_time
    async def test_one_probe_for_many_losses(self):
        """Probes are priced, so each engine is asked once."""
        entry = Entry(MemoryPeerNetwork(), 'a')
        for _ in range(9):
            entry.lose(1, 'bad')
        await asyncio.sleep(SPREAD_S)
        assert entry.probe.addresses == ['h:1']

    @pytest.mark.parametrize('restarted', [True, False])
    @in_virtual_time
    async def test_record_of_the_engine(self, restarted):
        """It is gone or of a later start, if the probe could not tell."""
        entry = Entry(MemoryPeerNetwork(), 'a', listening=None)
        for number in range(3):
            entry.lose(number, 'bad')
        await asyncio.sleep(SPREAD_S)
        assert not entry.quarantines('bad')
        entry.change_records(3, restarted=restarted)
        assert entry.quarantines('bad')


class TestPartition:
    """Refusals at an entry that may be partitioned from all targets."""

    @pytest.mark.parametrize('reachable', [True, False])
    @in_virtual_time
    async def test_partition_is_taken_for_crashes(self, reachable):
        """Targets that lost nothing tell a crash from a partition."""
        entry = Entry(MemoryPeerNetwork(), 'a')
        change = RosterChange(1, 'e9', row(9))
        entry.state.roster.apply([change], 2)
        if reachable:
            entry.probe.up.add(row(9).address)
        for number in range(3):
            entry.lose(number, 'bad')
        await asyncio.sleep(SPREAD_S)
        assert entry.quarantines('bad') is reachable

    @pytest.mark.parametrize('lost_path', [True, False])
    @in_virtual_time
    async def test_lost_path_is_taken_for_crashes(self, lost_path):
        """Engines that peers reach have not crashed."""
        entry = Entry(MemoryPeerNetwork(), 'a')
        entry.state.roster.apply([RosterChange(1, 'e9', row(9))], 2)
        entry.probe.up.add(row(9).address)
        for number in range(3):
            if lost_path:
                entry.probe.up_for_peers.add(row(number).address)
            entry.lose(number, 'bad')
        await asyncio.sleep(SPREAD_S)
        assert entry.quarantines('bad') is not lost_path

    @in_virtual_time
    async def test_record_goes_during_a_partition(self):
        """The crash is confirmed by then."""
        entry = Entry(MemoryPeerNetwork(), 'a')
        announced = [
            RosterChange(number, f'e{number}', row(number))
            for number in range(4)
        ]
        entry.state.roster.apply(announced, 4)
        for number in range(3):
            entry.lose(number, 'bad')
        await asyncio.sleep(SPREAD_S)
        assert not entry.quarantines('bad')
        ids = ('e0', 'e1', 'e2')
        gone = [
            RosterChange(4 + offset, engine_id, None)
            for offset, engine_id in enumerate(ids)
        ]
        entry.state.roster.apply(gone, 8)
        entry.state.notify(Table.TARGETS)
        await asyncio.sleep(SPREAD_S)
        assert entry.quarantines('bad')


class TestPeers:
    """Evidence that several entries have."""

    @pytest.mark.parametrize('silent', [True, False])
    @in_virtual_time
    async def test_requests_at_an_engine_that_answers(self, silent):
        """A crash that a peer reports is theirs only after a silence."""
        network = MemoryPeerNetwork()
        entry = Entry(network, 'a')
        peer = Entry(network, 'b')
        send = entry.watch.start(prompt('good', name='own'), row(0))
        await asyncio.sleep(2)
        if not silent:
            entry.watch.note_answering(send)
        peer.lose(0, 'bad')
        await asyncio.sleep(SPREAD_S)
        suspects = entry.suspects.evidence.suspect_keys(LoopClock().steady_ms())
        own_keys = identify_request(prompt('good', name='own')).all_keys
        # What the peer lost had begun, so that what waited is no suspect.
        assert not suspects & own_keys
        (crash,) = entry.suspects.evidence.crashes(LoopClock().steady_ms())
        assert (send.keys.request_key in crash.suspects) is silent

    @pytest.mark.parametrize('size', [3, 30])
    @in_virtual_time
    async def test_crashes_that_different_entries_saw(self, size):
        """Each saw one, and all conclude the same at once."""
        network = MemoryPeerNetwork()
        entries = [Entry(network, f'n{number}') for number in range(size)]
        for number in range(3):
            entries[number].lose(number, 'bad')
        await asyncio.sleep(SPREAD_S)
        assert all(entry.quarantines('bad') for entry in entries)

    @in_virtual_time
    async def test_same_crash_at_several_entries(self):
        """It is one crash, however many entries lost a request there."""
        network = MemoryPeerNetwork()
        entries = [Entry(network, f'n{number}') for number in range(4)]
        for entry in entries:
            entry.lose(1, 'bad')
        await asyncio.sleep(SPREAD_S)
        assert not any(entry.quarantines('bad') for entry in entries)

    @in_virtual_time
    async def test_peer_that_knows_the_part_to_be_sound(self):
        """Its proof reaches the others and clears the part there."""
        network = MemoryPeerNetwork()
        entries = [Entry(network, f'n{number}') for number in range(3)]
        for number in range(3):
            entries[0].lose(number, 'rare')
        await asyncio.sleep(SPREAD_S)
        assert entries[1].quarantines('rare')
        send = entries[2].watch.start(prompt('rare', name='late'), row(9))
        entries[2].watch.note_answering(send)
        entries[2].watch.note_whole(send, framed=True)
        entries[2].suspects._link.send_gossip()
        await asyncio.sleep(SPREAD_S)
        assert not any(entry.quarantines('rare') for entry in entries)

    @in_virtual_time
    async def test_entry_that_starts(self):
        """It learns from the gossip of about a second what is quarantined."""
        network = MemoryPeerNetwork()
        first = Entry(network, 'a')
        for number in range(3):
            first.lose(number, 'bad')
        await asyncio.sleep(SPREAD_S)
        second = Entry(network, 'b')
        await asyncio.sleep(REPEAT_MS / 1000)
        first.suspects._link.send_gossip()
        assert second.quarantines('bad')

    @in_virtual_time
    async def test_quarantine_costs_little(self):
        """Beside the other gossip, for as long as it lasts."""
        network = MemoryPeerNetwork()
        entry = Entry(network, 'a')
        for number in range(3):
            entry.lose(number, 'bad')
        await asyncio.sleep(60)
        (section,) = network.links['a'].sections
        sent = []
        for _ in range(40):
            await asyncio.sleep(0.3)
            news = section.provide()
            sent.append(
                news.model_dump_json(exclude_defaults=True) if news else ''
            )
        assert 0 < sum(map(len, sent)) < 12 * 150

    @in_virtual_time
    async def test_message_stays_small(self):
        """However many requests are lost with how many engines."""
        network = MemoryPeerNetwork()
        entry = Entry(network, 'a')
        for number in range(40):
            entry.suspects.report_crash(full_crash(number), 'refused')
        (section,) = network.links['a'].sections
        encoded = section.provide().model_dump_json(exclude_defaults=True)
        assert len(encoded) < 9000


class TestWaits:
    """Requests that wait when their quarantine begins."""

    @in_virtual_time
    async def test_wait_ends_at_once(self):
        """Others go on waiting."""
        entry = Entry(MemoryPeerNetwork(), 'a')
        bad = asyncio.ensure_future(entry.wait('bad'))
        sound = asyncio.ensure_future(entry.wait('good'))
        await asyncio.sleep(SPREAD_S)
        for number in range(3):
            entry.lose(number, 'bad')
        await asyncio.sleep(SPREAD_S)
        assert isinstance(bad.exception(), QuarantinedError)
        await sound

    @in_virtual_time
    async def test_time_limit_around_the_wait(self):
        """It is not taken for a quarantine."""
        entry = Entry(MemoryPeerNetwork(), 'a')
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.1), entry.guard.watching(prompt()):
                await asyncio.sleep(1)

    @in_virtual_time
    async def test_refusal_tells_when_to_come_back(self):
        """The request has not run."""
        entry = Entry(MemoryPeerNetwork(), 'a')
        for number in range(3):
            entry.lose(number, 'bad')
        await asyncio.sleep(SPREAD_S)
        with pytest.raises(RefusalError) as caught:
            entry.guard.require_admitted(prompt('bad'))
        assert caught.value.refusal.retry_after_ms > 10_000

    @in_virtual_time
    async def test_one_at_a_time_on_probation(self):
        """After the quarantine the first one shows whether it crashes."""
        entry = Entry(MemoryPeerNetwork(), 'a')
        for number in range(3):
            entry.lose(number, 'bad')
        await asyncio.sleep(400)
        request = prompt('bad')
        entry.guard.require_clear(request)
        send = entry.watch.start(request, row(9))
        other = dataclasses.replace(request, request_id='y')
        with pytest.raises(QuarantinedError):
            entry.guard.require_clear(other)
        entry.watch.note_answering(send)
        entry.watch.note_lost(send, 'h:9')
        with pytest.raises(QuarantinedError):
            entry.guard.require_clear(other)

    @in_virtual_time
    async def test_one_entry_tries_on_probation(self):
        """The others refuse such requests until it is known."""
        network = MemoryPeerNetwork()
        entries = [Entry(network, f'n{number}') for number in range(9)]
        for number in range(3):
            entries[0].lose(number, 'bad')
        await asyncio.sleep(301)
        trying = [entry for entry in entries if not entry.quarantines('bad')]
        assert len(trying) == 1
