"""Terms of schedulers, and what one entry knows of them."""

import dataclasses
import enum

from .rendezvous import hash_weight

# Age of the last renewal at which a term expires: one renewal may be lost, and
# the next one may be late by the rest.
TERM_MS = 1600


class ElectionReason(enum.Enum):
    """Why the scheduler of a group changed, as seen by one entry."""

    # This entry started a term.
    STARTED = 'started'
    # A peer reported a newer term.
    REPORTED = 'reported'
    # The scheduler left or restarted, or its process is gone.
    ENDED = 'ended'
    # Renewals stopped, or this entry was suspended.
    EXPIRED = 'expired'
    # A smaller scheduler handed its term over to this entry.
    HANDED_OVER = 'handed_over'
    # This entry reaches no other one and schedules its own requests.
    ISOLATED = 'isolated'


@dataclasses.dataclass(frozen=True, slots=True)
class SchedulerTerm:
    """Term of one incarnation of an entry as the scheduler of a group."""

    group: str
    number: int
    scheduler_id: str
    incarnation: int
    # Number of the last renewal.
    renewal: int = 0
    # Whether the scheduler has given it up or is gone; never revoked.
    ended: bool = False

    @property
    def precedence(self) -> tuple[int, bytes, int]:
        """Returns the key that orders terms; the greatest one is in force.

        Terms that were started at the same time may have the same number.
        """
        weight = hash_weight(self.group, self.scheduler_id)
        return self.number, weight, self.incarnation

    def merge(self, other: 'SchedulerTerm') -> 'SchedulerTerm':
        """Returns the newest state that both together show.

        Args:
            other: Term of the same group.
        """
        if self.precedence != other.precedence:
            return max(self, other, key=_precedence)
        return dataclasses.replace(
            self,
            renewal=max(self.renewal, other.renewal),
            ended=self.ended or other.ended,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class TermReport:
    """A term and the age of its last renewal, as one entry reports it."""

    term: SchedulerTerm
    age_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class PollAnswer:
    """What a peer that was polled states of itself and of others."""

    peer_id: str
    # Its computing power; 0 if not stated.
    processor_cores: float = 0
    # Whether it can schedule.
    ready: bool = False
    # Largest computing power of an entry that it knows to be ready.
    ready_cores: float = 0

    @property
    def able_cores(self) -> float:
        """Returns the largest computing power that can schedule."""
        own_cores = self.processor_cores if self.ready else 0
        return max(own_cores, self.ready_cores)


@dataclasses.dataclass(slots=True)
class GroupElection:
    """What one entry knows of the scheduler of one group."""

    term: SchedulerTerm | None = None
    # Monotonic time of the last renewal, at the scheduler.
    renewed_at_ms: float = 0
    # Entry that showed the last change, and what changed.
    source_id: str = ''
    reason: ElectionReason = ElectionReason.ENDED
    vacant_since_ms: float | None = None
    poll_at_ms: float = 0
    isolated: bool = False
    # Start of the last term of this entry, and whether it has left the present
    # vacancy to a larger one.
    started_at_ms: float = 0
    deferred: bool = False

    def is_in_force(self, now_ms: float) -> bool:
        """Returns whether the group has a scheduler.

        Args:
            now_ms: Monotonic time.
        """
        term = self.term
        if term is None or term.ended:
            return False
        return now_ms - self.renewed_at_ms <= TERM_MS

    def merge(self, report: TermReport, source_id: str, now_ms: float) -> bool:
        """Merges what a peer reported; returns whether it was news.

        Args:
            report: The term, with the age of its last renewal.
            source_id: Id of the peer.
            now_ms: Monotonic time.
        """
        known = self.term
        merged = report.term if known is None else known.merge(report.term)
        if merged == known:
            return False
        renewed_at_ms = now_ms - report.age_ms
        if known is None or merged.precedence != known.precedence:
            self.source_id = source_id
            self.reason = ElectionReason.REPORTED
            self.renewed_at_ms = renewed_at_ms
            self.isolated = False
        elif merged.renewal > known.renewal:
            self.renewed_at_ms = max(self.renewed_at_ms, renewed_at_ms)
        self.term = merged
        if merged.ended:
            self.source_id = source_id
            self.reason = ElectionReason.ENDED
        return True

    def end(self, source_id: str) -> None:
        """Ends the term in force.

        Args:
            source_id: Id of the entry that showed its end.
        """
        if self.term is not None:
            self.term = dataclasses.replace(self.term, ended=True)
            self.source_id = source_id
            self.reason = ElectionReason.ENDED

    def update_vacancy(self, now_ms: float) -> bool:
        """Records since when there is no scheduler; returns whether so.

        Args:
            now_ms: Monotonic time.
        """
        if self.is_in_force(now_ms):
            self.vacant_since_ms = None
            self.deferred = False
            return False
        if self.vacant_since_ms is None:
            self.vacant_since_ms = now_ms
            if self.term is not None and not self.term.ended:
                self.reason = ElectionReason.EXPIRED
        return True


def _precedence(term: SchedulerTerm) -> tuple[int, bytes, int]:
    return term.precedence
