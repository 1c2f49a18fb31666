"""Tests of the ranking of peers for calls to targets."""

import pytest

from borageyard.target_paths import PEER_CUT_MS, TargetPaths

PEERS = tuple(f'n{number}' for number in range(9))


@pytest.fixture
def paths():
    """Returns paths of which nothing is known."""
    return TargetPaths('a')


class TestRanking:
    """Which peers are asked first."""

    def test_calls_are_spread(self, paths):
        """No peer is always the first."""
        firsts = {paths.rank_peers(PEERS, 0)[0] for _ in range(100)}
        assert len(firsts) > 6

    def test_peer_without_a_path(self, paths):
        """It is not asked for a while."""
        paths.note_cut('n1', (), 0)
        assert 'n1' not in paths.rank_peers(PEERS, PEER_CUT_MS - 1)
        assert 'n1' in paths.rank_peers(PEERS, PEER_CUT_MS)

    def test_few_peers_with_a_path(self, paths):
        """Another one comes first, so that these do not carry all."""
        paths.note_reaching('n1', 0)
        ranked = paths.rank_peers(PEERS, 0)
        assert ranked[1] == 'n1'

    def test_enough_peers_with_a_path(self, paths):
        """They come first."""
        for peer_id in PEERS[:3]:
            paths.note_reaching(peer_id, 0)
        ranked = paths.rank_peers(PEERS, 0)
        assert set(ranked[:3]) == set(PEERS[:3])

    def test_peers_that_a_peer_named(self, paths):
        """They are taken to have a path unless they said otherwise."""
        paths.note_cut('n2', (), 0)
        paths.note_cut('n1', ['n2', 'n3'], 0)
        assert paths.reaching_ids(0) == ['n3']
