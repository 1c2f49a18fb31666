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
    """Returns a prompt with a shared part and one of its own."""
    parts = (PromptPart(root, 3000), PromptPart(own, tokens))
    return Prompt('m', parts, 3000 + tokens, 50)


def send(placer, name, asked, now_ms=0, **further):
    """Places a prompt and sends it."""
    query = PlacementQuery(asked, ENGINES, **further)
    placement = placer.place(query, now_ms)
    placer.note_sent(name, asked, placement, now_ms)
    return placement


class TestCache:
    """Shared parts are read by few engines."""

    def test_part_is_read_once(self):
        """A steady load of one part stays where the part is."""
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
        """Without knowing of each other, they send a part to one engine."""
        placers = [EnginePlacer() for _ in range(4)]
        chosen = {
            send(placer, 'r', prompt()).engine.target_id for placer in placers
        }
        assert len(chosen) == 1

    def test_burst_spreads(self):
        """Waiting for the part's engine must not take longer than reading."""
        placer = EnginePlacer()
        chosen = [
            send(placer, f'r{number}', prompt(own=str(number))).engine.target_id
            for number in range(30)
        ]
        assert len(set(chosen)) > 2

    def test_evicted_part_counts_for_nothing(self):
        """What was read long ago is taken to be gone."""
        placer = EnginePlacer()
        send(placer, 'r', prompt())
        placement = send(placer, 's', prompt(own='x'), CACHE_RETENTION_MS + 1)
        assert placement.cached_tokens == 0


class TestFailure:
    """Engines that failed."""

    def test_others_go_first(self):
        """An engine that failed is avoided, and its cache is gone."""
        placer = EnginePlacer()
        first = send(placer, 'r', prompt()).engine.target_id
        placer.note_failure(first, 1000)
        assert send(placer, 's', prompt()).engine.target_id != first

    def test_failed_is_better_than_none(self):
        """With no other engine the failed one is used."""
        placer = EnginePlacer()
        query = PlacementQuery(prompt(), ENGINES[:1])
        placer.place(query, 0)
        placer.note_failure('e0', 1000)
        assert placer.place(query, 0).engine.target_id == 'e0'

    def test_none(self):
        """Without engines there is no placement."""
        assert EnginePlacer().place(PlacementQuery(prompt(), []), 0) is None


class TestInputs:
    """Results that the engine fetches."""

    @pytest.mark.parametrize('domain', ['a', 'b', 'c'])
    def test_engine_is_near_large_inputs(self, domain):
        """Bytes between failure domains weigh more than an empty cache."""
        placement = send(
            EnginePlacer(),
            'r',
            prompt(),
            inputs_bytes={domain: 6_000_000},
        )
        assert placement.engine.failure_domain == domain
