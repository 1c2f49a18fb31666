"""Tests of the observation of answers to prompts."""

import contextlib

import pytest

from borageyard.answer_progress import AnswerProgress, AnswerStage
from borageyard.clock import ManualClock
from borageyard.crash_suspects import CrashSuspects
from borageyard.engine_placer import Prompt, PromptPart
from borageyard.engine_watch import EngineWatch
from borageyard.fleet_state import FleetState
from borageyard.inbound import (
    InboundRequest,
    SendError,
    SendFailure,
    TargetAnswer,
    TargetSend,
)
from borageyard.memory_peers import MemoryPeerNetwork
from borageyard.platform.documents import DocumentDecoder
from borageyard.prompt_sender import PromptSender
from borageyard.quarantine_guard import QuarantineGuard
from borageyard.request_keys import identify_request, part_key
from borageyard.roster import RosterRow, TargetPhase
from borageyard.target_probe import ConnectProbe

EVENT = b'id: 1\ndata: x\n\n'


def request(*parts, model='m', path='/brief/x'):
    """Returns a request whose prompt has these parts."""
    prompt = Prompt(model, tuple(PromptPart(part, 9) for part in parts), 9, 9)
    return InboundRequest(
        'r1', 'h', 'POST', path, path, {}, b'', 0, 1000, prompt=prompt
    )


class TestKeys:
    """Which requests share a key."""

    def test_last_part_has_none(self):
        """It belongs to one request, unlike the others."""
        keys = identify_request(request('a', 'b', 'own'))
        assert keys.part_keys == {part_key('m', 'a'), part_key('m', 'b')}

    def test_same_part_of_another_model(self):
        """Parts are told apart by the model that reads them."""
        first = identify_request(request('a', 'own'))
        second = identify_request(request('a', 'own', model='n'))
        assert not first.part_keys & second.part_keys

    def test_request_without_prompt(self):
        """It has a key of its own only."""
        keys = identify_request(request())
        assert not keys.part_keys
        assert len(keys.all_keys) == 1


class TestProgress:
    """Stages of an answer."""

    def test_event_that_comes_in_pieces(self):
        """An answer is being written from its first complete event."""
        progress = AnswerProgress()
        assert progress.stage is AnswerStage.WAITING
        progress.begun_at_ms = 5
        progress.note_bytes(b'id: 1\n', 6)
        assert progress.stage is AnswerStage.BEGUN
        progress.note_bytes(b'\nid', 7)
        assert progress.stage is AnswerStage.WRITING
        assert progress.wrote_ms(9) == 2
        assert not progress.ends_with_event


class BreakingSender:
    """Sender whose answers break off after some chunks."""

    def __init__(self, chunks):
        """Stores the chunks; None for an answer without a head."""
        self._chunks = chunks

    @contextlib.asynccontextmanager
    async def send(self, send):
        """Yields the head of an answer that breaks off."""
        if self._chunks is None:
            raise SendError(SendFailure.UNKNOWN, 'reset')
        yield TargetAnswer(200, {}, False, False, None, self._body())

    async def _body(self):
        for chunk in self._chunks:
            yield chunk
        raise SendError(SendFailure.UNKNOWN, 'reset')


async def read(exchange):
    """Returns the body of an answer."""
    async with exchange as answer:
        return [chunk async for chunk in answer.chunks]


class TestLostSends:
    """Answers that break off."""

    @pytest.mark.parametrize(
        ('chunks', 'stage'),
        [(None, 'waiting'), ([], 'begun'), ([EVENT], 'writing')],
    )
    async def test_log_tells_how_far_the_answer_was(
        self, monkeypatch, chunks, stage
    ):
        """The parts of the prompt are logged too."""
        logged = []
        monkeypatch.setattr(
            'borageyard.prompt_sender.log_event',
            lambda event, **fields: logged.append(fields),
        )
        clock = ManualClock()
        link = MemoryPeerNetwork().join('a')
        suspects = CrashSuspects(link, clock)
        watch = EngineWatch(
            FleetState(DocumentDecoder()), suspects, clock, ConnectProbe(None)
        )
        guard = QuarantineGuard('a', suspects, link, clock)
        sender = PromptSender(BreakingSender(chunks), watch, guard, clock)
        engine = RosterRow('e', 'model', 'h:1', 'a', TargetPhase.READY)
        send = TargetSend(request('a', 'own'), engine, 1000)
        async with watch.running():
            with pytest.raises(SendError):
                await read(sender.send(send))
        (fields,) = logged
        assert fields['stage'] == stage
        assert fields['part_keys'] == [part_key('m', 'a')]
