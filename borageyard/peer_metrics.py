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
            'Totals of the streams between entries by kind of count.',
            registry=registry,
        )
        self._handover = Gauge(
            'borageyard_handover',
            'Totals and memory of hand-over by kind of count.',
            registry=registry,
        )
        self._members = Gauge(
            'borageyard_members',
            'Other entries by what is thought of them.',
            registry=registry,
        )

    def note_streams(self, counters: PeerCounters) -> None:
        """Updates the totals of the peer streams."""
        for name, count in dataclasses.asdict(counters).items():
            self._streams.set({'count': name}, count)

    def note_handover(self, backups: HandoverBackups) -> None:
        """Updates the totals and memory use of hand-over."""
        counts = {
            **dataclasses.asdict(backups.counters),
            'kept_requests': len(backups.memory),
            'kept_bytes': backups.memory.size_bytes,
            'overflows': backups.memory.overflows,
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
