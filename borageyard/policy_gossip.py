"""Gossip between entries for routing, limits and quarantine."""

from collections.abc import Iterable

from .generated.peer_policy import CrashSuspicionRecord, PolicyNewsBody
from .peers import GossipSection, PeerLink
from .policy import EntryPolicy
from .quarantine import CrashQuarantine


class PolicyGossip:
    """The section of the policy in the periodic gossip between entries."""

    def __init__(self, policy: EntryPolicy) -> None:
        """Creates the section.

        Args:
            policy: Policy whose state is sent and updated.
        """
        self._policy = policy

    def register(self, peers: PeerLink) -> None:
        """Adds the section to the gossip of a link.

        Args:
            peers: The link to the other entries.
        """
        section = GossipSection(PolicyNewsBody, self.provide, self.consume)
        peers.add_gossip_section(section)

    def provide(self) -> PolicyNewsBody:
        """Returns the state to send to the other entries.

        It holds the calls in flight by target, the demand in requests per
        second by organisation, and the suspected crashes.
        """
        now_ms = self._policy.clock.steady_ms()
        self._policy.directory.forget_silent(now_ms)
        targets = self._policy.directory.all_targets()
        in_flight = {
            state.target_id: state.in_flight
            for state in targets
            if state.in_flight
        }
        return PolicyNewsBody(
            in_flight=in_flight,
            demand_per_s=self._policy.limits.publish_demand(now_ms),
            crashes=crash_suspicions(self._policy.quarantine, now_ms),
        )

    def consume(self, peer_id: str, gossip: PolicyNewsBody) -> None:
        """Merges the state that a peer has sent.

        Args:
            peer_id: Id of the peer.
            gossip: State of its policy.
        """
        now_ms = self._policy.clock.steady_ms()
        directory = self._policy.directory
        directory.note_peer(peer_id, gossip.in_flight, now_ms)
        self._policy.limits.note_peer(peer_id, gossip.demand_per_s, now_ms)
        merge_crash_suspicions(self._policy, gossip.crashes)


def crash_suspicions(
    quarantine: CrashQuarantine,
    now_ms: float,
) -> list[CrashSuspicionRecord]:
    """Returns the current crash suspicions to send to peers.

    Args:
        quarantine: Holds the suspicions.
        now_ms: Monotonic time in milliseconds.
    """
    return [
        CrashSuspicionRecord(
            digest=record.digest,
            crashes=record.crashes,
            left_ms=record.expires_at_ms - now_ms,
        )
        for record in quarantine.records(now_ms)
    ]


def merge_crash_suspicions(
    policy: EntryPolicy,
    crashes: Iterable[CrashSuspicionRecord],
) -> None:
    """Merges the crash suspicions of a peer into the quarantine.

    Args:
        policy: Policy whose quarantine is updated.
        crashes: Suspicions that the peer holds.
    """
    now_ms = policy.clock.steady_ms()
    for record in crashes:
        policy.quarantine.merge(
            record.digest,
            record.crashes,
            record.left_ms,
            now_ms,
        )
