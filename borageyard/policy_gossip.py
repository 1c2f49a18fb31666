"""What entries tell each other for routing, limits and quarantine."""

from collections.abc import Iterable

from .generated.peer_policy import CrashSuspicionRecord, PolicyNewsBody
from .peers import NewsSection, PeerLink
from .policy import EntryPolicy
from .quarantine import CrashQuarantine


class PolicyGossip:
    """The policy's section of the regular news."""

    def __init__(self, policy: EntryPolicy) -> None:
        """Wraps a policy.

        Args:
            policy: What tells and learns.
        """
        self._policy = policy

    def register(self, peers: PeerLink) -> None:
        """Adds the section to the news of a link.

        Args:
            peers: The link to the other entries.
        """
        section = NewsSection(PolicyNewsBody, self.provide, self.consume)
        peers.add_news(section)

    def provide(self) -> PolicyNewsBody:
        """Returns what the other entries should know."""
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
            demand_per_s=self._policy.limits.tell_demand(now_ms),
            crashes=crash_suspicions(self._policy.quarantine, now_ms),
        )

    def consume(self, peer_id: str, news: PolicyNewsBody) -> None:
        """Takes in what a peer has said.

        Args:
            peer_id: Who said it.
            news: What.
        """
        now_ms = self._policy.clock.steady_ms()
        directory = self._policy.directory
        directory.note_peer(peer_id, news.in_flight, now_ms)
        self._policy.limits.note_peer(peer_id, news.demand_per_s, now_ms)
        merge_crash_suspicions(self._policy, news.crashes)


def crash_suspicions(
    quarantine: CrashQuarantine,
    now_ms: float,
) -> list[CrashSuspicionRecord]:
    """Returns the suspicions that peers should know.

    Args:
        quarantine: What knows them.
        now_ms: Steady time.
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
    """Takes in the suspicions of a peer.

    Args:
        policy: What learns them.
        crashes: What the peer knows.
    """
    now_ms = policy.clock.steady_ms()
    for record in crashes:
        policy.quarantine.merge(
            record.digest,
            record.crashes,
            record.left_ms,
            now_ms,
        )
