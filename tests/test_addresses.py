"""Tests of entry addresses for callers and of the gossip fanout."""

import random

from borageyard.addresses import MAX_ADDRESSES, EntryAddress, order_entries
from borageyard.gossip_fanout import GossipFanout
from borageyard.peers import PeerAddress


class TestOrder:
    """Order in which a caller gets entries."""

    def test_own_failure_domain_first(self):
        """Entries in the caller's failure domain come before the others."""
        entries = [
            EntryAddress(f'e{index}', f'e{index}:1', 'ab'[index % 2])
            for index in range(6)
        ]
        for seed in range(20):
            ordered = order_entries(entries, 'b', random.Random(seed))
            domains = [entry.failure_domain for entry in ordered]
            assert ''.join(domains) == 'bbbaaa'

    def test_spread_by_load(self):
        """A busy entry is first less often, but is not starved."""
        busy = EntryAddress('busy', 'busy:1', 'a', running=9)
        idle = EntryAddress('idle', 'idle:1', 'a', running=0)
        rng = random.Random(3)
        first = [
            order_entries((busy, idle), 'a', rng)[0].instance_id
            for _ in range(1000)
        ]
        assert 40 < first.count('busy') < 200

    def test_number_of_addresses_is_limited(self):
        """The number of returned entries is limited in a large fleet."""
        names = map(str, range(600))
        entries = [EntryAddress(name, f'{name}:1', 'a') for name in names]
        ordered = order_entries(entries, '', random.Random(1))
        assert len(ordered) == MAX_ADDRESSES


def fleet(count, domains=16):
    """Returns peers spread over failure domains."""
    return [
        PeerAddress(f'e{index}', f'e{index}:1', str(index % domains))
        for index in range(count)
    ]


class TestGossipFanout:
    """Choice of the gossip receivers."""

    def test_few_peers_all_receive_gossip(self):
        """In a small fleet all peers receive gossip."""
        plan = GossipFanout('self', 8, 1e6)
        plan.update(fleet(8))
        assert sorted(plan.choose(10, 0)) == sorted(
            peer.instance_id for peer in fleet(8)
        )

    def test_gossip_reaches_a_large_fleet_in_few_hops(self):
        """Gossip reaches all of a large fleet in few hops; none is cut off."""
        peers = fleet(600)
        neighbours = {}
        for peer in peers:
            plan = GossipFanout(peer.instance_id, 8, 1e6)
            plan.update(other for other in peers if other is not peer)
            neighbours[peer.instance_id] = plan.neighbours
        assert {len(chosen) for chosen in neighbours.values()} == {8}
        reached = {'e0'}
        for _ in range(6):
            reached |= {
                peer_id for name in reached for peer_id in neighbours[name]
            }
        assert len(reached) == 600

    def test_budget_limits_bytes_and_serves_all_peers(self):
        """Over time the budget holds and peers receive equally often."""
        plan = GossipFanout('self', 8, 1000)
        plan.update(fleet(4))
        sent = []
        for step in range(200):
            sent.extend(plan.choose(400, step * 500))
        assert len(sent) * 400 <= 1000 * (100 + 1) + 400
        counts = {name: sent.count(name) for name in sent}
        assert len(counts) == 4
        assert max(counts.values()) - min(counts.values()) <= 1
