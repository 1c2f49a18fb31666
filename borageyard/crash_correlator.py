"""Separates requests that crash targets from uninvolved requests."""

import hashlib

from .inbound import InboundRequest
from .quarantine import CrashQuarantine, QuarantineStatus

# Maximum time between a lost send and the detection that its target is down.
# A crashed target stops announcing itself and is detected, at the latest, when
# its record expires after three heartbeats, and is read up to a second later.
CRASH_CONFIRM_MS = 10_000
# A request that was answered within this time is not blamed for a crash. It
# was merely at a target that went down, as often happens to popular requests.
ANSWER_CLEARS_MS = 10_000
MAX_TRACKED = 4096
DIGEST_BYTES = 16


class CrashCorrelator:
    """Correlates lost sends with targets that turn out to be down.

    A request that crashes every target that runs it and is sent again and
    again is quarantined after it has crashed two targets, so that it reaches
    no other.
    """

    def __init__(self) -> None:
        """Creates a correlator without lost sends."""
        self.quarantine = CrashQuarantine()
        # Time of each lost send, by digest of the request and target id.
        self._lost_sends: dict[tuple[str, str], float] = {}
        self._answered: dict[str, float] = {}

    def quarantine_remaining_ms(self, digest: str, now_ms: float) -> float:
        """Returns the remaining quarantine of a request in ms, or 0.

        Args:
            digest: Digest of the request.
            now_ms: Monotonic time.
        """
        status = self.quarantine.status(digest, now_ms)
        if status is QuarantineStatus.QUARANTINED:
            return self.quarantine.remaining_ms(digest, now_ms)
        return 0

    def note_lost_send(
        self, digest: str, target_id: str, now_ms: float
    ) -> None:
        """Records a send that may have run and got no answer.

        Args:
            digest: Digest of the request.
            target_id: Id of the target.
            now_ms: Monotonic time.
        """
        self._expire_lost_sends(now_ms)
        if len(self._lost_sends) < MAX_TRACKED:
            self._lost_sends[digest, target_id] = now_ms

    def note_leaving(self, target_id: str) -> None:
        """Records that a target drains, so it has not crashed.

        Args:
            target_id: Id of the target.
        """
        self._lost_sends = {
            key: lost_at_ms
            for key, lost_at_ms in self._lost_sends.items()
            if key[1] != target_id
        }

    def note_target_down(
        self, target_id: str, now_ms: float
    ) -> tuple[str, ...]:
        """Records that a target is down, is gone or has restarted.

        Args:
            target_id: Id of the target.
            now_ms: Monotonic time.

        Returns:
            Digests of the requests that are counted as having crashed it.
            Requests that were answered recently are not counted.
        """
        self._expire_lost_sends(now_ms)
        lost = [key for key in self._lost_sends if key[1] == target_id]
        crashed: list[str] = []
        for key in lost:
            self._lost_sends.pop(key)
            digest = key[0]
            if not self._was_answered(digest, now_ms):
                self.quarantine.note_crash(digest, now_ms, isolated=True)
                crashed.append(digest)
        return tuple(crashed)

    def note_answered(self, digest: str, now_ms: float) -> None:
        """Records that a target answered a request, which clears it.

        Args:
            digest: Digest of the request.
            now_ms: Monotonic time.
        """
        self._answered.pop(digest, None)
        if len(self._answered) >= MAX_TRACKED:
            self._answered.pop(next(iter(self._answered)))
        self._answered[digest] = now_ms
        self.quarantine.note_finished(digest)

    def merge(
        self,
        digest: str,
        crashes: int,
        left_ms: float,
        now_ms: float,
    ) -> None:
        """Merges a crash count from a peer.

        It is ignored if the request was answered here recently.

        Args:
            digest: Digest of the request.
            crashes: Number of targets that the request crashed.
            left_ms: Remaining validity of the count.
            now_ms: Monotonic time.
        """
        if not self._was_answered(digest, now_ms):
            self.quarantine.merge(digest, crashes, left_ms, now_ms)

    def targets_with_lost_sends(self) -> frozenset[str]:
        """Returns the ids of the targets with tracked lost sends."""
        return frozenset(target_id for _, target_id in self._lost_sends)

    def _was_answered(self, digest: str, now_ms: float) -> bool:
        answered_at_ms = self._answered.get(digest)
        if answered_at_ms is None:
            return False
        return now_ms - answered_at_ms < ANSWER_CLEARS_MS

    def _expire_lost_sends(self, now_ms: float) -> None:
        self._lost_sends = {
            key: lost_at_ms
            for key, lost_at_ms in self._lost_sends.items()
            if now_ms - lost_at_ms < CRASH_CONFIRM_MS
        }


def request_digest(request: InboundRequest) -> str:
    """Returns a digest that is equal for all attempts of a request.

    Args:
        request: Request of a caller. Its id differs at each attempt, so it is
            not part of the digest.
    """
    digest = hashlib.blake2b(request.body, digest_size=DIGEST_BYTES)
    for text in (
        request.host,
        request.method,
        request.request_target,
        request.api_key,
    ):
        digest.update(f'{len(text)}\n{text}'.encode())
    return digest.hexdigest()
