"""Tells requests that crash their targets from those that were there."""

import hashlib

from .inbound import InboundRequest
from .quarantine import CrashQuarantine, QuarantineStatus

# Time between the loss of a send and the sign that its target is down: a
# target that crashed stops announcing itself, and its record lapses.
CONFIRM_MS = 4000
# A request that was answered in this time does not crash its targets: it was
# at one that died, as often happens to what many ask for.
ANSWERED_MS = 10_000
MAX_REMEMBERED = 4096
DIGEST_BYTES = 16


class CrashWatch:
    """Connects lost sends with targets that then turn out to be down.

    Answers the load pattern of a request that crashes each target that runs
    it and comes again and again: after two targets no other one sees it.
    """

    def __init__(self) -> None:
        """Starts without suspects."""
        self.quarantine = CrashQuarantine()
        # When a send of a digest to a target was lost.
        self._lost: dict[tuple[str, str], float] = {}
        self._answered: dict[str, float] = {}

    def suspended_ms(self, digest: str, now_ms: float) -> float:
        """Returns for how long a request may not run; 0 if it may.

        Args:
            digest: Digest of the request.
            now_ms: Steady time.
        """
        standing = self.quarantine.status(digest, now_ms)
        if standing is QuarantineStatus.QUARANTINED:
            return self.quarantine.remaining_ms(digest, now_ms)
        return 0

    def note_lost(self, digest: str, target_id: str, now_ms: float) -> None:
        """Takes in a send that may have run and got no answer.

        Args:
            digest: Digest of the request.
            target_id: The target.
            now_ms: Steady time.
        """
        self._forget_lost(now_ms)
        if len(self._lost) < MAX_REMEMBERED:
            self._lost[digest, target_id] = now_ms

    def note_down(self, target_id: str, now_ms: float) -> tuple[str, ...]:
        """Takes in that a target is down, gone or has started anew.

        Args:
            target_id: The target.
            now_ms: Steady time.

        Returns:
            Digests of the requests that were lost there.
        """
        self._forget_lost(now_ms)
        lost = [key for key in self._lost if key[1] == target_id]
        crashed: list[str] = []
        for key in lost:
            self._lost.pop(key)
            digest = key[0]
            if not self._was_answered(digest, now_ms):
                self.quarantine.note_crash(digest, now_ms, alone=True)
                crashed.append(digest)
        return tuple(crashed)

    def note_answered(self, digest: str, now_ms: float) -> None:
        """Takes in that a target answered a request.

        Args:
            digest: Digest of the request.
            now_ms: Steady time.
        """
        self._answered.pop(digest, None)
        if len(self._answered) >= MAX_REMEMBERED:
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
        """Takes in what a peer knows, unless it was answered here.

        Args:
            digest: Digest of a request.
            crashes: Targets that it crashed.
            left_ms: How long that counts.
            now_ms: Steady time.
        """
        if not self._was_answered(digest, now_ms):
            self.quarantine.merge(digest, crashes, left_ms, now_ms)

    def lost_targets(self) -> frozenset[str]:
        """Returns the targets where sends were lost lately."""
        return frozenset(target_id for _, target_id in self._lost)

    def _was_answered(self, digest: str, now_ms: float) -> bool:
        answered_at_ms = self._answered.get(digest)
        if answered_at_ms is None:
            return False
        return now_ms - answered_at_ms < ANSWERED_MS

    def _forget_lost(self, now_ms: float) -> None:
        self._lost = {
            key: lost_at_ms
            for key, lost_at_ms in self._lost.items()
            if now_ms - lost_at_ms < CONFIRM_MS
        }


def digest_of(request: InboundRequest) -> str:
    """Returns the digest by which a request that comes again is known.

    Args:
        request: A caller's request; its id differs at each attempt.
    """
    digest = hashlib.blake2b(request.body, digest_size=DIGEST_BYTES)
    for text in (request.host, request.method, request.target, request.api_key):
        digest.update(f'{len(text)}\n{text}'.encode())
    return digest.hexdigest()
