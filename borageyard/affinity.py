"""What prompt prefixes the targets are believed to have cached."""

import collections
import dataclasses
import math
from collections.abc import Collection

MAX_PREFIXES = 20_000
# Time in which the belief in a cached prefix falls to 1/e.
BELIEF_MS = 60_000
DEFAULT_TOKEN_MS = 0.05
MAX_TOKEN_MS = 2.0
LEARNING_WEIGHT = 0.05


@dataclasses.dataclass(slots=True)
class CachedPrefix:
    """A prefix on one target."""

    tokens: int
    seen_at_ms: float


class PrefixAffinity:
    """Learns from answers and from the targets' late cache events."""

    def __init__(self) -> None:
        """Starts with nothing cached."""
        self._holders: collections.OrderedDict[
            str,
            dict[str, CachedPrefix],
        ] = collections.OrderedDict()
        self.token_ms = DEFAULT_TOKEN_MS

    def holders(self, prefix: str) -> Collection[str]:
        """Returns the targets that may have a prefix."""
        return self._holders.get(prefix, {}).keys()

    def note_answer(
        self,
        target_id: str,
        prefix: str,
        tokens: int,
        now_ms: float,
    ) -> None:
        """Takes in that a target has just used a prefix.

        Args:
            target_id: The target.
            prefix: Name of the prefix.
            tokens: Its tokens, as far as they are known.
            now_ms: Steady time.
        """
        holders = self._holders.setdefault(prefix, {})
        known = holders.get(target_id)
        kept = max(tokens, known.tokens if known else 0)
        holders[target_id] = CachedPrefix(kept, now_ms)
        self._holders.move_to_end(prefix)
        if len(self._holders) > MAX_PREFIXES:
            self._holders.popitem(last=False)

    def note_evicted(self, target_id: str, prefix: str) -> None:
        """Takes in that a target no longer has a prefix.

        Args:
            target_id: The target.
            prefix: Name of the prefix.
        """
        holders = self._holders.get(prefix)
        if holders is not None:
            holders.pop(target_id, None)

    def forget_target(self, target_id: str) -> None:
        """Takes in that a target has restarted with an empty cache."""
        for holders in self._holders.values():
            holders.pop(target_id, None)

    def saved_ms(self, target_id: str, prefix: str, now_ms: float) -> float:
        """Returns the time that a target's cache is expected to save.

        Args:
            target_id: The target.
            prefix: Prefix of the call.
            now_ms: Steady time.
        """
        if not prefix:
            return 0
        cached = self._holders.get(prefix, {}).get(target_id)
        if cached is None:
            return 0
        belief = math.exp(-(now_ms - cached.seen_at_ms) / BELIEF_MS)
        return belief * cached.tokens * self.token_ms

    def learn_token_ms(self, saved_ms: float, cached_tokens: int) -> None:
        """Learns what a cached token saves.

        Args:
            saved_ms: How much faster an answer was than an uncached one.
            cached_tokens: Tokens that it had from the cache.
        """
        if cached_tokens <= 0:
            return
        seen = min(max(saved_ms / cached_tokens, 0), MAX_TOKEN_MS)
        self.token_ms += LEARNING_WEIGHT * (seen - self.token_ms)
