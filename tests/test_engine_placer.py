"""Tests of the placement of prompts on engines."""

import pytest

from borageyard.engine_placer import (
    CACHE_RETENTION_MS,
    EnginePlacer,
    PlacementQuery,
    Prompt,
    PromptPart,
)
from borageyard.roster import RosterRow, TargetPhase

ENGINES = tuple(
    RosterRow(f'e{number}', 'model', f'e{number}', domain, TargetPhase.READY)
    for number, domain in enumerate('aabbcc')
)


def prompt(root='root', own='own', tokens=2000):
    """Returns a prompt with a shared part and a part of its own."""
    parts = (PromptPart(root, 3000), PromptPart(own, tokens))
    return Prompt('m', parts, 3000 + tokens, 50)


def send(placer, name, asked, now_ms=0, **further):
    """Places a prompt and records it as sent; returns the placement."""
    query = PlacementQuery(asked, ENGINES, **further)
    placement = placer.place(query, now_ms)
    placer.note_sent(name, asked, placement, now_ms)
    return placement


class TestCache:
    """Shared parts are prefilled by few engines."""

    def test_part_is_prefilled_by_one_engine(self):
        """A steady load with one shared part stays at one engine."""
        placer = EnginePlacer()
        chosen = set()
        for number in range(40):
            now_ms = number * 250
            placement = send(
                placer, f'r{number}', prompt(own=str(number)), now_ms
            )
            placer.note_started(f'r{number}')
            placer.note_ended(f'r{number}')
            chosen.add(placement.engine.target_id)
        assert len(chosen) == 1

    def test_entries_agree_on_the_first_engine(self):
        """Entries that know nothing of each other choose the same engine."""
        placers = [EnginePlacer() for _ in range(4)]
        chosen = {
            send(placer, 'r', prompt()).engine.target_id for placer in placers
        }
        assert len(chosen) == 1

    def test_burst_spreads(self):
        """In a burst requests must not all wait for the engine of the part."""
        placer = EnginePlacer()
        chosen = [
            send(placer, f'r{number}', prompt(own=str(number))).engine.target_id
            for number in range(30)
        ]
        assert len(set(chosen)) > 2

    def test_evicted_part_counts_for_nothing(self):
        """A part counts as evicted once its retention time has passed."""
        placer = EnginePlacer()
        send(placer, 'r', prompt())
        placement = send(placer, 's', prompt(own='x'), CACHE_RETENTION_MS + 1)
        assert placement.cached_tokens == 0


class TestFailure:
    """Engines that failed recently."""

    def test_others_go_first(self):
        """An engine that failed is avoided, and its cache counts as lost."""
        placer = EnginePlacer()
        first = send(placer, 'r', prompt()).engine.target_id
        placer.note_failure(first, 1000)
        assert send(placer, 's', prompt()).engine.target_id != first

    def test_failed_engine_is_used_without_others(self):
        """Without another engine the failed one is still chosen."""
        placer = EnginePlacer()
        query = PlacementQuery(prompt(), ENGINES[:1])
        placer.place(query, 0)
        placer.note_failure('e0', 1000)
        assert placer.place(query, 0).engine.target_id == 'e0'

    def test_no_engines(self):
        """Without engines there is no placement."""
        assert EnginePlacer().place(PlacementQuery(prompt(), []), 0) is None


class TestInputs:
    """Inputs that the engine fetches from targets."""

    @pytest.mark.parametrize('domain', ['a', 'b', 'c'])
    def test_engine_is_near_large_inputs(self, domain):
        """Moving large inputs between domains costs more than a cold cache."""
        placement = send(
            EnginePlacer(),
            'r',
            prompt(),
            inputs_bytes={domain: 6_000_000},
        )
        assert placement.engine.failure_domain == domain
