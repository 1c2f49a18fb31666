"""Metrics of peer streams, hand-over and membership."""

import dataclasses

from aioprometheus import Gauge, Registry

from .handover_backups import HandoverBackups
from .membership import Membership, MemberState
from .peer_stream import PeerCounters


class PeerMetrics:
    """Gauges of peer traffic, losses and the liveness of entries."""

    def __init__(self, registry: Registry) -> None:
        """Registers the metrics.

        Args:
            registry: Metrics registry of the entry.
        """
        self._streams = Gauge(
            'borageyard_peer_streams',
            'Totals of the peer streams by counter.',
            registry=registry,
        )
        self._handover = Gauge(
            'borageyard_handover',
            'Totals and memory use of hand-over by counter.',
            registry=registry,
        )
        self._members = Gauge(
            'borageyard_members',
            'Number of other entries by membership state.',
            registry=registry,
        )

    def note_streams(self, counters: PeerCounters) -> None:
        """Updates the totals of the peer streams."""
        for name, count in dataclasses.asdict(counters).items():
            self._streams.set({'count': name}, count)

    def note_handover(self, keepers: HandoverBackups) -> None:
        """Updates the totals and memory use of hand-over."""
        counts = {
            **dataclasses.asdict(keepers.counters),
            'kept_requests': len(keepers.memory),
            'kept_bytes': keepers.memory.size_bytes,
            'overflows': keepers.memory.overflows,
        }
        for name, count in counts.items():
            self._handover.set({'count': name}, count)

    def note_members(self, membership: Membership, now_ms: float) -> None:
        """Updates the number of other entries by membership state."""
        states = [
            membership.state(member.instance_id, now_ms)
            for member in membership.members()
        ]
        for state in MemberState:
            self._members.set({'state': state.value}, states.count(state))
