"""Estimates which prompt prefixes the targets have cached."""

import collections
import dataclasses
import math
from collections.abc import Collection

MAX_PREFIXES = 20_000
# Time in which the confidence in a cached prefix decays to 1/e.
CACHE_DECAY_MS = 60_000
# Assumed prefix length until an answer reports it.
DEFAULT_PREFIX_TOKENS = 200
SAVED_MS_PER_TOKEN = 0.1


@dataclasses.dataclass(slots=True)
class KnownPrefix:
    """A prefix, its length and when each target last used or stored it."""

    tokens: int = DEFAULT_PREFIX_TOKENS
    seen_at_ms: dict[str, float] = dataclasses.field(default_factory=dict)


class PrefixAffinity:
    """Tracks cached prefixes from answers and delayed cache events."""

    def __init__(self) -> None:
        """Starts without known prefixes."""
        self._prefixes: collections.OrderedDict[str, KnownPrefix] = (
            collections.OrderedDict()
        )

    def holders(self, prefix: str) -> Collection[str]:
        """Returns the ids of the targets that may have a prefix cached."""
        known = self._prefixes.get(prefix)
        return known.seen_at_ms.keys() if known else ()

    def note_answer(
        self,
        target_id: str,
        prefix: str,
        cached_tokens: int,
        now_ms: float,
    ) -> None:
        """Records that a target has just used a prefix.

        Args:
            target_id: Id of the target.
            prefix: Name of the prefix.
            cached_tokens: Tokens that it read from its cache; 0 keeps the
                known prefix length.
            now_ms: Steady time.
        """
        known = self._find(prefix)
        known.seen_at_ms[target_id] = now_ms
        if cached_tokens:
            known.tokens = cached_tokens

    def note_stored(
        self,
        target_id: str,
        prefix: str,
        now_ms: float,
    ) -> None:
        """Handles a cache event: a target has stored a prefix.

        Args:
            target_id: Id of the target.
            prefix: Name of the prefix.
            now_ms: Steady time of the event.
        """
        self._find(prefix).seen_at_ms[target_id] = now_ms

    def note_evicted(self, target_id: str, prefix: str) -> None:
        """Handles a cache event: a target has evicted a prefix.

        Args:
            target_id: Id of the target.
            prefix: Name of the prefix.
        """
        known = self._prefixes.get(prefix)
        if known is not None:
            known.seen_at_ms.pop(target_id, None)

    def forget_target(self, target_id: str) -> None:
        """Drops the prefixes of a target that restarted with an empty cache."""
        for known in self._prefixes.values():
            known.seen_at_ms.pop(target_id, None)

    def saved_ms(self, target_id: str, prefix: str, now_ms: float) -> float:
        """Returns the time in ms that a target's cache is expected to save.

        Args:
            target_id: Id of the target.
            prefix: Prefix of the call; empty if it has none.
            now_ms: Steady time.
        """
        known = self._prefixes.get(prefix)
        if known is None or target_id not in known.seen_at_ms:
            return 0
        age_ms = now_ms - known.seen_at_ms[target_id]
        return (
            math.exp(-age_ms / CACHE_DECAY_MS)
            * known.tokens
            * SAVED_MS_PER_TOKEN
        )

    def _find(self, prefix: str) -> KnownPrefix:
        known = self._prefixes.setdefault(prefix, KnownPrefix())
        self._prefixes.move_to_end(prefix)
        if len(self._prefixes) > MAX_PREFIXES:
            self._prefixes.popitem(last=False)
        return known
